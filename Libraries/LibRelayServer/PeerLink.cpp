#include <LibRelayServer/PeerLink.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/Error.h>
#include <LibRelay/CrashReportCodec.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <LibRelay/RegionLoads.h>
#include <LibRelay/RolloutReportCodec.h>
#include <LibRelayServer/RolloutAgent.h>
#include <LibRelayServer/StreamVersions.h>

namespace Jujube
{

namespace
{

// Interval between heartbeats. They carry loads, on which placement depends. The interval grows with the number of relays, so that a relay's share of processor
// time and traffic stays bounded.
constexpr std::chrono::milliseconds MinHeartbeatInterval {200};
constexpr std::chrono::milliseconds MaxHeartbeatInterval {800};
constexpr std::chrono::milliseconds MaxReaderHeartbeatInterval {400};
constexpr std::chrono::milliseconds HeartbeatIntervalPerRelay {5};
// A change is repeated in several heartbeats, because a datagram may be lost.
constexpr std::chrono::milliseconds ChangeRepeatTime {1500};
// A limit that a target has named to this relay is reported for longer than the interval between heartbeats to other regions.
constexpr std::chrono::milliseconds LimitReportTime {3000};
// Up to this number of relays, all are notified of each change of load and receive complete heartbeats.
constexpr int MaxSmallFleetSize = 12;
// In larger fleets, a relay that does not send the loads of its region sends one in this many heartbeats to other regions.
constexpr int HeartbeatsPerInterRegionHeartbeat = 3;
constexpr size_t MaxKnownAddresses = 2;
// Number of addresses sent to a relay whose first heartbeat was received.
constexpr size_t MaxIntroductionAddresses = 40;
constexpr size_t MaxCrashReports = 8;
// Requests of one crash in a heartbeat. Crashes with more of them have datagrams of their own.
constexpr size_t MaxCrashMembers = 24;
// Datagrams with parts of crashes to all relays, beside each heartbeat while there are new crashes. In larger fleets, crashes with more pieces than this are
// reported only to the relays that judge them for all.
constexpr size_t MaxCrashDatagrams = 3;
constexpr uint32_t MaxPiecesForAll = 2;
// The same to each of those relays, and to all in a small fleet.
constexpr size_t MaxDatagramsToJudge = 32;
constexpr size_t MaxSoundPartsInReport = 70;
constexpr size_t MaxMembersInReport = 100;
// Crashes with many requests are reported for this time.
constexpr std::chrono::milliseconds CrashReportTime {5000};
// A relay that has just joined gets the crashes that still count.
constexpr std::chrono::milliseconds CrashLifetime {std::chrono::minutes(10)};
constexpr size_t MaxIntroductionDatagrams = 64;
// Sound parts of prompts that are under suspicion.
constexpr size_t MaxSoundParts = 16;
// Number of changed targets in one datagram, so that none is left out for lack of space.
constexpr size_t MaxTargetsPerDatagram = 10;

// Datagrams that are read before other work gets its turn.
constexpr int MaxDatagramsPerTurn = 8;

} // namespace

PeerLink::PeerLink(RelayCore &core, Hooks hooks)
    : m_core(core)
    , m_hooks(std::move(hooks))
    , m_socket(core.loop)
    , m_timer(core.loop)
    , m_loadTimer(core.loop)
    , m_incarnation(wallMsNow())
{
}

absl::Status PeerLink::start()
{
    const auto endpoint = m_core.options.peers.udp();
    LoopError error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("cannot bind UDP ", m_core.options.peers.toText(), ": ", error.message()));
    }
    const auto now = monotonicNow();
    for (const auto &seed : m_core.options.seeds) {
        m_core.peers.addAddress(seed, now);
    }
    awaitDatagrams();
    onHeartbeatDue();
    return absl::OkStatus();
}

void PeerLink::awaitDatagrams()
{
    m_socket.async_wait(Udp::socket::wait_read, [this](const LoopError &error) {
        if (error != boost::asio::error::operation_aborted) {
            readDatagrams();
            awaitDatagrams();
        }
    });
}

