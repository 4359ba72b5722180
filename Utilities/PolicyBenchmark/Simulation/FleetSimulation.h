#pragma once

#include <LibPolicy/PlacementPolicy.h>

#include <functional>
#include <random>

namespace Jujube
{

struct SimulationOptions {
    PlacementOptions placement;
    uint64_t seed = 1;
    int gateways = 7;
    int engines = 12;
    // Cache memory of one engine in tokens.
    int64_t memory = 16000;
    // Requests per second over all gateways.
    double rate = 10;
    double trialShare = 0.3;
    double suggestionShare = 0.4;
    std::chrono::seconds warmUp {120};
    std::chrono::seconds length {600};
    std::chrono::milliseconds reportInterval {500};
    std::chrono::milliseconds moveInterval {1000};
    // A data centre is taken out of service for this time in the middle of the run. Zero for none.
    std::chrono::seconds outage {0};
};

struct SimulationResult {
    int64_t usefulTokens = 0;
    std::array<int64_t, WorkClassCount> finished {};
    std::array<int64_t, WorkClassCount> preempted {};
    std::array<int64_t, WorkClassCount> moved {};
    // Rejected attempts, and requests that were given up after several rejections.
    std::array<int64_t, WorkClassCount> rejected {};
    std::array<int64_t, WorkClassCount> givenUp {};
    // Sums over all gaps above 200 ms of paying drafts, in seconds.
    double stallSeconds = 0;
    // Of paying drafts: 95th percentile of the time to the first token in seconds, 99th of the gaps between tokens in milliseconds.
    double firstTokenP95 = 0;
    double gapP99 = 0;
    double trialFirstTokenP95 = 0;
};

// Simulates gateways and engines. An engine produces one token per running generation every 50 ms of simulated time, and preempts the least important and
// newest generation when its memory is full. A preempted generation waits for free memory and repeats its prefill.
SimulationResult runSimulation(const SimulationOptions &options);

} // namespace Jujube
