#pragma once

#include <ctime>
#include <LibCore/Time.h>

namespace Jujube
{

// Monotonic time that also passes while the machine is suspended (CLOCK_BOOTTIME of Linux). The ordinary monotonic clock stands still then, and a holder would
// take its lease for valid after the machine wakes. Not comparable with monotonicNow().
inline MonotonicTime leaseClockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Jujube
