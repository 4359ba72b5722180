#include <gtest/gtest.h>
#include <LibRelay/NotificationScope.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <LibRelay/PeerTable.h>
#include <LibRelay/RegionLoads.h>
#include <LibRelay/StoreReaderElection.h>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

PeerHeartbeat heartbeatMessage(const std::string &node, int64_t sequence, int64_t incarnation = 1)
{
    return {.node = node, .incarnation = incarnation, .sequence = sequence, .callers = node + ":80", .peers = node + ":81", .accepting = true};
}

} // namespace

// Guards against sending callers to a dead relay.
TEST(PeerTable, SilentRelayIsNotAlive)
{
    PeerTable peers({.ownAddress = "me:81", .silenceTimeout = 1600ms}, Start);
    EXPECT_EQ(peers.handleHeartbeat(heartbeatMessage("a", 1), Start), PeerTable::Change::Joined);
    EXPECT_EQ(peers.liveRelayCount(Start + 1500ms), 2);
    EXPECT_EQ(peers.liveRelayCount(Start + 1600ms), 1);
    EXPECT_EQ(peers.expire(Start + 1600ms), std::vector<std::string> {"a"});
    EXPECT_TRUE(peers.expire(Start + 1700ms).empty());
}

// Guards against a heartbeat of an earlier process, or an overtaken one, that replaces a newer one.
TEST(PeerTable, OlderHeartbeatsAreIgnored)
{
    PeerTable peers({.ownAddress = "me:81"}, Start);
    peers.handleHeartbeat(heartbeatMessage("a", 5, 2), Start);
    EXPECT_EQ(peers.handleHeartbeat(heartbeatMessage("a", 4, 2), Start), PeerTable::Change::Stale);
    EXPECT_EQ(peers.handleHeartbeat(heartbeatMessage("a", 9, 1), Start), PeerTable::Change::Stale);
    EXPECT_EQ(peers.handleHeartbeat(heartbeatMessage("a", 1, 3), Start), PeerTable::Change::None);
}

// Guards against relays that never discover each other because a seed was down, and against heartbeats to dead addresses at the full rate.
TEST(PeerTable, AddressesSpreadAndDeadOnesAreProbedRarely)
{
    PeerTable peers({.ownAddress = "me:81", .probeInterval = 2000ms}, Start);
    peers.addAddress("seed:81", Start);
    auto first = heartbeatMessage("a", 1);
    first.known = {"b:81", "me:81"};
    peers.handleHeartbeat(first, Start);
    auto recipients = peers.recipients(PeerTable::RecipientScope::OutsideRegion, Start);
    std::sort(recipients.begin(), recipients.end());
    EXPECT_EQ(recipients, (std::vector<std::string> {"a:81", "b:81", "seed:81"}));
    EXPECT_EQ(peers.recipients(PeerTable::RecipientScope::OutsideRegion, Start + 200ms), std::vector<std::string> {"a:81"});
}

// Guards against relays that lost each other and do not join again while datagrams that are no heartbeats take the place of those to silent addresses.
TEST(PeerTable, SilentAddressesGetHeartbeatsOnly)
{
    PeerTable peers({.ownAddress = "me:81"}, Start);
    peers.handleHeartbeat(heartbeatMessage("a", 1), Start);
    EXPECT_EQ(peers.recipients(PeerTable::RecipientScope::LiveOutsideRegion, Start), std::vector<std::string> {"a:81"});
    const auto later = Start + 10s;
    peers.expire(later);
    EXPECT_TRUE(peers.recipients(PeerTable::RecipientScope::LiveOutsideRegion, later).empty());
    EXPECT_EQ(peers.recipients(PeerTable::RecipientScope::OutsideRegion, later), std::vector<std::string> {"a:81"});
}

