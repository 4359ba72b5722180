#include <LibPolicy/LeastOutstandingPolicy.h>

namespace Jujube
{

TargetIndex LeastOutstandingPolicy::choose(const PlacementRequest &, std::span<const TargetIndex> usable, uint64_t random)
{
    return lowestCostTarget(usable, random, [this](TargetIndex index) { return fleet().target(index).ownRunning; });
}

} // namespace Jujube
