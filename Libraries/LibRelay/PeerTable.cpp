#include <LibRelay/PeerTable.h>

#include <algorithm>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// Heartbeats that may be lost in a row before their sender counts as dead.
constexpr double BeatsUntilSilent = 2.5;

uint64_t hashOf(const std::string &node)
{
    return XXH3_64bits(node.data(), node.size());
}

} // namespace

PeerTable::PeerTable(Options options, MonotonicTime now)
    : m_options(std::move(options))
    , m_startedAt(now)
    , m_ownHash(hashOf(m_options.ownNode))
{
}

void PeerTable::addAddress(const std::string &address, MonotonicTime now)
{
    if (address.empty() || address == m_options.ownAddress) {
        return;
    }
    m_addresses.try_emplace(address, Address {.addedAt = now});
}

PeerTable::Change PeerTable::hear(const PeerNews &news, MonotonicTime now)
{
    if (news.peers == m_options.ownAddress) {
        return Change::None;
    }
    const auto found = m_peers.find(news.node);
    if (found != m_peers.end()) {
        const auto &last = found->second.news;
        const bool isOlder = news.incarnation < last.incarnation || (news.incarnation == last.incarnation && news.sequence <= last.sequence);
        if (isOlder) {
            return Change::Stale;
        }
    }
    if (news.onlyLoads) {
        if (found == m_peers.end() || found->second.news.incarnation != news.incarnation) {
            return Change::Stale;
        }
        found->second.news.sequence = news.sequence;
        if (m_live.contains(news.node)) {
            found->second.heardAt = now;
            m_addresses[news.peers].heardAt = now;
        }
        return Change::None;
    }
    addAddress(news.peers, now);
    auto &address = m_addresses[news.peers];
    address.heard = true;
    address.heardAt = now;
    address.silenceTimeout = silenceTimeoutOf(news);
    address.isNear = isInRegion(news.dataCentre);
    for (const auto &known : news.known) {
        addAddress(known, now);
    }
    m_peers[news.node] = {.news = news, .heardAt = now};
    if (!m_live.insert(news.node).second) {
        return Change::None;
    }
    collectSharers(now);
    return Change::Joined;
}

std::vector<std::string> PeerTable::recipients(Reach reach, MonotonicTime now)
{
    std::vector<std::string> result;
    for (auto &[text, address] : m_addresses) {
        const bool answers = address.heard && now - address.heardAt < address.silenceTimeout;
        const bool isLiveInRegion = answers && address.isNear;
        if (reach == Reach::Region) {
            if (isLiveInRegion) {
                result.push_back(text);
            }
            continue;
        }
        if (isLiveInRegion) {
            continue;
        }
        if (answers || address.probedAt == MonotonicTime {} || now - address.probedAt >= m_options.probePause) {
            address.probedAt = now;
            result.push_back(text);
        }
    }
    return result;
}

bool PeerTable::isInRegion(const std::string &dataCentre) const
{
    const auto region = m_options.regions.find(dataCentre);
    return region != m_options.regions.end() && region->second == m_options.region;
}

std::vector<const Peer *> PeerTable::aliveInRegion(MonotonicTime now) const
{
    auto result = alive(now);
    std::erase_if(result, [&](const Peer *peer) { return !isInRegion(peer->news.dataCentre); });
    return result;
}

bool PeerTable::speaksForRegion(const std::string &ownNode, MonotonicTime now) const
{
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return entry.first <= ownNode && isAlive(entry.second, now) && isInRegion(entry.second.news.dataCentre);
    });
}

std::chrono::milliseconds PeerTable::silenceTimeoutOf(const PeerNews &news) const
{
    const auto announced = std::chrono::duration_cast<std::chrono::milliseconds>(BeatsUntilSilent * news.beatPause);
    return std::max(m_options.silenceTimeout, std::min(announced, m_options.longestSilence));
}

bool PeerTable::isAlive(const Peer &peer, MonotonicTime now) const
{
    return now - peer.heardAt < silenceTimeoutOf(peer.news);
}

std::vector<std::string> PeerTable::expire(MonotonicTime now)
{
    std::vector<std::string> silent;
    for (const auto &[node, peer] : m_peers) {
        if (!isAlive(peer, now) && m_live.erase(node) > 0) {
            silent.push_back(node);
        }
    }
    absl::erase_if(m_peers, [&](const auto &entry) { return now - entry.second.heardAt > m_options.memory; });
    collectSharers(now);
    absl::erase_if(m_addresses, [&](const auto &entry) {
        const auto &address = entry.second;
        return now - std::max(address.addedAt, address.heardAt) > m_options.memory;
    });
    return silent;
}

void PeerTable::collectSharers(MonotonicTime now)
{
    m_sharers.clear();
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.heardAt <= m_options.sharerMemory) {
            m_sharers.push_back(hashOf(node));
        }
    }
}

ColdSharers PeerTable::coldSharers(MonotonicTime now) const
{
    return {.others = m_sharers, .self = m_ownHash, .isSettled = now - m_startedAt >= m_options.settleTime};
}

std::vector<const Peer *> PeerTable::alive(MonotonicTime now) const
{
    std::vector<const Peer *> result;
    for (const auto &[node, peer] : m_peers) {
        if (isAlive(peer, now)) {
            result.push_back(&peer);
        }
    }
    return result;
}

int PeerTable::liveCount(MonotonicTime now) const
{
    return static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return isAlive(entry.second, now); })) + 1;
}

std::vector<std::string> PeerTable::knownAddresses(size_t most, MonotonicTime now, uint64_t random) const
{
    const auto live = alive(now);
    std::vector<std::string> result;
    for (size_t index = 0; index < std::min(most, live.size()); ++index) {
        result.push_back(live[(random + index) % live.size()]->news.peers);
    }
    return result;
}

} // namespace Jujube
