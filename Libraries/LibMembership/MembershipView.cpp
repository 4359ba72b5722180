#include <LibMembership/MembershipView.h>

#include <algorithm>
#include <LibMembership/WireConversion.h>
#include <utility>

namespace Jujube
{

namespace
{

// 16 records of about 70 bytes fit into one datagram.
constexpr size_t MaxRecordsPerResponse = 16;
constexpr size_t MaxWanted = MaxRecordsPerResponse;

std::optional<MonotonicTime> latest(std::optional<MonotonicTime> a, std::optional<MonotonicTime> b)
{
    return std::max(a, b);
}

} // namespace

MembershipView::MembershipView(Options options)
    : m_options(std::move(options))
    , m_ownHash(hashOf(m_options.self))
    , m_table(m_options.tuning)
{
}

void MembershipView::setOwnState(const OwnState &state)
{
    if (state.documentVersion != m_own.documentVersion) {
        m_confirmedAt = std::nullopt;
    }
    m_own = state;
}

void MembershipView::applyVmList(const std::vector<VmListEntry> &list, MonotonicTime now)
{
    m_listAt = now;
    m_table.forEach([](MemberEntry &entry) { entry.listed = false; });
    for (const auto &listed : list) {
        if (listed.identity.name == m_options.self.name) {
            continue;
        }
        // A VM list that is ahead of the heartbeats does not replace a member that is not gone.
        auto *entry = m_table.find(listed.identity.name);
        if (!entry || (entry->goneSince && entry->member.identity.incarnation < listed.identity.incarnation)) {
            entry = admit(listed.identity, now);
        }
        if (!entry) {
            continue;
        }
        entry->listed = true;
        entry->wasListed = true;
        entry->listedIncarnation = std::max(entry->listedIncarnation, listed.identity.incarnation);
        if (listed.leaving && listed.identity.incarnation >= entry->member.identity.incarnation) {
            markLeaving(*entry, now);
        }
    }
}

std::vector<OutgoingHeartbeat>
MembershipView::receive(const Wire::Heartbeat &heartbeat, const std::string &source, MonotonicTime now, const HybridTime &timestamp)
{
    auto identity = identityFromWire(heartbeat.sender);
    if (identity.gossipAddress.empty()) {
        identity.gossipAddress = source;
    }
    if (identity.name == m_options.self.name) {
        handleNameConflict(identity);
        return {};
    }
    auto *sender = admit(identity, now);
    if (!sender) {
        // A replaced incarnation receives the record of its successor, so that it stops.
        const auto *successor = m_table.find(identity.name);
        return successor ? std::vector {OutgoingHeartbeat {identity.gossipAddress, recordsFor({static_cast<int32_t>(successor->hash)}, now, timestamp)}}
                         : std::vector<OutgoingHeartbeat> {};
    }
    // Outdated datagrams are dropped completely.
    if (heartbeat.sequence < sender->directSequence) {
        return {};
    }
    const bool isNewer = heartbeat.sequence > sender->directSequence;
    applySender(*sender, heartbeat, now);
    std::vector<int32_t> wanted;
    for (const auto &record : heartbeat.records) {
        const auto known = identityFromWire(record);
        if (known.name == m_options.self.name) {
            handleNameConflict(known);
        } else {
            admit(known, now);
        }
    }
    for (const auto &digest : heartbeat.digests) {
        applyDigest(digest, heartbeat.documentVersion, now, wanted);
    }
    for (const auto &crash : heartbeat.crashes) {
        reportCrash(CrashReportBuffer::fromWire(crash, now), now);
    }
    std::vector<OutgoingHeartbeat> responses;
    if (!heartbeat.wanted.empty()) {
        responses.push_back({identity.gossipAddress, recordsFor(heartbeat.wanted, now, timestamp)});
    }
    if (heartbeat.probe && isNewer) {
        responses.push_back({identity.gossipAddress, basicHeartbeat(now, timestamp)});
    }
    // Responses to a joining member also have this flag while their sender is joining, so only the heartbeats of a round get a response.
    if (heartbeat.joining && heartbeat.wanted.empty() && isNewer) {
        responses.push_back({identity.gossipAddress, joinResponse(now, timestamp)});
    }
    if (!wanted.empty() && m_recordRequestsLeft > 0) {
        m_recordRequestsLeft -= 1;
        auto request = basicHeartbeat(now, timestamp);
        wanted.resize(std::min(wanted.size(), MaxWanted));
        request.__set_wanted(wanted);
        responses.push_back({identity.gossipAddress, std::move(request)});
    }
    return responses;
}

Wire::Heartbeat MembershipView::recordsFor(const std::vector<int32_t> &wanted, MonotonicTime now, const HybridTime &timestamp) const
{
    auto response = basicHeartbeat(now, timestamp);
    for (const auto hash : wanted) {
        const auto *entry = m_table.findHash(static_cast<uint32_t>(hash));
        if (entry && response.records.size() < MaxRecordsPerResponse) {
            response.records.push_back(toWire(entry->member.identity));
        }
    }
    response.__isset.records = true;
    return response;
}

void MembershipView::handleNameConflict(const MemberIdentity &identity)
{
    if (identity.incarnation > m_options.self.incarnation && !m_replaced) {
        m_replaced = true;
        m_events.push_back({.change = MembershipChange::Replaced, .member = {.identity = identity}});
    }
}

MemberEntry *MembershipView::admit(const MemberIdentity &identity, MonotonicTime now)
{
    return m_table.admit(identity, now, [this, now](const MemberEntry &old) {
        if (old.joined && !old.goneSince) {
            emit(MembershipChange::Lost, old, now);
        }
    });
}

void MembershipView::markAddressPredecessorsGone(const MemberEntry &newcomer, MonotonicTime now)
{
    m_table.forEach([this, &newcomer, now](MemberEntry &other) {
        const bool isSameAddress = other.member.identity.address == newcomer.member.identity.address;
        if (isSameAddress && other.member.identity.incarnation < newcomer.member.identity.incarnation) {
            markGone(other, now);
        }
    });
}

void MembershipView::recordHeartbeat(MemberEntry &entry, const HeartbeatObservation &observation, MonotonicTime now)
{
    if (entry.departed || observation.sequence <= entry.member.sequence) {
        return;
    }
    entry.member.sequence = observation.sequence;
    entry.member.lastHeartbeatAt = latest(entry.member.lastHeartbeatAt, observation.at);
    m_table.recordContact(entry.member.identity.dataCentre, observation.at);
    const bool isRecent = now - observation.at < m_table.staleTimeout();
    if (!isRecent) {
        return;
    }
    const bool wasGone = entry.goneSince.has_value();
    if (entry.suspectSince || wasGone) {
        // A watcher that was wrong, because the link from the member to it loses datagrams, watches again only after the next direct heartbeat.
        entry.watched = false;
        entry.suspectSince = std::nullopt;
        entry.goneSince = std::nullopt;
        entry.suspicionReported = false;
        disseminate(entry);
    }
    if (wasGone || !entry.joined) {
        // Only at the first join: otherwise, two live members that share an address by mistake would keep marking each other as gone.
        if (!entry.joined) {
            markAddressPredecessorsGone(entry, now);
        }
        entry.joined = true;
        disseminateJoin(entry);
        emit(MembershipChange::Joined, entry, now);
    }
}

void MembershipView::applySender(MemberEntry &sender, const Wire::Heartbeat &heartbeat, MonotonicTime now)
{
    m_peerAt = now;
    m_fresh = true;
    sender.directSequence = heartbeat.sequence;
    sender.member.openStreams = heartbeat.openStreams;
    sender.member.documentVersion = heartbeat.documentVersion;
    recordHeartbeat(sender, {.sequence = heartbeat.sequence, .at = now}, now);
    sender.watched = heartbeat.watch;
    if (heartbeat.leaving) {
        markLeaving(sender, now);
    }
    if (heartbeat.departed && !sender.departed) {
        sender.departed = true;
        markGone(sender, now);
        disseminate(sender);
    }
    applyDocumentVersion(heartbeat, sender.member, now);
}

void MembershipView::applyDocumentVersion(const Wire::Heartbeat &heartbeat, const Member &sender, MonotonicTime now)
{
    if (heartbeat.__isset.platformAgeMs && heartbeat.platformAgeMs >= 0) {
        m_platformAt = latest(m_platformAt, now - std::chrono::milliseconds(heartbeat.platformAgeMs));
    }
    // Only a confirmation of the same version counts. A confirmation of an older version proves nothing about this one, and a confirmation of a newer version
    // proves that this one is obsolete.
    if (heartbeat.documentVersion == m_own.documentVersion && heartbeat.__isset.confirmationAgeMs && heartbeat.confirmationAgeMs >= 0) {
        m_confirmedAt = latest(m_confirmedAt, now - std::chrono::milliseconds(heartbeat.confirmationAgeMs));
    }
    if (heartbeat.documentVersion > m_own.documentVersion) {
        m_events.push_back({.change = MembershipChange::DocumentOffered, .member = sender, .documentVersion = heartbeat.documentVersion});
    }
}

void MembershipView::applyDigest(const Wire::MemberDigest &digest, int64_t senderVersion, MonotonicTime now, std::vector<int32_t> &wanted)
{
    const auto hash = static_cast<uint32_t>(digest.identity);
    if (hash == m_ownHash) {
        // A suspicion of this process is refuted by its next heartbeats.
        return;
    }
    auto *entry = m_table.findHash(hash);
    if (!entry) {
        wanted.push_back(digest.identity);
        return;
    }
    if (digest.kind == Wire::DigestKind::Suspect) {
        applySuspicion(*entry, digest.sequence, now);
        return;
    }
    if (digest.kind == Wire::DigestKind::Departed) {
        if (!entry->departed) {
            entry->departed = true;
            markGone(*entry, now);
            disseminate(*entry);
        }
        return;
    }
    if (digest.sequence > entry->member.sequence) {
        entry->member.openStreams = digest.openStreams;
        entry->member.documentVersion = digest.__isset.documentVersion ? digest.documentVersion : senderVersion;
    }
    recordHeartbeat(*entry, {.sequence = digest.sequence, .at = now - std::chrono::milliseconds(100) * std::max(0, digest.ageTenths)}, now);
    if (digest.kind == Wire::DigestKind::Leaving) {
        markLeaving(*entry, now);
    }
}

void MembershipView::applySuspicion(MemberEntry &entry, int64_t sequence, MonotonicTime now)
{
    if (sequence < entry.member.sequence) {
        // This process knows a later heartbeat. The reporter and the members that adopted the suspicion must receive the higher sequence number.
        disseminate(entry);
        return;
    }
    entry.member.sequence = sequence;
    if (!entry.goneSince && !entry.suspicionReported) {
        entry.suspectSince = entry.suspectSince.value_or(now);
        entry.suspicionReported = true;
        disseminate(entry);
    }
}

void MembershipView::markLeaving(MemberEntry &entry, MonotonicTime now)
{
    if (entry.leaving) {
        return;
    }
    entry.leaving = true;
    disseminate(entry);
    emit(MembershipChange::Leaving, entry, now);
}

void MembershipView::markGone(MemberEntry &entry, MonotonicTime now)
{
    if (entry.goneSince) {
        return;
    }
    entry.goneSince = now;
    if (entry.joined) {
        emit(MembershipChange::Lost, entry, now);
    }
}

void MembershipView::reportCrash(const CrashReport &report, MonotonicTime now)
{
    if (now - report.at > CrashReportBuffer::RetentionTime || !m_crashes.merge(report, transmissions())) {
        return;
    }
    m_events.push_back({.change = MembershipChange::CrashReported, .member = {}});
}

std::vector<MembershipEvent> MembershipView::takeEvents()
{
    return std::exchange(m_events, {});
}

Reachability MembershipView::reachability(MonotonicTime now) const
{
    Reachability result;
    m_table.forEach([this, now, &result](const MemberEntry &entry) {
        const bool hasLeftOrderly = entry.departed || (entry.leaving && entry.goneSince);
        result.known += hasLeftOrderly ? 0 : 1;
        result.reachable += m_table.isReachable(entry, now) ? 1 : 0;
    });
    const auto age = [now](MonotonicTime at) { return std::chrono::duration_cast<std::chrono::milliseconds>(now - at); };
    if (m_peerAt) {
        result.peerAge = age(*m_peerAt);
    }
    if (const auto platformAt = latest(m_platformAt, m_own.platformAt)) {
        result.platformAge = age(*platformAt);
    }
    result.fresh = m_fresh;
    return result;
}

std::optional<MonotonicTime> MembershipView::confirmedAt() const
{
    return latest(m_confirmedAt, m_own.confirmedAt);
}

} // namespace Jujube
