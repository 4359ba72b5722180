#include <LibPolicy/SoundPromptParts.h>

#include <algorithm>
#include <utility>

namespace Jujube
{

std::optional<MonotonicTime> SoundPromptParts::record(uint64_t part, MonotonicTime time)
{
    const auto before = find(part);
    m_older.erase(part);
    if (m_recent.size() >= m_capacity / 2 && !m_recent.contains(part)) {
        m_older = std::exchange(m_recent, {});
    }
    m_recent[part] = before ? std::max(*before, time) : time;
    return before;
}

std::optional<MonotonicTime> SoundPromptParts::find(uint64_t part) const
{
    for (const auto *times : {&m_recent, &m_older}) {
        if (const auto found = times->find(part); found != times->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void SoundPromptParts::dropBefore(MonotonicTime time)
{
    for (auto *times : {&m_recent, &m_older}) {
        absl::erase_if(*times, [time](const auto &entry) { return entry.second < time; });
    }
}

} // namespace Jujube
