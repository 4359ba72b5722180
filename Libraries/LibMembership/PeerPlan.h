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
    // Was heard of and is not gone. A suspect stays a watcher, because each change of watchers carries the risk of a wrong report.
    bool mayWatch = false;
};

// The receivers of one round. Their number does not grow with the membership.
struct PeerPlan {
    // The next members on the ring of hashes, in the same data centre if possible. They report a silence.
    std::vector<std::string> watchers;
    // One random member of the region, and in a share of the rounds one of another region.
    std::vector<std::string> others;
    // One member that is not reachable, so that a healed partition is noticed.
    std::vector<std::string> unreachable;
};

PeerPlan
planPeers(const PeerCandidate &self, const std::vector<PeerCandidate> &candidates, size_t watchers, double crossRegionPerRound, std::mt19937_64 &random);

} // namespace Jujube
