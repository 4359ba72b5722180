#include <LibPlatform/RetrySchedule.h>

#include <algorithm>

namespace Jujube
{

std::optional<std::chrono::milliseconds> RetrySchedule::pauseAfter(int failedCalls, double random) const
{
    if (failedCalls >= maxAttempts) {
        return std::nullopt;
    }
    return jitteredPause(base, cap, failedCalls, random);
}

std::chrono::milliseconds jitteredPause(std::chrono::milliseconds base, std::chrono::milliseconds cap, int failedCalls, double random)
{
    auto pause = base;
    for (int i = 1; i < failedCalls && pause < cap; ++i) {
        pause *= 2;
    }
    const double whole = static_cast<double>(std::min(pause, cap).count());
    return std::chrono::milliseconds(static_cast<int64_t>(whole / 2 + whole / 2 * random));
}

} // namespace Jujube
