#pragma once

#include <LibPolicy/PlacementPolicy.h>

#include <functional>

namespace Jujube
{

// Common base of the baseline policies, which place a request at once on the best usable target. Only accepted requests wait, while no target is usable.
class BaselinePolicy : public PlacementPolicy
{
public:
    using PlacementPolicy::PlacementPolicy;

protected:
    PlacementDecision decide(const PlacementRequest &request, MonotonicTime now, uint64_t random) override;

    // Chooses among at least one usable target.
    virtual TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) = 0;

    // The target with the lowest cost. Ties are broken at random, so that gateways with the same view do not all choose the same target.
    static TargetIndex lowestCostTarget(std::span<const TargetIndex> usable, uint64_t random, const std::function<double(TargetIndex)> &cost);

private:
    std::vector<TargetIndex> m_usable;
};

} // namespace Jujube
