#include <LibPolicy/PrefixHints.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Takes about 5 MB. The oldest prefixes are removed first.
constexpr size_t MaxPrefixes = 65536;

// More targets with the same prefix would not change a decision.
constexpr size_t MaxTargetsPerPrefix = 4;

} // namespace

void PrefixHints::stored(TargetIndex target, uint64_t prefixHash)
{
    const auto [entry, isNew] = m_targets.try_emplace(prefixHash);
    if (isNew) {
        m_order.push_back(prefixHash);
    }
    auto &targets = entry->second;
    if (std::ranges::find(targets, target) == targets.end()) {
        if (targets.size() >= MaxTargetsPerPrefix) {
            targets.erase(targets.begin());
        }
        targets.push_back(target);
    }
    while (m_order.size() > MaxPrefixes) {
        m_targets.erase(m_order.front());
        m_order.pop_front();
    }
}

void PrefixHints::evicted(TargetIndex target, uint64_t prefixHash)
{
    const auto known = m_targets.find(prefixHash);
    if (known != m_targets.end()) {
        // The entry itself stays until its hash is removed from m_order, which bounds both containers.
        std::erase(known->second, target);
    }
}

PrefixHints::Match PrefixHints::find(std::span<const uint64_t> prefixHashes) const
{
    for (size_t length = prefixHashes.size(); length > 0; --length) {
        const auto known = m_targets.find(prefixHashes[length - 1]);
        if (known != m_targets.end() && !known->second.empty()) {
            return {.targets = known->second, .share = static_cast<double>(length) / static_cast<double>(prefixHashes.size())};
        }
    }
    return {};
}

} // namespace Jujube
