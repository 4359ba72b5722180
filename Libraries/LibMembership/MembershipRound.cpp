// The part of MembershipView that runs once in each round: it applies the deadlines and creates the heartbeats to send.
#include <LibMembership/MembershipView.h>

#include <algorithm>
#include <cmath>
#include <LibMembership/WireConversion.h>

namespace Jujube
{

namespace
{

// A change is sent in this many datagrams for each doubling of the membership. Two suffice without packet loss; three tolerate losses.
constexpr int TransmissionsPerDoubling = 3;
// A join is less urgent than the loss of a member, and a member that misses it requests the record.
constexpr int JoinTransmissions = 4;
constexpr int MaxRecordRequestsPerRound = 8;
constexpr size_t MaxRecordsPerDatagram = 2;
constexpr size_t MaxSeedsPerRound = 3;
// The release of a watcher is repeated, because a datagram may be lost.
constexpr int ReleaseTransmissions = 2;
// A process that exits notifies at most this many reachable members directly.
constexpr size_t MaxDepartureReceivers = 8;

// Returns the age for the wire, where ages are not negative.
int64_t ageMs(MonotonicTime now, MonotonicTime at)
{
    return std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count());
}

// Returns up to count names, those with the most transmissions left first, and counts one transmission for each.
std::vector<std::string> takeQueuedNames(std::map<std::string, int> &queue, size_t count)
{
    std::vector<std::pair<int, std::string>> order;
    order.reserve(queue.size());
    for (const auto &[name, left] : queue) {
        order.emplace_back(left, name);
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), count));
    std::vector<std::string> names;
    for (auto &[left, name] : order) {
        if (--queue[name] <= 0) {
            queue.erase(name);
        }
        names.push_back(std::move(name));
    }
    return names;
}

} // namespace

std::vector<OutgoingHeartbeat> MembershipView::round(MonotonicTime now, const HybridTime &timestamp, std::mt19937_64 &random)
{
    detectFreeze(now);
    applyDeadlines(now);
    removeExpiredMembers(now);
    m_crashes.removeExpired(now);
    m_recordRequestsLeft = MaxRecordRequestsPerRound;
    m_sequence += 1;
    const auto peers = planRound(now, random);
    std::vector<OutgoingHeartbeat> out;
    for (const auto &address : peers.watchers) {
        auto heartbeat = fullHeartbeat(now, timestamp, random);
        heartbeat.__set_watch(true);
        out.push_back({address, std::move(heartbeat)});
    }
    // A former watcher must be notified that no further heartbeats follow, or it would report them as missing.
    releaseFormerWatchers(peers.watchers);
    for (auto &[address, left] : m_releasedWatchers) {
        left -= 1;
        out.push_back({address, basicHeartbeat(now, timestamp)});
    }
    std::erase_if(m_releasedWatchers, [](const auto &released) { return released.second <= 0; });
    for (const auto &address : peers.others) {
        out.push_back({address, fullHeartbeat(now, timestamp, random)});
    }
    for (const auto &address : peers.unreachable) {
        auto heartbeat = basicHeartbeat(now, timestamp);
        heartbeat.__set_probe(true);
        out.push_back({address, std::move(heartbeat)});
    }
    for (const auto &address : selectSeeds(random)) {
        out.push_back({address, basicHeartbeat(now, timestamp)});
    }
    return out;
}

void MembershipView::releaseFormerWatchers(const std::vector<std::string> &watchers)
{
    for (const auto &former : m_watchers) {
        m_releasedWatchers[former] = ReleaseTransmissions;
    }
    for (const auto &watcher : watchers) {
        m_releasedWatchers.erase(watcher);
    }
    m_watchers = watchers;
}

