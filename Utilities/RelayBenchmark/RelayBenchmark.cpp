#include <algorithm>
#include <benchmark/benchmark.h>
#include <LibPolicy/SplitMix.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <LibRelay/TargetBalancer.h>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;

constexpr int DataCentres = 8;
constexpr int Regions = 3;
constexpr int Relays = 390;
constexpr size_t OwnRuns = 300;
constexpr MonotonicTime Start {1h};

std::string regionOf(int64_t dataCentre)
{
    return "region" + std::to_string(dataCentre % Regions);
}

TargetTable makeTargets(int64_t count)
{
    TargetTable targets({});
    for (int64_t number = 0; number < count; ++number) {
        const auto id = "i-" + std::to_string(number * 7919);
        targets.set({.id = id,
                     .incarnation = 1,
                     .service = "engines",
                     .address = "10.0.0.1:" + std::to_string(number),
                     .dataCentre = "dc" + std::to_string(number % DataCentres),
                     .slots = 24,
                     .version = 1},
                    Start);
    }
    return targets;
}

TargetBalancer makeBalancer()
{
    std::map<std::string, std::string> regions;
    for (int64_t number = 0; number < DataCentres; ++number) {
        regions["dc" + std::to_string(number)] = regionOf(number);
    }
    return TargetBalancer({.region = "region0", .regions = regions});
}

// Loads of one peer on every target, two thirds of the memory in all.
void addLoads(TargetBalancer &balancer, const TargetTable &targets, SplitMix &random)
{
    std::vector<TargetLoad> loads;
    for (const auto &[id, target] : targets.targets()) {
        loads.push_back({.target = id, .running = static_cast<int>(random.below(12)), .memory = static_cast<int64_t>(random.below(27000)), .prefill = 0});
    }
    balancer.setPeerLoads("peer", loads);
}

// Time of one placement. Each run ends after 300 later ones have been placed.
void place(benchmark::State &state)
{
    SplitMix random(1);
    const auto targets = makeTargets(state.range(0));
    auto balancer = makeBalancer();
    addLoads(balancer, targets, random);
    const RelayService service {.name = "engines", .engine = EngineProfile {.slots = 24, .memoryTokens = 27000, .canMigrate = true}};
    const TargetBalancer::Query query {.demand = {.service = "engines", .promptTokens = 3000, .expectedTokens = 900}, .liveRelays = Relays};
    std::vector<std::string> placed;
    std::vector<double> times;
    auto now = Start;
    while (state.KeepRunning()) {
        now += 15ms;
        const auto begin = std::chrono::steady_clock::now();
        const auto choice = balancer.choose(query, targets, service, now, random.next());
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
        benchmark::DoNotOptimize(&choice);
        state.SetIterationTime(elapsed.count());
        times.push_back(elapsed.count());
        const auto request = "r" + std::to_string(times.size());
        balancer.onRunStarted(request, choice.target->entry.id, query.demand, now);
        placed.push_back(request);
        if (placed.size() > OwnRuns) {
            balancer.onRunEnded(placed.front(), RunEnd::Finished, now);
            placed.erase(placed.begin());
        }
    }
    std::ranges::sort(times);
    constexpr double MicrosecondsPerSecond = 1e6;
    state.counters["p50_us"] = MicrosecondsPerSecond * times[times.size() / 2];
    state.counters["p99_us"] = MicrosecondsPerSecond * times[times.size() * 99 / 100];
}

// Time to encode a heartbeat with loads on 50 targets and the given number of new targets, as after an outage of the store.
void encodeHeartbeat(benchmark::State &state)
{
    constexpr int Loads = 50;
    PeerHeartbeat heartbeat {.node = "edge-lahore-a-1", .callers = "10.1.0.19:8740", .peers = "10.1.0.19:8748", .dataCentre = "lahore-a"};
    for (int number = 0; number < Loads; ++number) {
        heartbeat.loads.push_back({.target = "i-4bd68e9f" + std::to_string(number), .running = number, .memory = 4000});
    }
    const auto targets = makeTargets(state.range(0));
    for (const auto &[id, target] : targets.targets()) {
        heartbeat.targets.push_back(target.entry);
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(encodePeerHeartbeat(heartbeat));
    }
}

} // namespace

} // namespace Jujube

BENCHMARK(Jujube::encodeHeartbeat)->Arg(0)->Arg(5)->Arg(20);
BENCHMARK(Jujube::place)->Arg(15)->Arg(45)->Arg(280)->Arg(2800)->UseManualTime();
BENCHMARK_MAIN();
