#pragma once

#include <random>
#include <string>
#include <vector>

namespace Jujube
{

// A member that a heartbeat can be sent to.
struct PeerCandidate {
    uint32_t hash = 0;
    std::string dataCentre;
    std::string region;
    std::string gossipAddress;
    bool reachable = false;
    // Whether a heartbeat is known and the member is not gone. A suspect member remains a watcher, because each change of watchers risks a false report.
    bool mayWatch = false;
};

// The receivers of the heartbeats of one round. Their number does not grow with the membership.
struct PeerPlan {
    // The next members on the hash ring, in the same data centre if possible. They report missing heartbeats.
    std::vector<std::string> watchers;
    // One random member of the region, and in some rounds one of another region.
    std::vector<std::string> others;
    // One member that is not reachable, so that the end of a partition is detected.
    std::vector<std::string> unreachable;
};

PeerPlan planPeers(
    const PeerCandidate &self, const std::vector<PeerCandidate> &candidates, size_t watchers, double crossRegionHeartbeatsPerRound, std::mt19937_64 &random);

} // namespace Jujube
