#include "PlatformStore.h"

#include <algorithm>

namespace Jujube
{

std::optional<PlatformStore::Row> PlatformStore::get(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

std::vector<PlatformStore::Row> PlatformStore::list(const std::string &prefix) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Row> rows;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
        rows.push_back(row->second);
    }
    return rows;
}

std::optional<std::vector<int64_t>> PlatformStore::apply(const std::vector<Write> &writes)
{
    const std::lock_guard lock(m_mutex);
    if (!std::all_of(writes.begin(), writes.end(), [this](const auto &write) { return holds(write); })) {
        return std::nullopt;
    }
    std::vector<int64_t> revisions;
    for (const auto &write : writes) {
        m_rows[write.key] = {.key = write.key, .value = write.value, .revision = ++m_lastRevision};
        revisions.push_back(m_lastRevision);
    }
    return revisions;
}

bool PlatformStore::holds(const Write &write) const
{
    const auto found = m_rows.find(write.key);
    const int64_t current = found == m_rows.end() ? 0 : found->second.revision;
    return !write.revision || *write.revision == current;
}

std::optional<std::string> PlatformStore::getObject(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

void PlatformStore::putObject(const std::string &name, std::string bytes)
{
    const std::lock_guard lock(m_mutex);
    m_objects[name] = std::move(bytes);
}

} // namespace Jujube
