#include <LibPlatform/RetrySchedule.h>

#include <algorithm>

namespace Jujube
{

std::optional<std::chrono::milliseconds> RetrySchedule::delayAfter(int failedCalls, double random) const
{
    if (failedCalls >= maxAttempts) {
        return std::nullopt;
    }
    return jitteredDelay(base, cap, failedCalls, random);
}

std::chrono::milliseconds jitteredDelay(std::chrono::milliseconds base, std::chrono::milliseconds cap, int failedCalls, double random)
{
    auto delay = base;
    for (int i = 1; i < failedCalls && delay < cap; ++i) {
        delay *= 2;
    }
    const double whole = static_cast<double>(std::min(delay, cap).count());
    return std::chrono::milliseconds(static_cast<int64_t>(whole / 2 + whole / 2 * random));
}

} // namespace Jujube
