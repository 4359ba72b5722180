#include "RequestCounter.h"

#include <algorithm>

namespace Jujube
{

void RequestCounter::countRead(MonotonicTime now)
{
    count(m_reads, now);
}

void RequestCounter::countWrite(MonotonicTime now)
{
    count(m_writes, now);
}

void RequestCounter::count(Counter &counter, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    if (second != m_second) {
        m_second = second;
        m_reads.inSecond = 0;
        m_writes.inSecond = 0;
    }
    ++counter.total;
    ++counter.inSecond;
    counter.peakPerSecond = std::max(counter.peakPerSecond, counter.inSecond);
}

nlohmann::json RequestCounter::toJson() const
{
    const std::lock_guard lock(m_mutex);
    return {{"reads", m_reads.total}, {"writes", m_writes.total}, {"peak_reads_per_s", m_reads.peakPerSecond}, {"peak_writes_per_s", m_writes.peakPerSecond}};
}

} // namespace Jujube
