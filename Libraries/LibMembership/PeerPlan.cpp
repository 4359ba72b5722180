#include <LibMembership/PeerPlan.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// 0 for the same data centre, 1 for the same region, 2 for another region.
int distance(const PeerCandidate &a, const PeerCandidate &b)
{
    if (a.region != b.region) {
        return 2;
    }
    return a.dataCentre == b.dataCentre ? 0 : 1;
}

void addRandomAddress(const std::vector<const PeerCandidate *> &from, std::vector<std::string> &to, std::mt19937_64 &random)
{
    if (!from.empty()) {
        to.push_back(from[random() % from.size()]->gossipAddress);
    }
}

} // namespace

PeerPlan planPeers(
    const PeerCandidate &self, const std::vector<PeerCandidate> &candidates, size_t watchers, double crossRegionHeartbeatsPerRound, std::mt19937_64 &random)
{
    std::vector<const PeerCandidate *> ring;
    for (const auto &candidate : candidates) {
        if (candidate.mayWatch) {
            ring.push_back(&candidate);
        }
    }
    // The unsigned difference of two hashes is the distance between them around the hash ring.
    std::sort(ring.begin(), ring.end(), [&self](const auto *a, const auto *b) {
        return std::pair(distance(self, *a), a->hash - self.hash) < std::pair(distance(self, *b), b->hash - self.hash);
    });
    PeerPlan plan;
    ring.resize(std::min(watchers, ring.size()));
    for (const auto *watcher : ring) {
        plan.watchers.push_back(watcher->gossipAddress);
    }
    std::vector<const PeerCandidate *> near;
    std::vector<const PeerCandidate *> far;
    std::vector<const PeerCandidate *> unreachable;
    size_t regionSize = 1;
    for (const auto &candidate : candidates) {
        const bool isFar = distance(self, candidate) == 2;
        regionSize += isFar ? 0 : 1;
        if (std::find(ring.begin(), ring.end(), &candidate) == ring.end()) {
            auto &reachable = isFar ? far : near;
            (candidate.reachable ? reachable : unreachable).push_back(&candidate);
        }
    }
    addRandomAddress(near, plan.others, random);
    if (std::uniform_real_distribution<>(0, 1)(random) * static_cast<double>(regionSize) < crossRegionHeartbeatsPerRound) {
        addRandomAddress(far, plan.others, random);
    }
    addRandomAddress(unreachable, plan.unreachable, random);
    return plan;
}

} // namespace Jujube