void PeerLink::readDatagrams()
{
    m_backlogSince = m_backlogSince.value_or(monotonicNow());
    for (int count = 0; count < MaxDatagramsPerTurn; ++count) {
        LoopError error;
        const auto bytes = m_socket.receive_from(boost::asio::buffer(m_buffer), m_sender, 0, error);
        if (error == boost::asio::error::would_block) {
            m_backlogSince.reset();
            return;
        }
        const auto now = monotonicNow();
        m_datagramWait.record(now - *m_backlogSince, now);
        if (!error) {
            m_received.add(static_cast<double>(bytes), now);
            m_core.metrics.count("relay_peer_bytes_received_total", {}, bytes);
            onDatagram({m_buffer.data(), bytes}, now);
        }
    }
}

void PeerLink::onDatagram(std::string_view datagram, MonotonicTime now)
{
    m_core.metrics.count("relay_heartbeats_received_total");
    // Datagrams that arrived during a freeze are older than they seem.
    m_core.detectFreeze(now);
    if (const auto report = decodePeerCrashReport(datagram)) {
        onCrashReport(*report, now);
        return;
    }
    if (const auto report = decodeStreamOriginReport(datagram)) {
        m_core.streamVersions->onReport(*report, now);
        return;
    }
    if (const auto report = m_core.rollouts ? decodeRolloutReport(datagram) : std::nullopt) {
        m_core.rollouts->onReport(*report, now);
        return;
    }
    auto heartbeat = decodePeerHeartbeat(datagram);
    if (!heartbeat) {
        m_core.metrics.count("relay_peer_datagrams_malformed_total");
        return;
    }
    auto loads = std::exchange(heartbeat->loads, {});
    const bool isRestarted = m_core.peers.isRestarted(*heartbeat);
    const auto change = m_core.peers.handleHeartbeat(*heartbeat, now);
    if (change == PeerTable::Change::Stale) {
        return;
    }
    m_core.balancer.setPeerLoads(heartbeat->node, std::move(loads));
    m_core.releaseWaitingMigrations(now);
    if (heartbeat->onlyLoads) {
        return;
    }
    m_hooks.onTargetState(*heartbeat, now);
    if (m_core.rollouts) {
        m_core.rollouts->onPeerHeartbeat(*heartbeat, now);
    }
    for (const auto &statement : heartbeat->requestLimits) {
        m_core.recordRequestLimit(statement, now);
    }
    for (const auto &crash : heartbeat->crashes) {
        m_core.crashSuspects.merge(crash, now);
    }
    for (const auto &sound : heartbeat->soundParts) {
        m_core.promptParts.recordReportedSound(sound, now);
    }
    for (const auto &crash : heartbeat->promptCrashes) {
        m_core.promptParts.recordCrash(crash, now);
    }
    m_hooks.onDocumentVersion(*heartbeat);
    if (change == PeerTable::Change::Joined || isRestarted) {
        m_core.streamVersions->onRelaysChanged(now);
    }
    if (change == PeerTable::Change::Joined) {
        auto line = m_core.line(EventKind::PeerJoined);
        line.add("peer", heartbeat->node).add("address", heartbeat->callers);
        m_core.log(line);
        sendKnownAddresses(heartbeat->peers, now);
        if (isSmallFleet(now) || m_core.peers.isRegionRepresentative(m_core.options.node, now)) {
            sendKnownCrashes(heartbeat->peers, now);
        }
    } else if (isRestarted && m_core.rollouts) {
        // It needs the plans of rollouts, also if the store is unavailable.
        sendKnownAddresses(heartbeat->peers, now);
    }
}

void PeerLink::onCrashReport(const PeerCrashReport &report, MonotonicTime now)
{
    if (report.node == m_core.options.node) {
        return;
    }
    if (!report.crashes.empty() || !report.promptCrashes.empty()) {
        m_crashReportedAt[report.node] = now;
    }
    for (const auto &crash : report.crashes) {
        m_core.crashSuspects.merge(crash, now);
    }
    for (const auto &sound : report.soundParts) {
        m_core.promptParts.recordReportedSound(sound, now);
    }
    for (const auto &crash : report.promptCrashes) {
        m_core.promptParts.recordCrash(crash, now);
    }
}

