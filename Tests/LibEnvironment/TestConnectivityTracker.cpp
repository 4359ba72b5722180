#include <gtest/gtest.h>
#include <LibEnvironment/ConnectivityTracker.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

const MonotonicTime Start {1h};

// A tracker of the gateway g0, whose peers are g1, g2 and so on.
ConnectivityTracker makeTracker(int members)
{
    ConnectivityTracker tracker({.self = "g0"});
    std::set<std::string> names;
    for (int i = 0; i < members; ++i) {
        names.insert("g" + std::to_string(i));
    }
    tracker.setMembers(names);
    return tracker;
}

void addReports(ConnectivityTracker &tracker, int first, int last, MonotonicTime now, std::optional<std::chrono::milliseconds> platformAge = std::nullopt)
{
    for (int i = first; i <= last; ++i) {
        tracker.addPeerReport({.peer = "g" + std::to_string(i), .platformAge = platformAge}, now);
    }
}

} // namespace

// Guards against new work on a gateway that has had no contact yet, and on one without any contact for 3 s.
TEST(ConnectivityTracker, IsIsolatedWithoutAnyContact)
{
    auto tracker = makeTracker(8);
    EXPECT_EQ(tracker.connectivity(Start), Connectivity::Isolated);
    tracker.platformResponded(Start);
    EXPECT_EQ(tracker.connectivity(Start + 2999ms), Connectivity::Connected);
    EXPECT_EQ(tracker.connectivity(Start + 3000ms), Connectivity::Isolated);
    EXPECT_EQ(tracker.permissions(Start + 3000ms), (ConnectivityPermissions {.newWork = false, .oneTimeCalls = false}));
}

// Guards against rejecting work only because the connection of one gateway to the platform failed.
TEST(ConnectivityTracker, UsesThePlatformThroughPeers)
{
    auto tracker = makeTracker(8);
    addReports(tracker, 1, 1, Start, 500ms);
    EXPECT_EQ(tracker.connectivity(Start + 2400ms), Connectivity::ThroughPeers);
    EXPECT_TRUE(tracker.permissions(Start + 2400ms).oneTimeCalls);
    // The peer is still in contact, but its last response of the platform is too old.
    EXPECT_EQ(tracker.connectivity(Start + 2600ms), Connectivity::Minority);
}

// Guards against a platform outage that stops all gateways, and against one-time calls whose claims cannot be written.
TEST(ConnectivityTracker, ServesWithAMajorityWhilePlatformIsDown)
{
    for (const auto &[members, needed] : std::vector<std::pair<int, int>> {{2, 1}, {3, 1}, {4, 2}, {7, 3}, {8, 4}}) {
        auto tracker = makeTracker(members);
        addReports(tracker, 1, needed, Start, 60s);
        EXPECT_EQ(tracker.connectivity(Start + 1s), Connectivity::PlatformDown) << members;
        EXPECT_EQ(tracker.permissions(Start + 1s), (ConnectivityPermissions {.newWork = true, .oneTimeCalls = false}));
        auto minority = makeTracker(members);
        addReports(minority, 1, needed - 1, Start, 60s);
        EXPECT_NE(minority.connectivity(Start + 1s), Connectivity::PlatformDown) << members;
    }
}

// Guards against a minority that keeps using an old document, and against isolation after a short loss of the majority.
TEST(ConnectivityTracker, IsIsolatedAfterTenSecondsInAMinority)
{
    auto tracker = makeTracker(8);
    addReports(tracker, 1, 7, Start);
    for (auto now = Start + 1s; now < Start + 10s; now += 1s) {
        addReports(tracker, 1, 2, now);
        EXPECT_EQ(tracker.connectivity(now), now < Start + 3s ? Connectivity::PlatformDown : Connectivity::Minority);
    }
    addReports(tracker, 1, 2, Start + 10s);
    EXPECT_EQ(tracker.connectivity(Start + 10s), Connectivity::Isolated);
    addReports(tracker, 3, 4, Start + 10s);
    EXPECT_EQ(tracker.connectivity(Start + 10s), Connectivity::PlatformDown);
}

// Guards against a process that starts new work after a freeze, before it has had new contact.
TEST(ConnectivityTracker, IsIsolatedAfterAFreeze)
{
    auto tracker = makeTracker(8);
    tracker.platformResponded(Start);
    addReports(tracker, 1, 7, Start, 0ms);
    EXPECT_EQ(tracker.connectivity(Start + 60s), Connectivity::Isolated);
    // The response to a request sent before the freeze says nothing about the time after that.
    tracker.platformResponded(Start + 1s);
    EXPECT_EQ(tracker.connectivity(Start + 60s), Connectivity::Isolated);
    tracker.platformResponded(Start + 60s);
    EXPECT_EQ(tracker.connectivity(Start + 60s), Connectivity::Connected);
}

// Guards against a majority that includes unknown gateways, and against an old report that arrives late and replaces a newer one.
TEST(ConnectivityTracker, CountsMembersOnly)
{
    auto tracker = makeTracker(4);
    addReports(tracker, 5, 9, Start);
    EXPECT_EQ(tracker.connectivity(Start), Connectivity::Isolated);
    addReports(tracker, 1, 2, Start);
    EXPECT_EQ(tracker.membersInContact(Start), 3);
    tracker.addPeerReport({.peer = "g1", .age = 20s}, Start + 1s);
    EXPECT_EQ(tracker.membersInContact(Start + 1s), 3);
}

// Guards against gateways that stop serving as soon as new members are added, with which there is no contact yet.
TEST(ConnectivityTracker, KeepsTheMajorityBeforeAChangeOfMembers)
{
    auto tracker = makeTracker(4);
    addReports(tracker, 1, 2, Start);
    tracker.setMembers({"g0", "g1", "g5", "g6"});
    EXPECT_EQ(tracker.membersInContact(Start + 1s), 2);
    EXPECT_EQ(tracker.connectivity(Start + 1s), Connectivity::PlatformDown);
    addReports(tracker, 1, 1, Start + 9s);
    EXPECT_EQ(tracker.connectivity(Start + 9s), Connectivity::Minority);
    EXPECT_EQ(tracker.connectivity(Start + 10s), Connectivity::Isolated);
}

} // namespace Jujube
