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

// Guards against datagrams that grow with the membership, against members that stay unknown, and against wrong reports of silence at five percent losses.
TEST(MembershipView, FindsAllMembersAndLosesNoneWithLosses)
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

// Guards against a dead member that callers are still sent to.
TEST(MembershipView, SeesADeadMemberGoneEverywhere)
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

// Guards against a process that wakes and takes its own silence for everybody else's, and against a view that passes for fresh before anything was heard.
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

// Guards against a member that is declared lost because one link carries nothing in one direction.
TEST(MembershipView, OneWayLossLosesNobody)
{
    SimulatedCluster cluster(5);
    // With this many members, relayed ages alone are too old to keep a watcher from reporting a silence.
    cluster.addFleet(80);
    cluster.run(30s);
    const auto isDeaf = [](const Node &node) { return node.identity.dataCentre == "dc-1"; };
    cluster.drops = [&cluster, isDeaf](const Node &from, const Node &to) { return &from == &cluster.node(1) && isDeaf(to); };
    cluster.run(40s);
    EXPECT_EQ(countEvents(cluster, MembershipChange::Lost), 0);
    EXPECT_EQ(stateSeen(cluster, cluster.node(9), cluster.node(1)), MemberState::Live);
}

// Guards against former watchers that report a silence when the arrival of new members gives others their place.
TEST(MembershipView, NewMembersRaiseNoSuspicionOfOthers)
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

// Guards against a minority that forgets the other side and takes itself for a majority, and against sides that do not find each other again.
TEST(MembershipView, RegionsApartForMinutesKeepCountingEachOther)
{
    SimulatedCluster cluster(6);
    cluster.addFleet(24);
    cluster.run(20s);
    const auto isApart = [](const Node &node) { return node.identity.region == "region-2"; };
    cluster.drops = [isApart](const Node &from, const Node &to) { return isApart(from) != isApart(to); };
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

// Guards against state that piles up, or members that stay unknown, while every node is replaced under its old name.
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

// Guards against an old process, woken after its replacement, that is taken for the member or does not learn that it should stop.
TEST(MembershipView, OldIncarnationIsIgnoredAndToldSo)
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

// Guards against a dead process that stays live for a while beside its successor of another name, and against two live members with one address by mistake
// that declare each other gone for ever.
TEST(MembershipView, SuccessorAtTheSameAddressReplacesOnce)
{
    MembershipView view({.self = {.name = "self"}, .seeds = {}, .tuning = {}});
    const MonotonicTime now {std::chrono::hours(1)};
    const auto hear = [&view, now](const std::string &name, int64_t incarnation, int64_t sequence) {
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
    hear("old", 1, 1);
    hear("new", 2, 1);
    EXPECT_EQ(countGone(), 1);
    hear("newest", 3, 1);
    EXPECT_EQ(countGone(), 2);
    hear("old", 1, 2);
    hear("new", 2, 2);
    EXPECT_EQ(countGone(), 0);
}

// Guards against a VM list that is late or wrong: members that it lacks, incarnations that it gets wrong, and a leaving member that it calls live again.
TEST(MembershipView, WrongVmListDoesNotDisplaceWhatIsHeard)
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

// Guards against permits that are taken from a holder which was merely never listed, and against permits of a machine that is gone for good.
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

// Guards against a confirmation of another version passing for one of the own version, and against ages that start anew at each relay.
TEST(MembershipView, ConfirmationTravelsOnlyBetweenEqualVersions)
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
    EXPECT_GT(countEvents(cluster.node(2), MembershipChange::OffersDocument), 0);
    EXPECT_EQ(countEvents(cluster.node(1), MembershipChange::OffersDocument), 0);
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
