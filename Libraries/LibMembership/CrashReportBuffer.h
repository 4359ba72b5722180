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
    // More requests ran than are listed, so that nothing can be concluded from a fingerprint that is missing here.
    bool truncated = false;
    MonotonicTime at;
};

// Carries crash reports between gateways in bounded memory and bounded datagrams. What follows from them is decided elsewhere.
class CrashReportBuffer
{
public:
    static constexpr size_t MaxReports = 256;
    // A crash with more requests says little about each of them.
    static constexpr size_t MaxFingerprints = 32;
    static constexpr std::chrono::minutes KeepTime {10};

    // Merges a report. Returns true if it brought a crash or a fingerprint that was not known.
    bool merge(const CrashReport &report, int sendings);

    // At most two reports that still have to be sent.
    std::vector<Wire::CrashRecord> take(MonotonicTime now);

    void forgetOld(MonotonicTime now);

    std::vector<CrashReport> reports() const;

    static CrashReport fromWire(const Wire::CrashRecord &record, MonotonicTime now);

private:
    struct Entry {
        CrashReport report;
        int sendingsLeft = 0;
    };

    std::map<int64_t, Entry> m_entries;
    // The crash that was sent last, so that all take turns.
    int64_t m_lastTaken = 0;
};

} // namespace Jujube
