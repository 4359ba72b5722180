#include <LibPolicy/MemoryForecastPolicy.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Jujube
{

namespace
{

// A target is chosen without evaluating more distant ones if the probability that it preempts any work at all is not above this.
constexpr double LowRiskProbability = 0.1;

// Weights of the terms of a target's cost. The overflow probability is divided by the allowed one, and the load is a share of the memory limit.
constexpr double LoadWeight = 0.5;
constexpr double DistanceWeight = 0.25;

// For an isolated request: cost of each other run on the target, and the number of runs that another isolated request counts as.
constexpr double OtherRunWeight = 1;
constexpr double IsolatedRunEquivalent = 1000;

// Base cost of a target whose memory cannot hold the request now. Above the cost of every target that can hold it.
constexpr double NoFitCost = 1000;

// A target is idle if its work takes less memory than this, in tokens.
constexpr double IdleMemory = 1;

bool isBetter(bool leftFits, double leftCost, bool rightFits, double rightCost)
{
    return leftFits != rightFits ? leftFits : leftCost < rightCost;
}

} // namespace

TargetIndex MemoryForecastPolicy::DistanceGroup::at(size_t position) const
{
    for (const auto &group : groups) {
        if (position < group.size()) {
            return group[position];
        }
        position -= group.size();
    }
    return groups.front().front();
}

std::optional<MemoryForecastPolicy::Assessment>
MemoryForecastPolicy::choose(const PlacementRequest &request, const Need &need, const ModelState &state, MonotonicTime now, SplitMix &random)
{
    groupTargetsByDistance(request);
    std::optional<Assessment> best;
    for (const auto &distanceGroup : m_distanceGroups) {
        if (distanceGroup.count == 0) {
            continue;
        }
        searchDistanceGroup(distanceGroup, need, state, now, random, best);
        if (best && best->isLowRisk) {
            break;
        }
    }
    return best;
}

// Groups the targets of the model by distance: same data centre, same region, other regions.
void MemoryForecastPolicy::groupTargetsByDistance(const PlacementRequest &request)
{
    for (size_t distance = 0; distance < m_distanceGroups.size(); ++distance) {
        m_distanceGroups[distance].groups.clear();
        m_distanceGroups[distance].count = 0;
        m_distanceGroups[distance].distance = static_cast<int>(distance);
    }
    for (const auto &group : fleet().targetsOf(request.model)) {
        const auto &dataCentre = fleet().dataCentre(group.dataCentre);
        if (dataCentre.out) {
            continue;
        }
        size_t distance = 0;
        if (settings().distance && dataCentre.name != request.dataCentre) {
            distance = dataCentre.region == request.region ? 1 : 2;
        }
        m_distanceGroups[distance].groups.emplace_back(group.targets);
        m_distanceGroups[distance].count += group.targets.size();
    }
}

// Evaluates targets in random order until enough of them fit, and keeps the best one.
void MemoryForecastPolicy::searchDistanceGroup(
    const DistanceGroup &distanceGroup, const Need &need, const ModelState &state, MonotonicTime now, SplitMix &random, std::optional<Assessment> &best)
{
    const auto consider = [&](TargetIndex index) {
        if (!isEligible(index, need, now)) {
            return false;
        }
        const auto assessment = assess(index, need, state, distanceGroup.distance, now);
        if (!best || isBetter(assessment.fits, assessment.cost, best->fits, best->cost)) {
            best = assessment;
        }
        return assessment.fits;
    };
    for (const auto index : need.prefix.targets) {
        const bool inGroup = std::ranges::any_of(distanceGroup.groups, [index](const auto &group) { return std::ranges::find(group, index) != group.end(); });
        if (inGroup && fleet().isLive(index)) {
            consider(index);
        }
    }
    const bool evaluatesAll = !settings().sampling || distanceGroup.count <= settings().maxCandidates;
    const size_t samples = evaluatesAll ? distanceGroup.count : settings().maxCandidates;
    size_t choices = settings().sampling && !need.isolated ? state.lastSurvey().choices : distanceGroup.count;
    if (evaluatesAll) {
        m_order.resize(distanceGroup.count);
        std::iota(m_order.begin(), m_order.end(), 0);
    }
    for (size_t sample = 0; sample < samples && choices > 0; ++sample) {
        size_t position = 0;
        if (evaluatesAll) {
            std::swap(m_order[sample], m_order[sample + random.below(static_cast<uint32_t>(distanceGroup.count - sample))]);
            position = m_order[sample];
        } else {
            position = random.below(static_cast<uint32_t>(distanceGroup.count));
        }
        if (consider(distanceGroup.at(position))) {
            --choices;
        }
    }
}

bool MemoryForecastPolicy::isEligible(TargetIndex index, const Need &need, MonotonicTime now) const
{
    return fleet().isUsable(index, now) && std::ranges::find(need.excluded, index) == need.excluded.end();
}

MemoryForecastPolicy::Assessment
MemoryForecastPolicy::assess(TargetIndex index, const Need &need, const ModelState &state, int distance, MonotonicTime now) const
{
    const auto &target = fleet().target(index);
    const double memoryLimit = static_cast<double>(target.memoryLimit());
    const double share = settings().slowStart ? fleet().slowStartShare(index, now) : 1.0;
    const double reserve = need.leavesReserve ? payingReserveOn(index, state, now) : 0.0;
    const double limit = std::max(memoryLimit * share * (1 - need.headroom) - reserve, 1.0);
    Assessment assessment {.target = index};
    // Most targets of a full fleet are excluded by the memory that they hold now. The forecast, which takes ten times as long, is skipped for them.
    const double presentMemory = protectedMemoryOn(index, need, now) + need.memoryNow;
    if (presentMemory > limit) {
        assessment.cost = NoFitCost + presentMemory / limit;
        return assessment;
    }
    const auto present = presentForecastOn(index, now);
    const double margin = overflowMargin(protectedForecastOn(index, need, now), need.moments, limit);
    assessment.probability = overflowProbability(margin);
    // A request whose length is so uncertain that its overflow probability is too high on every target may still run on an idle one.
    const bool isIdle = present.mean[0] < IdleMemory && share >= 1 && reserve <= 0;
    const bool fitsIdle = isIdle && margin >= 0;
    assessment.fits = fitsIdle || assessment.probability <= need.maxOverflowProbability;
    const double total = overflowProbability(overflowMargin(present, need.moments, limit));
    const double load = (peakMean(present) + need.memoryNow) / limit;
    assessment.isLowRisk = assessment.fits && total <= LowRiskProbability;
    assessment.cost = assessment.probability / need.maxOverflowProbability + total + LoadWeight * load + DistanceWeight * distance;
    if (need.isolated) {
        assessment.cost += OtherRunWeight * otherRunsOn(index);
    }
    // The hint affects only the order of targets. It never makes a target fit.
    if (std::ranges::find(need.prefix.targets, index) != need.prefix.targets.end()) {
        assessment.cost -= settings().prefixWeight * need.prefix.share;
    }
    return assessment;
}

double MemoryForecastPolicy::otherRunsOn(TargetIndex index) const
{
    const auto &target = fleet().target(index);
    const bool hasIsolatedRun = std::ranges::any_of(ownOn(index), [](const OwnGeneration *own) { return own->isolated; });
    return std::max(target.load.running, target.ownRunning) + (hasIsolatedRun ? IsolatedRunEquivalent : 0.0);
}

// Memory that trial work must leave free on the target: the target's share of the paying demand, less the paying work that it already has.
double MemoryForecastPolicy::payingReserveOn(TargetIndex index, const ModelState &state, MonotonicTime now) const
{
    const auto &survey = state.lastSurvey();
    if (survey.capacity <= 0) {
        return 0;
    }
    const auto &target = fleet().target(index);
    const double part = state.payingDemand(now) * static_cast<double>(target.memoryLimit()) / survey.capacity;
    double present = static_cast<double>(target.load.memoryUsed) * state.payingShare();
    if (index < m_forecasts.size()) {
        present = m_forecasts[index].ownMemory(WorkClass::PayingDraft) + m_forecasts[index].ownMemory(WorkClass::PayingSuggestion)
            + m_forecasts[index].othersMemory() * state.payingShare();
    }
    return std::max(0.0, part - present);
}

// Memory in tokens that work of the protected classes holds now.
double MemoryForecastPolicy::protectedMemoryOn(TargetIndex index, const Need &need, MonotonicTime now) const
{
    const auto &target = fleet().target(index);
    if (index >= m_forecasts.size()) {
        return static_cast<double>(target.load.memoryUsed);
    }
    const std::chrono::duration<double> lag = now - target.loadTakenAt;
    return m_forecasts[index].presentMean(lag, {need.protectedClasses.data(), need.protectedCount}, need.othersShare);
}

ForecastMoments MemoryForecastPolicy::protectedForecastOn(TargetIndex index, const Need &need, MonotonicTime now) const
{
    if (index >= m_forecasts.size()) {
        return presentForecastOn(index, now);
    }
    const std::chrono::duration<double> lag = now - fleet().target(index).loadTakenAt;
    return m_forecasts[index].at(lag, {need.protectedClasses.data(), need.protectedCount}, need.othersShare);
}

ForecastMoments MemoryForecastPolicy::presentForecastOn(TargetIndex index, MonotonicTime now) const
{
    if (index >= m_forecasts.size()) {
        return constantMoments(static_cast<double>(fleet().target(index).load.memoryUsed));
    }
    const std::chrono::duration<double> lag = now - fleet().target(index).loadTakenAt;
    return m_forecasts[index].at(lag);
}

const MemoryForecastOptions &MemoryForecastPolicy::settings() const
{
    return options().forecast;
}

} // namespace Jujube
