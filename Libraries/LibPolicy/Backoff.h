#pragma once

#include <chrono>
#include <cstdint>

namespace Jujube
{

struct BackoffOptions {
    std::chrono::milliseconds initialDelay {50};
    std::chrono::milliseconds maxDelay {5000};
};

// Delay before the retry with the given number, counted from 0. It is uniformly distributed between half of the exponential delay and all of it, so that
// clients that failed at the same time do not retry at the same time. `atLeast` is the Retry-After of the response; the delay is added to it.
std::chrono::milliseconds
backoffDelay(const BackoffOptions &options, int attempt, uint64_t random, std::chrono::milliseconds atLeast = std::chrono::milliseconds(0));

} // namespace Jujube
