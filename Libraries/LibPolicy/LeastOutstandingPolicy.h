#pragma once

#include <LibPolicy/BaselinePolicy.h>

namespace Jujube
{

// Takes the target with the fewest requests of this gateway in progress.
class LeastOutstandingPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;
};

} // namespace Jujube
