#include <LibRelay/PeerTable.h>

#include <algorithm>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// Heartbeat intervals without a heartbeat after which the sender counts as dead.
constexpr double HeartbeatsUntilSilent = 2.5;

uint64_t hashOf(const std::string &node)
{
    return XXH3_64bits(node.data(), node.size());
}

} // namespace

PeerTable::PeerTable(Options options, MonotonicTime now)
    : m_options(std::move(options))
    , m_startedAt(now)
    , m_ownHash(hashOf(m_options.ownName))
{
}

void PeerTable::addAddress(const std::string &address, MonotonicTime now)
{
    if (address.empty() || address == m_options.ownAddress) {
        return;
    }
    m_addresses.try_emplace(address, Address {.addedAt = now});
}

PeerTable::Change PeerTable::handleHeartbeat(const PeerHeartbeat &heartbeat, MonotonicTime now)
{
    if (heartbeat.peers == m_options.ownAddress) {
        return Change::None;
    }
    const auto found = m_peers.find(heartbeat.node);
    if (found != m_peers.end()) {
        const auto &last = found->second.latestHeartbeat;
        const bool isOlder = heartbeat.incarnation < last.incarnation || (heartbeat.incarnation == last.incarnation && heartbeat.sequence <= last.sequence);
        if (isOlder) {
            return Change::Stale;
        }
    }
    m_lastHeard[hashOf(heartbeat.node)] = now;
    if (heartbeat.onlyLoads) {
        if (found == m_peers.end() || found->second.latestHeartbeat.incarnation != heartbeat.incarnation) {
            return Change::Stale;
        }
        found->second.latestHeartbeat.sequence = heartbeat.sequence;
        if (m_live.contains(heartbeat.node)) {
            found->second.receivedAt = now;
            m_addresses[heartbeat.peers].receivedAt = now;
        }
        return Change::None;
    }
    addAddress(heartbeat.peers, now);
    auto &address = m_addresses[heartbeat.peers];
    address.hasBeenHeard = true;
    address.receivedAt = now;
    address.silenceTimeout = silenceTimeoutOf(heartbeat);
    address.isInOwnRegion = isInRegion(heartbeat.dataCentre);
    for (const auto &known : heartbeat.known) {
        addAddress(known, now);
    }
    m_peers[heartbeat.node] = {.latestHeartbeat = heartbeat, .receivedAt = now};
    m_peersKnownRelays = std::max(m_peersKnownRelays, heartbeat.knownRelays);
    if (!m_live.insert(heartbeat.node).second) {
        return Change::None;
    }
    updateColdRateParticipants(now);
    updateRequestLimitParticipants(now);
    return Change::Joined;
}

std::vector<std::string> PeerTable::recipients(RecipientScope scope, MonotonicTime now)
{
    std::vector<std::string> result;
    for (auto &[text, address] : m_addresses) {
        const bool isResponding = address.hasBeenHeard && now - address.receivedAt < address.silenceTimeout;
        const bool isLiveInRegion = isResponding && address.isInOwnRegion;
        if (scope == RecipientScope::Region) {
            if (isLiveInRegion) {
                result.push_back(text);
            }
            continue;
        }
        if (isLiveInRegion) {
            continue;
        }
        if (scope == RecipientScope::LiveOutsideRegion) {
            if (isResponding) {
                result.push_back(text);
            }
        } else if (isResponding || address.probedAt == MonotonicTime {} || now - address.probedAt >= m_options.probeInterval) {
            address.probedAt = now;
            result.push_back(text);
        }
    }
    return result;
}

std::string PeerTable::regionOf(const std::string &dataCentre) const
{
    const auto region = m_options.regions.find(dataCentre);
    return region == m_options.regions.end() ? std::string() : region->second;
}

bool PeerTable::isInRegion(const std::string &dataCentre) const
{
    const auto region = m_options.regions.find(dataCentre);
    return region != m_options.regions.end() && region->second == m_options.region;
}

std::vector<const Peer *> PeerTable::livePeersInRegion(MonotonicTime now) const
{
    auto result = livePeers(now);
    std::erase_if(result, [&](const Peer *peer) { return !isInRegion(peer->latestHeartbeat.dataCentre); });
    return result;
}

bool PeerTable::isRegionRepresentative(const std::string &ownName, MonotonicTime now) const
{
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return entry.first <= ownName && isAlive(entry.second, now) && isInRegion(entry.second.latestHeartbeat.dataCentre);
    });
}

std::vector<std::string> PeerTable::crashJudges(MonotonicTime now) const
{
    constexpr size_t MinJudges = 3;
    struct Candidate {
        uint64_t weight = 0;
        std::string region;
        std::string address;
    };
    const auto weight = [](const std::string &node) { return XXH3_64bits(node.data(), node.size()); };
    std::vector<Candidate> candidates {{.weight = weight(m_options.ownName), .region = m_options.region, .address = m_options.ownAddress}};
    for (const auto *peer : livePeers(now)) {
        const auto &heartbeat = peer->latestHeartbeat;
        const auto region = m_options.regions.find(heartbeat.dataCentre);
        if (heartbeat.accepting) {
            candidates.push_back(
                {.weight = weight(heartbeat.node), .region = region == m_options.regions.end() ? std::string() : region->second, .address = heartbeat.peers});
        }
    }
    std::ranges::sort(candidates, std::greater(), &Candidate::weight);
    std::set<std::string> regions;
    std::vector<std::string> first;
    std::vector<std::string> others;
    for (const auto &candidate : candidates) {
        (regions.insert(candidate.region).second ? first : others).push_back(candidate.address);
    }
    const auto missing = MinJudges - std::min(MinJudges, first.size());
    others.resize(std::min(others.size(), missing));
    first.insert(first.end(), others.begin(), others.end());
    return first;
}

