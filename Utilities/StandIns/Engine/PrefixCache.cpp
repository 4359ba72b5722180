#include <StandIns/Engine/PrefixCache.h>

#include <LibCore/TokenChecksum.h>
#include <utility>

namespace Jujube
{

std::vector<std::string> promptPrefixHashes(std::string_view model, std::string_view prompt)
{
    std::vector<std::string> hashes;
    TokenChecksum checksum;
    checksum.add(model);
    for (size_t end = PrefixCache::BlockBytes; end <= prompt.size(); end += PrefixCache::BlockBytes) {
        checksum.add(prompt.substr(end - PrefixCache::BlockBytes, PrefixCache::BlockBytes));
        hashes.push_back(checksum.hex());
    }
    return hashes;
}

int64_t PrefixCache::cachedTokens(const std::vector<std::string> &hashes) const
{
    int64_t tokens = 0;
    for (const auto &hash : hashes) {
        if (!m_blocks.contains(hash)) {
            break;
        }
        tokens += BlockTokens;
    }
    return tokens;
}

void PrefixCache::use(const std::vector<std::string> &hashes)
{
    // From the last block to the first, so that the end of a prefix is evicted before its beginning.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        const auto found = m_blocks.find(*hash);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(*hash);
        m_blocks.emplace(*hash, m_order.begin());
        emit(true, *hash);
    }
}

void PrefixCache::shrinkTo(int64_t tokens)
{
    while (!m_order.empty() && static_cast<int64_t>(m_order.size()) * BlockTokens > tokens) {
        emit(false, m_order.back());
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
}

void PrefixCache::clear()
{
    shrinkTo(0);
}

std::vector<PrefixCache::Event> PrefixCache::takeEvents()
{
    return std::exchange(m_events, {});
}

void PrefixCache::emit(bool stored, const std::string &prefix)
{
    m_events.push_back({.sequence = ++m_lastSequence, .stored = stored, .prefix = prefix});
}

} // namespace Jujube