// Guards against large fleets in which most relays never discover each other because heartbeats name the same few addresses again and again.
TEST(PeerTable, AllRelaysDiscoverEachOtherThroughFewSeeds)
{
    constexpr int Relays = 77;
    std::vector<PeerTable> tables;
    const auto address = [](int index) { return "n" + std::to_string(index) + ":81"; };
    for (int index = 0; index < Relays; ++index) {
        tables.emplace_back(PeerTable::Options {.ownAddress = address(index)}, Start);
        for (int seed = 0; seed < 3; ++seed) {
            tables.back().addAddress(address(seed), Start);
        }
    }
    std::mt19937 random(1);
    int64_t sequence = 0;
    auto now = Start;
    for (int round = 0; round < 20; ++round, now += 400ms) {
        ++sequence;
        for (int sender = 0; sender < Relays; ++sender) {
            auto heartbeat = heartbeatMessage("n" + std::to_string(sender), sequence);
            heartbeat.peers = address(sender);
            heartbeat.known = tables[static_cast<size_t>(sender)].knownAddresses(2, now, random());
            for (const auto &recipient : tables[static_cast<size_t>(sender)].recipients(PeerTable::RecipientScope::OutsideRegion, now)) {
                const auto index = static_cast<size_t>(std::stoi(recipient.substr(1)));
                tables[index].handleHeartbeat(heartbeat, now);
            }
        }
    }
    for (const auto &table : tables) {
        EXPECT_EQ(table.liveRelayCount(now - 400ms), Relays);
    }
}

// Guards against heartbeats that change on encoding and decoding.
TEST(PeerHeartbeatCodec, RoundTrip)
{
    auto sent = heartbeatMessage("a", 7);
    sent.documentTableVersion = 90;
    sent.documentEra = 3;
    sent.targetsEra = 2;
    sent.targetsDigest = 0xfedcba9876543210ULL;
    sent.targetsVersion = 91;
    sent.reading = true;
    sent.loads = {{.target = "t", .running = 3, .memory = 9000, .prefill = 3000, .movable = 6000}};
    sent.targets
        = {{.id = "t", .incarnation = 5, .service = "s", .address = "x:1", .dataCentre = "d", .slots = 4, .leaving = true, .sequence = 6, .version = 8}};
    sent.crashes = {{.target = "t", .incarnation = 5, .age = 30ms, .members = {1, 2}, .running = 2}};
    const auto received = decodePeerHeartbeat(encodePeerHeartbeat(sent));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->documentTableVersion, 90);
    EXPECT_EQ(received->documentEra, 3);
    EXPECT_EQ(received->targetsEra, 2);
    EXPECT_EQ(received->targetsDigest, sent.targetsDigest);
    EXPECT_TRUE(received->reading);
    ASSERT_EQ(received->loads.size(), 1U);
    EXPECT_EQ(received->loads[0].movable, 6000);
    ASSERT_EQ(received->targets.size(), 1U);
    EXPECT_EQ(received->targets[0].version, 8);
    EXPECT_EQ(received->targets[0].sequence, 6);
    EXPECT_TRUE(received->targets[0].leaving);
    ASSERT_EQ(received->crashes.size(), 1U);
    EXPECT_EQ(received->crashes[0].members, (std::vector<uint64_t> {1, 2}));
}

// Guards against datagrams that do not fit a packet, and against dropping leaving targets before loads.
TEST(PeerHeartbeatCodec, FitsADatagram)
{
    auto large = heartbeatMessage("a", 1);
    large.targets = {{.id = "leaving", .leaving = true}};
    for (int index = 0; index < 300; ++index) {
        large.loads.push_back({.target = "target-" + std::to_string(index), .running = index});
    }
    const auto datagram = encodePeerHeartbeat(large);
    EXPECT_LE(datagram.size(), MaxPeerDatagramBytes);
    const auto received = decodePeerHeartbeat(datagram);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->targets.size(), 1U);
    ASSERT_FALSE(received->loads.empty());
    EXPECT_EQ(received->loads[0].running, 299);
}

