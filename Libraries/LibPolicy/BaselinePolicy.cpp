#include <LibPolicy/BaselinePolicy.h>

#include <algorithm>

namespace Jujube
{

PlacementDecision BaselinePolicy::decide(const PlacementRequest &request, MonotonicTime now, uint64_t random)
{
    m_usable.clear();
    bool anyLive = false;
    for (const auto &group : fleet().targetsOf(request.model)) {
        for (const auto index : group.targets) {
            const auto &target = fleet().target(index);
            if (std::ranges::find(request.excludedTargets, target.description.name) != request.excludedTargets.end()) {
                continue;
            }
            anyLive = anyLive || (!target.isLeaving() && !fleet().dataCentre(group.dataCentre).out);
            if (fleet().isUsable(index, now)) {
                m_usable.push_back(index);
            }
        }
    }
    if (!m_usable.empty()) {
        return PlaceOnTarget {.target = fleet().target(choose(request, m_usable, random)).description.name};
    }
    if (request.accepted) {
        return WaitUntil {now + options().pollTime};
    }
    return RejectRequest {.kind = anyLive ? ErrorKind::Overloaded : ErrorKind::TargetUnavailable, .retryAfter = std::chrono::seconds(1)};
}

TargetIndex BaselinePolicy::lowestCostTarget(std::span<const TargetIndex> usable, uint64_t random, const std::function<double(TargetIndex)> &cost)
{
    const size_t offset = random % usable.size();
    TargetIndex best = usable[offset];
    double bestCost = cost(best);
    for (size_t i = 1; i < usable.size(); ++i) {
        const auto candidate = usable[(offset + i) % usable.size()];
        const double candidateCost = cost(candidate);
        if (candidateCost < bestCost) {
            best = candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

} // namespace Jujube
