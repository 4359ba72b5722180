#include <LibPolicy/LeastReportedMemoryPolicy.h>

#include <algorithm>

namespace Jujube
{

TargetIndex LeastReportedMemoryPolicy::choose(const PlacementRequest &, std::span<const TargetIndex> usable, uint64_t random)
{
    return lowestCostTarget(usable, random, [this](TargetIndex index) {
        const auto &target = fleet().target(index);
        return static_cast<double>(target.load.memoryUsed) / static_cast<double>(std::max<int64_t>(target.memoryLimit(), 1));
    });
}

} // namespace Jujube
