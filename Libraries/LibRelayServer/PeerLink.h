#pragma once

#include <LibLoop/Asio.h>
#include <LibRelay/NotificationScope.h>
#include <LibRelayServer/RelayCore.h>

namespace Jujube
{

// Exchanges heartbeats with the other relays as UDP datagrams.
class PeerLink
{
public:
    struct Hooks {
        // A peer's document table has a newer change than this relay's.
        std::function<void(const PeerHeartbeat &heartbeatMessage)> onNewerDocument;
        // A peer tells what it knows about targets.
        std::function<void(const PeerHeartbeat &heartbeatMessage, MonotonicTime now)> onTargetNews;
        // Completes the own heartbeat by what is known about the store's tables.
        std::function<void(PeerHeartbeat &heartbeatMessage, MonotonicTime now)> describeTables;
        // Whether this relay reads the store for others.
        std::function<bool()> isReading;
    };

    PeerLink(RelayCore &core, Hooks hooks);

    // Errors: ErrorKind::InvalidValue if the address cannot be bound.
    absl::Status start();

    // Sends a heartbeat before the next one is due, because something changed that others should know.
    void sendSoon(NotificationScope audience);

    // Tells the relays that use the same targets most that this relay's load has changed. Load pattern: in a large fleet each relay places a call or two a
    // second, which end before most others hear of them; only the placement of generations is told at once there.
    void tellLoadSoon(bool isGeneration);

    // Pause between two regular heartbeats, by the number of relays.
    std::chrono::milliseconds heartbeatInterval(MonotonicTime now) const;

private:
    void receive();
    void onDatagram(std::string_view datagram, MonotonicTime now);
    void beat();
    // Tells a relay that was heard for the first time which others there are.
    void introduce(const std::string &address, MonotonicTime now);
    void sendNews(NotificationScope audience, MonotonicTime now);
    // A short message in place of a heartbeat.
    void sendLoads(MonotonicTime now);
    void sendTo(PeerTable::RecipientScope reach, const std::string &datagram, MonotonicTime now);
    bool isSmallFleet(MonotonicTime now) const;
    // Whether every heartbeat goes to all regions.
    bool beatsToAll(MonotonicTime now) const;
    // The loads for relays of other regions, in a large fleet.
    std::vector<TargetLoad> farLoads(const std::vector<TargetLoad> &own, MonotonicTime now) const;
    PeerHeartbeat heartbeatMessage(MonotonicTime now);
    void armTimer(std::chrono::milliseconds pause);

    RelayCore &m_core;
    const Hooks m_hooks;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_loadTimer;
    bool m_loadSoon = false;
    int m_beats = 0;
    std::array<char, 2048> m_buffer {};
    Udp::endpoint m_sender;
    const int64_t m_incarnation;
    int64_t m_sequence = 0;
    bool m_soon = false;
    bool m_soonToAll = false;
};

} // namespace Jujube
