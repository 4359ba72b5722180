#include <LibPolicy/MemoryForecastPolicy.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// A move repeats the prefill of the whole text on the new target, so only one generation at a time is moved off a target that is about to overflow.
constexpr size_t MovesPerCall = 1;

} // namespace

std::vector<MoveAdvice> MemoryForecastPolicy::adviseMoves(MonotonicTime now, uint64_t random)
{
    std::vector<MoveAdvice> advice;
    if (!settings().moves) {
        return advice;
    }
    SplitMix numbers(random);
    for (TargetIndex index = 0; index < m_forecasts.size(); ++index) {
        if (!ownOn(index).empty()) {
            adviseMovesFrom(index, now, numbers, advice);
        }
    }
    std::ranges::stable_sort(advice, std::ranges::greater {}, &MoveAdvice::workClass);
    return advice;
}

void MemoryForecastPolicy::adviseMovesFrom(TargetIndex index, MonotonicTime now, SplitMix &random, std::vector<MoveAdvice> &advice)
{
    const auto &target = fleet().target(index);
    const bool mustMove = target.isLeaving() || (target.hasReport && target.load.cold);
    size_t count = maxMoves(index);
    // Every gateway with work on the target detects the same risk. Each acts with a probability equal to its share of the running requests, so that on average
    // one of them does.
    const double part = static_cast<double>(target.ownRunning) / std::max({target.load.running, target.ownRunning, 1});
    if (count == 0 || (!mustMove && random.unit() > part)) {
        return;
    }
    std::vector<const OwnGeneration *> candidates(ownOn(index).begin(), ownOn(index).end());
    // The least important class is moved first. Within a class, the generation with the least text is first, because its prefill is the cheapest to repeat.
    std::ranges::sort(candidates, [](const OwnGeneration *left, const OwnGeneration *right) {
        return std::make_tuple(right->workClass, left->memory(), std::string_view(left->id))
            < std::make_tuple(left->workClass, right->memory(), std::string_view(right->id));
    });
    for (const auto *generation : candidates) {
        if (count == 0) {
            return;
        }
        if (!mustMove && !isLikelyPreempted(*generation, now)) {
            continue;
        }
        const auto better = betterTarget(*generation, now, random);
        if (better && (mustMove || better->isLowRisk)) {
            advice.push_back({.id = generation->id, .target = fleet().target(better->target).description.name, .workClass = generation->workClass});
            --count;
        }
    }
}

// Maximum number of own generations to move off the target in one call.
size_t MemoryForecastPolicy::maxMoves(TargetIndex index) const
{
    const auto &target = fleet().target(index);
    const size_t own = ownOn(index).size();
    if (target.isLeaving()) {
        return own;
    }
    if (target.hasReport && target.load.cold) {
        const auto permitted = static_cast<size_t>(std::max(target.coldPermits, 0));
        return own > permitted ? own - permitted : 0;
    }
    return std::min(own, MovesPerCall);
}

// True if the target will probably preempt work of the generation's class. Less important work is preempted first, so it is not included.
bool MemoryForecastPolicy::isLikelyPreempted(const OwnGeneration &generation, MonotonicTime now)
{
    Need need;
    need.workClass = generation.workClass;
    setAdmissionClass(need, false, model(generation.model));
    const auto contenders = protectedForecastOn(generation.target, need, now);
    const auto limit = static_cast<double>(fleet().target(generation.target).memoryLimit());
    return overflowProbability(overflowMargin(contenders, {}, limit)) > settings().moveProbability;
}

std::optional<MemoryForecastPolicy::Assessment> MemoryForecastPolicy::betterTarget(const OwnGeneration &generation, MonotonicTime now, SplitMix &random)
{
    const auto &present = fleet().target(generation.target).description;
    PlacementRequest request {
        .id = generation.id,
        .workspace = generation.workspace,
        .tier = generation.workClass < WorkClass::TrialDraft ? WorkspaceTier::Paying : WorkspaceTier::Trial,
        .kind = indexOf(generation.workClass) % 2 == 0 ? GenerationKind::Draft : GenerationKind::Suggestion,
        .model = generation.model,
        .promptTokens = generation.promptTokens,
        .producedTokens = generation.producedTokens,
        .maxTokens = generation.maxTokens,
        .accepted = true,
        .prefixHashes = {},
        .excludedTargets = {present.name},
        .dataCentre = present.dataCentre,
        .region = present.region,
    };
    auto need = needOf(request, now);
    auto &state = model(generation.model);
    setAdmissionClass(need, false, state);
    const auto choice = choose(request, need, state, now, random);
    return choice && choice->fits ? choice : std::nullopt;
}

} // namespace Jujube