// Guards against heartbeats that drop more than necessary, or drop entries of a more important list first.
TEST(PeerHeartbeatCodec, DropsAsLittleAsPossible)
{
    auto large = heartbeatMessage("a", 1);
    large.known = {"b:81", "c:81"};
    for (int index = 0; index < 40; ++index) {
        large.loads.push_back({.target = "target-" + std::to_string(index), .running = 40 - index});
        large.targets.push_back({.id = "new-" + std::to_string(index), .service = "s", .address = "10.0.0.1:80"});
    }
    for (size_t bytes = 200; bytes < 4000; bytes += 50) {
        const auto received = decodePeerHeartbeat(encodePeerHeartbeat(large, bytes));
        ASSERT_TRUE(received);
        auto next = large;
        next.known = received->known;
        next.loads.resize(received->loads.size());
        next.targets.resize(received->targets.size());
        EXPECT_LE(encodePeerHeartbeat(next, 100000).size(), bytes);
        if (received->targets.size() < large.targets.size()) {
            EXPECT_TRUE(received->loads.empty());
            next.targets.push_back(large.targets[next.targets.size()]);
        } else if (received->loads.size() < large.loads.size()) {
            EXPECT_TRUE(received->known.empty());
            next.loads.push_back(large.loads[next.loads.size()]);
        } else {
            continue;
        }
        EXPECT_GT(encodePeerHeartbeat(next, 100000).size(), bytes);
    }
}

// Guards against damaged datagrams that crash a relay or allocate without bound.
TEST(PeerHeartbeatCodec, DamagedDatagramsDoNotCrashTheDecoder)
{
    const auto datagram = encodePeerHeartbeat(heartbeatMessage("a", 1));
    for (unsigned seed = 0; seed < 10000; ++seed) {
        std::mt19937 random(seed);
        auto damaged = datagram.substr(0, 1 + random() % datagram.size());
        for (int count = 0; count < 3; ++count) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        decodePeerHeartbeat(damaged);
    }
    EXPECT_FALSE(decodePeerHeartbeat(""));
    EXPECT_FALSE(decodePeerHeartbeat("R2abc"));
}

namespace
{

// Relays that see each other's choice in the next round, except across a network partition.
struct Fleet {
    explicit Fleet(int size)
    {
        for (int index = 0; index < size; ++index) {
            names.push_back("n" + std::to_string(100 + index));
            elections.emplace_back(StoreReaderElection::Options {.node = names.back()});
        }
        reading.assign(names.size(), false);
        partition.assign(names.size(), 0);
        dead.assign(names.size(), false);
    }

    void run(std::chrono::milliseconds time)
    {
        const auto end = now + time;
        for (; now < end; now += 50ms) {
            const auto heard = reading;
            for (size_t own = 0; own < names.size(); ++own) {
                std::vector<std::string> readers;
                int live = 0;
                for (size_t peer = 0; peer < names.size(); ++peer) {
                    const bool isReachable = !dead[peer] && partition[peer] == partition[own];
                    live += isReachable ? 1 : 0;
                    if (peer != own && isReachable && heard[peer]) {
                        readers.push_back(names[peer]);
                    }
                }
                reading[own] = !dead[own] && elections[own].decide(readers, live, now, random());
            }
        }
    }

    int readerCountOn(int which) const
    {
        int count = 0;
        for (size_t index = 0; index < names.size(); ++index) {
            count += reading[index] && partition[index] == which ? 1 : 0;
        }
        return count;
    }

    std::vector<std::string> names;
    std::vector<StoreReaderElection> elections;
    std::vector<bool> reading;
    std::vector<int> partition;
    std::vector<bool> dead;
    MonotonicTime now = Start;
    std::mt19937 random {1};
};

} // namespace

// Guards against a store that is read by every relay, or by none.
TEST(StoreReaderElection, ElectsFewReaders)
{
    for (const int size : {1, 2, 3, 7, 77}) {
        Fleet fleet(size);
        fleet.run(5s);
        EXPECT_EQ(fleet.readerCountOn(0), std::min(2, size)) << size;
    }
}

// Guards against relays that get no more changes after the readers have died or were disconnected.
TEST(StoreReaderElection, ReplacesLostReaders)
{
    Fleet fleet(7);
    fleet.run(3s);
    for (size_t index = 0; index < fleet.names.size(); ++index) {
        fleet.dead[index] = fleet.reading[index];
    }
    fleet.run(3s);
    EXPECT_EQ(fleet.readerCountOn(0), 2);
    for (size_t index = 0; index < fleet.names.size(); ++index) {
        fleet.partition[index] = fleet.reading[index] ? 0 : 1;
    }
    fleet.run(3s);
    EXPECT_EQ(fleet.readerCountOn(1), 2);
    fleet.partition.assign(fleet.names.size(), 0);
    fleet.run(3s);
    EXPECT_EQ(fleet.readerCountOn(0), 2);
}

