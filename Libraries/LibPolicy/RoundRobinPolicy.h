#pragma once

#include <LibPolicy/BaselinePolicy.h>

namespace Jujube
{

// Chooses the usable targets of a model in turn.
class RoundRobinPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;

private:
    absl::flat_hash_map<std::string, uint64_t> m_nextIndex;
};

} // namespace Jujube
