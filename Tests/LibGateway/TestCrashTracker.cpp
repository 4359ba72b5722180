#include <LibGateway/CrashTracker.h>

#include <gtest/gtest.h>

namespace Jujube
{

// Guards against a request that becomes a crash suspect although the crashed target never received it, because the target refused the connection.
TEST(CrashTracker, SuspectsOnlyRequestsThatTheTargetReceived)
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

// Guards against two crash suspects of one gateway that run on the same target, where a crash would not show which of them caused it.
TEST(CrashTracker, ReturnsTheTargetsOfSuspects)
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
