#pragma once

#include <LibPolicy/PlacementPolicy.h>

#include <functional>

namespace Jujube
{

// Common part of the baselines: they place at once on the best usable target and never make a request wait for room.
class BaselinePolicy : public PlacementPolicy
{
public:
    using PlacementPolicy::PlacementPolicy;

protected:
    PlacementDecision decide(const PlacementRequest &request, MonotonicTime now, uint64_t random) override;

    // Chooses among at least one usable target.
    virtual TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) = 0;

    // The target with the lowest cost. Ties go to a random one, so that gateways with the same view do not all choose the same target.
    static TargetIndex lowest(std::span<const TargetIndex> usable, uint64_t random, const std::function<double(TargetIndex)> &cost);

private:
    std::vector<TargetIndex> m_usable;
};

} // namespace Jujube
