#include <SimulatedCluster.h>

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;
using Node = SimulatedCluster::Node;

size_t countEvents(const Node &node, MembershipChange change)
{
    return static_cast<size_t>(std::count_if(node.events.begin(), node.events.end(), [change](const auto &event) { return event.change == change; }));
}

size_t countEvents(SimulatedCluster &cluster, MembershipChange change)
{
    size_t count = 0;
    for (size_t i = 0; i < cluster.size(); ++i) {
        count += countEvents(cluster.node(i), change);
    }
    return count;
}

MemberState stateSeen(const SimulatedCluster &cluster, const Node &by, const Node &of)
{
    const auto member = cluster.seen(by, of.identity.name);
    return member ? member->state : MemberState::Gone;
}

} // namespace

// Guards against datagrams that grow with the membership, against members that stay unknown, and against false suspicions at five percent packet loss.
TEST(MembershipView, FindsAllMembersAndLosesNoneDespitePacketLoss)
{
    SimulatedCluster cluster(1);
    std::mt19937_64 random(2);
    cluster.drops = [&random](const Node &, const Node &) { return random() % 100 < 5; };
    cluster.addFleet(48);
    cluster.run(60s);
    for (size_t i = 0; i < cluster.size(); ++i) {
        EXPECT_EQ(cluster.count(cluster.node(i), MemberState::Live), 47) << i;
        EXPECT_LE(cluster.node(i).largestDatagram, MaxDatagramBytes);
    }
    EXPECT_EQ(countEvents(cluster, MembershipChange::Lost), 0);
}

// Guards against callers that are still directed to a dead member.
TEST(MembershipView, AllMembersMarkADeadMemberAsGone)
{
    SimulatedCluster cluster(3);
    cluster.addFleet(16);
    cluster.run(20s);
    cluster.node(5).running = false;
    cluster.run(20s);
    for (size_t i = 0; i < cluster.size(); ++i) {
        if (i != 5) {
            EXPECT_EQ(stateSeen(cluster, cluster.node(i), cluster.node(5)), MemberState::Gone);
            EXPECT_EQ(countEvents(cluster.node(i), MembershipChange::Lost), 1);
        }
    }
}

// Guards against a process that treats all other members as silent after its own freeze, and against a view that is fresh before a heartbeat was received.
TEST(MembershipView, FrozenMemberReturnsWithoutLosingOthers)
{
    SimulatedCluster cluster(4);
    cluster.addFleet(12);
    cluster.run(20s);
    auto &frozen = cluster.node(3);
    frozen.running = false;
    cluster.run(60s);
    EXPECT_EQ(stateSeen(cluster, cluster.node(0), frozen), MemberState::Gone);
    frozen.view->round(cluster.now(), {}, *std::make_unique<std::mt19937_64>(1));
    EXPECT_FALSE(frozen.view->reachability(cluster.now()).fresh);
    frozen.running = true;
    cluster.run(15s);
    EXPECT_TRUE(frozen.view->reachability(cluster.now()).fresh);
    EXPECT_EQ(countEvents(frozen, MembershipChange::Lost), 0);
    EXPECT_EQ(cluster.count(frozen, MemberState::Live), 11);
    EXPECT_EQ(stateSeen(cluster, cluster.node(0), frozen), MemberState::Live);
}

// Guards against a member that is declared lost because one link loses all datagrams in one direction.
TEST(MembershipView, OneWayPacketLossLosesNoMember)
{
    SimulatedCluster cluster(5);
    // With this many members, the ages in digests alone are too old to keep a watcher from reporting missing heartbeats.
    cluster.addFleet(80);
    cluster.run(30s);
    const auto isInUnreachedDataCentre = [](const Node &node) { return node.identity.dataCentre == "dc-1"; };
    cluster.drops = [&cluster, isInUnreachedDataCentre](const Node &from, const Node &to) { return &from == &cluster.node(1) && isInUnreachedDataCentre(to); };
    cluster.run(40s);
    EXPECT_EQ(countEvents(cluster, MembershipChange::Lost), 0);
    EXPECT_EQ(stateSeen(cluster, cluster.node(9), cluster.node(1)), MemberState::Live);
}

// Guards against former watchers that report missing heartbeats after new members have replaced them as watchers.
TEST(MembershipView, NewMembersCauseNoSuspicionOfOthers)
{
    SimulatedCluster cluster(13);
    for (int i = 0; i < 48; ++i) {
        cluster.add("old-" + std::to_string(i), "dc", "region");
    }
    cluster.run(30s);
    for (int i = 0; i < 48; ++i) {
        cluster.add("new-" + std::to_string(i), "dc", "region");
    }
    size_t suspicions = 0;
    for (int second = 0; second < 20; ++second) {
        cluster.run(1s);
        for (const auto &member : cluster.node(0).view->members(cluster.now())) {
            suspicions += member.identity.name.starts_with("old-") && member.state != MemberState::Live ? 1 : 0;
        }
    }
    EXPECT_EQ(suspicions, 0);
}