void PeerLink::sendCrashReports(MonotonicTime now)
{
    // In a small fleet, all relays get all parts and judge.
    const auto judges = isSmallFleet(now) ? std::vector<std::string>() : m_core.peers.crashJudges(now);
    const auto own = m_core.options.peers.toText();
    const bool isJudge = judges.empty() || std::ranges::find(judges, own) != judges.end();
    const bool hasNew = sendNewCrashesToOtherRegions(now);
    if (!hasNew && m_crashReportsToOtherRegions.nextAt(now) <= now) {
        for (const auto &report : ownCrashReports(PromptPartCrashes::ReportAudience::OtherRegions, false, now)) {
            sendCrashReportToOtherRegions(report, now);
        }
    }
    if (m_crashReports.nextAt(now) > now) {
        return;
    }
    const bool onlyNew = !m_crashReports.hasSaved(SavedForNewCrashes, now);
    for (const auto &report : ownCrashReports(PromptPartCrashes::ReportAudience::Region, onlyNew, now)) {
        sendCrashReportToRegion(report, now);
    }
    if (!judges.empty()) {
        PromptPartCrashes::ReportOptions options {.datagrams = MaxDatagramsToJudge, .bytes = MaxCrashReportBytes};
        options.audience = PromptPartCrashes::ReportAudience::Judges;
        for (auto &crashes : m_core.promptParts.takeCrashReports(options, now)) {
            const auto datagram = encodePeerCrashReport({.node = m_core.options.node, .promptCrashes = std::move(crashes)});
            for (const auto &judge : judges) {
                if (judge != own) {
                    sendDatagramTo(judge, datagram);
                    m_crashReports.recordSent(datagram.size(), now);
                }
            }
        }
    }
    if (onlyNew) {
        return;
    }
    const bool isRoomBetweenRegions = m_crashReportsToOtherRegions.nextAt(now) <= now;
    for (const auto &report : otherCrashReports(isJudge, now)) {
        sendCrashReportToRegion(report, now);
        if (isRoomBetweenRegions) {
            sendCrashReportToOtherRegions(report, now);
        }
    }
}

void PeerLink::sendCrashReportToRegion(const PeerCrashReport &report, MonotonicTime now)
{
    const auto datagram = encodePeerCrashReport(report);
    const auto recipients = sendDatagram(PeerTable::RecipientScope::Region, datagram, now);
    m_crashReports.recordSent(recipients * datagram.size(), now);
}

void PeerLink::sendCrashReportToOtherRegions(const PeerCrashReport &report, MonotonicTime now)
{
    const auto datagram = encodePeerCrashReport(report);
    const auto relaysOfRegion = m_core.peers.livePeersInRegion(now).size() + 1;
    const auto recipients = sendDatagram(PeerTable::RecipientScope::LiveOutsideRegion, datagram, now);
    m_crashReports.recordSent(recipients * datagram.size(), now);
    m_crashReportsToOtherRegions.recordSent(recipients * datagram.size() * relaysOfRegion, now);
}

bool PeerLink::sendNewCrashesToOtherRegions(MonotonicTime now)
{
    if (m_newCrashReports.nextAt(now) > now) {
        return false;
    }
    const auto reports = ownCrashReports(PromptPartCrashes::ReportAudience::OtherRegions, true, now);
    const auto peers = m_core.peers.livePeersInRegion(now);
    const auto hasReported = [&](const Peer *peer) {
        const auto found = m_crashReportedAt.find(peer->latestHeartbeat.node);
        return found != m_crashReportedAt.end() && now - found->second < CrashReportTime;
    };
    const auto reporters = static_cast<size_t>(std::ranges::count_if(peers, hasReported)) + 1;
    for (const auto &report : reports) {
        const auto datagram = encodePeerCrashReport(report);
        const auto recipients = sendDatagram(PeerTable::RecipientScope::LiveOutsideRegion, datagram, now);
        // A relay that reports alone must not use all of the link either. It always has its part among all relays of the region.
        const auto parts = std::min(recipients * (peers.size() + 1), std::max(recipients * reporters, MinPartsOfLink));
        m_newCrashReports.recordSent(datagram.size() * parts, now);
        m_crashReportsToOtherRegions.recordSent(recipients * datagram.size() * (peers.size() + 1), now);
    }
    return !reports.empty();
}

