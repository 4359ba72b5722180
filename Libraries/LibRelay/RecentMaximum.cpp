#include <LibRelay/RecentMaximum.h>

#include <algorithm>

namespace Jujube
{

void RecentMaximum::record(MonotonicTime::duration time, MonotonicTime now)
{
    if (now - m_windowBegan >= Window) {
        m_previous = now - m_windowBegan < 2 * Window ? m_current : MonotonicTime::duration(0);
        m_current = MonotonicTime::duration(0);
        m_windowBegan = now;
    }
    m_current = std::max(m_current, time);
}

std::chrono::milliseconds RecentMaximum::value(MonotonicTime now) const
{
    const auto age = now - m_windowBegan;
    if (age >= 2 * Window) {
        return std::chrono::milliseconds(0);
    }
    const auto longest = age < Window ? std::max(m_current, m_previous) : m_current;
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

} // namespace Jujube
