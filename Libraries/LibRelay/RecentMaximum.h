#pragma once

#include <chrono>
#include <LibCore/Time.h>

namespace Jujube
{

// The longest of the times that were measured in the last seconds. Memory does not grow with their number.
class RecentMaximum
{
public:
    // Measurements count for at least this time, and for at most twice as long.
    static constexpr std::chrono::milliseconds Window {2000};

    void record(MonotonicTime::duration time, MonotonicTime now);

    // Zero if nothing was measured.
    std::chrono::milliseconds value(MonotonicTime now) const;

private:
    MonotonicTime m_windowBegan;
    MonotonicTime::duration m_current {0};
    MonotonicTime::duration m_previous {0};
};

} // namespace Jujube
