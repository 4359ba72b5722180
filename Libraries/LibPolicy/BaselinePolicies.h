#pragma once

#include <LibPolicy/PlacementPolicy.h>

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

private:
    std::vector<TargetIndex> m_usable;
};

// Takes the usable targets of a model in turn.
class RoundRobinPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;

private:
    absl::flat_hash_map<std::string, uint64_t> m_turn;
};

// Takes the target with the fewest requests of this gateway in progress.
class LeastOutstandingPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;
};

// Takes the target that reported the smallest share of its memory in use.
class LeastReportedMemoryPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    TargetIndex choose(const PlacementRequest &request, std::span<const TargetIndex> usable, uint64_t random) override;
};

} // namespace Jujube
