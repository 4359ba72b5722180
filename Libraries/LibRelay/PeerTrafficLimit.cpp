#include <LibRelay/PeerTrafficLimit.h>

#include <algorithm>

namespace Jujube
{

PeerTrafficLimit::PeerTrafficLimit(Options options)
    : m_options(options)
{
}

MonotonicTime PeerTrafficLimit::nextAt(MonotonicTime now) const
{
    return std::max(now, m_usedUntil - m_options.saved);
}

bool PeerTrafficLimit::hasSaved(std::chrono::milliseconds time, MonotonicTime now) const
{
    return m_usedUntil + time <= now + m_options.saved;
}

void PeerTrafficLimit::recordSent(size_t bytes, MonotonicTime now)
{
    const std::chrono::duration<double> time(static_cast<double>(bytes) / m_options.bytesPerSecond);
    m_usedUntil = std::max(m_usedUntil, now) + std::chrono::duration_cast<MonotonicTime::duration>(time);
}

} // namespace Jujube
