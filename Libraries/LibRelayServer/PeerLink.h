#pragma once

#include <LibLoop/Asio.h>
#include <LibPolicy/RateMeter.h>
#include <LibRelay/CrashReportCodec.h>
#include <LibRelay/NotificationScope.h>
#include <LibRelay/PeerTrafficLimit.h>
#include <LibRelay/RecentMaximum.h>
#include <LibRelayServer/RelayCore.h>

namespace Jujube
{

// Exchanges heartbeats with peers as UDP datagrams.
class PeerLink
{
public:
    struct Hooks {
        // Called with each heartbeat; the receiver compares the version of the peer's document table with its own.
        std::function<void(const PeerHeartbeat &heartbeat)> onDocumentVersion;
        // A peer has reported its changes of targets.
        std::function<void(const PeerHeartbeat &heartbeat, MonotonicTime now)> onTargetState;
        // Adds the state of the store's tables to this relay's heartbeat.
        std::function<void(PeerHeartbeat &heartbeat, MonotonicTime now)> addTableState;
        // Whether this relay reads the store on behalf of others.
        std::function<bool()> isReading;
    };

    PeerLink(RelayCore &core, Hooks hooks);

    // Errors: ErrorKind::InvalidValue if the address cannot be bound.
    absl::Status start();

    // Start of this relay's process as its heartbeats name it, in milliseconds since 1970.
    int64_t incarnation() const
    {
        return m_incarnation;
    }

    // Sends a heartbeat before the next one is due, because peers should know of a change.
    void scheduleHeartbeat(NotificationScope scope);

    // Notifies the relays that use the same targets most of a change of this relay's load. In a large fleet each relay places one or two calls a second, which
    // end before most peers are notified, so only placements of generations are reported there, as soon as the limit on their traffic allows it.
    void scheduleLoadUpdate(bool isGeneration);

    void sendDatagramTo(const std::string &address, const std::string &datagram);

    // Interval between regular heartbeats, by the number of relays.
    std::chrono::milliseconds heartbeatInterval(MonotonicTime now) const;

    // The same for relays that read the store for all. Others learn from their heartbeats whether they miss a change.
    std::chrono::milliseconds readerHeartbeatInterval(MonotonicTime now) const;

    // The longest time for which a datagram can have waited in the socket within the last seconds.
    std::chrono::milliseconds longestDatagramWait(MonotonicTime now) const
    {
        return m_datagramWait.value(now);
    }

    // Bytes per second of datagrams that peers have lately sent to this relay, and that it has sent to them.
    double receivedBytesPerSecond(MonotonicTime now) const
    {
        return m_received.perSecond(now);
    }
    double sentBytesPerSecond(MonotonicTime now) const
    {
        return m_sent.perSecond(now);
    }

private:
    // Delay before a heartbeat or a load report that is sent early.
    static constexpr std::chrono::milliseconds EarlyHeartbeatDelay {20};
    static constexpr std::chrono::milliseconds TrafficHalfLife {500};
    // Crashes are rare, and relays have to learn of them soon.
    static constexpr std::chrono::milliseconds SavedForCrashReports {3000};
    // Bytes per second of crash reports that all relays of a region together may send to other regions. Links between regions are small and shared with all
    // else.
    static constexpr double MaxBytesBetweenRegions = 1'000'000;
    // What one relay sends of crashes that no other one may know counts as so many times its bytes at least, so that one relay sends 1500 bytes per second to
    // each relay of other regions at most: one crash with the parts of a long prompt.
    static constexpr size_t MinPartsOfLink = 667;
    // Part of the saved traffic of crash reports that is kept for new crashes.
    static constexpr std::chrono::milliseconds SavedForNewCrashes {1500};

