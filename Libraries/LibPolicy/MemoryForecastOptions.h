#pragma once

#include <LibPolicy/LengthEstimatorOptions.h>
#include <LibPolicy/PlacementTypes.h>

#include <array>
#include <chrono>

namespace Jujube
{

// Admission of one class of work.
struct ClassOptions {
    // A target is chosen only if the probability that its memory overflows stays below this.
    double maxOverflowProbability = 0.1;
    // Share of a target's memory that the class leaves free.
    double headroom = 0.05;
    // Maximum time in the admission queue. A request that would wait longer is rejected at once.
    std::chrono::milliseconds maxWait {10000};
};

// Settings of the policy "memory-forecast". Each part can be switched off, so that an ablation can measure its effect.
struct MemoryForecastOptions {
    // Forecast memory from learnt output lengths. Otherwise a generation counts with the memory that it holds now.
    bool forecastLengths = true;
    // Estimate how other gateways' work has changed since the last load report.
    bool estimateOthers = true;
    // Queue requests while they fit on no target. Otherwise the target with the lowest risk is chosen at once.
    bool admission = true;
    // Engines preempt less important work first. The overflow probability for a request therefore includes only its own and more important classes, and less
    // important work does not keep it out as long as that work can be preempted. Otherwise all work is included for every class.
    bool nestedClasses = true;
    // Reserve the memory that paying work is forecast to need, so that trial work leaves it free.
    bool reserveForPaying = true;
    // Give the workspaces of a class fair shares of the service. Otherwise a class is served first come, first served.
    bool fairShares = true;
    bool aging = true;
    // Reject a request at once if its expected wait is too long.
    bool earlyRejection = true;
    bool prefixHints = true;
    // Prefer targets in the gateway's own data centre and region.
    bool distance = true;
    // When a data centre returns to service, increase its load in steps.
    bool slowStart = true;
    // Advise to move generations away from targets that are leaving, cold or about to overflow.
    bool moves = true;
    // Bound the number of targets that one decision evaluates.
    bool sampling = true;

    // By WorkClass. Trial work leaves a larger headroom, so it is the first to wait. In simulated fleets at 105% to 120% load, an overflow probability of 5%
    // gave the fewest preemptions of paying drafts without losing throughput. With 10% they doubled, and a headroom of 15% for trial work cost 5% of the
    // throughput.
    std::array<ClassOptions, WorkClassCount> classes {
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.03, .maxWait = std::chrono::seconds(15)},
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.04, .maxWait = std::chrono::seconds(3)},
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.08, .maxWait = std::chrono::seconds(15)},
        ClassOptions {.maxOverflowProbability = 0.05, .headroom = 0.08, .maxWait = std::chrono::seconds(12)},
    };

    // Rank in the admission queue, by WorkClass. Lower ranks are served first. The environment document may change the ranks.
    std::array<int, WorkClassCount> rank {0, 1, 2, 3};

    // By rank. A request that has waited for the aging time, in the queue or since an earlier rejection of its workspace, is served before all classes and
    // admitted like the first one, as long as such requests stay below the aged share of the memory that becomes free. The shares bound what aging costs the
    // other classes.
    std::array<std::chrono::milliseconds, WorkClassCount> agingTimes {
        std::chrono::seconds(0), std::chrono::seconds(1), std::chrono::seconds(8), std::chrono::seconds(10)};
    std::array<double, WorkClassCount> agedShares {0, 0.10, 0.04, 0.02};

    // Maximum number of targets at one distance that a decision evaluates. 20 include all targets of a fleet of a few data centres. With 32, a decision among
    // 2,800 nearly full targets took 27 microseconds.
    size_t maxCandidates = 20;

    // Assumed rate at which one generation produces tokens. It is not measured.
    double tokensPerSecond = 20;

    // Half-life of the peak of paying demand, from which the reserve for paying work is computed.
    std::chrono::seconds demandHalfLife {30};

    // Maximum reduction of a target's cost for cached prefixes, in shares of its memory.
    double prefixWeight = 0.1;

    // Overflow probability above which running generations are advised to move.
    double moveProbability = 0.5;

    LengthEstimatorOptions lengths;
};

} // namespace Jujube
