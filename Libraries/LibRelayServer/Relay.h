#pragma once

#include <LibLoop/CallerListener.h>
#include <LibRelay/StoreReaderElection.h>
#include <LibRelay/TargetListFreshness.h>
#include <LibRelayServer/PeerLink.h>
#include <LibRelayServer/RelayCore.h>
#include <LibRelayServer/TableFollower.h>
#include <memory>

namespace Jujube
{

// A relay: accepts the requests of callers on relayed routes and has them served by targets, answers which gateways callers should use, and follows the store.
// Everything runs on one loop.
class Relay
{
public:
    struct SettingsHooks {
        // Reads the settings again.
        std::function<absl::StatusOr<RelayOptions>()> read;
        // Whether the settings file has changed since the last call.
        std::function<bool()> haveChanged;
    };

    // Errors: ErrorKind::InvalidValue if an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<Relay>>
    start(boost::asio::io_context &loop, RelayOptions options, RelayDialect dialect, LineWriter &lines, SettingsHooks settings);

    // SIGTERM: no new callers are sent here, running requests go on, and the loop is stopped when they have ended or the grace period is nearly over.
    void drain();
    void reloadSettings();

private:
    Relay(boost::asio::io_context &loop, RelayOptions options, RelayDialect dialect, LineWriter &lines, SettingsHooks settings);

    absl::Status listen();
    CallerChannel::Hooks hooksFor(std::function<void(const std::shared_ptr<CallerChannel> &, CallerRequest)> onRequest);
    void followStore();

    void onMetricsRequest(CallerChannel &channel, const CallerRequest &request) const;
    void onReadyRequest(CallerChannel &channel, const CallerRequest &request) const;
    void onDirectoryRequest(CallerChannel &channel, const CallerRequest &request);
    void onPeerRequest(CallerChannel &channel, const CallerRequest &request);

    // The store's tables (RelayTables.cpp).
    void onDocumentTable(const std::vector<StoreRow> &rows);
    void onDocumentRow(const StoreRow &row);
    void setDataCentreOut(const std::string &name, bool out, int64_t version);
    void applyDocument(const StoreRow &row);
    void onTargetTable(const std::vector<StoreRow> &rows, bool afterOutage, MonotonicTime now);
    // Removes the targets that a whole list does not name. Returns their number.
    size_t removeUnlisted(const absl::flat_hash_set<std::string> &listed, bool afterOutage, int64_t version, std::string_view reason, MonotonicTime now);
    void onTargetRow(const StoreRow &row, bool afterOutage, MonotonicTime now);
    std::optional<TargetEntry> decodeTarget(const StoreRow &row);
    void takeTarget(const TargetEntry &entry, TargetTable::Source source, MonotonicTime now);
    void logStore(EventKind kind, const std::string &table, std::string_view detail);

    std::vector<std::string> addressesFor(const std::string &dataCentre, const std::string &region, MonotonicTime now) const;
    void askPeer(TableFollower &follower, const std::string &table, const std::string &address);
    void askPeersIfLost(MonotonicTime now);
    void onPeerDocument(const PeerHeartbeat &heartbeatMessage);
    void onPeerTargets(const PeerHeartbeat &heartbeatMessage, MonotonicTime now);
    bool mayRead(MonotonicTime now);
    void askPeerForTargets(const PeerHeartbeat &heartbeatMessage);
    void takePeerTargets(const std::vector<TargetEntry> &entries, int64_t version, MonotonicTime now);
    void tick();
    // While nobody reads the list of targets, asks the engines that run movable generations whether they leave.
    void watchEngines();
    // This relay's reads of the targets, without what peers say, which every heartbeat asks for.
    TargetListState ownReads() const;
    TargetListState listSources(MonotonicTime now) const;
    // Whether other relays can rely on this one's reads.
    bool readsTables(MonotonicTime now) const;
    // Tells all relays at once when this one begins to read the store, or cannot any more.
    void tellWhetherReading(MonotonicTime now);
    void checkDrain(MonotonicTime now);
    void noticeFreeze();

    RelayCore m_core;
    const SettingsHooks m_settings;
    PeerLink m_peers;
    std::unique_ptr<CallerListener> m_callers;
    std::unique_ptr<CallerListener> m_ready;
    std::unique_ptr<CallerListener> m_directory;
    std::unique_ptr<CallerListener> m_peerCalls;
    std::unique_ptr<CallerListener> m_metrics;
    std::unique_ptr<TableFollower> m_documents;
    std::unique_ptr<TableFollower> m_targets;
    boost::asio::steady_timer m_timer;
    std::chrono::nanoseconds m_sleptBefore {0};
    uint64_t m_ticks = 0;
    bool m_wasReading = false;
    bool m_askingPeerForDocument = false;
    bool m_askingPeerForTargets = false;
    StoreReaderElection m_readers;
    // Since when a reading peer has known other targets than this relay.
    std::optional<MonotonicTime> m_differsSince;
};

} // namespace Jujube
