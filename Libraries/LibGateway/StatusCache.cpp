#include <LibGateway/StatusCache.h>

#include <algorithm>

namespace Jujube
{

StatusCache::StatusCache(size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<StatusCache::Answer> StatusCache::find(const Key &key, std::chrono::milliseconds fresh, MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || now - found->second.askedAt > fresh) {
        return std::nullopt;
    }
    return found->second.answer;
}

void StatusCache::store(const Key &key, Answer answer, MonotonicTime askedAt)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries[key];
    if (entry.askedAt <= askedAt) {
        entry = {.answer = std::move(answer), .askedAt = askedAt};
    }
    if (m_entries.size() > m_capacity) {
        const auto older = [](const auto &a, const auto &b) { return a.second.askedAt < b.second.askedAt; };
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), older));
    }
}

} // namespace Jujube
