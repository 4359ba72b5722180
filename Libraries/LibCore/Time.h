#pragma once

#include <chrono>
#include <cstdint>

namespace Jujube
{

// Monotonic time. Every deciding function takes the present time as an argument of this type.
using MonotonicTime = std::chrono::steady_clock::time_point;

// For the edges of the system only (threads, sockets, main functions).
inline MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

// Wall-clock time in milliseconds since 1970, for events and records that people read. Never used for a deadline.
inline int64_t wallMsNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace Jujube
