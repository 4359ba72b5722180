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

void addOneOf(const std::vector<const PeerCandidate *> &from, std::vector<std::string> &to, std::mt19937_64 &random)
{
    if (!from.empty()) {
        to.push_back(from[random() % from.size()]->gossipAddress);
    }
}

} // namespace

PeerPlan
planPeers(const PeerCandidate &self, const std::vector<PeerCandidate> &candidates, size_t watchers, double crossRegionPerRound, std::mt19937_64 &random)
{
    std::vector<const PeerCandidate *> ring;
    std::vector<const PeerCandidate *> unreachable;
    for (const auto &candidate : candidates) {
        (candidate.reachable ? ring : unreachable).push_back(&candidate);
    }
    // The unsigned difference of hashes is the way round the ring.
    std::sort(ring.begin(), ring.end(), [&self](const auto *a, const auto *b) {
        return std::pair(distance(self, *a), a->hash - self.hash) < std::pair(distance(self, *b), b->hash - self.hash);
    });
    PeerPlan plan;
    const size_t watcherCount = std::min(watchers, ring.size());
    for (size_t i = 0; i < watcherCount; ++i) {
        plan.watchers.push_back(ring[i]->gossipAddress);
    }
    std::vector<const PeerCandidate *> near;
    std::vector<const PeerCandidate *> far;
    size_t regionSize = 1;
    for (size_t i = 0; i < ring.size(); ++i) {
        const bool isFar = distance(self, *ring[i]) == 2;
        regionSize += isFar ? 0 : 1;
        if (i >= watcherCount) {
            (isFar ? far : near).push_back(ring[i]);
        }
    }
    addOneOf(near, plan.others, random);
    if (std::uniform_real_distribution<>(0, 1)(random) * static_cast<double>(regionSize) < crossRegionPerRound) {
        addOneOf(far, plan.others, random);
    }
    addOneOf(unreachable, plan.others, random);
    return plan;
}

} // namespace Jujube
