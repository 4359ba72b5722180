#pragma once

#include <LibPolicy/FleetView.h>
#include <LibPolicy/MemoryForecastOptions.h>
#include <LibPolicy/PlacementTypes.h>

#include <memory>
#include <string_view>

namespace Jujube
{

enum class PlacementPolicyKind : uint8_t {
    RoundRobin,
    LeastOutstanding,
    LeastReportedMemory,
    MemoryForecast,
};

// The value of the setting, for example "memory-forecast".
std::string_view nameOf(PlacementPolicyKind kind);
std::optional<PlacementPolicyKind> placementPolicyKindFromName(std::string_view name);

struct PlacementOptions {
    PlacementPolicyKind kind = PlacementPolicyKind::MemoryForecast;
    SlowStartOptions slowStart;
    // After a failure, a target gets no new request for this time or until a newer load report.
    std::chrono::milliseconds suspectTime {2000};
    // Delay before the next placement attempt of a request that no target may take, if the policy has no better estimate.
    std::chrono::milliseconds pollTime {50};
    MemoryForecastOptions forecast;
};

// A generation of this gateway that is placed on a target.
struct OwnGeneration {
    std::string id;
    std::string workspace;
    std::string model;
    WorkClass workClass = WorkClass::PayingDraft;
    TargetIndex target = 0;
    // Position in the target's list of own generations.
    size_t position = 0;
    int64_t promptTokens = 0;
    int64_t producedTokens = 0;
    int64_t maxTokens = 0;
    MonotonicTime placedAt;
    bool started = false;
    bool isolated = false;

    int64_t memory() const
    {
        return promptTokens + producedTokens;
    }
};

// Advice to continue a generation on another target, because its present one is leaving, cold or about to overflow its memory.
struct MoveAdvice {
    std::string id;
    std::string target;
    WorkClass workClass = WorkClass::TrialSuggestion;
};

// Decides which target runs a generation, and when. The gateway reports everything that it observes. All state is kept here and in the fleet view. Not
// thread-safe: the gateway calls it under one lock.
class PlacementPolicy
{
public:
    explicit PlacementPolicy(const PlacementOptions &options);
    virtual ~PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;

    // The gateway updates the fleet view directly from environment documents, the VM list and permits. Load reports go through loadReported().
    FleetView &fleet();
    const FleetView &fleet() const;

    // Decides about a new request, about a waiting one, or about one that lost its target. `random` must be a new, uniformly distributed number for every call.
    // A request that is placed counts as running until generationFinished() or generationFailed().
    PlacementDecision place(const PlacementRequest &request, MonotonicTime now, uint64_t random);

    // The target started its response to the request.
    void generationStarted(std::string_view id, MonotonicTime now);

    // `count` more tokens arrived.
    void tokensProduced(std::string_view id, int64_t count, MonotonicTime now);
    void generationFinished(std::string_view id, MonotonicTime now);
    void generationFailed(std::string_view id, FailureReason reason, MonotonicTime now);

    // The caller of a waiting request has disconnected. Also called for a move that would have to wait: the generation then stays on its target.
    virtual void abandoned(std::string_view id, MonotonicTime now);

    void loadReported(std::string_view target, const LoadReport &report, MonotonicTime::duration age, MonotonicTime now);

    // Cache events of a target. They arrive late and incompletely, so they are only hints.
    virtual void prefixStored(std::string_view target, uint64_t prefixHash);
    virtual void prefixEvicted(std::string_view target, uint64_t prefixHash);

    // Number of gateways that share the fleet, this one included.
    virtual void setLiveGateways(int count);

    // Waiting requests that may fit on a target now, in the order in which they are to be served. The gateway calls this after every load report and every end
    // of a generation, and calls place() again for each of them in this order.
    virtual std::vector<std::string> takeReady(MonotonicTime now);

    // Own generations that should move to another target, the least important first. The gateway calls this about once a second, and moves only generations
    // that can be continued exactly: it places the generation again, accepted and with its present target excluded, and cancels the old attempt if there is a
    // new target.
    virtual std::vector<MoveAdvice> adviseMoves(MonotonicTime now, uint64_t random);

    // Requests that wait at this gateway.
    virtual size_t waitingCount() const;
    size_t ownCount() const;
    const OwnGeneration *own(std::string_view id) const;

protected:
    const PlacementOptions &options() const;
    std::span<OwnGeneration *const> ownOn(TargetIndex index) const;

    // Makes the decision. The base class records the placement.
    virtual PlacementDecision decide(const PlacementRequest &request, MonotonicTime now, uint64_t random) = 0;

    virtual void onPlaced(const OwnGeneration &generation, MonotonicTime now);
    virtual void onTokens(const OwnGeneration &generation, MonotonicTime now);
    // Called before the generation is destroyed. `reason` is empty if it finished.
    virtual void onEnded(const OwnGeneration &generation, std::optional<FailureReason> reason, MonotonicTime now);
    virtual void onLoadReported(TargetIndex index, const TargetView &before, MonotonicTime now);

private:
    void addOwnGeneration(const PlacementRequest &request, std::string_view target, MonotonicTime now);
    void removeOwnGeneration(std::string_view id, std::optional<FailureReason> reason, MonotonicTime now);
    OwnGeneration *findOwn(std::string_view id);

    PlacementOptions m_options;
    FleetView m_fleet;
    absl::flat_hash_map<std::string, std::unique_ptr<OwnGeneration>> m_own;
    std::vector<std::vector<OwnGeneration *>> m_ownByTarget;
};

std::unique_ptr<PlacementPolicy> makePlacementPolicy(const PlacementOptions &options);

} // namespace Jujube
