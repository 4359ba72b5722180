#pragma once

#include <LibPolicy/FleetView.h>

#include <deque>
#include <span>

namespace Jujube
{

// Records which targets probably have which prompt prefixes in their caches. Cache events arrive late and incompletely, so this is only a hint.
class PrefixHints
{
public:
    void stored(TargetIndex target, uint64_t prefixHash);
    void evicted(TargetIndex target, uint64_t prefixHash);

    struct Match {
        std::span<const TargetIndex> targets;
        // Matched share of the prefixes, between 0 and 1.
        double share = 0;
    };

    // Targets that have the longest known prefix. `prefixHashes` is sorted from the shortest to the longest.
    Match find(std::span<const uint64_t> prefixHashes) const;

private:
    absl::flat_hash_map<uint64_t, std::vector<TargetIndex>> m_targets;
    std::deque<uint64_t> m_order;
};

} // namespace Jujube
