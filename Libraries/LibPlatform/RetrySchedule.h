#pragma once

#include <chrono>
#include <optional>

namespace Jujube
{

// How often and after which pauses a failed call to the platform is repeated.
struct RetrySchedule {
    // The first call included.
    int maxAttempts = 3;
    std::chrono::milliseconds base {200};
    std::chrono::milliseconds cap {8000};

    // The pause after a number of failed calls in a row, or nothing if no attempt is left. The random number is from [0, 1).
    std::optional<std::chrono::milliseconds> pauseAfter(int failedCalls, double random) const;
};

// A pause that doubles with each failure up to the cap. The random number, from [0, 1), moves it between half and the whole of that value, so that clients
// that failed together do not come back together.
std::chrono::milliseconds jitteredPause(std::chrono::milliseconds base, std::chrono::milliseconds cap, int failedCalls, double random);

} // namespace Jujube