// Guards against a minority that removes the members of the other side and then considers itself a majority, and against sides that do not find each other
// again.
TEST(MembershipView, RegionsPartitionedForMinutesStillCountEachOther)
{
    SimulatedCluster cluster(6);
    cluster.addFleet(24);
    cluster.run(20s);
    const auto isInSeparatedRegion = [](const Node &node) { return node.identity.region == "region-2"; };
    cluster.drops = [isInSeparatedRegion](const Node &from, const Node &to) { return isInSeparatedRegion(from) != isInSeparatedRegion(to); };
    cluster.run(15s);
    const auto minority = cluster.node(2).view->reachability(cluster.now());
    EXPECT_EQ(minority.reachable, 6);
    EXPECT_EQ(minority.known, 24);
    EXPECT_EQ(cluster.node(0).view->reachability(cluster.now()).reachable, 18);
    cluster.run(5min);
    EXPECT_EQ(cluster.node(2).view->reachability(cluster.now()).known, 24);
    cluster.drops = [](const Node &, const Node &) { return false; };
    cluster.run(30s);
    for (size_t i = 0; i < cluster.size(); ++i) {
        EXPECT_EQ(cluster.node(i).view->reachability(cluster.now()).reachable, 24) << i;
    }
}

// Guards against state that accumulates, or members that stay unknown, while every node is replaced under its old name.
TEST(MembershipView, AllMembersAreReplacedOneAfterTheOther)
{
    SimulatedCluster cluster(7);
    cluster.addFleet(10);
    cluster.run(20s);
    for (size_t i = 0; i < 10; ++i) {
        cluster.node(i).running = false;
        cluster.run(10s);
        const auto old = cluster.node(i).identity;
        cluster.add(old.name, old.dataCentre, old.region, old.incarnation + 1);
        // The first node's address was the seed of all others.
        cluster.node(cluster.size() - 1).view->applyVmList({{.identity = cluster.node(i + 1).identity}}, cluster.now());
        cluster.run(20s);
    }
    cluster.run(20s);
    for (size_t i = 10; i < 20; ++i) {
        EXPECT_EQ(cluster.count(cluster.node(i), MemberState::Live), 9) << i;
        EXPECT_EQ(cluster.node(i).view->table().size(), 9) << i;
    }
}

// Guards against an old process that continues after it was replaced and is accepted as the member, or is not notified that it should stop.
TEST(MembershipView, OldIncarnationIsIgnoredAndNotified)
{
    SimulatedCluster cluster(8);
    cluster.addFleet(6);
    cluster.run(15s);
    auto &old = cluster.node(4);
    old.running = false;
    auto &successor = cluster.add(old.identity.name, old.identity.dataCentre, old.identity.region, 2);
    cluster.run(15s);
    old.running = true;
    cluster.run(15s);
    const auto seen = cluster.seen(cluster.node(0), old.identity.name);
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen->identity.incarnation, 2);
    EXPECT_EQ(seen->state, MemberState::Live);
    EXPECT_EQ(countEvents(old, MembershipChange::Replaced), 1);
    EXPECT_EQ(countEvents(successor, MembershipChange::Replaced), 0);
    EXPECT_EQ(cluster.node(0).view->holderState(old.identity), HolderState::Replaced);
    EXPECT_EQ(cluster.node(0).view->holderState(successor.identity), HolderState::Present);
}

// Guards against a dead process that stays live for a while after a successor of another name has started at its address, and against two live members that
// share an address by mistake and keep marking each other as gone.
TEST(MembershipView, SuccessorAtTheSameAddressReplacesOnce)
{
    MembershipView view({.self = {.name = "self"}, .seeds = {}, .tuning = {}});
    const MonotonicTime now {std::chrono::hours(1)};
    const auto receiveHeartbeat = [&view, now](const std::string &name, int64_t incarnation, int64_t sequence) {
        Wire::Heartbeat heartbeat;
        heartbeat.sender.name = name;
        heartbeat.sender.address = "10.0.0.1:8443";
        heartbeat.sender.incarnation = incarnation;
        heartbeat.sequence = sequence;
        view.receive(heartbeat, "10.0.0.1:7946", now, {});
    };
    const auto countGone = [&view, now] {
        const auto members = view.members(now);
        return std::count_if(members.begin(), members.end(), [](const Member &member) { return member.state == MemberState::Gone; });
    };
    receiveHeartbeat("old", 1, 1);
    receiveHeartbeat("new", 2, 1);
    EXPECT_EQ(countGone(), 1);
    receiveHeartbeat("newest", 3, 1);
    EXPECT_EQ(countGone(), 2);
    receiveHeartbeat("old", 1, 2);
    receiveHeartbeat("new", 2, 2);
    EXPECT_EQ(countGone(), 0);
}

