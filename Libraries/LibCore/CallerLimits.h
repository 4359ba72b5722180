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
    // What is still read and discarded after a response that ends the connection, because closing a socket with unread or later input resets it and may destroy
    // the response on its way (RFC 9112, section 9.6).
    size_t discardBytes = 16 << 20;
    std::chrono::milliseconds discardTimeout {2000};
};

} // namespace Jujube