// Guards against heartbeats to the wrong part of the fleet: both recipient scopes together contain every live relay once.
TEST(PeerTable, RecipientsAreSplitByRegion)
{
    PeerTable peers({.ownAddress = "me:81", .region = "punjab", .regions = {{"lahore", "punjab"}, {"karachi", "sindh"}}}, Start);
    for (const auto &[node, dataCentre] : {std::pair("near", "lahore"), std::pair("far", "karachi")}) {
        auto heartbeat = heartbeatMessage(node, 1);
        heartbeat.dataCentre = dataCentre;
        peers.handleHeartbeat(heartbeat, Start);
    }
    EXPECT_EQ(peers.recipients(PeerTable::RecipientScope::Region, Start), std::vector<std::string> {"near:81"});
    EXPECT_EQ(peers.recipients(PeerTable::RecipientScope::OutsideRegion, Start), std::vector<std::string> {"far:81"});
    ASSERT_EQ(peers.livePeersInRegion(Start).size(), 1U);
    EXPECT_EQ(peers.livePeersInRegion(Start)[0]->latestHeartbeat.node, "near");
}

// Guards against a region without a representative after the former one is gone, or with two: the first live relay of the region by name is the representative.
TEST(PeerTable, EachRegionHasOneRepresentative)
{
    PeerTable peers({.ownAddress = "me:81", .region = "punjab", .regions = {{"lahore", "punjab"}, {"karachi", "sindh"}}, .silenceTimeout = 1600ms}, Start);
    EXPECT_TRUE(peers.isRegionRepresentative("me", Start));
    auto far = heartbeatMessage("a", 1);
    far.dataCentre = "karachi";
    peers.handleHeartbeat(far, Start);
    EXPECT_TRUE(peers.isRegionRepresentative("me", Start));
    auto near = heartbeatMessage("b", 1);
    near.dataCentre = "lahore";
    peers.handleHeartbeat(near, Start);
    EXPECT_FALSE(peers.isRegionRepresentative("me", Start));
    EXPECT_TRUE(peers.isRegionRepresentative("me", Start + 1600ms));
}

// Guards against heartbeats between regions that exceed the response traffic: 30 relays, each with a part of the load of 16 targets and a draft on one of them.
TEST(RegionLoads, OneRelayReportsSumsToOtherRegions)
{
    constexpr int Relays = 30;
    constexpr int Targets = 16;
    std::vector<TargetLoad> own;
    own.reserve(Targets);
    for (int index = 0; index < Targets; ++index) {
        own.push_back({.target = "t" + std::to_string(index), .running = 1, .memory = 4000, .prefill = 100, .movable = index == 0 ? 3000 : 0});
    }
    const auto withoutRegionLoads = loadsForOtherRegions(own, std::nullopt);
    ASSERT_EQ(withoutRegionLoads.size(), 1U);
    EXPECT_EQ(withoutRegionLoads[0].target, "t0");
    EXPECT_EQ(withoutRegionLoads[0].movable, 3000);
    EXPECT_EQ(withoutRegionLoads[0].memory, 0);
    const auto regionSums = loadsForOtherRegions(own, std::vector<std::vector<TargetLoad>>(Relays - 1, own));
    ASSERT_EQ(regionSums.size(), static_cast<size_t>(Targets));
    for (const auto &load : regionSums) {
        EXPECT_EQ(load.memory, int64_t(4000) * Relays);
        // What other relays have to copy is reported by themselves.
        EXPECT_EQ(load.movable, load.target == "t0" ? 3000 : 0);
    }
    // Bytes that all relays of the region send to another one in a round, compared with complete heartbeats.
    const auto bytes = [&](const std::vector<TargetLoad> &loads) {
        auto heartbeat = heartbeatMessage("edge-lahore-a-1", 1);
        heartbeat.loads = loads;
        return encodePeerHeartbeat(heartbeat).size();
    };
    EXPECT_LT(bytes(withoutRegionLoads) * (Relays - 1) + bytes(regionSums), bytes(own) * Relays / 3);
}

