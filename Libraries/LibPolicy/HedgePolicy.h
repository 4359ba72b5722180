#pragma once

#include <LibPolicy/DecayingHistogram.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

struct HedgeOptions {
    // A second call is sent when the first has taken longer than this part of recent calls.
    double quantile = 0.95;
    // Hedged calls per call that was made, in addition to what the quantile allows. Bounds the extra load when all calls become slow at once.
    double share = 0.05;
    double mostSaved = 10;
    // Without this many recent calls, nothing is known about how long they take.
    double leastObservations = 20;
    std::chrono::milliseconds shortestDelay {5};
};

// Decides when a slow call is sent a second time to another target. Only calls that the environment document declares repeatable are ever hedged.
class HedgePolicy
{
public:
    explicit HedgePolicy(const HedgeOptions &options = {});

    // Time after which the call may be hedged. Nothing if it must not be.
    std::optional<std::chrono::milliseconds> delay(std::string_view call, bool repeatable, MonotonicTime now) const;

    // Takes one hedged call out of the budget. Asked when the delay has passed without an answer.
    bool tryHedge(bool repeatable);

    // A call was answered after the given time. Hedged calls are not counted.
    void answered(std::string_view call, std::chrono::duration<double> duration, MonotonicTime now);

private:
    HedgeOptions m_options;
    absl::flat_hash_map<std::string, DecayingHistogram> m_durations;
    double m_available = 0;
};

} // namespace Jujube
