#include <LibRelay/StreamOrigins.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// More versions are not needed to know that a stream is contradictory.
constexpr size_t MaxVersions = 2;

} // namespace

StreamOrigins::StreamOrigins(Options options)
    : m_options(options)
{
}

uint64_t StreamOrigins::keyOf(std::string_view workspace, std::string_view service, std::string_view attempt)
{
    // The sizes tell where each text ends, whatever it contains.
    const auto text = absl::StrCat(workspace.size(), ":", service.size(), ":", toAbsl(workspace), toAbsl(service), toAbsl(attempt));
    return XXH3_64bits(text.data(), text.size());
}

void StreamOrigins::recordOwn(uint64_t key, std::string version, MonotonicTime expiresAt, MonotonicTime now)
{
    auto *record = this->record(key, version, expiresAt, now);
    if (!record || record->ownVersions.size() >= MaxVersions || std::ranges::find(record->ownVersions, version) != record->ownVersions.end()) {
        return;
    }
    record->ownVersions.push_back(version);
    addReport(m_unreported, {.key = key, .version = std::move(version)});
}

void StreamOrigins::recordReported(const StreamOrigin &origin, MonotonicTime now)
{
    record(origin.key, origin.version, now + std::min(origin.lifetime, m_options.maxLifetime), now);
}

StreamOrigins::Record *StreamOrigins::record(uint64_t key, const std::string &version, MonotonicTime expiresAt, MonotonicTime now)
{
    if (expiresAt <= now) {
        return nullptr;
    }
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.expiresAt <= now) {
        erase(key);
    }
    auto &record = m_records.try_emplace(key, Record {.versions = {version}, .expiresAt = expiresAt, .recordedAt = now}).first->second;
    m_byExpiry.erase({record.expiresAt, key});
    if (record.versions.size() < MaxVersions && record.versions.front() != version) {
        record.versions.push_back(version);
        record.recordedAt = now;
    }
    record.expiresAt = std::max(record.expiresAt, expiresAt);
    m_byExpiry.emplace(record.expiresAt, key);
    bool isDropped = false;
    while (m_records.size() > m_options.maxStreams) {
        const auto first = m_byExpiry.begin()->second;
        isDropped = isDropped || first == key;
        erase(first);
    }
    // Erasing other records does not move this one.
    return isDropped ? nullptr : &record;
}

void StreamOrigins::erase(uint64_t key)
{
    const auto found = m_records.find(key);
    m_byExpiry.erase({found->second.expiresAt, key});
    m_records.erase(found);
}

std::chrono::milliseconds StreamOrigins::lifetimeOf(const Record &record, MonotonicTime now) const
{
    const auto lifetime = std::chrono::floor<std::chrono::milliseconds>(record.expiresAt - now);
    return std::clamp(lifetime, std::chrono::milliseconds(0), m_options.maxLifetime);
}

std::optional<std::string> StreamOrigins::version(uint64_t key, MonotonicTime now) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.versions.size() > 1 || found->second.expiresAt <= now) {
        return std::nullopt;
    }
    return found->second.versions.front();
}

std::vector<StreamOrigin> StreamOrigins::find(uint64_t key, MonotonicTime now) const
{
    const auto record = known(key, now);
    return record ? record->origins : std::vector<StreamOrigin>();
}

std::optional<StreamOrigins::Known> StreamOrigins::known(uint64_t key, MonotonicTime now) const
{
    const auto found = m_records.find(key);
    const auto lifetime = found == m_records.end() ? std::chrono::milliseconds(0) : lifetimeOf(found->second, now);
    if (lifetime.count() == 0) {
        return std::nullopt;
    }
    Known result {.isOwn = !found->second.ownVersions.empty(), .recordedAt = found->second.recordedAt, .origins = {}};
    for (const auto &version : found->second.versions) {
        result.origins.push_back({.key = key, .version = version, .lifetime = lifetime});
    }
    return result;
}

std::vector<uint64_t> StreamOrigins::keys() const
{
    std::vector<uint64_t> result;
    result.reserve(m_byExpiry.size());
    for (const auto &[expiresAt, key] : m_byExpiry) {
        result.push_back(key);
    }
    return result;
}

std::optional<StreamOrigin> StreamOrigins::originOf(const Report &report, MonotonicTime now) const
{
    const auto found = m_records.find(report.key);
    if (found == m_records.end() || std::ranges::find(found->second.ownVersions, report.version) == found->second.ownVersions.end()) {
        return std::nullopt;
    }
    const auto lifetime = lifetimeOf(found->second, now);
    return lifetime.count() == 0 ? std::nullopt : std::optional(StreamOrigin {.key = report.key, .version = report.version, .lifetime = lifetime});
}

bool StreamOrigins::dropVoidReports(std::deque<Report> &queue, MonotonicTime now) const
{
    while (!queue.empty() && !originOf(queue.front(), now)) {
        queue.pop_front();
    }
    return !queue.empty();
}

void StreamOrigins::addReport(std::deque<Report> &queue, Report report) const
{
    queue.push_back(std::move(report));
    // Reports of records that were dropped stay in the queue, which has to be bounded, too.
    if (queue.size() > 2 * m_options.maxStreams) {
        queue.pop_front();
    }
}

std::vector<StreamOrigin> StreamOrigins::takeReports(size_t count, MonotonicTime now)
{
    std::vector<StreamOrigin> origins;
    std::vector<Report> reported;
    while (origins.size() < count && dropVoidReports(m_unreported, now)) {
        origins.push_back(*originOf(m_unreported.front(), now));
        reported.push_back(std::move(m_unreported.front()));
        m_unreported.pop_front();
    }
    while (origins.size() < count && dropVoidReports(m_reportedOnce, now)) {
        origins.push_back(*originOf(m_reportedOnce.front(), now));
        m_reportedOnce.pop_front();
    }
    for (auto &report : reported) {
        addReport(m_reportedOnce, std::move(report));
    }
    return origins;
}

bool StreamOrigins::hasReports(MonotonicTime now)
{
    return dropVoidReports(m_unreported, now) || dropVoidReports(m_reportedOnce, now);
}

void StreamOrigins::reportAll(MonotonicTime now)
{
    expire(now);
    m_unreported.clear();
    m_reportedOnce.clear();
    for (const auto &[expiresAt, key] : m_byExpiry) {
        for (const auto &version : m_records.at(key).ownVersions) {
            addReport(m_unreported, {.key = key, .version = version});
        }
    }
}

void StreamOrigins::expire(MonotonicTime now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        erase(m_byExpiry.begin()->second);
    }
    dropVoidReports(m_unreported, now);
    dropVoidReports(m_reportedOnce, now);
}

} // namespace Jujube
