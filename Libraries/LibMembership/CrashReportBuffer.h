#pragma once

#include <cstdint>
#include <LibCore/Time.h>
#include <map>
#include <Membership_types.h>
#include <vector>

namespace Jujube
{

// The requests that ran on a target when it crashed. Several gateways report parts of the same crash.
struct CrashReport {
    // Hash of the target and its incarnation, the same at every gateway.
    int64_t crash = 0;
    std::vector<uint64_t> fingerprints;
    // More requests ran than are listed, so nothing can be concluded from a missing fingerprint.
    bool truncated = false;
    MonotonicTime at;
};

// Buffers the crash reports that gateways exchange, in bounded memory and with a bounded number per datagram. It draws no conclusions from them.
class CrashReportBuffer
{
public:
    static constexpr size_t MaxReports = 256;
    // A crash with more requests is weak evidence against each of them.
    static constexpr size_t MaxFingerprints = 32;
    static constexpr std::chrono::minutes RetentionTime {10};

    // Merges a report. Returns true if the report contained anything new; the merged report is then sent in the given number of datagrams.
    bool merge(const CrashReport &report, int transmissions);

    // Returns the reports for the next datagram, at most two, and counts one transmission for each.
    std::vector<Wire::CrashRecord> nextRecords(MonotonicTime now);

    void removeExpired(MonotonicTime now);

    std::vector<CrashReport> reports() const;

    static CrashReport fromWire(const Wire::CrashRecord &record, MonotonicTime now);

private:
    struct Entry {
        CrashReport report;
        int transmissionsLeft = 0;
    };

    std::map<int64_t, Entry> m_entries;
    // The crash that was sent last. Reports are sent in round-robin order.
    int64_t m_lastSentCrash = 0;
};

} // namespace Jujube
