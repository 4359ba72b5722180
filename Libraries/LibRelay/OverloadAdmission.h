#pragma once

#include <LibCore/Time.h>
#include <LibRelay/RelayDocument.h>
#include <LibRelay/TargetLoad.h>
#include <optional>

namespace Jujube
{

// Decides whether a generation is rejected because the engines are overloaded (docs/design/overload.md). Generations that wait in an engine's queue take the
// KV cache that becomes free from more urgent requests, and the ones behind them begin too late as well. Rejecting those that would have to wait leaves room
// for urgent requests, and their callers come back when there is room again.
class OverloadAdmission
{
public:
    struct Options {
        // Part of an engine's KV cache that generations may commit, by the sizes that they are expected to have at their ends.
        double maxCommitment = 1;
        // Part of the latency goal for which a generation may wait.
        double maxWaitPart = 0.15;
        // Typical time for which a generation occupies its KV cache.
        std::chrono::milliseconds runTime {7000};
        // Prompt tokens that an engine processes per millisecond beside running generations.
        double prefillTokensPerMs = 7.5;
    };

    // The engine that the request would be sent to.
    struct Engine {
        TargetLoad load;
        // KV cache capacity in tokens.
        int64_t memoryTokens = 0;
    };

    struct Request {
        int64_t promptTokens = 0;
        int64_t expectedTokens = 0;
        std::chrono::milliseconds latencyGoal {0};
        std::chrono::milliseconds timeLeft {0};
    };

    explicit OverloadAdmission(Options options)
        : m_options(options)
    {
    }

    // Estimated time until the engine begins to process the request's prompt. Zero for an engine of unknown capacity.
    std::chrono::milliseconds waitingTime(const Engine &engine, const Request &request) const;

    // The time after which the caller may come back if the request is to be rejected. Nothing if it is admitted. `draw` is uniform in [0, 1).
    std::optional<std::chrono::milliseconds> rejectionOf(const Engine &engine, const Request &request, double draw) const;

private:
    const Options m_options;
};

} // namespace Jujube