std::vector<PeerCrashReport> PeerLink::ownCrashReports(PromptPartCrashes::ReportAudience audience, bool onlyNew, MonotonicTime now)
{
    PromptPartCrashes::ReportOptions options {.datagrams = MaxCrashDatagrams, .bytes = MaxCrashReportBytes, .maxPieces = MaxPiecesForAll};
    if (isSmallFleet(now)) {
        options = {.datagrams = MaxDatagramsToJudge, .bytes = MaxCrashReportBytes, .includesReported = !onlyNew};
    }
    options.audience = audience;
    options.onlyFirstRound = onlyNew;
    std::vector<PeerCrashReport> reports;
    for (auto &crashes : m_core.promptParts.takeCrashReports(options, now)) {
        reports.push_back({.node = m_core.options.node, .promptCrashes = std::move(crashes)});
    }
    return reports;
}

std::vector<PeerCrashReport> PeerLink::otherCrashReports(bool isJudge, MonotonicTime now)
{
    auto &parts = m_core.promptParts;
    std::vector<PeerCrashReport> reports;
    const auto add = [&]() -> PeerCrashReport & { return reports.emplace_back(PeerCrashReport {.node = m_core.options.node}); };
    if (isJudge) {
        for (auto &piece : parts.takeExcerpts(MaxCrashDatagrams, MaxCrashReportBytes, now)) {
            add().promptCrashes = {std::move(piece)};
        }
        auto rejections = parts.rejectionReports(MaxCrashReportBytes, now);
        // Heartbeats have the others.
        std::erase_if(rejections, [](const auto &piece) { return piece.pieces == 1; });
        for (size_t count = 0; count < std::min(MaxCrashDatagrams, rejections.size()); ++count) {
            add().promptCrashes = {rejections[m_nextRejection++ % rejections.size()]};
        }
    }
    if (auto sound = parts.takeSoundReports(MaxSoundPartsInReport, now); !sound.empty()) {
        add().soundParts = std::move(sound);
    }
    size_t pieces = 0;
    for (auto &piece : m_core.crashSuspects.pieces(CrashReportTime, MaxMembersInReport, now)) {
        if (piece.members.size() > MaxCrashMembers && ++pieces <= MaxCrashDatagrams) {
            add().crashes.push_back(std::move(piece));
        }
    }
    return reports;
}

void PeerLink::sendKnownCrashes(const std::string &address, MonotonicTime now)
{
    size_t datagrams = 0;
    const auto send = [&](const PeerCrashReport &report) {
        if (++datagrams <= MaxIntroductionDatagrams) {
            sendDatagramTo(address, encodePeerCrashReport(report));
        }
    };
    for (auto &crash : m_core.promptParts.rejectionReports(MaxCrashReportBytes, now)) {
        send({.node = m_core.options.node, .promptCrashes = {std::move(crash)}});
    }
    PeerCrashReport report {.node = m_core.options.node};
    size_t members = 0;
    for (auto &piece : m_core.crashSuspects.pieces(CrashLifetime, MaxMembersInReport, now)) {
        // A crash without members takes as much room as some members.
        constexpr size_t MembersOfACrash = 6;
        if (members + piece.members.size() + MembersOfACrash > MaxMembersInReport && !report.crashes.empty()) {
            send(std::exchange(report, {.node = m_core.options.node}));
            members = 0;
        }
        members += piece.members.size() + MembersOfACrash;
        report.crashes.push_back(std::move(piece));
    }
    if (!report.crashes.empty()) {
        send(report);
    }
}

void PeerLink::sendKnownAddresses(const std::string &address, MonotonicTime now)
{
    auto introduction = buildHeartbeat(now);
    introduction.requestLimits = m_core.balancer.requestLimits().allStatements(now);
    if (m_core.rollouts) {
        m_core.rollouts->addNotices(introduction, true, now);
    }
    introduction.known = m_core.peers.knownAddresses(MaxIntroductionAddresses, now, m_core.random());
    sendDatagramTo(address, encodePeerHeartbeat(introduction));
}

