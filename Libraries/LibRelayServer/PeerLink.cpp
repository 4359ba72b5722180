#include <LibRelayServer/PeerLink.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/Error.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <LibRelay/RegionLoads.h>

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
// Delay before a heartbeat that is sent early.
constexpr std::chrono::milliseconds EarlyHeartbeatDelay {20};
// Up to this number of relays, all are notified of each change of load and receive complete heartbeats.
constexpr int MaxSmallFleetSize = 12;
// In larger fleets, a relay that does not send the loads of its region sends one in this many heartbeats to other regions.
constexpr int HeartbeatsPerInterRegionHeartbeat = 3;
constexpr size_t MaxKnownAddresses = 2;
// Number of addresses sent to a relay whose first heartbeat was received.
constexpr size_t MaxIntroductionAddresses = 40;
constexpr size_t MaxCrashReports = 8;
// Sound parts of prompts that are under suspicion.
constexpr size_t MaxSoundParts = 16;
// Number of changed targets in one datagram, so that none is left out for lack of space.
constexpr size_t MaxTargetsPerDatagram = 10;

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
    receive();
    onHeartbeatDue();
    return absl::OkStatus();
}

void PeerLink::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](const LoopError &error, size_t bytes) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            onDatagram({m_buffer.data(), bytes}, monotonicNow());
        }
        receive();
    });
}

void PeerLink::onDatagram(std::string_view datagram, MonotonicTime now)
{
    m_core.metrics.count("relay_heartbeats_received_total");
    // Datagrams that arrived during a freeze are older than they seem.
    m_core.detectFreeze(now);
    auto heartbeat = decodePeerHeartbeat(datagram);
    if (!heartbeat) {
        m_core.metrics.count("relay_peer_datagrams_malformed_total");
        return;
    }
    auto loads = std::exchange(heartbeat->loads, {});
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
    for (const auto &statement : heartbeat->requestLimits) {
        m_core.recordRequestLimit(statement, now);
    }
    for (const auto &crash : heartbeat->crashes) {
        m_core.crashSuspects.merge(crash, now);
    }
    for (const auto &sound : heartbeat->soundParts) {
        m_core.promptParts.recordSound({sound.part}, sound.age, now);
    }
    for (const auto &crash : heartbeat->promptCrashes) {
        m_core.promptParts.recordCrash(crash, now);
    }
    m_hooks.onDocumentVersion(*heartbeat);
    if (change == PeerTable::Change::Joined) {
        auto line = m_core.line(EventKind::PeerJoined);
        line.add("peer", heartbeat->node).add("address", heartbeat->callers);
        m_core.log(line);
        sendKnownAddresses(heartbeat->peers, now);
    }
}

void PeerLink::sendKnownAddresses(const std::string &address, MonotonicTime now)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        return;
    }
    auto introduction = buildHeartbeat(now);
    introduction.requestLimits = m_core.balancer.requestLimits().allStatements(now);
    introduction.known = m_core.peers.knownAddresses(MaxIntroductionAddresses, now, m_core.random());
    LoopError ignored;
    m_socket.send_to(boost::asio::buffer(encodePeerHeartbeat(introduction)), endpoint->udp(), 0, ignored);
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
    if (m_isLoadUpdateScheduled || (!isGeneration && !isSmallFleet(monotonicNow()))) {
        return;
    }
    m_isLoadUpdateScheduled = true;
    m_loadTimer.expires_after(EarlyHeartbeatDelay);
    m_loadTimer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        m_isLoadUpdateScheduled = false;
        const auto now = monotonicNow();
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
    const auto silent = m_core.peers.expire(now);
    for (const auto &node : silent) {
        m_core.balancer.dropPeer(node);
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
    sendDatagram(PeerTable::RecipientScope::Region, encodePeerHeartbeat(loads), now);
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

void PeerLink::sendDatagram(PeerTable::RecipientScope scope, const std::string &datagram, MonotonicTime now)
{
    for (const auto &address : m_core.peers.recipients(scope, now)) {
        if (const auto endpoint = Endpoint::parse(address)) {
            // A datagram that cannot be sent is treated as lost; the next heartbeat follows.
            LoopError ignored;
            m_socket.send_to(boost::asio::buffer(datagram), endpoint->udp(), 0, ignored);
            m_core.metrics.count("relay_heartbeats_sent_total");
        }
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
                          .accepting = m_core.routes != nullptr && !m_core.isDraining(),
                          .loads = m_core.balancer.ownLoads(),
                          .crashes = m_core.crashSuspects.reports(MaxCrashReports, now),
                          .promptCrashes = m_core.promptParts.crashes(MaxCrashReports, now),
                          .soundParts = m_core.promptParts.soundSuspects(MaxSoundParts, now),
                          .known = m_core.peers.knownAddresses(MaxKnownAddresses, now, m_core.random()),
                          .requestLimits = m_core.balancer.requestLimits().recentStatements(LimitReportTime, now),
                          .knownRelays = m_core.peers.knownRelayCount()};
    result.targets = m_core.targets.recentChanges(ChangeRepeatTime, now);
    m_hooks.addTableState(result, now);
    return result;
}

} // namespace Jujube
