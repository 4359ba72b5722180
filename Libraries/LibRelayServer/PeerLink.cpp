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

// Pause between heartbeats. They carry loads, on which placement depends. With many relays it grows, so that a relay's share of processor time and traffic
// stays bounded.
constexpr std::chrono::milliseconds ShortestBeatPause {200};
constexpr std::chrono::milliseconds LongestBeatPause {800};
constexpr std::chrono::milliseconds BeatPausePerRelay {5};
// A change is told in several heartbeats, because a datagram may be lost.
constexpr std::chrono::milliseconds NewsTime {1500};
// Shortest pause before a heartbeat that is sent early.
constexpr std::chrono::milliseconds SoonPause {20};
// Up to this number of relays, all are told of each change of load, and get each heartbeat as a whole.
constexpr int SmallFleet = 12;
// In larger fleets, relays of other regions get one heartbeat of this number from a relay that does not speak for its region.
constexpr int BeatsPerFarBeat = 3;
constexpr size_t MostKnownAddresses = 2;
// Addresses that a relay is told when it is heard for the first time.
constexpr size_t MostIntroducedAddresses = 40;
constexpr size_t MostCrashes = 8;

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
    beat();
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
    auto heartbeatMessage = decodePeerHeartbeat(datagram);
    if (!heartbeatMessage) {
        m_core.metrics.count("relay_peer_datagrams_malformed_total");
        return;
    }
    auto loads = std::exchange(heartbeatMessage->loads, {});
    const auto change = m_core.peers.handleHeartbeat(*heartbeatMessage, now);
    if (change == PeerTable::Change::Stale) {
        return;
    }
    m_core.balancer.setPeerLoads(heartbeatMessage->node, std::move(loads));
    m_core.checkTurns(now);
    if (heartbeatMessage->onlyLoads) {
        return;
    }
    m_hooks.onTargetNews(*heartbeatMessage, now);
    for (const auto &crash : heartbeatMessage->crashes) {
        m_core.crashes.merge(crash, now);
    }
    m_hooks.onNewerDocument(*heartbeatMessage);
    if (change == PeerTable::Change::Joined) {
        auto line = m_core.line(EventKind::PeerJoined);
        line.add("peer", heartbeatMessage->node).add("address", heartbeatMessage->callers);
        m_core.log(line);
        introduce(heartbeatMessage->peers, now);
    }
}

void PeerLink::introduce(const std::string &address, MonotonicTime now)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        return;
    }
    auto introduction = heartbeatMessage(now);
    introduction.known = m_core.peers.knownAddresses(MostIntroducedAddresses, now, m_core.random());
    LoopError ignored;
    m_socket.send_to(boost::asio::buffer(encodePeerHeartbeat(introduction)), endpoint->udp(), 0, ignored);
}

void PeerLink::sendSoon(NotificationScope audience)
{
    if (audience == NotificationScope::None) {
        return;
    }
    m_soonToAll = m_soonToAll || audience == NotificationScope::All;
    if (!m_soon) {
        m_soon = true;
        armTimer(SoonPause);
    }
}

void PeerLink::tellLoadSoon(bool isGeneration)
{
    if (m_loadSoon || (!isGeneration && !isSmallFleet(monotonicNow()))) {
        return;
    }
    m_loadSoon = true;
    m_loadTimer.expires_after(SoonPause);
    m_loadTimer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        m_loadSoon = false;
        const auto now = monotonicNow();
        if (isSmallFleet(now)) {
            sendNews(NotificationScope::All, now);
        } else {
            sendLoads(now);
        }
    });
}

void PeerLink::armTimer(std::chrono::milliseconds pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const LoopError &error) {
        if (!error) {
            beat();
        }
    });
}