void PeerLink::scheduleHeartbeat(NotificationScope scope)
{
    if (scope == NotificationScope::None) {
        return;
    }
    m_isScheduledForAll = m_isScheduledForAll || scope == NotificationScope::All;
    if (!m_isHeartbeatScheduled) {
        m_isHeartbeatScheduled = true;
        armTimer(EarlyHeartbeatDelay);
    }
}

void PeerLink::scheduleLoadUpdate(bool isGeneration)
{
    const auto scheduledAt = monotonicNow();
    const bool isSmall = isSmallFleet(scheduledAt);
    if (m_isLoadUpdateScheduled || (!isGeneration && !isSmall)) {
        return;
    }
    m_isLoadUpdateScheduled = true;
    const auto early = scheduledAt + EarlyHeartbeatDelay;
    m_loadTimer.expires_at(isSmall ? early : std::max(early, m_loadReports.nextAt(scheduledAt)));
    m_loadTimer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        m_isLoadUpdateScheduled = false;
        const auto now = monotonicNow();
        m_core.detectFreeze(now);
        if (isSmallFleet(now)) {
            sendHeartbeat(NotificationScope::All, now);
        } else {
            sendLoads(now);
        }
    });
}

void PeerLink::armTimer(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const LoopError &error) {
        if (!error) {
            onHeartbeatDue();
        }
    });
}

void PeerLink::onHeartbeatDue()
{
    m_isHeartbeatScheduled = false;
    const bool wasScheduledForAll = std::exchange(m_isScheduledForAll, false);
    const auto now = monotonicNow();
    // Heartbeats state how old this relay's tables are.
    m_core.detectFreeze(now);
    const auto silent = m_core.peers.expire(now);
    for (const auto &node : silent) {
        m_core.balancer.dropPeer(node);
        m_crashReportedAt.erase(node);
        auto line = m_core.line(EventKind::PeerLost);
        line.add("peer", node);
        m_core.log(line);
    }
    const bool toAll = wasScheduledForAll || shouldSendToAllRegions(now) || ++m_heartbeatCount % HeartbeatsPerInterRegionHeartbeat == 0;
    sendHeartbeat(toAll ? NotificationScope::All : NotificationScope::Region, now);
    armTimer(heartbeatInterval(now));
}

std::chrono::milliseconds PeerLink::heartbeatInterval(MonotonicTime now) const
{
    if (m_hooks.isReading()) {
        return readerHeartbeatInterval(now);
    }
    return std::clamp(HeartbeatIntervalPerRelay * m_core.peers.liveRelayCount(now), MinHeartbeatInterval, MaxHeartbeatInterval);
}

std::chrono::milliseconds PeerLink::readerHeartbeatInterval(MonotonicTime now) const
{
    return std::clamp(HeartbeatIntervalPerRelay * m_core.peers.liveRelayCount(now), MinHeartbeatInterval, MaxReaderHeartbeatInterval);
}

bool PeerLink::shouldSendToAllRegions(MonotonicTime now) const
{
    // Relays of other regions seldom use the targets here, and traffic between regions has a price. All relays depend on those that read the store and those
    // that send the loads of a region.
    return isSmallFleet(now) || m_core.peers.isRegionRepresentative(m_core.options.node, now) || m_hooks.isReading();
}

void PeerLink::sendLoads(MonotonicTime now)
{
    const PeerHeartbeat loads {.node = m_core.options.node,
                               .incarnation = m_incarnation,
                               .sequence = ++m_sequence,
                               .peers = m_core.options.peers.toText(),
                               .onlyLoads = true,
                               .loads = m_core.balancer.ownLoads()};
    const auto datagram = encodePeerHeartbeat(loads);
    const auto recipients = sendDatagram(PeerTable::RecipientScope::Region, datagram, now);
    m_loadReports.recordSent(recipients * datagram.size(), now);
}

bool PeerLink::isSmallFleet(MonotonicTime now) const
{
    return m_core.peers.liveRelayCount(now) <= MaxSmallFleetSize;
}

