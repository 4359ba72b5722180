#pragma once

#include <LibPolicy/DecayingHistogram.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

struct HedgeOptions {
    // A second call is sent when the first has taken longer than this share of recent calls.
    double quantile = 0.95;
    // Maximum number of hedged calls per completed call. Bounds the extra load when all calls become slow at once, which the quantile does not.
    double share = 0.05;
    double maxSaved = 10;
    // With fewer recent calls than this, their durations are not known well enough and nothing is hedged.
    double minObservations = 20;
    std::chrono::milliseconds minDelay {5};
};

// Decides when a slow call is sent a second time to another target. Only calls that the environment document declares repeatable are hedged.
class HedgePolicy
{
public:
    explicit HedgePolicy(const HedgeOptions &options = {});

    // Delay after which the call may be hedged. Nothing if it must not be hedged.
    std::optional<std::chrono::milliseconds> delay(std::string_view call, bool repeatable, MonotonicTime now) const;

    // Takes one hedged call out of the budget. Returns false if there is none left. Called when the delay has passed without a response.
    bool tryHedge(bool repeatable);

    // Records the time until the response to a call. Hedged calls are not recorded.
    void recordDuration(std::string_view call, std::chrono::duration<double> duration, MonotonicTime now);

private:
    HedgeOptions m_options;
    absl::flat_hash_map<std::string, DecayingHistogram> m_durations;
    double m_available = 0;
};

} // namespace Jujube
