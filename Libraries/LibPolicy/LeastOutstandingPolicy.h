#pragma once

#include <LibPolicy/BaselinePolicy.h>

namespace Jujube
{

// Chooses the target with the fewest outstanding requests of this gateway.
class LeastOutstandingPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;
};

} // namespace Jujube
