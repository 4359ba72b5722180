#pragma once

#include <LibCore/Time.h>
#include <LibRelay/TargetBalancer.h>

namespace Jujube
{

// During a rolling restart, callers keep using their open connections. A request that cannot end before the process is killed is better served by another
// relay, so it is rejected at once.
struct DrainAdmission {
    // Prompt tokens that an engine processes per millisecond.
    double prefillTokensPerMs = 14;
    // Time of one output token on a busy engine.
    std::chrono::microseconds timePerToken {10500};
    // Duration of a call that is not a generation; only a few calls take longer.
    std::chrono::milliseconds callDuration {1500};
    // Time for which a generation waits for its engine; only a few wait longer.
    std::chrono::milliseconds queueTime {2000};
    // Output lengths are estimates; most outputs are shorter than this many times the estimate.
    double lengthFactor = 1.3;

    // Expected time until the end of a request.
    std::chrono::milliseconds expectedTime(const RunDemand &demand) const;

    // Whether a request that arrives now probably ends before the process stops.
    bool admits(const RunDemand &demand, MonotonicTime stopAt, MonotonicTime now) const;
};

} // namespace Jujube