std::vector<OutgoingHeartbeat> MembershipView::depart(MonotonicTime now, const HybridTime &timestamp, std::mt19937_64 &random)
{
    m_departed = true;
    m_sequence += 1;
    std::vector<std::string> addresses;
    m_table.forEach([this, now, &addresses](const MemberEntry &entry) {
        if (m_table.isReachable(entry, now) && !entry.member.identity.gossipAddress.empty()) {
            addresses.push_back(entry.member.identity.gossipAddress);
        }
    });
    std::shuffle(addresses.begin(), addresses.end(), random);
    addresses.resize(std::min(addresses.size(), MaxDepartureReceivers));
    std::vector<OutgoingHeartbeat> out;
    out.reserve(addresses.size());
    for (auto &address : addresses) {
        out.push_back({std::move(address), basicHeartbeat(now, timestamp)});
    }
    return out;
}

void MembershipView::detectFreeze(MonotonicTime now)
{
    const bool wasFrozen = m_lastRound && now - *m_lastRound > m_options.tuning.freezeThreshold;
    m_lastRound = now;
    if (!wasFrozen) {
        return;
    }
    // Heartbeats are missing because this process was frozen. Members get time to be seen again, and the view is not fresh until a heartbeat is received.
    m_fresh = false;
    m_deadlinesSuspendedUntil = now + m_table.contactTimeout();
    m_table.forEach([now](MemberEntry &entry) {
        entry.watched = false;
        if (entry.suspectSince) {
            entry.suspectSince = now;
        }
    });
}

void MembershipView::applyDeadlines(MonotonicTime now)
{
    if (m_deadlinesSuspendedUntil && now < *m_deadlinesSuspendedUntil) {
        return;
    }
    m_deadlinesSuspendedUntil = std::nullopt;
    m_table.forEach([this, now](MemberEntry &entry) {
        if (entry.goneSince || !entry.member.lastHeartbeatAt) {
            return;
        }
        const auto silence = now - *entry.member.lastHeartbeatAt;
        if (!entry.suspectSince && entry.watched && silence > m_options.tuning.watchTimeout) {
            entry.suspectSince = now;
            entry.suspicionReported = true;
            disseminate(entry);
        } else if (!entry.suspectSince && silence > m_table.staleTimeout()) {
            entry.suspectSince = now;
        } else if (entry.suspectSince && now - *entry.suspectSince > m_options.tuning.suspicionTimeout) {
            markGone(entry, now);
        }
    });
}

void MembershipView::removeExpiredMembers(MonotonicTime now)
{
    std::vector<std::string> names;
    m_table.forEach([this, now, &names](const MemberEntry &entry) {
        const auto since = entry.goneSince.value_or(entry.createdAt);
        const bool isAbsent = entry.goneSince || !entry.member.lastHeartbeatAt;
        // Only a VM list that was fetched long after the member became gone shows that it will not return.
        const bool isUnlisted = m_listAt && *m_listAt - since > m_options.tuning.unlistedRetention && entry.wasListed && !entry.listed;
        const bool isLongAgo = now - since > m_options.tuning.goneRetention && !entry.listed;
        const bool hasDeparted = entry.departed && now - since > m_options.tuning.unlistedRetention;
        if (isAbsent && (isUnlisted || isLongAgo || hasDeparted)) {
            names.push_back(entry.member.identity.name);
        }
    });
    for (const auto &name : names) {
        m_changes.erase(name);
        m_newRecords.erase(name);
        m_table.erase(name);
    }
}

