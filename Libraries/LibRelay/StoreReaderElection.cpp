#include <LibRelay/StoreReaderElection.h>

#include <algorithm>

namespace Jujube
{

StoreReaderElection::StoreReaderElection(Options options)
    : m_options(std::move(options))
{
}

bool StoreReaderElection::decide(const std::vector<std::string> &readingPeers, int liveRelays, MonotonicTime now, uint64_t random)
{
    const auto before = std::count_if(readingPeers.begin(), readingPeers.end(), [&](const std::string &peer) { return peer < m_options.node; });
    if (m_reading) {
        m_reading = before < m_options.readers;
        return m_reading;
    }
    if (std::ssize(readingPeers) >= m_options.readers) {
        m_startAt.reset();
        return false;
    }
    if (!m_startAt) {
        const auto maxDelayMs = (m_options.startDelayPerRelay * std::max(1, liveRelays - 1)).count();
        m_startAt = now + std::chrono::milliseconds(static_cast<int64_t>(random % static_cast<uint64_t>(maxDelayMs)));
    }
    m_reading = now >= *m_startAt;
    if (m_reading) {
        m_startAt.reset();
    }
    return m_reading;
}

} // namespace Jujube
