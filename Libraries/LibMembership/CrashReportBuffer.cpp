#include <LibMembership/CrashReportBuffer.h>

#include <algorithm>
#include <cstring>

namespace Jujube
{

namespace
{

constexpr size_t MaxReportsPerDatagram = 2;

Wire::CrashRecord toWire(const CrashReport &report, MonotonicTime now)
{
    Wire::CrashRecord record;
    record.crash = report.crash;
    record.ageSeconds = static_cast<int32_t>(std::chrono::duration_cast<std::chrono::seconds>(now - report.at).count());
    record.fingerprints.resize(report.fingerprints.size() * sizeof(uint64_t));
    std::memcpy(record.fingerprints.data(), report.fingerprints.data(), record.fingerprints.size());
    if (report.truncated) {
        record.__set_truncated(true);
    }
    return record;
}

} // namespace

bool CrashReportBuffer::merge(const CrashReport &report, int transmissions)
{
    if (!m_entries.contains(report.crash) && m_entries.size() >= MaxReports) {
        const auto oldest
            = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) { return a.second.report.at < b.second.report.at; });
        if (oldest->second.report.at >= report.at) {
            return false;
        }
        m_entries.erase(oldest);
    }
    const bool isNew = !m_entries.contains(report.crash);
    auto &entry = m_entries[report.crash];
    bool changed = isNew;
    if (isNew) {
        entry.report = {.crash = report.crash, .fingerprints = {}, .truncated = false, .at = report.at};
    }
    auto &known = entry.report;
    for (const auto fingerprint : report.fingerprints) {
        if (std::find(known.fingerprints.begin(), known.fingerprints.end(), fingerprint) != known.fingerprints.end()) {
            continue;
        }
        if (known.fingerprints.size() >= MaxFingerprints) {
            changed = changed || !known.truncated;
            known.truncated = true;
            break;
        }
        known.fingerprints.push_back(fingerprint);
        changed = true;
    }
    changed = changed || (report.truncated && !known.truncated);
    known.truncated = known.truncated || report.truncated;
    if (changed) {
        entry.transmissionsLeft = transmissions;
    }
    return changed;
}

std::vector<Wire::CrashRecord> CrashReportBuffer::nextRecords(MonotonicTime now)
{
    std::vector<Wire::CrashRecord> records;
    auto next = m_entries.upper_bound(m_lastSentCrash);
    for (size_t seen = 0; seen < m_entries.size() && records.size() < MaxReportsPerDatagram; ++seen) {
        if (next == m_entries.end()) {
            next = m_entries.begin();
        }
        auto &[crash, entry] = *next;
        if (entry.transmissionsLeft > 0) {
            entry.transmissionsLeft -= 1;
            m_lastSentCrash = crash;
            records.push_back(toWire(entry.report, now));
        }
        ++next;
    }
    return records;
}

void CrashReportBuffer::removeExpired(MonotonicTime now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.report.at > RetentionTime; });
}

std::vector<CrashReport> CrashReportBuffer::reports() const
{
    std::vector<CrashReport> reports;
    reports.reserve(m_entries.size());
    for (const auto &[crash, entry] : m_entries) {
        reports.push_back(entry.report);
    }
    return reports;
}

CrashReport CrashReportBuffer::fromWire(const Wire::CrashRecord &record, MonotonicTime now)
{
    CrashReport report {
        .crash = record.crash, .fingerprints = {}, .truncated = record.truncated, .at = now - std::chrono::seconds(std::max(0, record.ageSeconds))};
    const auto count = std::min(record.fingerprints.size() / sizeof(uint64_t), MaxFingerprints);
    report.fingerprints.resize(count);
    std::memcpy(report.fingerprints.data(), record.fingerprints.data(), count * sizeof(uint64_t));
    return report;
}

} // namespace Jujube
