#pragma once

#include <cstdint>
#include <mutex>

namespace Jujube
{

// A point in hybrid logical time (Kulkarni et al., "Logical Physical Clocks", 2014): wall-clock milliseconds and a counter that orders events within a
// millisecond and behind a clock that is ahead.
struct HybridTime {
    int64_t wallMs = 0;
    uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

// Orders the events of several processes causally although their clocks differ. Safe to use from several threads.
class HybridClock
{
public:
    // Returns a time later than every time returned or observed before.
    HybridTime tick(int64_t wallMsNow);

    // Takes notice of a time received from another process and returns a time later than it.
    HybridTime observe(const HybridTime &remote, int64_t wallMsNow);

private:
    std::mutex m_mutex;
    HybridTime m_last;
};

} // namespace Jujube