void PeerLink::beat()
{
    m_soon = false;
    const bool wasSoonToAll = std::exchange(m_soonToAll, false);
    const auto now = monotonicNow();
    const auto silent = m_core.peers.expire(now);
    for (const auto &node : silent) {
        m_core.balancer.dropPeer(node);
        auto line = m_core.line(EventKind::PeerLost);
        line.add("peer", node);
        m_core.log(line);
    }
    const bool toAll = wasSoonToAll || beatsToAll(now) || ++m_beats % BeatsPerFarBeat == 0;
    sendNews(toAll ? NotificationScope::All : NotificationScope::Region, now);
    armTimer(heartbeatInterval(now));
}

std::chrono::milliseconds PeerLink::heartbeatInterval(MonotonicTime now) const
{
    return std::clamp(BeatPausePerRelay * m_core.peers.liveRelayCount(now), ShortestBeatPause, LongestBeatPause);
}

bool PeerLink::beatsToAll(MonotonicTime now) const
{
    // Relays of other regions use the targets here seldom, and bytes between regions have a price. All depend on those that read the store and on those that
    // tell the loads of a region.
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
    sendTo(PeerTable::RecipientScope::Region, encodePeerHeartbeat(loads), now);
}

bool PeerLink::isSmallFleet(MonotonicTime now) const
{
    return m_core.peers.liveRelayCount(now) <= SmallFleet;
}

void PeerLink::sendNews(NotificationScope audience, MonotonicTime now)
{
    auto heartbeat = heartbeatMessage(now);
    heartbeat.heartbeatInterval = heartbeatInterval(now);
    auto datagram = encodePeerHeartbeat(heartbeat);
    sendTo(PeerTable::RecipientScope::Region, datagram, now);
    if (audience == NotificationScope::Region) {
        return;
    }
    if (!beatsToAll(now)) {
        heartbeat.heartbeatInterval *= BeatsPerFarBeat;
    }
    if (!isSmallFleet(now)) {
        heartbeat.loads = farLoads(heartbeat.loads, now);
        datagram = encodePeerHeartbeat(heartbeat);
    }
    sendTo(PeerTable::RecipientScope::OutsideRegion, datagram, now);
}

void PeerLink::sendTo(PeerTable::RecipientScope reach, const std::string &datagram, MonotonicTime now)
{
    for (const auto &address : m_core.peers.recipients(reach, now)) {
        if (const auto endpoint = Endpoint::parse(address)) {
            // A datagram that cannot be sent is as good as lost; the next heartbeat follows.
            LoopError ignored;
            m_socket.send_to(boost::asio::buffer(datagram), endpoint->udp(), 0, ignored);
            m_core.metrics.count("relay_heartbeats_sent_total");
        }
    }
}

std::vector<TargetLoad> PeerLink::farLoads(const std::vector<TargetLoad> &own, MonotonicTime now) const
{
    if (!m_core.peers.isRegionRepresentative(m_core.options.node, now)) {
        return loadsForOtherRegions(own, std::nullopt);
    }
    std::vector<std::vector<TargetLoad>> others;
    for (const auto *peer : m_core.peers.livePeersInRegion(now)) {
        others.push_back(m_core.balancer.peerLoads(peer->heartbeatMessage.node));
    }
    return loadsForOtherRegions(own, others);
}

PeerHeartbeat PeerLink::heartbeatMessage(MonotonicTime now)
{
    PeerHeartbeat result {.node = m_core.options.node,
                          .incarnation = m_incarnation,
                          .sequence = ++m_sequence,
                          .callers = m_core.options.callers.toText(),
                          .peers = m_core.options.peers.toText(),
                          .dataCentre = m_core.options.dataCentre,
                          .accepting = m_core.routes != nullptr && !m_core.isDraining(),
                          .loads = m_core.balancer.ownLoads(),
                          .crashes = m_core.crashes.reports(MostCrashes, now),
                          .known = m_core.peers.knownAddresses(MostKnownAddresses, now, m_core.random())};
    result.targets = m_core.targets.recentChanges(NewsTime, now);
    m_hooks.describeTables(result, now);
    return result;
}

} // namespace Jujube
