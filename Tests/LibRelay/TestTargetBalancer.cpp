#include "TargetEntries.h"

#include <gtest/gtest.h>
#include <LibPolicy/SplitMix.h>
#include <LibRelay/TargetBalancer.h>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

RelayService engineService()
{
    return {.name = "s", .engine = EngineProfile {.slots = 24, .memoryTokens = 30000, .canMigrate = true}};
}

TargetBalancer makeBalancer(double costJitter = 0)
{
    return TargetBalancer({.region = "punjab", .regions = {{"lahore", "punjab"}, {"karachi", "sindh"}}, .costJitter = costJitter});
}

std::string chosenTarget(const TargetBalancer &balancer, const TargetTable &targets, const RelayService &service, const TargetBalancer::Query &query)
{
    const auto choice = balancer.choose(query, targets, service, Start, 1);
    return choice.target ? choice.target->entry.id : "";
}

} // namespace

// Guards against one engine that processes several long prompts of different relays while others process none.
TEST(TargetBalancer, PromptsOfPeersCountAsLoad)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    targets.set(entry("b"), Start);
    auto balancer = makeBalancer();
    balancer.setPeerLoads("peer", {{.target = "a", .running = 1, .memory = 3000, .prefill = 3000}});
    EXPECT_EQ(chosenTarget(balancer, targets, engineService(), {.demand = {.service = "s", .promptTokens = 3000}}), "b");
    balancer.dropPeer("peer");
    balancer.onRunStarted("r", "b", {.service = "s", .promptTokens = 3000, .expectedTokens = 100}, Start);
    EXPECT_EQ(chosenTarget(balancer, targets, engineService(), {.demand = {.service = "s", .promptTokens = 3000}}), "a");
}

// Guards against sums of peer loads that drift while heartbeats replace each other.
TEST(TargetBalancer, PeerLoadsAreTheLatestOnes)
{
    auto balancer = makeBalancer();
    std::mt19937 random(1);
    std::map<std::string, std::vector<TargetLoad>> latest;
    for (int round = 0; round < 2000; ++round) {
        const auto peer = std::to_string(random() % 5);
        if (random() % 8 == 0) {
            balancer.dropPeer(peer);
            latest.erase(peer);
            continue;
        }
        std::vector<TargetLoad> loads;
        for (const auto *target : {"a", "b", "c"}) {
            if (random() % 2 == 0) {
                loads.push_back({.target = target, .running = static_cast<int>(random() % 4), .memory = static_cast<int64_t>(random() % 900)});
            }
        }
        balancer.setPeerLoads(peer, loads);
        latest[peer] = loads;
        for (const auto *target : {"a", "b", "c"}) {
            TargetLoad expected;
            for (const auto &[node, entries] : latest) {
                for (const auto &load : entries) {
                    if (load.target == target) {
                        expected.add(load);
                    }
                }
            }
            ASSERT_EQ(balancer.loadOf(target).running, expected.running) << round;
            ASSERT_EQ(balancer.loadOf(target).memory, expected.memory) << round;
        }
    }
}

// Guards against a placement that makes an engine run out of memory that is nearly full of generations which still grow.
TEST(TargetBalancer, NearlyFullEngineIsAvoided)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    targets.set(entry("b"), Start);
    auto balancer = makeBalancer();
    balancer.setPeerLoads("peer", {{.target = "a", .running = 7, .memory = 28000}, {.target = "b", .running = 12, .memory = 12000}});
    EXPECT_EQ(chosenTarget(balancer, targets, engineService(), {.demand = {.service = "s", .promptTokens = 3000, .expectedTokens = 1000}}), "b");
}

// Guards against requests that leave their home region.
TEST(TargetBalancer, HomeRegionsAreKept)
{
    TargetTable targets({});
    auto far = entry("far");
    far.dataCentre = "karachi";
    targets.set(far, Start);
    targets.set(entry("near"), Start);
    const auto balancer = makeBalancer();
    EXPECT_EQ(chosenTarget(balancer, targets, engineService(), {.demand = {.service = "s"}, .homeRegions = std::vector<std::string> {"sindh"}}), "far");
    EXPECT_EQ(chosenTarget(balancer, targets, engineService(), {.demand = {.service = "s"}, .homeRegions = std::vector<std::string> {"elsewhere"}}), "");
    EXPECT_EQ(chosenTarget(balancer, targets, engineService(), {.demand = {.service = "s"}, .homeRegions = std::vector<std::string> {}}), "");
}

