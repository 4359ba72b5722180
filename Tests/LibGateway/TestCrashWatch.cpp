#include <LibGateway/CrashWatch.h>

#include <gtest/gtest.h>

namespace Jujube
{

// Guards against blaming a request for the death of a target that never received it: a connection that a dead target refuses is no crash of the request's.
TEST(CrashWatch, OnlyRequestsThatReachedTheTargetAreMembers)
{
    EventLog events({.process = "test", .dataCentre = "", .onEvent = nullptr});
    std::vector<CrashReport> published;
    CrashWatch watch({.events = &events, .publish = [&published](const CrashReport &report) { published.push_back(report); }});
    const MonotonicTime now {std::chrono::seconds(1000)};
    watch.began("running", 1, "engine-1", false);
    watch.reached("running");
    watch.began("refused", 2, "engine-1", false);
    watch.targetDied("engine-1", 1, now);
    ASSERT_EQ(published.size(), 1);
    EXPECT_EQ(published[0].fingerprints, std::vector<uint64_t> {1});
    EXPECT_EQ(watch.verdict(1, now).action, CrashVerdict::Action::RunIsolated);
    EXPECT_EQ(watch.verdict(2, now).action, CrashVerdict::Action::Run);
}

// Guards against suspects of one gateway that meet on the same target, which would hide which of them causes the crashes.
TEST(CrashWatch, NamesTheTargetsOfSuspects)
{
    EventLog events({.process = "test", .dataCentre = "", .onEvent = nullptr});
    CrashWatch watch({.events = &events, .publish = nullptr});
    watch.began("a", 1, "engine-1", true);
    watch.began("b", 2, "engine-2", false);
    EXPECT_EQ(watch.targetsOfSuspects(), std::set<std::string> {"engine-1"});
    watch.ended("a");
    EXPECT_TRUE(watch.targetsOfSuspects().empty());
}

} // namespace Jujube
