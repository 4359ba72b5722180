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
};

// Settings of the policy "memory-forecast". Every part has a switch, so that an ablation can measure it.
struct MemoryForecastOptions {
    // Forecast from learnt lengths. Otherwise a generation counts with the memory that it has now.
    bool forecastLengths = true;
    // Account for other gateways' work since the last load report.
    bool estimateOthers = true;
    // Hold requests while no target has room. Otherwise the least risky target is taken at once.
    bool admission = true;
    // Engines preempt less important work first. So the risk of a request is that of its own and of more important classes, and less important work, as long
    // as it can be preempted, does not keep a request out. Otherwise the risk of all work counts for every class.
    bool nestedClasses = true;
    // Keep the memory that paying work is forecast to need away from trial work.
    bool reserveForPaying = true;
    // Order waiting requests by fair shares of their workspaces. Otherwise first come, first served within a class.
    bool fairShares = true;
    bool aging = true;
    // Reject a request whose wait would be too long.
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

    // By WorkClass. Trial work keeps larger margins, so it is held back first. In simulated fleets at 105% to 120% load, 5% risk gave the fewest preemptions
    // of paying drafts without losing throughput; 10% doubled them, and a headroom of 15% for trial work cost 5% of the throughput.
    std::array<ClassOptions, WorkClassCount> classes {
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.03, .maxWait = std::chrono::seconds(15)},
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.04, .maxWait = std::chrono::seconds(3)},
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.08, .maxWait = std::chrono::seconds(15)},
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.08, .maxWait = std::chrono::seconds(12)},
    };

    // Order in which classes go first, by WorkClass. Lower goes first. The environment document may change it.
    std::array<int, WorkClassCount> rank {0, 1, 2, 3};

    // By rank: a request that has waited this long, in the queue or since an earlier refusal of its workspace, goes ahead of higher ranks and is admitted
    // like the highest one, as long as such work stays below the share of the memory that becomes free. The shares bound what aging costs higher ranks.
    std::array<std::chrono::milliseconds, WorkClassCount> agingTimes {
        std::chrono::seconds(0), std::chrono::seconds(1), std::chrono::seconds(8), std::chrono::seconds(10)};
    std::array<double, WorkClassCount> agedShares {0, 0.10, 0.04, 0.02};

    // Most targets of one distance that a decision evaluates. 20 cover the fleets of a few data centres whole; with 32, a decision among 2,800 nearly full
    // targets took 27 microseconds.
    size_t candidates = 20;

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