// Guards against sending the usual share of requests to a target that fails part of them while it reports itself healthy.
TEST(TargetBalancer, FailingTargetIsAvoidedForAWhile)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    targets.set(entry("b"), Start);
    auto balancer = makeBalancer();
    balancer.onRunStarted("r", "a", {.service = "s"}, Start);
    balancer.onRunEnded("r", RunEnd::Failed, Start);
    const RelayService desk {.name = "s"};
    EXPECT_EQ(chosenTarget(balancer, targets, desk, {.demand = {.service = "s"}}), "b");
    EXPECT_LT(balancer.failureShare("a", Start + 20s), 0.01);
}

// Guards against trying a crashed target again and again while the target list is unavailable, and against never trying it again.
TEST(TargetBalancer, UnreachableTargetIsAvoidedLongerEachTime)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    targets.set(entry("b"), Start);
    auto balancer = makeBalancer();
    balancer.setPeerLoads("peer", {{.target = "b", .running = 20, .memory = 29000}});
    const TargetBalancer::Query move {.demand = {.service = "s"}, .isMigration = true};
    const auto isChosen = [&](MonotonicTime now) {
        const auto choice = balancer.choose(move, targets, engineService(), now, 1);
        return choice.target && choice.target->entry.id == "a";
    };
    balancer.markUnreachable("a", Start);
    EXPECT_FALSE(isChosen(Start + 1400ms));
    EXPECT_TRUE(isChosen(Start + 60s));
    balancer.markUnreachable("a", Start + 1600ms);
    EXPECT_FALSE(isChosen(Start + 4500ms));
    balancer.markReachable("a");
    EXPECT_TRUE(isChosen(Start + 60s));
}

// Guards against load sums that drift: after all runs have ended, no load is left.
TEST(TargetBalancer, LoadsReturnToZero)
{
    auto balancer = makeBalancer();
    std::mt19937 random(1);
    for (int round = 0; round < 1000; ++round) {
        const auto request = std::to_string(random() % 20);
        const auto target = std::string(1, static_cast<char>('a' + random() % 3));
        switch (random() % 5) {
        case 0:
            balancer.onRunStarted(request, target, {.service = "s", .promptTokens = 100, .expectedTokens = 10, .isMigratable = true}, Start);
            break;
        case 1:
            balancer.onTokensProduced(request, 4);
            break;
        case 2:
            balancer.setCopy(request, target, 500);
            break;
        case 3:
            balancer.dropCopy(request);
            break;
        default:
            balancer.onRunEnded(request, RunEnd::Finished, Start);
            break;
        }
    }
    for (int request = 0; request < 20; ++request) {
        balancer.onRunEnded(std::to_string(request), RunEnd::Finished, Start);
        balancer.dropCopy(std::to_string(request));
    }
    EXPECT_TRUE(balancer.ownLoads().empty());
}

// Guards against more requests per second than a cold target can serve when all relays return after an outage, also if each relay sees one relay less than
// there are.
TEST(ColdTargetRateLimiter, AllRelaysTogetherKeepTheLimit)
{
    constexpr double ColdPerSecond = 41;
    constexpr double Overrun = 1.5;
    constexpr double Slack = 5;
    for (const int gateways : {1, 2, 7, 8, 30}) {
        std::vector<ColdTargetRateLimiter> rates(static_cast<size_t>(gateways));
        std::vector<MonotonicTime> sends;
        for (auto now = Start; now < Start + 5s; now += 7ms) {
            for (auto &rate : rates) {
                const int share = ColdTargetRateLimiter::share(ColdPerSecond, std::max(1, gateways - 1));
                if (rate.isWithinShare("a", share, now)) {
                    rate.recordStart("a", now);
                    sends.push_back(now);
                }
            }
        }
        for (size_t first = 0, last = 0; last < sends.size(); ++last) {
            while (sends[last] - sends[first] > 1s) {
                ++first;
            }
            ASSERT_LE(static_cast<double>(last - first + 1), ColdPerSecond * Overrun + Slack) << gateways;
        }
    }
}

