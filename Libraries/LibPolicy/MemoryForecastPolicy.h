#pragma once

#include <LibPolicy/ForecastMoments.h>
#include <LibPolicy/LengthEstimator.h>
#include <LibPolicy/ModelState.h>
#include <LibPolicy/PlacementPolicy.h>
#include <LibPolicy/PrefixHints.h>
#include <LibPolicy/SplitMix.h>
#include <LibPolicy/TargetForecast.h>

namespace Jujube
{

// Places a generation on a target whose memory probably does not overflow before its running work ends. While there is no such target, the generation waits or
// is rejected.
class MemoryForecastPolicy : public PlacementPolicy
{
public:
    explicit MemoryForecastPolicy(const PlacementOptions &options);

    void abandoned(std::string_view id, MonotonicTime now) override;
    void prefixStored(std::string_view target, uint64_t prefixHash) override;
    void prefixEvicted(std::string_view target, uint64_t prefixHash) override;
    void setLiveGateways(int count) override;
    std::vector<std::string> takeReady(MonotonicTime now) override;
    std::vector<MoveAdvice> adviseMoves(MonotonicTime now, uint64_t random) override;
    size_t waitingCount() const override;

    const LengthEstimator &lengths() const;

    // Probability that the memory of the target overflows with its present work.
    double overflowProbabilityOf(TargetIndex index, MonotonicTime now) const;

protected:
    PlacementDecision decide(const PlacementRequest &request, MonotonicTime now, uint64_t random) override;
    void onPlaced(const OwnGeneration &generation, MonotonicTime now) override;
    void onTokens(const OwnGeneration &generation, MonotonicTime now) override;
    void onEnded(const OwnGeneration &generation, std::optional<FailureReason> reason, MonotonicTime now) override;
    void onLoadReported(TargetIndex index, const TargetView &before, MonotonicTime now) override;

private:
    // Forecast of one own generation, as included in the sums of its target and its model.
    struct OwnForecast {
        ForecastMoments moments;
        // Mean memory in tokens that the generation holds from now to its end.
        double memory = 0;
        int64_t producedTokens = 0;
    };

    // Memory that a request needs, and the conditions under which a target may take it.
    struct Need {
        WorkClass workClass = WorkClass::PayingDraft;
        double maxOverflowProbability = 0;
        double headroom = 0;
        // Trial work leaves the reserve for paying work free unless it has aged.
        bool leavesReserve = false;
        bool isolated = false;
        // Classes that engines do not preempt for this one, and the share of other gateways' memory that belongs to them.
        std::array<WorkClass, WorkClassCount> protectedClasses {};
        size_t protectedCount = 0;
        double othersShare = 1;
        double memoryNow = 0;
        double memory = 0;
        ForecastMoments moments;
        PrefixHints::Match prefix;
        std::vector<TargetIndex> excluded;
    };

    struct Assessment {
        TargetIndex target = 0;
        bool fits = false;
        bool isLowRisk = false;
        double probability = 1;
        double cost = 0;
    };

    // The targets of a model at one distance from this gateway, in groups by data centre.
    struct DistanceGroup {
        std::vector<std::span<const TargetIndex>> groups;
        size_t count = 0;
        int distance = 0;

        TargetIndex at(size_t position) const;
    };

    // MemoryForecastPolicy.cpp
    ModelState &model(std::string_view name);
    void surveyIfOlder(ModelState &state, std::string_view name, MonotonicTime::duration age, MonotonicTime now);
    OwnForecast forecast(const LengthKey &key, int64_t promptTokens, int64_t producedTokens, int64_t maxTokens, MonotonicTime now) const;
    Need needOf(const PlacementRequest &request, MonotonicTime now) const;
    void setAdmissionClass(Need &need, bool aged, const ModelState &state) const;
    PlacementDecision waitOrReject(const PlacementRequest &request, ModelState &state, QueuedRequest &entry, bool isFirst, MonotonicTime now, SplitMix &random);
    PlacementDecision reject(const PlacementRequest &request, ModelState &state, ErrorKind kind, double waitSeconds, MonotonicTime now, SplitMix &random);
    OthersObservation othersOn(TargetIndex index, const TargetView &before) const;
    TargetForecast &forecastOf(TargetIndex index);

    // MemoryForecastChoice.cpp
    std::optional<Assessment> choose(const PlacementRequest &request, const Need &need, const ModelState &state, MonotonicTime now, SplitMix &random);
    void groupTargetsByDistance(const PlacementRequest &request);
    void searchDistanceGroup(
        const DistanceGroup &distanceGroup, const Need &need, const ModelState &state, MonotonicTime now, SplitMix &random, std::optional<Assessment> &best);
    bool isEligible(TargetIndex index, const Need &need, MonotonicTime now) const;
    Assessment assess(TargetIndex index, const Need &need, const ModelState &state, int distance, MonotonicTime now) const;
    double otherRunsOn(TargetIndex index) const;
    double payingReserveOn(TargetIndex index, const ModelState &state, MonotonicTime now) const;
    ForecastMoments presentForecastOn(TargetIndex index, MonotonicTime now) const;
    double protectedMemoryOn(TargetIndex index, const Need &need, MonotonicTime now) const;
    ForecastMoments protectedForecastOn(TargetIndex index, const Need &need, MonotonicTime now) const;

    // MemoryForecastMoves.cpp
    void adviseMovesFrom(TargetIndex index, MonotonicTime now, SplitMix &random, std::vector<MoveAdvice> &advice);
    size_t maxMoves(TargetIndex index) const;
    bool isLikelyPreempted(const OwnGeneration &generation, MonotonicTime now);
    std::optional<Assessment> betterTarget(const OwnGeneration &generation, MonotonicTime now, SplitMix &random);

    const MemoryForecastOptions &settings() const;

    LengthEstimator m_lengths;
    PrefixHints m_prefixes;
    std::vector<TargetForecast> m_forecasts;
    absl::flat_hash_map<const OwnGeneration *, OwnForecast> m_own;
    // Ordered, so that takeReady() is deterministic.
    std::map<std::string, std::unique_ptr<ModelState>, std::less<>> m_models;
    int m_gateways = 1;

    // Reused between decisions to avoid allocations.
    std::array<DistanceGroup, 3> m_distanceGroups;
    std::vector<uint32_t> m_order;
};

} // namespace Jujube
