#include <LibCore/HybridClock.h>

#include <algorithm>

namespace Jujube
{

HybridTime HybridClock::tick(int64_t wallMsNow)
{
    return observe({}, wallMsNow);
}

HybridTime HybridClock::observe(const HybridTime &remote, int64_t wallMsNow)
{
    const std::lock_guard lock(m_mutex);
    const auto latest = std::max(m_last, remote);
    if (wallMsNow > latest.wallMs) {
        m_last = {.wallMs = wallMsNow, .counter = 0};
    } else {
        m_last = {.wallMs = latest.wallMs, .counter = latest.counter + 1};
    }
    return m_last;
}

} // namespace Jujube
