#pragma once

#include <LibPolicy/BaselinePolicy.h>

namespace Jujube
{

// Chooses the target that reported the smallest share of its memory in use.
class LeastReportedMemoryPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;
};

} // namespace Jujube