PeerPlan MembershipView::planRound(MonotonicTime now, std::mt19937_64 &random) const
{
    std::vector<PeerCandidate> candidates;
    candidates.reserve(m_table.size());
    const MemberEntry *oldest = nullptr;
    m_table.forEach([this, now, &candidates, &oldest](const MemberEntry &entry) {
        const auto &identity = entry.member.identity;
        if (entry.departed || identity.gossipAddress.empty()) {
            return;
        }
        candidates.push_back({.hash = entry.hash,
                              .dataCentre = identity.dataCentre,
                              .region = identity.region,
                              .gossipAddress = identity.gossipAddress,
                              .reachable = m_table.isReachable(entry, now),
                              .mayWatch = entry.joined && !entry.goneSince});
        if (m_table.isReachable(entry, now) && (!oldest || entry.member.lastHeartbeatAt < oldest->member.lastHeartbeatAt)) {
            oldest = &entry;
        }
    });
    const auto &self = m_options.self;
    const PeerCandidate own {.hash = m_ownHash, .dataCentre = self.dataCentre, .region = self.region, .gossipAddress = self.gossipAddress};
    auto peers = planPeers(own, candidates, m_options.tuning.watchers, m_options.tuning.crossRegionHeartbeatsPerRound, random);
    // Digests may omit a member for a long time, up to 162 s in a simulation of 390 members. Such a member is probed directly before it becomes suspect.
    if (peers.unreachable.empty() && oldest && now - *oldest->member.lastHeartbeatAt > m_table.staleTimeout() / 3) {
        peers.unreachable.push_back(oldest->member.identity.gossipAddress);
    }
    return peers;
}

std::vector<std::string> MembershipView::selectSeeds(std::mt19937_64 &random) const
{
    auto seeds = m_options.seeds;
    std::erase(seeds, m_options.self.gossipAddress);
    m_table.forEach([&seeds](const MemberEntry &entry) { std::erase(seeds, entry.member.identity.gossipAddress); });
    std::shuffle(seeds.begin(), seeds.end(), random);
    seeds.resize(std::min(seeds.size(), MaxSeedsPerRound));
    return seeds;
}

Wire::Heartbeat MembershipView::basicHeartbeat(MonotonicTime now, const HybridTime &timestamp) const
{
    Wire::Heartbeat heartbeat;
    heartbeat.sender = toWire(m_options.self);
    heartbeat.sequence = m_sequence;
    heartbeat.documentVersion = m_own.documentVersion;
    if (const auto confirmed = confirmedAt()) {
        heartbeat.__set_confirmationAgeMs(ageMs(now, *confirmed));
    }
    if (const auto platformAt = std::max(m_platformAt, m_own.platformAt)) {
        heartbeat.__set_platformAgeMs(ageMs(now, *platformAt));
    }
    if (m_own.openStreams > 0) {
        heartbeat.__set_openStreams(m_own.openStreams);
    }
    if (m_own.leaving) {
        heartbeat.__set_leaving(true);
    }
    if (m_departed) {
        heartbeat.__set_departed(true);
    }
    if (m_sequence <= m_options.tuning.joinRounds) {
        heartbeat.__set_joining(true);
    }
    heartbeat.hybridWallMs = timestamp.wallMs;
    heartbeat.hybridCounter = static_cast<int32_t>(timestamp.counter);
    return heartbeat;
}

Wire::Heartbeat MembershipView::fullHeartbeat(MonotonicTime now, const HybridTime &timestamp, std::mt19937_64 &random)
{
    auto heartbeat = basicHeartbeat(now, timestamp);
    for (const auto &name : takeQueuedNames(m_newRecords, MaxRecordsPerDatagram)) {
        if (const auto *entry = m_table.find(name)) {
            heartbeat.records.push_back(toWire(entry->member.identity));
        }
    }
    heartbeat.__isset.records = !heartbeat.records.empty();
    heartbeat.crashes = m_crashes.nextRecords(now);
    heartbeat.__isset.crashes = !heartbeat.crashes.empty();
    addDigests(heartbeat, now, random);
    heartbeat.__isset.digests = !heartbeat.digests.empty();
    return heartbeat;
}

Wire::Heartbeat MembershipView::joinResponse(MonotonicTime now, const HybridTime &timestamp)
{
    auto response = basicHeartbeat(now, timestamp);
    std::vector<const MemberEntry *> usable;
    m_table.forEach([&usable](const MemberEntry &entry) {
        if (entry.member.lastHeartbeatAt && !entry.goneSince) {
            usable.push_back(&entry);
        }
    });
    // Successive responses cover all members in turn.
    const size_t count = std::min(usable.size(), m_options.tuning.digestsPerJoinResponse);
    for (size_t i = 0; i < count; ++i) {
        response.digests.push_back(digestOf(*usable[m_joinCursor++ % usable.size()], now));
    }
    response.__isset.digests = true;
    return response;
}

