#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibCore/Workload.h>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Jujube
{

// Tier and kind together, in descending default priority.
enum class WorkClass : uint8_t {
    PayingDraft,
    PayingSuggestion,
    TrialDraft,
    TrialSuggestion,
};

constexpr size_t WorkClassCount = 4;

constexpr WorkClass workClassOf(WorkspaceTier tier, GenerationKind kind)
{
    return static_cast<WorkClass>(2 * static_cast<int>(tier) + static_cast<int>(kind));
}

constexpr size_t indexOf(WorkClass workClass)
{
    return static_cast<size_t>(workClass);
}

// A target's response to GET /load. Memory is the KV cache in tokens.
struct LoadReport {
    uint64_t incarnation = 0;
    int running = 0;
    int waiting = 0;
    int64_t memoryUsed = 0;
    int64_t memoryLimit = 0;
    bool cold = false;
    bool leaving = false;
    uint64_t preemptions = 0;
};

// One generation that needs a target.
struct PlacementRequest {
    // The generation id. A waiting request keeps its id in every placement attempt.
    std::string id;
    std::string workspace;
    WorkspaceTier tier = WorkspaceTier::Paying;
    GenerationKind kind = GenerationKind::Draft;
    std::string model;
    int64_t promptTokens = 0;
    // Tokens that the caller already has or that were produced before; above zero for a continued generation.
    int64_t producedTokens = 0;
    // Upper bound of the output length. Zero if there is none.
    int64_t maxTokens = 0;
    // True if the generation was already accepted (it is continued or restarted). Accepted work is never rejected for lack of capacity.
    bool accepted = false;
    // The request ran on a target that crashed. It is placed where few others run and not next to another such request, so that the request that causes crashes
    // can be identified.
    bool isolated = false;
    // Hashes of the prefixes of the prompt, shortest first.
    std::vector<uint64_t> prefixHashes;
    // Names of targets that must not be chosen, for example the one that just failed.
    std::vector<std::string> excludedTargets;
    // Location of this gateway.
    std::string dataCentre;
    std::string region;
};

// Send the request to the target. The policy counts it as running there until the gateway reports that it finished or failed.
struct PlaceOnTarget {
    std::string target;
    // Probability that the target's memory overflows before its running work ends. Zero for policies that do not estimate it.
    double overflowProbability = 0;
};

// Call place() again at the given time, or earlier if takeReady() returns the request.
struct WaitUntil {
    MonotonicTime time;
};

// Respond to the caller with the error kind. The request has not run.
struct RejectRequest {
    ErrorKind kind = ErrorKind::Overloaded;
    std::chrono::seconds retryAfter {1};
};

using PlacementDecision = std::variant<PlaceOnTarget, WaitUntil, RejectRequest>;

// Why a placed generation ended without its last token.
enum class FailureReason : uint8_t {
    // The caller disconnected or the request was cancelled.
    Cancelled,
    // The generation is moved to another target; the old one is healthy.
    Moved,
    // The target refused the connection, crashed or stopped responding.
    TargetLost,
};

} // namespace Jujube