// Guards against a placement that examines every target of a large fleet, and against one that examines too few to balance their loads.
TEST(TargetBalancer, LargeFleetsAreSampled)
{
    constexpr int Targets = 2800;
    constexpr int Runs = 4 * Targets;
    TargetTable targets({});
    for (int number = 0; number < Targets; ++number) {
        targets.set(entry("t" + std::to_string(number)), Start);
    }
    auto balancer = makeBalancer(12);
    std::mt19937_64 random(1);
    const auto service = engineService();
    for (int number = 0; number < Runs; ++number) {
        const RunDemand demand {.service = "s", .promptTokens = 3000, .expectedTokens = 900};
        const auto choice = balancer.choose({.demand = demand}, targets, service, Start, random());
        ASSERT_NE(choice.target, nullptr);
        ASSERT_LE(choice.candidates, 64);
        balancer.onRunStarted("r" + std::to_string(number), choice.target->entry.id, demand, Start);
    }
    int most = 0;
    for (const auto &load : balancer.ownLoads()) {
        most = std::max(most, load.running);
    }
    EXPECT_LE(most, 6);
}

// Guards against rejecting a request because the few targets that it may use are not in the sample.
TEST(TargetBalancer, SampleWithoutAUsableTargetIsExtended)
{
    constexpr int Targets = 2800;
    TargetTable targets({});
    for (int number = 0; number < Targets; ++number) {
        auto other = entry("t" + std::to_string(number));
        other.dataCentre = number == 1700 ? "lahore" : "karachi";
        targets.set(other, Start);
    }
    const auto balancer = makeBalancer();
    std::mt19937_64 random(1);
    for (int number = 0; number < 20; ++number) {
        const auto choice
            = balancer.choose({.demand = {.service = "s"}, .homeRegions = std::vector<std::string> {"punjab"}}, targets, engineService(), Start, random());
        ASSERT_NE(choice.target, nullptr);
        EXPECT_EQ(choice.target->entry.id, "t1700");
    }
}

// Guards against sending work to a target that asked this relay for a cooldown, and against rejections with an earlier retry time.
TEST(TargetBalancer, TargetWithACooldownGetsNoWork)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    targets.set(entry("b"), Start);
    auto balancer = makeBalancer();
    balancer.cooldowns().record("a", 2000ms, Start);
    balancer.cooldowns().record("b", 1500ms, Start);
    EXPECT_EQ(balancer.choose({}, targets, engineService(), Start, 1).target, nullptr);
    EXPECT_EQ(balancer.choose({}, targets, engineService(), Start, 1).cooldownUntil, Start + 1500ms);
    EXPECT_EQ(balancer.choose({.isMigration = true, .source = "c"}, targets, engineService(), Start, 1).target, nullptr);
    EXPECT_EQ(balancer.choose({}, targets, engineService(), Start + 1600ms, 1).target->entry.id, "b");
    EXPECT_TRUE(balancer.cooldowns().mayContinue("a", Start));
    balancer.cooldowns().recordContinuation("a");
    EXPECT_FALSE(balancer.cooldowns().mayContinue("a", Start));
    EXPECT_TRUE(balancer.cooldowns().mayContinue("a", Start + 2100ms));
}

// Guards against a target that is never used again because of an excessive Retry-After time.
TEST(TargetCooldowns, CooldownIsBounded)
{
    TargetCooldowns cooldowns({.maxCooldown = 10s});
    cooldowns.record("a", std::chrono::hours(24), Start);
    EXPECT_EQ(cooldowns.until("a", Start), Start + 10s);
    cooldowns.record("a", 1s, Start);
    EXPECT_EQ(cooldowns.until("a", Start), Start + 10s);
    cooldowns.record("b", 0ms, Start);
    EXPECT_FALSE(cooldowns.until("b", Start));
}

