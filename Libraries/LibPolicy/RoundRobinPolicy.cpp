#include <LibPolicy/RoundRobinPolicy.h>

namespace Jujube
{

TargetIndex RoundRobinPolicy::choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t)
{
    return usable[m_nextIndex[request.model]++ % usable.size()];
}

} // namespace Jujube
