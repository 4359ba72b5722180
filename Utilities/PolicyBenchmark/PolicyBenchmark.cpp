#include <algorithm>
#include <benchmark/benchmark.h>
#include <LibPolicy/PlacementPolicy.h>
#include <LibPolicy/SplitMix.h>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;

constexpr int DataCentres = 8;
constexpr int Regions = 3;
constexpr int64_t Memory = 400000;
constexpr int OwnGenerations = 300;
constexpr int Gateways = 390;
constexpr MonotonicTime Start {1h};

// How full the fleet is when decisions are made.
enum Load : int64_t {
    Half = 50,
    // Present memory fits and forecasts do not, so every forecast is computed.
    NearlyFull = 94,
    // Every target is full, so every decision searches all distances and ends with a wait or a rejection.
    Full = 100,
};

void addTargets(PlacementPolicy &policy, int64_t count, int64_t load, SplitMix &random)
{
    for (int64_t i = 0; i < count; ++i) {
        const auto name = "target-" + std::to_string(i);
        const auto dataCentre = i % DataCentres;
        policy.fleet().setTarget(
            {.name = name, .dataCentre = "dc" + std::to_string(dataCentre), .region = "region" + std::to_string(dataCentre % Regions), .models = {"model"}});
        const auto used = Memory * load / 100 - static_cast<int64_t>(random.below(Memory / 20));
        policy.loadReported(name, {.incarnation = 1, .running = 100, .waiting = 0, .memoryUsed = used, .memoryLimit = Memory}, 100ms, Start);
    }
}

PlacementRequest makeRequest(int64_t number, SplitMix &random)
{
    PlacementRequest request;
    request.id = "0123456789abcdef0123456789ab" + std::to_string(number);
    request.workspace = "workspace-" + std::to_string(random.below(550));
    request.tier = random.below(10) < 3 ? WorkspaceTier::Trial : WorkspaceTier::Paying;
    request.kind = random.below(10) < 4 ? GenerationKind::Suggestion : GenerationKind::Draft;
    request.model = "model";
    request.promptTokens = 100 + random.below(2000);
    request.dataCentre = "dc0";
    request.region = "region0";
    request.prefixHashes = {random.next() % 100, random.next()};
    return request;
}

// Time of one decision. All targets serve the same model, which is the worst case of the index. Only the decision is timed.
void decide(benchmark::State &state, PlacementPolicyKind kind)
{
    PlacementOptions options;
    options.kind = kind;
    auto policy = makePlacementPolicy(options);
    policy->setLiveGateways(Gateways);
    SplitMix random(1);
    addTargets(*policy, state.range(0), state.range(1), random);
    MonotonicTime now = Start;
    std::vector<std::string> placed;
    std::vector<double> times;
    int64_t number = 0;
    while (state.KeepRunning()) {
        const auto request = makeRequest(++number, random);
        now += 100us;
        if (number % 10 == 0) {
            const auto name = "target-" + std::to_string(random.below(static_cast<uint32_t>(state.range(0))));
            const auto before = policy->fleet().target(*policy->fleet().find(name)).load;
            policy->loadReported(name, before, 100ms, now);
        }
        const auto begin = std::chrono::steady_clock::now();
        const auto decision = policy->place(request, now, random.next());
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
        benchmark::DoNotOptimize(&decision);
        state.SetIterationTime(elapsed.count());
        times.push_back(elapsed.count());
        if (std::holds_alternative<PlaceOnTarget>(decision)) {
            placed.push_back(request.id);
        } else {
            policy->abandoned(request.id, now);
        }
        if (placed.size() > OwnGenerations) {
            policy->tokensProduced(placed.front(), 1 + random.below(1000), now);
            policy->generationFinished(placed.front(), now);
            placed.erase(placed.begin());
        }
    }
    std::ranges::sort(times);
    state.counters["p50_us"] = 1e6 * times[times.size() / 2];
    state.counters["p99_us"] = 1e6 * times[times.size() * 99 / 100];
}

// Time to process one load report, including the surveys that reports trigger.
void report(benchmark::State &state)
{
    auto policy = makePlacementPolicy({});
    SplitMix random(1);
    addTargets(*policy, state.range(0), Half, random);
    MonotonicTime now = Start;
    while (state.KeepRunning()) {
        // Every target reports once a second.
        now += std::chrono::nanoseconds(1s) / state.range(0);
        const auto name = "target-" + std::to_string(random.below(static_cast<uint32_t>(state.range(0))));
        const auto load = policy->fleet().target(*policy->fleet().find(name)).load;
        policy->loadReported(name, load, 0ms, now);
    }
}

// Time to process one token, including the forecasts that some tokens renew.
void token(benchmark::State &state)
{
    auto policy = makePlacementPolicy({});
    SplitMix random(1);
    addTargets(*policy, state.range(0), Half, random);
    MonotonicTime now = Start;
    std::vector<std::string> placed;
    for (int i = 0; i < OwnGenerations; ++i) {
        const auto request = makeRequest(i, random);
        if (std::holds_alternative<PlaceOnTarget>(policy->place(request, now, random.next()))) {
            placed.push_back(request.id);
        }
    }
    size_t turn = 0;
    while (state.KeepRunning()) {
        now += 70us;
        policy->tokensProduced(placed[turn++ % placed.size()], 1, now);
    }
}

void arguments(benchmark::internal::Benchmark *benchmark)
{
    for (const int64_t targets : {30, 300, 2800}) {
        for (const int64_t load : {Half, NearlyFull, Full}) {
            benchmark->Args({targets, load});
        }
    }
    benchmark->ArgNames({"targets", "load"})->UseManualTime()->Unit(benchmark::kMicrosecond)->Iterations(20000);
}

BENCHMARK_CAPTURE(decide, round_robin, PlacementPolicyKind::RoundRobin)->Apply(arguments);
BENCHMARK_CAPTURE(decide, least_outstanding, PlacementPolicyKind::LeastOutstanding)->Apply(arguments);
BENCHMARK_CAPTURE(decide, least_reported_memory, PlacementPolicyKind::LeastReportedMemory)->Apply(arguments);
BENCHMARK_CAPTURE(decide, memory_forecast, PlacementPolicyKind::MemoryForecast)->Apply(arguments);
BENCHMARK(report)->Arg(30)->Arg(300)->Arg(2800)->Unit(benchmark::kMicrosecond);
BENCHMARK(token)->Arg(30)->Arg(300)->Arg(2800)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace Jujube

BENCHMARK_MAIN();
