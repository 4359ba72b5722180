#pragma once

#include <algorithm>

namespace Jujube
{

// One gateway's share of a bound that all gateways keep to together without talk. It counts one gateway more than is seen, because views lag when one starts or
// returns.
inline double relayShare(double bound, int liveRelays)
{
    return bound / (std::max(1, liveRelays) + 1);
}

} // namespace Jujube
