#pragma once

#include <LibCore/Time.h>
#include <optional>
#include <string>

namespace Jujube
{

// How long this relay has lacked changes of a table that its peers have. For logs and metrics.
class TableLag
{
public:
    // Time after which a lag is reported. Changes usually arrive within a fraction of it.
    static constexpr std::chrono::milliseconds ReportAfter {1000};

    // A peer has rows as of a version that this relay lacks.
    void recordBehind(const std::string &peer, int64_t version, MonotonicTime now);

    // This relay has the rows that its peers have. Returns the time for which it lacked some, if it did.
    std::optional<std::chrono::milliseconds> recordCaughtUp(MonotonicTime now);

    // Whether a lag has lasted for so long that it should be reported. True once for each.
    bool takeReport(MonotonicTime now);

    // Time for which rows have been lacking. Zero if none are.
    std::chrono::milliseconds duration(MonotonicTime now) const;

    // The peer with the newest version that this relay lacks, and that version.
    const std::string &peer() const
    {
        return m_peer;
    }
    int64_t version() const
    {
        return m_version;
    }

private:
    std::optional<MonotonicTime> m_since;
    std::string m_peer;
    int64_t m_version = 0;
    bool m_isReported = false;
};

} // namespace Jujube