void PeerLink::sendHeartbeat(NotificationScope scope, MonotonicTime now)
{
    auto heartbeat = buildHeartbeat(now);
    heartbeat.heartbeatInterval = heartbeatInterval(now);
    sendTo(PeerTable::RecipientScope::Region, heartbeat, now);
    sendCrashReports(now);
    if (scope == NotificationScope::Region) {
        return;
    }
    if (!shouldSendToAllRegions(now)) {
        heartbeat.heartbeatInterval *= HeartbeatsPerInterRegionHeartbeat;
    }
    if (!isSmallFleet(now)) {
        heartbeat.loads = otherRegionLoads(heartbeat.loads, now);
    }
    sendTo(PeerTable::RecipientScope::OutsideRegion, std::move(heartbeat), now);
}

void PeerLink::sendTo(PeerTable::RecipientScope scope, PeerHeartbeat heartbeat, MonotonicTime now)
{
    const auto targets = std::exchange(heartbeat.targets, {});
    size_t sent = 0;
    do {
        const auto count = std::min(MaxTargetsPerDatagram, targets.size() - sent);
        const auto first = targets.begin() + static_cast<ptrdiff_t>(sent);
        heartbeat.targets.assign(first, first + static_cast<ptrdiff_t>(count));
        heartbeat.sequence = ++m_sequence;
        sendDatagram(scope, encodePeerHeartbeat(heartbeat), now);
        sent += count;
    } while (sent < targets.size());
}

size_t PeerLink::sendDatagram(PeerTable::RecipientScope scope, const std::string &datagram, MonotonicTime now)
{
    const auto addresses = m_core.peers.recipients(scope, now);
    for (const auto &address : addresses) {
        sendDatagramTo(address, datagram);
    }
    return addresses.size();
}

void PeerLink::sendDatagramTo(const std::string &address, const std::string &datagram)
{
    if (const auto endpoint = Endpoint::parse(address)) {
        // A datagram that cannot be sent is treated as lost; the next heartbeat follows.
        LoopError ignored;
        m_socket.send_to(boost::asio::buffer(datagram), endpoint->udp(), 0, ignored);
        m_core.metrics.count("relay_heartbeats_sent_total");
        m_core.metrics.count("relay_peer_bytes_sent_total", {}, datagram.size());
        m_sent.add(static_cast<double>(datagram.size()), monotonicNow());
    }
}

std::vector<TargetLoad> PeerLink::otherRegionLoads(const std::vector<TargetLoad> &own, MonotonicTime now) const
{
    if (!m_core.peers.isRegionRepresentative(m_core.options.node, now)) {
        return loadsForOtherRegions(own, std::nullopt);
    }
    std::vector<std::vector<TargetLoad>> others;
    for (const auto *peer : m_core.peers.livePeersInRegion(now)) {
        others.push_back(m_core.balancer.peerLoads(peer->latestHeartbeat.node));
    }
    return loadsForOtherRegions(own, others);
}

PeerHeartbeat PeerLink::buildHeartbeat(MonotonicTime now)
{
    PeerHeartbeat result {.node = m_core.options.node,
                          .incarnation = m_incarnation,
                          .sequence = ++m_sequence,
                          .callers = m_core.options.callers.toText(),
                          .peers = m_core.options.peers.toText(),
                          .dataCentre = m_core.options.dataCentre,
                          .accepting = m_core.isAccepting(now),
                          .loads = m_core.balancer.ownLoads(),
                          .crashes = m_core.crashSuspects.reports(MaxCrashReports, now, MaxCrashMembers),
                          .promptCrashes = m_core.promptParts.crashes(MaxCrashReports, now),
                          .soundParts = m_core.promptParts.soundSuspects(MaxSoundParts, now),
                          .known = m_core.peers.knownAddresses(MaxKnownAddresses, now, m_core.random()),
                          .requestLimits = m_core.balancer.requestLimits().recentStatements(LimitReportTime, now),
                          .knownRelays = m_core.peers.knownRelayCount()};
    result.targets = m_core.targets.recentChanges(ChangeRepeatTime, now);
    m_hooks.addTableState(result, now);
    if (m_core.rollouts) {
        m_core.rollouts->addNotices(result, false, now);
    }
    return result;
}

} // namespace Jujube
