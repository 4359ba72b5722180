#include <LibPolicy/MemoryForecastPolicy.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Jujube
{

namespace
{

// A near target is taken without looking at farther ones if the probability that it preempts anything at all is below this.
constexpr double ComfortablePart = 0.1;

// Weights of the parts of a cost. The risk counts in units of the allowed one, the load in shares of the memory limit.
constexpr double LoadWeight = 0.5;
constexpr double DistanceWeight = 0.25;

// For a request that is to run alone: cost of one other running request, and the number of them that another request of this sort counts as.
constexpr double CompanyWeight = 1;
constexpr double IsolatedCompany = 1000;

// Above the cost of every target that can hold the request now.
constexpr double HopelessCost = 1000;

// A target that has less work than this is idle, in tokens.
constexpr double IdleMemory = 1;

bool better(bool leftFits, double leftCost, bool rightFits, double rightCost)
{
    return leftFits != rightFits ? leftFits : leftCost < rightCost;
}

} // namespace

TargetIndex MemoryForecastPolicy::Ring::at(size_t position) const
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
    makeRings(request);
    std::optional<Assessment> best;
    for (const auto &ring : m_rings) {
        if (ring.count == 0) {
            continue;
        }
        searchRing(ring, need, state, now, random, best);
        if (best && best->comfortable) {
            break;
        }
    }
    return best;
}

// Sorts the targets of the model by distance: same data centre, same region, other regions.
void MemoryForecastPolicy::makeRings(const PlacementRequest &request)
{
    for (size_t distance = 0; distance < m_rings.size(); ++distance) {
        m_rings[distance].groups.clear();
        m_rings[distance].count = 0;
        m_rings[distance].distance = static_cast<int>(distance);
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
        m_rings[distance].groups.emplace_back(group.targets);
        m_rings[distance].count += group.targets.size();
    }
}

// Looks at targets in random order until enough of them fit, and keeps the best one.
void MemoryForecastPolicy::searchRing(
    const Ring &ring, const Need &need, const ModelState &state, MonotonicTime now, SplitMix &random, std::optional<Assessment> &best)
{
    const auto consider = [&](TargetIndex index) {
        if (!mayTake(index, need, now)) {
            return false;
        }
        const auto assessment = assess(index, need, state, ring.distance, now);
        if (!best || better(assessment.fits, assessment.cost, best->fits, best->cost)) {
            best = assessment;
        }
        return assessment.fits;
    };
    for (const auto index : need.prefix.targets) {
        const bool inRing = std::ranges::any_of(ring.groups, [index](const auto &group) { return std::ranges::find(group, index) != group.end(); });
        if (inRing && fleet().isLive(index)) {
            consider(index);
        }
    }
    const bool whole = !settings().sampling || ring.count <= settings().candidates;
    const size_t looks = whole ? ring.count : settings().candidates;
    size_t choices = settings().sampling && !need.isolated ? state.lastSurvey().choices : ring.count;
    if (whole) {
        m_order.resize(ring.count);
        std::iota(m_order.begin(), m_order.end(), 0);
    }
    for (size_t look = 0; look < looks && choices > 0; ++look) {
        size_t position = 0;
        if (whole) {
            std::swap(m_order[look], m_order[look + random.below(static_cast<uint32_t>(ring.count - look))]);
            position = m_order[look];
        } else {
            position = random.below(static_cast<uint32_t>(ring.count));
        }
        if (consider(ring.at(position))) {
            --choices;
        }
    }
}

bool MemoryForecastPolicy::mayTake(TargetIndex index, const Need &need, MonotonicTime now) const
{
    return fleet().isUsable(index, now) && std::ranges::find(need.excluded, index) == need.excluded.end();
}

MemoryForecastPolicy::Assessment
MemoryForecastPolicy::assess(TargetIndex index, const Need &need, const ModelState &state, int distance, MonotonicTime now) const
{
    const auto &target = fleet().target(index);
    const double memoryLimit = static_cast<double>(target.memoryLimit());
    const double share = settings().returnRamp ? fleet().returnShare(index, now) : 1.0;
    const double reserve = need.leavesReserve ? reserveOn(index, state, now) : 0.0;
    const double limit = std::max(memoryLimit * share * (1 - need.headroom) - reserve, 1.0);
    Assessment assessment {.target = index};
    // Most targets of a full fleet fail already by what they hold now. The forecast, which takes ten times as long, is left out for them.
    const double nowHeld = heldOn(index, need, now) + need.memoryNow;
    if (nowHeld > limit) {
        assessment.cost = HopelessCost + nowHeld / limit;
        return assessment;
    }
    const auto present = presentOn(index, now);
    const double margin = overflowMargin(protectedOn(index, need, now), need.moments, limit);
    assessment.probability = overflowProbability(margin);
    // Even a request whose own length is so uncertain that it is a risk everywhere has to run somewhere.
    const bool isIdle = present.mean[0] < IdleMemory && share >= 1 && reserve <= 0;
    const bool fitsIdle = isIdle && margin >= 0;
    assessment.fits = fitsIdle || assessment.probability <= need.maxOverflowProbability;
    const double total = overflowProbability(overflowMargin(present, need.moments, limit));
    const double load = (peakMean(present) + need.memoryNow) / limit;
    assessment.comfortable = assessment.fits && total <= ComfortablePart;
    assessment.cost = assessment.probability / need.maxOverflowProbability + total + LoadWeight * load + DistanceWeight * distance;
    if (need.isolated) {
        assessment.cost += CompanyWeight * companyOn(index);
    }
    // The hint only orders targets that fit. It never makes one fit.
    if (std::ranges::find(need.prefix.targets, index) != need.prefix.targets.end()) {
        assessment.cost -= settings().prefixWeight * need.prefix.share;
    }
    return assessment;
}

double MemoryForecastPolicy::companyOn(TargetIndex index) const
{
    const auto &target = fleet().target(index);
    const bool besideIsolated = std::ranges::any_of(ownOn(index), [](const OwnGeneration *own) { return own->isolated; });
    return std::max(target.load.running, target.ownRunning) + (besideIsolated ? IsolatedCompany : 0.0);
}

// Memory that trial work must leave free on the target: the target's part of the paying demand, less the paying work that it already has.
double MemoryForecastPolicy::reserveOn(TargetIndex index, const ModelState &state, MonotonicTime now) const
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

// Memory in tokens that the request's contenders hold now.
double MemoryForecastPolicy::heldOn(TargetIndex index, const Need &need, MonotonicTime now) const
{
    const auto &target = fleet().target(index);
    if (index >= m_forecasts.size()) {
        return static_cast<double>(target.load.memoryUsed);
    }
    const std::chrono::duration<double> lag = now - target.loadTakenAt;
    return m_forecasts[index].held(lag, {need.protectedClasses.data(), need.protectedCount}, need.othersShare);
}

ForecastMoments MemoryForecastPolicy::protectedOn(TargetIndex index, const Need &need, MonotonicTime now) const
{
    if (index >= m_forecasts.size()) {
        return presentOn(index, now);
    }
    const std::chrono::duration<double> lag = now - fleet().target(index).loadTakenAt;
    return m_forecasts[index].at(lag, {need.protectedClasses.data(), need.protectedCount}, need.othersShare);
}

ForecastMoments MemoryForecastPolicy::presentOn(TargetIndex index, MonotonicTime now) const
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