    // Waits until a datagram has arrived, and reads those in the socket. After some of them, other work gets its turn.
    void awaitDatagrams();
    void readDatagrams();
    void onDatagram(std::string_view datagram, MonotonicTime now);
    void onHeartbeatDue();
    // Sends the addresses of other relays to a relay whose first heartbeat was received.
    void sendKnownAddresses(const std::string &address, MonotonicTime now);
    // Sends such a relay the crashes that still count.
    void sendKnownCrashes(const std::string &address, MonotonicTime now);
    void onCrashReport(const PeerCrashReport &report, MonotonicTime now);
    // Sends what peers have to know of new crashes and does not fit into heartbeats, as far as the limit on this traffic allows it.
    void sendCrashReports(MonotonicTime now);
    void sendCrashReportToRegion(const PeerCrashReport &report, MonotonicTime now);
    void sendCrashReportToOtherRegions(const PeerCrashReport &report, MonotonicTime now);
    // Sends them the crashes that this relay has observed and not yet reported to them. Returns whether there were any that the limit allows.
    bool sendNewCrashesToOtherRegions(MonotonicTime now);
    // The crashes for all relays, or only those that this relay has observed and not yet reported.
    std::vector<PeerCrashReport> ownCrashReports(PromptPartCrashes::ReportAudience audience, bool onlyNew, MonotonicTime now);
    // What else all relays get. Judges add which parts were in several crashes and which are rejected.
    std::vector<PeerCrashReport> otherCrashReports(bool isJudge, MonotonicTime now);
    void sendHeartbeat(NotificationScope scope, MonotonicTime now);
    // Sends a short message with only the loads.
    void sendLoads(MonotonicTime now);
    // Sends a heartbeat, in several datagrams if it reports many changed targets.
    void sendTo(PeerTable::RecipientScope scope, PeerHeartbeat heartbeat, MonotonicTime now);
    // Returns the number of recipients.
    size_t sendDatagram(PeerTable::RecipientScope scope, const std::string &datagram, MonotonicTime now);
    bool isSmallFleet(MonotonicTime now) const;
    // Whether every heartbeat is sent to all regions.
    bool shouldSendToAllRegions(MonotonicTime now) const;
    // The loads for relays of other regions in a large fleet.
    std::vector<TargetLoad> otherRegionLoads(const std::vector<TargetLoad> &own, MonotonicTime now) const;
    PeerHeartbeat buildHeartbeat(MonotonicTime now);
    void armTimer(std::chrono::milliseconds delay);

    RelayCore &m_core;
    const Hooks m_hooks;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_loadTimer;
    bool m_isLoadUpdateScheduled = false;
    PeerTrafficLimit m_loadReports {{}};
    PeerTrafficLimit m_crashReports {{.saved = SavedForCrashReports}};
    // Of the link between this region and others, for all relays of this region.
    PeerTrafficLimit m_crashReportsToOtherRegions {{.bytesPerSecond = MaxBytesBetweenRegions, .saved = SavedForCrashReports}};
    // The same for first reports of crashes that this relay has observed. It is divided by the relays of the region that report crashes rather than all,
    // because a crash is observed only by the few relays with requests on its target.
    PeerTrafficLimit m_newCrashReports {{.bytesPerSecond = MaxBytesBetweenRegions, .saved = SavedForCrashReports}};
    // When each peer last reported crashes.
    absl::flat_hash_map<std::string, MonotonicTime> m_crashReportedAt;
    int m_heartbeatCount = 0;
    size_t m_nextRejection = 0;
    std::array<char, 2048> m_buffer {};
    Udp::endpoint m_sender;
    // Since when the socket has held datagrams all the time, as far as the loop has seen it. Nothing while it is empty.
    std::optional<MonotonicTime> m_backlogSince;
    RecentMaximum m_datagramWait;
    RateMeter m_received {TrafficHalfLife};
    RateMeter m_sent {TrafficHalfLife};
    const int64_t m_incarnation;
    int64_t m_sequence = 0;
    bool m_isHeartbeatScheduled = false;
    bool m_isScheduledForAll = false;
};

} // namespace Jujube
