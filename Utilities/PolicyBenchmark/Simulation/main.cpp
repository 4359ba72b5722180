#include "FleetSimulation.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <string>

namespace
{

using namespace Jujube;

struct Variant {
    std::string name;
    std::function<void(PlacementOptions &)> apply;
};

// The baselines, the policy, and the policy without each of its parts. The names are part of the output and stay when an option is renamed.
std::vector<Variant> variants()
{
    const auto kind = [](PlacementPolicyKind policyKind) { return [policyKind](PlacementOptions &options) { options.kind = policyKind; }; };
    const auto without = [](bool MemoryForecastOptions::*part) { return [part](PlacementOptions &options) { options.forecast.*part = false; }; };
    return {
        {"round-robin", kind(PlacementPolicyKind::RoundRobin)},
        {"least-outstanding", kind(PlacementPolicyKind::LeastOutstanding)},
        {"least-reported-memory", kind(PlacementPolicyKind::LeastReportedMemory)},
        {"memory-forecast", kind(PlacementPolicyKind::MemoryForecast)},
        {"-forecastLengths", without(&MemoryForecastOptions::forecastLengths)},
        {"-estimateOthers", without(&MemoryForecastOptions::estimateOthers)},
        {"-admission", without(&MemoryForecastOptions::admission)},
        {"-nestedClasses", without(&MemoryForecastOptions::nestedClasses)},
        {"-reserveForPaying", without(&MemoryForecastOptions::reserveForPaying)},
        {"-fairShares", without(&MemoryForecastOptions::fairShares)},
        {"-aging", without(&MemoryForecastOptions::aging)},
        {"-earlyRefusal", without(&MemoryForecastOptions::earlyRejection)},
        {"-distance", without(&MemoryForecastOptions::distance)},
        {"-returnRamp", without(&MemoryForecastOptions::slowStart)},
        {"-moves", without(&MemoryForecastOptions::moves)},
        {"-sampling", without(&MemoryForecastOptions::sampling)},
    };
}

void printRow(const std::string &name, const SimulationOptions &options, const SimulationResult &result)
{
    const auto seconds = static_cast<double>(options.length.count());
    std::printf("%-22s %4llu %8.0f %7lld %7lld %7lld %7lld %9.1f %8.2f %8.0f %8.2f",
                name.c_str(),
                static_cast<unsigned long long>(options.seed),
                static_cast<double>(result.usefulTokens) / seconds,
                static_cast<long long>(result.preempted[0]),
                static_cast<long long>(result.preempted[1]),
                static_cast<long long>(result.preempted[2]),
                static_cast<long long>(result.preempted[3]),
                result.stallSeconds,
                result.firstTokenP95,
                result.gapP99,
                result.trialFirstTokenP95);
    std::printf("  %lld/%lld", static_cast<long long>(result.moved[0]), static_cast<long long>(result.moved[2]));
    for (size_t i = 0; i < WorkClassCount; ++i) {
        std::printf("  %lld/%lld/%lld",
                    static_cast<long long>(result.finished[i]),
                    static_cast<long long>(result.rejected[i]),
                    static_cast<long long>(result.givenUp[i]));
    }
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace

// Prints one line per policy and seed. The results are those of a simulation, not of a real fleet.
int main(int argc, char **argv)
{
    cxxopts::Options flags("jujube-policy-simulation", "Compares placement policies on simulated engines.");
    flags.add_options()("rate", "requests per second", cxxopts::value<double>()->default_value("10"))(
        "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
        "outage", "seconds for which a data centre is out of service", cxxopts::value<int>()->default_value("0"))(
        "gateways", "number of gateways", cxxopts::value<int>()->default_value("7"))(
        "engines", "number of engines", cxxopts::value<int>()->default_value("12"))(
        "memory", "cache memory of an engine in tokens", cxxopts::value<int64_t>()->default_value("16000"))(
        "risk", "overflow probabilities by class", cxxopts::value<std::vector<double>>())(
        "headroom", "headroom by class", cxxopts::value<std::vector<double>>())(
        "move", "overflow probability from which work moves", cxxopts::value<double>()->default_value("0.5"))(
        "only", "run only this variant", cxxopts::value<std::string>()->default_value(""))("help", "print this text");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::printf("%s\n", flags.help().c_str());
        return 0;
    }
    std::printf("%-22s %4s %8s %31s %9s %8s %8s %8s  moved drafts  finished/refused/given up by class\n",
                "policy",
                "seed",
                "tok/s",
                "preempted by class",
                "stall s",
                "TTFT95 s",
                "gap99 ms",
                "other95");
    for (const auto &variant : variants()) {
        if (!parsed["only"].as<std::string>().empty() && parsed["only"].as<std::string>() != variant.name) {
            continue;
        }
        for (int seed = 1; seed <= parsed["seeds"].as<int>(); ++seed) {
            SimulationOptions options;
            options.seed = static_cast<uint64_t>(seed);
            options.rate = parsed["rate"].as<double>();
            options.gateways = parsed["gateways"].as<int>();
            options.engines = parsed["engines"].as<int>();
            options.memory = parsed["memory"].as<int64_t>();
            options.outage = std::chrono::seconds(parsed["outage"].as<int>());
            for (size_t i = 0; i < WorkClassCount; ++i) {
                if (parsed.count("risk") > 0) {
                    options.placement.forecast.classes[i].maxOverflowProbability = parsed["risk"].as<std::vector<double>>().at(i);
                }
                if (parsed.count("headroom") > 0) {
                    options.placement.forecast.classes[i].headroom = parsed["headroom"].as<std::vector<double>>().at(i);
                }
            }
            options.placement.forecast.moveProbability = parsed["move"].as<double>();
            variant.apply(options.placement);
            printRow(variant.name, options, runSimulation(options));
        }
    }
    return 0;
}
