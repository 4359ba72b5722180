#pragma once

#include <algorithm>

namespace Jujube
{

// One relay's share of a limit that all relays keep together without coordination. It assumes one relay more than is visible, because membership views lag
// behind when a relay starts or returns.
inline double relayShare(double bound, int liveRelays)
{
    return bound / (std::max(1, liveRelays) + 1);
}

} // namespace Jujube