// Guards against overloading a cold engine that is the cheapest for each of 400 relays, which start as many requests there as they may. Membership views
// differ: each relay has lost up to half of the others recently, some relays have just started, and some are disconnected from all others.
TEST(ColdTargetRateLimiter, LimitIsKeptInLargeFleets)
{
    constexpr double ColdPerSecond = 19;
    // The users' bound on starts within a second.
    constexpr double Bound = 1.5 * ColdPerSecond + 5;
    for (const size_t relays : {3U, 7U, 21U, 25U, 77U, 195U, 400U}) {
        std::vector<uint64_t> names;
        for (size_t index = 0; index < relays; ++index) {
            names.push_back(SplitMix(index).next());
        }
        for (unsigned seed = 0; seed < 50; ++seed) {
            std::mt19937 random(seed);
            const size_t alive = seed % 2 == 0 ? relays : 1 + random() % relays;
            const auto target = "engine-" + std::to_string(seed);
            int starts = 0;
            for (size_t self = 0; self < alive; ++self) {
                // All live relays are known; of those that are gone, only some are remembered.
                std::vector<uint64_t> others;
                for (size_t other = 0; other < relays; ++other) {
                    if (other != self && (other < alive || random() % 2 == 0)) {
                        others.push_back(names[other]);
                    }
                }
                const bool isNew = random() % 10 == 0;
                if (isNew) {
                    others.resize(random() % (others.size() + 1));
                }
                starts += ColdTargetRateLimiter::coldShare(ColdPerSecond, {.others = others, .self = names[self], .hasDiscoveredPeers = !isNew}, target);
            }
            ASSERT_LE(starts, Bound) << relays << " relays, seed " << seed;
            ASSERT_TRUE(starts > 0 || alive < relays || relays < 10) << relays << " relays, seed " << seed;
        }
    }
}

// Guards against an engine with more generations than its link can transfer within the notice of 1.5 to 2 s, although others have fewer. Requests that are not
// migrated are not affected.
TEST(TargetBalancer, GenerationsAreSpreadByTransferTime)
{
    TargetTable targets({});
    targets.set(entry("few"), Start);
    targets.set(entry("many"), Start);
    auto service = engineService();
    service.engine->memoryTokens = 90000;
    service.engine->bytesPerToken = 327680;
    service.engine->linkMbps = 47000;
    auto balancer = makeBalancer();
    // Five generations of 4,000 tokens need 1.1 s of the link; the other engine runs some more short requests.
    balancer.setPeerLoads("p", {{.target = "many", .running = 5, .memory = 25000, .movable = 20000}, {.target = "few", .running = 9, .memory = 20000}});
    EXPECT_EQ(chosenTarget(balancer, targets, service, {.demand = {.promptTokens = 3000, .expectedTokens = 900, .isMigratable = true}}), "few");
    EXPECT_EQ(chosenTarget(balancer, targets, service, {.demand = {.promptTokens = 3000, .expectedTokens = 10}}), "many");
}

// Guards against copies from different engines that share one destination while others are free, when three engines of a data centre leave at once and many
// relays order copies.
TEST(TargetBalancer, DestinationsAreDividedAmongLeavingTargets)
{
    for (int round = 0; round < 200; ++round) {
        TargetTable targets({});
        for (int index = 0; index < 8; ++index) {
            targets.set(entry("d" + std::to_string(round * 8 + index)), Start);
        }
        const std::vector<std::string> sources {"a", "b", "c"};
        std::map<std::string, std::set<std::string>> sourcesOf;
        for (const auto &source : sources) {
            for (uint64_t relay = 0; relay < 5; ++relay) {
                const auto choice
                    = makeBalancer().choose({.isMigration = true, .source = source, .otherSources = sources}, targets, engineService(), Start, relay);
                sourcesOf[choice.target->entry.id].insert(source);
            }
        }
        int shared = 0;
        for (const auto &[destination, users] : sourcesOf) {
            shared += users.size() > 1 ? 1 : 0;
        }
        // A source for which the agreed order leaves no destination shares one.
        ASSERT_LE(shared, 1) << round;
    }
}

// Guards against relays that lose the others and each send more to a target that may turn cold unnoticed.
TEST(TargetBalancer, SilentRelaysKeepTheirShareOfWarmTargets)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    auto service = engineService();
    service.coldPerSecond = 10;
    auto balancer = makeBalancer();
    const std::vector<uint64_t> others {1, 2, 3, 4, 5, 6};
    const TargetBalancer::Query query {.demand = {.service = "s"}, .liveRelays = 1, .coldRateParticipants = {.others = others}};
    EXPECT_EQ(chosenTarget(balancer, targets, service, query), "a");
    balancer.onRunStarted("r", "a", query.demand, Start);
    EXPECT_EQ(chosenTarget(balancer, targets, service, query), "");
}
