#pragma once

#include <chrono>
#include <cstdint>

namespace Jujube
{

struct BackoffOptions {
    std::chrono::milliseconds first {50};
    std::chrono::milliseconds longest {5000};
};

// Delay before the retry with the given number, counted from 0: uniform between half of the exponential delay and the whole of it, so that callers that
// failed together do not come back together. `atLeast` is a Retry-After of the other side; the jitter is added to it.
std::chrono::milliseconds
backoffDelay(const BackoffOptions &options, int attempt, uint64_t random, std::chrono::milliseconds atLeast = std::chrono::milliseconds(0));

} // namespace Jujube
