#include <LibRelay/TableLag.h>

namespace Jujube
{

void TableLag::recordBehind(const std::string &peer, int64_t version, MonotonicTime now)
{
    if (!m_since) {
        m_since = now;
        m_isReported = false;
        m_version = 0;
    }
    if (version > m_version) {
        m_version = version;
        m_peer = peer;
    }
}

std::optional<std::chrono::milliseconds> TableLag::recordCaughtUp(MonotonicTime now)
{
    if (!m_since) {
        return std::nullopt;
    }
    const auto lasted = duration(now);
    m_since.reset();
    return lasted;
}

bool TableLag::takeReport(MonotonicTime now)
{
    if (!m_since || m_isReported || now - *m_since < ReportAfter) {
        return false;
    }
    m_isReported = true;
    return true;
}

std::chrono::milliseconds TableLag::duration(MonotonicTime now) const
{
    return m_since ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_since) : std::chrono::milliseconds {0};
}

} // namespace Jujube