std::chrono::milliseconds PeerTable::silenceTimeoutOf(const PeerHeartbeat &heartbeat) const
{
    const auto announced = std::chrono::duration_cast<std::chrono::milliseconds>(HeartbeatsUntilSilent * heartbeat.heartbeatInterval);
    return std::max(m_options.silenceTimeout, std::min(announced, m_options.maxSilenceTimeout));
}

bool PeerTable::isAlive(const Peer &peer, MonotonicTime now) const
{
    return now - peer.receivedAt < silenceTimeoutOf(peer.latestHeartbeat);
}

std::vector<std::string> PeerTable::expire(MonotonicTime now)
{
    std::vector<std::string> silent;
    for (const auto &[node, peer] : m_peers) {
        if (!isAlive(peer, now) && m_live.erase(node) > 0) {
            silent.push_back(node);
        }
    }
    absl::erase_if(m_peers, [&](const auto &entry) { return now - entry.second.receivedAt > m_options.retention; });
    updateColdRateParticipants(now);
    updateRequestLimitParticipants(now);
    absl::erase_if(m_addresses, [&](const auto &entry) {
        const auto &address = entry.second;
        return now - std::max(address.addedAt, address.receivedAt) > m_options.retention;
    });
    return silent;
}

void PeerTable::updateColdRateParticipants(MonotonicTime now)
{
    m_coldRateParticipants.clear();
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.receivedAt <= m_options.participantRetention) {
            m_coldRateParticipants.push_back(hashOf(node));
        }
    }
}

void PeerTable::updateRequestLimitParticipants(MonotonicTime now)
{
    // While half or more of the relays are silent, this relay may be cut off from relays that are still running.
    const auto silent
        = std::count_if(m_lastHeard.begin(), m_lastHeard.end(), [&](const auto &entry) { return now - entry.second > m_options.participantRetention; });
    const bool isMostSilent = 2 * static_cast<size_t>(silent) >= m_lastHeard.size() + 1;
    const std::chrono::seconds retention = isMostSilent ? std::chrono::seconds(m_options.maxKnownRetention) : m_options.participantRetention;
    absl::erase_if(m_lastHeard, [&](const auto &entry) { return now - entry.second > retention; });
    m_liveOthers.clear();
    m_peersKnownRelays = 0;
    for (const auto &[node, peer] : m_peers) {
        if (isAlive(peer, now)) {
            m_liveOthers.push_back({.node = node, .hash = hashOf(node), .region = regionOf(peer.latestHeartbeat.dataCentre)});
            m_peersKnownRelays = std::max(m_peersKnownRelays, peer.latestHeartbeat.knownRelays);
        }
    }
}

RequestLimitParticipants PeerTable::requestLimitParticipants(MonotonicTime now) const
{
    return {.others = m_liveOthers,
            .self = {.node = m_options.ownName, .hash = m_ownHash, .region = m_options.region},
            .known = static_cast<size_t>(sharingRelays().count),
            .hasDiscoveredPeers = hasDiscoveredPeers(now)};
}

ColdRateParticipants PeerTable::coldRateParticipants(MonotonicTime now) const
{
    return {.others = m_coldRateParticipants, .self = m_ownHash, .hasDiscoveredPeers = hasDiscoveredPeers(now)};
}

std::vector<const Peer *> PeerTable::livePeers(MonotonicTime now) const
{
    std::vector<const Peer *> result;
    for (const auto &[node, peer] : m_peers) {
        if (isAlive(peer, now)) {
            result.push_back(&peer);
        }
    }
    return result;
}

std::vector<PeerSilence> PeerTable::heardWithin(std::chrono::milliseconds time, MonotonicTime now) const
{
    std::vector<PeerSilence> result;
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.receivedAt <= time) {
            result.push_back({.node = node,
                              .incarnation = peer.latestHeartbeat.incarnation,
                              .time = std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.receivedAt)});
        }
    }
    return result;
}

int PeerTable::liveRelayCount(MonotonicTime now) const
{
    return static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return isAlive(entry.second, now); })) + 1;
}

std::vector<std::string> PeerTable::knownAddresses(size_t maxCount, MonotonicTime now, uint64_t random) const
{
    const auto live = livePeers(now);
    std::vector<std::string> result;
    for (size_t index = 0; index < std::min(maxCount, live.size()); ++index) {
        result.push_back(live[(random + index) % live.size()]->latestHeartbeat.peers);
    }
    return result;
}

} // namespace Jujube