void MembershipView::addDigests(Wire::Heartbeat &heartbeat, MonotonicTime now, std::mt19937_64 &random)
{
    const size_t limit = m_options.tuning.digestsPerDatagram;
    std::vector<uint32_t> taken;
    const auto add = [this, &heartbeat, &taken, now](const MemberEntry &entry) {
        if (std::find(taken.begin(), taken.end(), entry.hash) == taken.end()) {
            taken.push_back(entry.hash);
            heartbeat.digests.push_back(digestOf(entry, now));
        }
    };
    for (const auto &name : takeQueuedNames(m_changes, limit)) {
        if (const auto *entry = m_table.find(name)) {
            add(*entry);
        }
    }
    std::vector<const MemberEntry *> usable;
    m_table.forEach([&usable](const MemberEntry &entry) {
        if (entry.member.lastHeartbeatAt && !entry.suspectSince && !entry.goneSince) {
            usable.push_back(&entry);
        }
    });
    std::sort(usable.begin(), usable.end(), [](const auto *a, const auto *b) { return a->member.lastHeartbeatAt > b->member.lastHeartbeatAt; });
    std::vector<std::string_view> dataCentres;
    for (const auto *entry : usable) {
        const std::string_view dataCentre = entry->member.identity.dataCentre;
        if (std::find(dataCentres.begin(), dataCentres.end(), dataCentre) == dataCentres.end()) {
            dataCentres.push_back(dataCentre);
            add(*entry);
        }
    }
    for (size_t tries = 0; tries < 2 * limit && heartbeat.digests.size() < std::min(limit, usable.size()); ++tries) {
        const double uniform = std::uniform_real_distribution<>(0, 1)(random);
        add(*usable[static_cast<size_t>(std::pow(uniform, m_options.tuning.freshnessBias) * static_cast<double>(usable.size()))]);
    }
}

Wire::MemberDigest MembershipView::digestOf(const MemberEntry &entry, MonotonicTime now) const
{
    Wire::MemberDigest digest;
    digest.identity = static_cast<int32_t>(entry.hash);
    digest.sequence = entry.member.sequence;
    if (entry.departed) {
        digest.__set_kind(Wire::DigestKind::Departed);
        return digest;
    }
    if (entry.suspicionReported) {
        digest.__set_kind(Wire::DigestKind::Suspect);
        return digest;
    }
    if (entry.leaving) {
        digest.__set_kind(Wire::DigestKind::Leaving);
    }
    if (entry.member.lastHeartbeatAt) {
        digest.__set_ageTenths(static_cast<int32_t>(ageMs(now, *entry.member.lastHeartbeatAt) / 100));
    }
    if (entry.member.openStreams > 0) {
        digest.__set_openStreams(entry.member.openStreams);
    }
    if (entry.member.documentVersion != m_own.documentVersion) {
        digest.__set_documentVersion(entry.member.documentVersion);
    }
    return digest;
}

void MembershipView::disseminate(const MemberEntry &entry)
{
    m_changes[entry.member.identity.name] = transmissions();
}

void MembershipView::disseminateJoin(const MemberEntry &entry)
{
    const auto &name = entry.member.identity.name;
    m_newRecords[name] = JoinTransmissions;
    m_changes.try_emplace(name, JoinTransmissions);
}

void MembershipView::emit(MembershipChange change, const MemberEntry &entry, MonotonicTime now)
{
    auto member = entry.member;
    member.state = m_table.stateOf(entry, now);
    m_events.push_back({.change = change, .member = std::move(member)});
}

int MembershipView::transmissions() const
{
    return TransmissionsPerDoubling * doublings(m_table.size() + 1);
}

} // namespace Jujube
