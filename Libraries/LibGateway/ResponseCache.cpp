#include <LibGateway/ResponseCache.h>

#include <algorithm>

namespace Jujube
{

ResponseCache::ResponseCache(size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<ResponseCache::CachedResponse> ResponseCache::find(const Key &key, std::chrono::milliseconds maxAge, MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || now - found->second.requestedAt > maxAge) {
        return std::nullopt;
    }
    return found->second.response;
}

void ResponseCache::store(const Key &key, CachedResponse response, MonotonicTime requestedAt)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries[key];
    if (entry.requestedAt <= requestedAt) {
        entry = {.response = std::move(response), .requestedAt = requestedAt};
    }
    if (m_entries.size() > m_capacity) {
        const auto older = [](const auto &a, const auto &b) { return a.second.requestedAt < b.second.requestedAt; };
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), older));
    }
}

} // namespace Jujube
