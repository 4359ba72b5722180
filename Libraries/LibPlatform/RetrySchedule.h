#pragma once

#include <chrono>
#include <optional>

namespace Jujube
{

// How often and after which delays a failed call to the platform is retried.
struct RetrySchedule {
    // Including the first call.
    int maxAttempts = 3;
    std::chrono::milliseconds base {200};
    std::chrono::milliseconds cap {8000};

    // The delay after a number of consecutive failed calls, or nothing if no attempt is left. The random number is from [0, 1).
    std::optional<std::chrono::milliseconds> delayAfter(int failedCalls, double random) const;
};

// A delay that doubles with each failure up to the cap. The random number, from [0, 1), selects a point between half and the whole of that value, so that
// clients that failed together do not retry together.
std::chrono::milliseconds jitteredDelay(std::chrono::milliseconds base, std::chrono::milliseconds cap, int failedCalls, double random);

} // namespace Jujube
