#pragma once

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <LibCore/Time.h>
#include <span>
#include <string>
#include <string_view>

namespace Jujube
{

// The relays among which the request rate of a cold target is divided.
struct ColdRateParticipants {
    // Hashes of the names of the other relays that were heard from recently, including those that are silent now: the share of a relay that loses its
    // connections must not grow.
    std::span<const uint64_t> others;
    uint64_t self = 0;
    // Whether this relay has run for long enough to have received heartbeats of its peers.
    bool hasDiscoveredPeers = true;
};

// Limits the requests per second that this relay sends to one target to its share of what a cold target can serve. The limit applies to warm targets as well,
// because a target may turn cold unnoticed, and the share is far above what one relay sends to a warm target.
//
// An engine that returns is cold and idle, so some hundred relays find it the cheapest target at the same time, although it can start fewer requests per second
// than there are relays. Its starts are therefore assigned to as many relays as it can start requests per second: the first ones in an order on which all
// relays agree (rendezvous hashing, Thaler and Ravishankar, 1998). Relays that cannot reach each other compute the same order, so the limit is kept as long as
// each relay knows its peers or has known them recently.
class ColdTargetRateLimiter
{
public:
    // Maximum number of requests that this relay starts within a second at a target that is not known to be cold.
    static int share(double coldPerSecond, int liveRelays);
    // The same for a target that may be cold. Zero if its starts are assigned to other relays.
    static int coldShare(double coldPerSecond, const ColdRateParticipants &participants, std::string_view target);

    bool isWithinShare(const std::string &target, int share, MonotonicTime now) const;
    void recordStart(const std::string &target, MonotonicTime now);
    void expire(MonotonicTime now);

private:
    static constexpr std::chrono::milliseconds Window {1100};

    absl::flat_hash_map<std::string, std::deque<MonotonicTime>> m_starts;
};

} // namespace Jujube