// Guards against relays that at once forward to all others what all of them have already received: with 30 relays in a region and 20 new targets that took
// 18,000 heartbeats.
TEST(NotificationScope, ChangesFromPeersAreNotForwardedAtOnce)
{
    EXPECT_EQ(notificationScopeForTarget(true, false, false), NotificationScope::None);
    EXPECT_EQ(notificationScopeForTarget(true, true, false), NotificationScope::None);
    EXPECT_EQ(notificationScopeForTarget(false, false, false), NotificationScope::All);
    // Other relays wait for this relay's turn to copy.
    EXPECT_EQ(notificationScopeForTarget(true, true, true), NotificationScope::All);
}

// Guards against a disconnected relay that takes its peers' shares of cold targets as its own.
TEST(PeerTable, SilentRelaysKeepTheirShareOfColdTargets)
{
    PeerTable peers({.ownAddress = "me:81", .ownName = "me"}, Start);
    EXPECT_FALSE(peers.coldRateParticipants(Start).hasDiscoveredPeers);
    peers.handleHeartbeat(heartbeatMessage("a", 1), Start);
    peers.handleHeartbeat(heartbeatMessage("b", 1), Start);
    peers.expire(Start + 10s);
    EXPECT_EQ(peers.liveRelayCount(Start + 10s), 1);
    EXPECT_EQ(peers.coldRateParticipants(Start + 10s).others.size(), 2U);
    EXPECT_TRUE(peers.coldRateParticipants(Start + 10s).hasDiscoveredPeers);
    peers.expire(Start + 40s);
    EXPECT_TRUE(peers.coldRateParticipants(Start + 40s).others.empty());
}

// Guards against relays that count as dead between two heartbeats, and against relays that count as alive for long after their end. In a fleet of 195 relays,
// heartbeats to other regions are far apart.
TEST(PeerTable, AnnouncedHeartbeatIntervalExtendsSilenceTimeout)
{
    PeerTable peers({.ownAddress = "me:81", .silenceTimeout = 2500ms}, Start);
    auto rare = heartbeatMessage("seldom", 1);
    rare.heartbeatInterval = 2400ms;
    auto never = heartbeatMessage("never", 1);
    never.heartbeatInterval = 100s;
    peers.handleHeartbeat(rare, Start);
    peers.handleHeartbeat(never, Start);
    peers.handleHeartbeat(heartbeatMessage("often", 1), Start);
    EXPECT_EQ(peers.expire(Start + 2600ms), std::vector<std::string> {"often"});
    EXPECT_EQ(peers.livePeers(Start + 5900ms).size(), 2U);
    EXPECT_EQ(peers.livePeers(Start + 6100ms).size(), 0U);
}

// Guards against messages with loads only that replace other data of a relay, or mark a dead one as alive.
TEST(PeerTable, MessagesWithLoadsOnlyChangeNothingElse)
{
    PeerTable peers({.ownAddress = "me:81"}, Start);
    const PeerHeartbeat loads {.node = "a", .incarnation = 1, .sequence = 2, .peers = "a:81", .onlyLoads = true};
    EXPECT_EQ(peers.handleHeartbeat(loads, Start), PeerTable::Change::Stale);
    peers.handleHeartbeat(heartbeatMessage("a", 1), Start);
    EXPECT_EQ(peers.handleHeartbeat(loads, Start + 1s), PeerTable::Change::None);
    ASSERT_EQ(peers.livePeers(Start + 3s).size(), 1U);
    EXPECT_FALSE(peers.livePeers(Start + 3s)[0]->latestHeartbeat.callers.empty());
    EXPECT_EQ(peers.handleHeartbeat(heartbeatMessage("a", 1), Start + 1s), PeerTable::Change::Stale);
    peers.expire(Start + 10s);
    auto late = loads;
    late.sequence = 3;
    peers.handleHeartbeat(late, Start + 10s);
    EXPECT_TRUE(peers.livePeers(Start + 10s).empty());
}

