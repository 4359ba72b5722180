#include <LibGateway/CrashTracker.h>

#include <gtest/gtest.h>

namespace Jujube
{

// Guards against blaming a request for the death of a target that never received it: a connection that a dead target refuses is no crash of the request's.
TEST(CrashTracker, OnlyRequestsThatReachedTheTargetAreMembers)
{
    EventLog events({.process = "test", .dataCentre = "", .onEvent = nullptr});
    std::vector<CrashReport> published;
    CrashTracker tracker({.events = &events, .publish = [&published](const CrashReport &report) { published.push_back(report); }});
    const MonotonicTime now {std::chrono::seconds(1000)};
    tracker.runStarted("running", 1, "engine-1", false);
    tracker.requestReceived("running");
    tracker.runStarted("refused", 2, "engine-1", false);
    tracker.targetCrashed("engine-1", 1, now);
    ASSERT_EQ(published.size(), 1);
    EXPECT_EQ(published[0].fingerprints, std::vector<uint64_t> {1});
    EXPECT_EQ(tracker.verdict(1, now).action, CrashVerdict::Action::RunIsolated);
    EXPECT_EQ(tracker.verdict(2, now).action, CrashVerdict::Action::Run);
}

// Guards against suspects of one gateway that meet on the same target, which would hide which of them causes the crashes.
TEST(CrashTracker, NamesTheTargetsOfSuspects)
{
    EventLog events({.process = "test", .dataCentre = "", .onEvent = nullptr});
    CrashTracker tracker({.events = &events, .publish = nullptr});
    tracker.runStarted("a", 1, "engine-1", true);
    tracker.runStarted("b", 2, "engine-2", false);
    EXPECT_EQ(tracker.targetsOfSuspects(), std::set<std::string> {"engine-1"});
    tracker.runEnded("a");
    EXPECT_TRUE(tracker.targetsOfSuspects().empty());
}

} // namespace Jujube
