#pragma once

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <LibCore/Time.h>
#include <span>
#include <string>
#include <string_view>

namespace Jujube
{

// The gateways over which the rate of a cold target is divided.
struct ColdRateParticipants {
    // Hashes of the names of the other gateways that were heard lately, also of those that are silent now: the share of a gateway that is cut off must not
    // grow.
    std::span<const uint64_t> others;
    uint64_t self = 0;
    // Whether this gateway has run for long enough to have heard the others.
    bool hasDiscoveredPeers = true;
};

// Bounds the requests per second at one target to this gateway's share of what a cold target bears. It applies to warm targets as well, because a target may
// turn cold unseen, and the share is far above what a warm target gets from one gateway.
//
// Load pattern: an engine returns cold and empty, and is the cheapest one for each of some hundred gateways, more than the starts that it bears in a second.
// Its starts then belong to as many gateways as it bears starts, the first ones in an order that all gateways agree on (rendezvous hashing, Thaler and
// Ravishankar, 1998). Gateways that do not hear each other get the same order, so that the bound is kept if each knows the others or has known them lately.
class ColdTargetRateLimiter
{
public:
    // Most sends of this gateway within a second to a target that is not known to be cold.
    static int share(double coldPerSecond, int liveRelays);
    // The same for a target that may be cold. Zero if its starts belong to other gateways.
    static int coldShare(double coldPerSecond, const ColdRateParticipants &sharers, std::string_view target);

    bool isWithinShare(const std::string &target, int share, MonotonicTime now) const;
    void recordStart(const std::string &target, MonotonicTime now);
    void expire(MonotonicTime now);

private:
    static constexpr std::chrono::milliseconds Window {1100};

    absl::flat_hash_map<std::string, std::deque<MonotonicTime>> m_starts;
};

} // namespace Jujube