// Guards against each of some hundred relays repeating in each heartbeat what the relays that read the list send to all others. A sixth of the engines leaves
// every three seconds, and others are added.
TEST(TargetTable, ChangesFromPeersAreNotRepeated)
{
    TargetTable targets({});
    TargetEntry entry {.id = "t", .incarnation = 1, .service = "s", .address = "10.0.0.1:80", .version = 1};
    targets.set(entry, Start, TargetTable::Source::Peer);
    EXPECT_TRUE(targets.recentChanges(1s, Start).empty());
    entry.leaving = true;
    entry.version = 2;
    EXPECT_TRUE(targets.set(entry, Start, TargetTable::Source::Peer));
    EXPECT_TRUE(targets.recentChanges(1s, Start).empty());
    EXPECT_FALSE(targets.isUsable(*targets.find("t"), Start));
    EXPECT_FALSE(targets.recordLeaving("t", 1, Start + 2s));
    EXPECT_EQ(targets.recentChanges(1s, Start + 2s).size(), 1U);
}

// Guards against limits, and numbers of relays, that are lost or changed on the way to a peer.
TEST(PeerHeartbeatCodec, RequestLimitsArriveAsTheyWereSent)
{
    auto heartbeat = heartbeatMessage("a", 1);
    heartbeat.requestLimits = {{.target = "t", .incarnation = 7, .limit = 5.25, .age = 1200ms}, {.target = "u", .incarnation = 8, .age = 30ms}};
    heartbeat.knownRelays = 195;
    const auto received = decodePeerHeartbeat(encodePeerHeartbeat(heartbeat));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->knownRelays, 195);
    ASSERT_EQ(received->requestLimits.size(), 2U);
    EXPECT_EQ(received->requestLimits[0].target, "t");
    EXPECT_EQ(received->requestLimits[0].incarnation, 7);
    EXPECT_EQ(received->requestLimits[0].limit, 5.25);
    EXPECT_EQ(received->requestLimits[0].age, 1200ms);
    EXPECT_EQ(received->requestLimits[0].peer, "a");
    EXPECT_FALSE(received->requestLimits[1].limit);
}

// Guards against relays that send the parts of a crash to different ones to judge it, or to none in their region.
TEST(PeerTable, RelaysAgreeOnWhoJudgesCrashes)
{
    const std::map<std::string, std::string> regions {{"lahore-a", "lahore"}, {"karachi-a", "karachi"}, {"islamabad-a", "islamabad"}};
    const std::vector<std::string> dataCentres {"lahore-a", "karachi-a", "islamabad-a"};
    constexpr size_t Relays = 30;
    const MonotonicTime now {1h};
    const auto heartbeatOf = [&](size_t index) {
        return PeerHeartbeat {.node = "n" + std::to_string(index),
                              .incarnation = 1,
                              .sequence = 1,
                              .peers = "10.0.0." + std::to_string(index + 1) + ":1",
                              .dataCentre = dataCentres[index % dataCentres.size()],
                              .accepting = true,
                              .heartbeatInterval = 200ms};
    };
    std::set<std::vector<std::string>> choices;
    for (size_t own = 0; own < Relays; ++own) {
        const auto self = heartbeatOf(own);
        PeerTable table({.ownAddress = self.peers, .ownName = self.node, .region = regions.at(self.dataCentre), .regions = regions}, now);
        for (size_t index = 0; index < Relays; ++index) {
            if (index != own) {
                table.handleHeartbeat(heartbeatOf(index), now);
            }
        }
        choices.insert(table.crashJudges(now));
    }
    ASSERT_EQ(choices.size(), 1U);
    std::set<size_t> judgedRegions;
    for (const auto &address : *choices.begin()) {
        judgedRegions.insert((std::stoul(address.substr(7)) - 1) % dataCentres.size());
    }
    EXPECT_EQ(choices.begin()->size(), 3U);
    EXPECT_EQ(judgedRegions.size(), 3U);
}
