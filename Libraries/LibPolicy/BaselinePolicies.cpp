#include <LibPolicy/BaselinePolicies.h>

#include <algorithm>
#include <functional>

namespace Jujube
{

namespace
{

// The target with the lowest cost. Ties go to a random one, so that gateways with the same view do not all choose the same target.
TargetIndex lowest(std::span<const TargetIndex> usable, uint64_t random, const std::function<double(TargetIndex)> &cost)
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

} // namespace

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
    return RefuseRequest {.kind = anyLive ? ErrorKind::Overloaded : ErrorKind::TargetUnavailable, .retryAfter = std::chrono::seconds(1)};
}

TargetIndex RoundRobinPolicy::choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t)
{
    return usable[m_turn[request.model]++ % usable.size()];
}

TargetIndex LeastOutstandingPolicy::choose(const PlacementRequest &, std::span<const TargetIndex> usable, uint64_t random)
{
    return lowest(usable, random, [this](TargetIndex index) { return fleet().target(index).ownRunning; });
}

TargetIndex LeastReportedMemoryPolicy::choose(const PlacementRequest &, std::span<const TargetIndex> usable, uint64_t random)
{
    return lowest(usable, random, [this](TargetIndex index) {
        const auto &target = fleet().target(index);
        return static_cast<double>(target.load.memoryUsed) / static_cast<double>(std::max<int64_t>(target.memoryLimit(), 1));
    });
}

} // namespace Jujube
