#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Jujube
{

// Limits of what a caller may send, and of how long it may take.
struct CallerLimits {
    size_t headBytes = 16 * 1024;
    uint64_t bodyBytes = 4 << 20;
    std::chrono::milliseconds headTimeout {3000};
    std::chrono::milliseconds idleTimeout {15000};
};

} // namespace Jujube
