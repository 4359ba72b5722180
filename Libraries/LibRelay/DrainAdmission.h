#pragma once

#include <LibCore/Time.h>
#include <LibRelay/TargetBalancer.h>

namespace Jujube
{

// Load pattern: nodes are stopped one after the other while callers keep using their open channels. A request that cannot end before the process is killed is
// better served by another gateway, and it is told so at once.
struct DrainAdmission {
    // Prompt tokens that an engine reads in a millisecond.
    double prefillTokensPerMs = 14;
    // Time of one output token on a busy engine.
    std::chrono::microseconds timePerToken {10500};
    // Longest time of a call that is not a generation, in all but a few cases.
    std::chrono::milliseconds callDuration {1500};
    // Longest time that a generation waits for its engine, in all but a few cases.
    std::chrono::milliseconds queueTime {2000};
    // Output lengths are estimates; most outputs are shorter than this many times the estimate.
    double lengthFactor = 1.3;

    // Expected time until the end of a request.
    std::chrono::milliseconds expectedTime(const RunDemand &demand) const;

    // Whether a request that arrives now probably ends before the process stops.
    bool admits(const RunDemand &demand, MonotonicTime stopAt, MonotonicTime now) const;
};

} // namespace Jujube
