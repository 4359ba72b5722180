#pragma once

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <LibCore/Time.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujube
{

// The version that began a stream, as relays report it to each other.
struct StreamOrigin {
    // StreamOrigins::keyOf() of the stream.
    uint64_t key = 0;
    std::string version;
    // Remaining time for which callers may take the stream up again.
    std::chrono::milliseconds lifetime {0};

    bool operator==(const StreamOrigin &) const = default;
};

// The versions that began streams. The first record of a stream holds. A later one with another version makes the stream contradictory until both have expired,
// and its version is unknown then. One with the same version may only prolong it.
class StreamOrigins
{
public:
    struct Options {
        // If there are more, those that expire first are dropped.
        size_t maxStreams = 20000;
        // Longer lifetimes in reports, received or handed out, are reduced to it.
        std::chrono::milliseconds maxLifetime {600'000};
    };

    explicit StreamOrigins(Options options);

    // The key of a stream. `attempt` is the id of the attempt that brought its first event.
    static uint64_t keyOf(std::string_view workspace, std::string_view service, std::string_view attempt);

    // Records a stream that began through this relay, to be reported to the others. If it contradicts an earlier record, it is reported all the same, so that
    // the other relays learn of the contradiction. Does nothing if it has expired.
    void recordOwn(uint64_t key, std::string version, MonotonicTime expiresAt, MonotonicTime now);
    // Records what another relay reports. It is not reported any further, but may be handed over.
    void recordReported(const StreamOrigin &origin, MonotonicTime now);

    // Nothing if the version is unknown or contradictory, or the record has expired.
    std::optional<std::string> version(uint64_t key, MonotonicTime now) const;
    // All versions that are recorded with the remaining lifetime, to answer a question: two if they are contradictory. None also in the last millisecond.
    std::vector<StreamOrigin> find(uint64_t key, MonotonicTime now) const;

    // A record as another relay gets it that lacks it.
    struct Known {
        // Whether this relay itself has recorded it.
        bool isOwn = false;
        // When this relay learned of it, or of a contradiction.
        MonotonicTime recordedAt;
        std::vector<StreamOrigin> origins;
    };
    // Nothing if the record has expired or is gone.
    std::optional<Known> known(uint64_t key, MonotonicTime now) const;
    // Keys of all records, those that expire first at first.
    std::vector<uint64_t> keys() const;

    // At most `count` own records for a report. Each is handed out twice in all, in different calls, because datagrams may be lost. Those that have not been
    // handed out yet come first.
    std::vector<StreamOrigin> takeReports(size_t count, MonotonicTime now);
    // Whether takeReports() would hand out any.
    bool hasReports(MonotonicTime now);
    // Hands out all own records anew, twice each, those that expire first at first.
    void reportAll(MonotonicTime now);

    // Forgets what has expired.
    void expire(MonotonicTime now);
    // Number of streams that are recorded, contradictory and not yet forgotten ones included.
    size_t size() const
    {
        return m_records.size();
    }

private:
    struct Record {
        // One version, or two if they are contradictory.
        std::vector<std::string> versions;
        MonotonicTime expiresAt;
        MonotonicTime recordedAt;
        // The versions that this relay itself has recorded, at most two.
        std::vector<std::string> ownVersions;
    };
    // An own record that is still to be handed out. It is void if the record is gone.
    struct Report {
        uint64_t key = 0;
        std::string version;
    };

    // Adds a record or compares it with the one that is there. Returns nullptr if the new one is dropped at once.
    Record *record(uint64_t key, const std::string &version, MonotonicTime expiresAt, MonotonicTime now);
    void erase(uint64_t key);
    // Remaining lifetime of a record; zero if it has expired.
    std::chrono::milliseconds lifetimeOf(const Record &record, MonotonicTime now) const;
    // What a report says now. Nothing if it is void.
    std::optional<StreamOrigin> originOf(const Report &report, MonotonicTime now) const;
    // Removes void reports at the front of a queue. Returns whether a report remains.
    bool dropVoidReports(std::deque<Report> &queue, MonotonicTime now) const;
    void addReport(std::deque<Report> &queue, Report report) const;

    const Options m_options;
    absl::flat_hash_map<uint64_t, Record> m_records;
    std::set<std::pair<MonotonicTime, uint64_t>> m_byExpiry;
    std::deque<Report> m_unreported;
    std::deque<Report> m_reportedOnce;
};

} // namespace Jujube