// Guards against the effects of a late or wrong VM list: missing members, wrong incarnations, and a leaving member that is listed as live again.
TEST(MembershipView, WrongVmListDoesNotReplaceLiveMembers)
{
    SimulatedCluster cluster(9);
    cluster.addFleet(4);
    auto &first = cluster.node(0);
    auto wrong = cluster.node(1).identity;
    wrong.incarnation = 99;
    first.view->applyVmList({{.identity = wrong}}, cluster.now());
    cluster.run(20s);
    EXPECT_EQ(cluster.count(first, MemberState::Live), 3);
    first.view->applyVmList({}, cluster.now());
    first.view->applyVmList({{.identity = wrong}}, cluster.now());
    EXPECT_EQ(cluster.count(first, MemberState::Live), 3);
    cluster.run(90s);
    EXPECT_EQ(cluster.count(first, MemberState::Live), 3);
    const auto leaving = cluster.node(2).identity;
    first.view->applyVmList({{.identity = leaving, .leaving = true}}, cluster.now());
    first.view->applyVmList({{.identity = leaving, .leaving = false}}, cluster.now());
    cluster.run(10s);
    EXPECT_EQ(stateSeen(cluster, first, cluster.node(2)), MemberState::Leaving);
    EXPECT_EQ(stateSeen(cluster, cluster.node(3), cluster.node(2)), MemberState::Leaving);
    cluster.add(leaving.name, leaving.dataCentre, leaving.region, 2);
    cluster.node(2).running = false;
    cluster.run(15s);
    EXPECT_EQ(stateSeen(cluster, cluster.node(3), cluster.node(2)), MemberState::Live);
}

// Guards against permits that are taken from a holder that was merely never listed, and against permits that are kept for a VM that will not return.
TEST(MembershipView, HolderIsUnlistedOnlyAfterItWasListed)
{
    SimulatedCluster cluster(10);
    cluster.addFleet(2);
    auto &view = *cluster.node(0).view;
    const MemberIdentity holder {.name = "vm-9", .address = "10.0.0.9:8443", .incarnation = 1};
    EXPECT_EQ(view.holderState(holder), HolderState::Unknown);
    view.applyVmList({{.identity = holder}}, cluster.now());
    EXPECT_EQ(view.holderState(holder), HolderState::Present);
    view.applyVmList({}, cluster.now());
    EXPECT_EQ(view.holderState(holder), HolderState::Unlisted);
}

// Guards against a confirmation of another version being counted for the own version, and against ages that start from zero when they are passed on.
TEST(MembershipView, ConfirmationSpreadsOnlyBetweenEqualVersions)
{
    SimulatedCluster cluster(11);
    cluster.addFleet(3);
    const auto confirmedAt = cluster.now();
    cluster.node(0).view->setOwnState({.documentVersion = 4, .confirmedAt = confirmedAt, .platformAt = confirmedAt});
    cluster.node(1).view->setOwnState({.documentVersion = 4});
    cluster.node(2).view->setOwnState({.documentVersion = 3});
    cluster.run(10s);
    ASSERT_TRUE(cluster.node(1).view->confirmedAt());
    EXPECT_GE(cluster.node(1).view->confirmedAt(), confirmedAt);
    EXPECT_LT(*cluster.node(1).view->confirmedAt() - confirmedAt, 2s);
    EXPECT_FALSE(cluster.node(2).view->confirmedAt());
    EXPECT_GE(cluster.node(2).view->reachability(cluster.now()).platformAge, 8s);
    EXPECT_GT(countEvents(cluster.node(2), MembershipChange::DocumentOffered), 0);
    EXPECT_EQ(countEvents(cluster.node(1), MembershipChange::DocumentOffered), 0);
}

// Guards against crash reports that do not reach all members or that grow without bound.
TEST(MembershipView, CrashReportsReachAllMembersInBoundedMemory)
{
    SimulatedCluster cluster(12);
    cluster.addFleet(8);
    cluster.run(10s);
    for (int64_t crash = 1; crash <= 3; ++crash) {
        cluster.node(0).view->reportCrash({.crash = crash, .fingerprints = {7, 8}, .at = cluster.now()}, cluster.now());
    }
    cluster.run(20s);
    cluster.node(1).view->reportCrash({.crash = 2, .fingerprints = {9}, .at = cluster.now()}, cluster.now());
    cluster.run(20s);
    for (size_t i = 0; i < cluster.size(); ++i) {
        const auto reports = cluster.node(i).view->crashReports();
        ASSERT_EQ(reports.size(), 3) << i;
        EXPECT_THAT(reports[1].fingerprints, testing::UnorderedElementsAre(7, 8, 9));
    }
    CrashReportBuffer many;
    CrashReportBuffer large;
    for (uint64_t i = 0; i < 1000; ++i) {
        many.merge({.crash = static_cast<int64_t>(i), .at = cluster.now() + std::chrono::seconds(i)}, 1);
        large.merge({.crash = 1, .fingerprints = {i}, .at = cluster.now()}, 1);
    }
    EXPECT_EQ(many.reports().size(), CrashReportBuffer::MaxReports);
    EXPECT_EQ(large.reports().front().fingerprints.size(), CrashReportBuffer::MaxFingerprints);
    EXPECT_TRUE(large.reports().front().truncated);
}

} // namespace Jujube
