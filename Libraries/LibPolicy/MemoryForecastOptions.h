#pragma once

#include <LibPolicy/LengthEstimatorOptions.h>
#include <LibPolicy/PlacementTypes.h>

#include <array>
#include <chrono>

namespace Jujube
{

// How each class of work is admitted.
struct ClassOptions {
    // A target is taken only if the probability that its memory overflows stays below this.
    double maxOverflowProbability = 0.1;
    // Share of a target's memory that the class leaves free.
    double headroom = 0.05;
    // Longest time in the queue. A request that would wait longer is refused at once.
    std::chrono::milliseconds maxWait {10000};
    // A request that has waited this long goes ahead of newer requests of higher classes.
    std::chrono::milliseconds agingTime {2000};
};

// Settings of the policy "memory-forecast". Every part has a switch, so that an ablation can measure it.
struct MemoryForecastOptions {
    // Forecast from learnt lengths. Otherwise a generation counts with the memory that it has now.
    bool forecastLengths = true;
    // Account for other gateways' work since the last load report.
    bool estimateOthers = true;
    // Hold requests while no target has room. Otherwise the least risky target is taken at once.
    bool admission = true;
    // Keep the memory that paying work is forecast to need away from trial work.
    bool reserveForPaying = true;
    // Order waiting requests by fair shares of their workspaces. Otherwise first come, first served within a class.
    bool fairShares = true;
    bool aging = true;
    // Refuse a request whose wait would be too long.
    bool earlyRefusal = true;
    bool prefixHints = true;
    // Prefer near targets.
    bool distance = true;
    // A returning data centre gets work in steps.
    bool returnRamp = true;
    // Advise to move work away from targets that are about to overflow.
    bool moves = true;
    // Bound the number of targets that one decision looks at.
    bool sampling = true;

    // By WorkClass. Suggestions and trial work keep larger margins, so they are held back first.
    std::array<ClassOptions, WorkClassCount> classes {
        ClassOptions {.maxOverflowProbability = 0.10, .headroom = 0.03, .maxWait = std::chrono::seconds(15), .agingTime = std::chrono::seconds(0)},
        ClassOptions {.maxOverflowProbability = 0.03, .headroom = 0.08, .maxWait = std::chrono::seconds(3), .agingTime = std::chrono::seconds(1)},
        ClassOptions {.maxOverflowProbability = 0.01, .headroom = 0.15, .maxWait = std::chrono::seconds(15), .agingTime = std::chrono::seconds(8)},
        ClassOptions {.maxOverflowProbability = 0.005, .headroom = 0.20, .maxWait = std::chrono::seconds(12), .agingTime = std::chrono::seconds(8)},
    };

    // Order in which classes go first, by WorkClass. Lower goes first. The environment document may change it.
    std::array<int, WorkClassCount> rank {0, 1, 2, 3};

    // Most targets of one distance that a decision evaluates. Eight more than two random choices already give most of the benefit; the rest serves small
    // fleets, which are evaluated whole.
    size_t candidates = 32;

    // Tokens that one generation produces per second, until it is measured.
    double tokensPerSecond = 20;

    // Half-life of the peak of paying demand from which the reserve is computed.
    std::chrono::seconds demandHalfLife {30};

    // Largest improvement of a target's cost by cached prefixes, in shares of its memory.
    double prefixWeight = 0.1;

    // Overflow probability from which running work is advised to move.
    double moveProbability = 0.5;

    LengthEstimatorOptions lengths;
};

} // namespace Jujube
