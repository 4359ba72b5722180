#pragma once

#include <LibLoop/CallerListener.h>
#include <LibRelay/ChangeSource.h>
#include <LibRelay/StoreReaderElection.h>
#include <LibRelay/TableLag.h>
#include <LibRelay/TargetListFreshness.h>
#include <LibRelayServer/PeerLink.h>
#include <LibRelayServer/RelayCore.h>
#include <LibRelayServer/RolloutAgent.h>
#include <LibRelayServer/StreamVersions.h>
#include <LibRelayServer/TableChangesServer.h>
#include <LibRelayServer/TableFollower.h>
#include <memory>

namespace Jujube
{

// Forwards callers' requests on relayed routes to targets, serves the addresses of the relays that callers should use, and follows the store. Everything runs
// on one event loop.
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
    start(boost::asio::io_context &loop, RelayOptions options, PlatformAdapter adapter, LineWriter &lines, SettingsHooks settings);

    // Handles SIGTERM: no new callers are sent here, running requests continue, and the loop stops when they have ended or shortly before the grace period
    // ends.
    void drain();
    void reloadSettings();

private:
    Relay(boost::asio::io_context &loop, RelayOptions options, PlatformAdapter adapter, LineWriter &lines, SettingsHooks settings);

    absl::Status listen();
    CallerChannel::Hooks hooksFor(std::function<void(const std::shared_ptr<CallerChannel> &, CallerRequest)> onRequest);
    void followStore();
    // Prepares rollouts, if the settings ask for them.
    void createRollouts();
    void createStreamVersions();

    void onMetricsRequest(CallerChannel &channel, const CallerRequest &request) const;
    void onReadyRequest(CallerChannel &channel, const CallerRequest &request) const;
    void onDirectoryRequest(CallerChannel &channel, const CallerRequest &request);
    void onPeerRequest(const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request);

    // The store's tables (RelayTables.cpp).
    void onDocumentRow(const StoreRow &row, const TableFollower::ReadContext &context);
    void onDataCentreRow(const std::string &name, const StoreRow &row, const TableFollower::ReadContext &context, MonotonicTime now);
    // Takes data centres back into service that the store lacks since it has come back from an older copy, if the operator has not written them again.
    void expireUnlistedDataCentres(MonotonicTime now);
    // Holds back an entry that the store has restored of a target that had left before. Returns whether it does.
    bool holdFormerEntry(const TargetEntry &entry, const TableFollower::ReadContext &context, MonotonicTime now);
    // Applies the entries of targets that had left before the store came back from an older copy, and that it goes on listing.
    void applyFormerEntries(MonotonicTime now);
    // The store has come back from an older copy, as a read of the table shows.
    void onDocumentEra(int64_t era, MonotonicTime now);
    void onTargetsEra(int64_t era);
    void setDataCentreOut(const std::string &name, bool out, int64_t version);
    void applyDocument(const StoreRow &row, const TableFollower::ReadContext &context);
    void onTargetTable(const StoreRows &rows, const TableFollower::ReadContext &context, MonotonicTime now);
    // Removes the targets that a complete target list does not contain. Returns their number.
    size_t removeUnlisted(const absl::flat_hash_set<std::string> &listed, bool afterOutage, int64_t version, std::string_view reason, MonotonicTime now);
    void onTargetRow(const StoreRow &row, const TableFollower::ReadContext &context, MonotonicTime now);
    std::optional<TargetEntry> decodeTarget(const StoreRow &row);
    void logUnreadableTarget(const std::string &id, const absl::Status &status);
    // Applies an entry that a peer has reported, if it names a target that can be used.
    void applyPeerTarget(TargetEntry entry, int64_t era, MonotonicTime now);
    void applyTarget(const TargetEntry &entry, TargetTable::Source source, MonotonicTime now);
    void logStore(EventKind kind, const std::string &table, std::string_view detail);
    void logPeerReadFailure(const std::string &table, const std::string &peer, const LoopAnswer &response, MonotonicTime::duration took);
    // Measures the lag that ends if this relay has caught up.
    void updateLag(TableLag &lag, const std::string &table, bool hasCaughtUp, MonotonicTime now);
    void reportLag(TableLag &lag, const TableFollower &follower, const std::string &table, MonotonicTime now);
    void exportTables(MonotonicTime now);
    // Adds what can delay changes on their way to this relay: how late its loop is, how long datagrams of peers wait, and how much of its link they take.
    void addDelays(LogLine &line, MonotonicTime now) const;

    std::vector<std::string> addressesFor(const std::string &dataCentre, const std::string &region, MonotonicTime now) const;
    // Position of the newest change of the document's table that a live peer has reported: the store's era and version.
    std::pair<int64_t, int64_t> newestDocumentPosition(MonotonicTime now) const;
    // The relays from which this relay may take the document's changes up to a position: those of its region, or all if it cannot read the store.
    std::vector<ChangeSource::Relay> documentHolders(const std::pair<int64_t, int64_t> &position, MonotonicTime now) const;
    // Where this relay gets the changes of the document that it lacks. Nothing if it lacks none, or reads them all the time.
    std::optional<ChangeSource::Decision> chooseDocumentSource(MonotonicTime now);
    void readDocumentChanges(MonotonicTime now);
    void readDocumentFromPeer(const std::string &address, MonotonicTime now);
    void onDocumentFromPeer(const std::string &address, MonotonicTime requestedAt, const LoopAnswer &response, MonotonicTime now);
    // Whether relays of the region that come before this one read what it is reading from the store.
    bool leavesDocumentToPeers(MonotonicTime now) const;
    // Whether the changes of the document come from peers, or are about to.
    bool awaitsDocumentFromPeers(MonotonicTime now);
    // Delay before this relay reads a change from the store that a peer has reported.
    std::chrono::milliseconds catchUpDelay(MonotonicTime now);
    // Time since the last confirmation of a table after which this relay reads the store itself.
    std::chrono::milliseconds maxTableAge(MonotonicTime now) const;
    void requestTargetsIfUnavailable(MonotonicTime now);
    void onPeerDocument(const PeerHeartbeat &heartbeat);
    void onPeerTargets(const PeerHeartbeat &heartbeat, MonotonicTime now);
    bool shouldRead(MonotonicTime now);
    void requestTargetsFromPeer(const PeerHeartbeat &heartbeat);
    void applyPeerTargets(const PeerHeartbeat &peer, MonotonicTime now);
    void tick();
    // While no relay reads the target list, reads the state of the engines that run migratable generations, to detect engines that are leaving.
    void checkRunningEngines();
    // State of this relay's own reads of a table, without the reports of peers.
    TargetListState readStateOf(const TableFollower &follower) const;
    TargetListState listSources(MonotonicTime now) const;
    // Whether all relays, those that are silent included, have reported that they know the target list up to a version of the store.
    bool isListVersionKnownToAll(int64_t version, MonotonicTime now) const;
    // Whether this relay reads all tables successfully, so that other relays can rely on it.
    bool isReadingSuccessfully(MonotonicTime now) const;
    // Notifies all relays at once when this relay's reads begin to succeed or to fail.
    void notifyReadingChange(MonotonicTime now);
    void checkDrain(MonotonicTime now);
    // Responds to all running requests whose response has not begun.
    void endRequests(MonotonicTime now);
    void detectFreeze(MonotonicTime now);

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
    std::unique_ptr<RolloutAgent> m_rollouts;
    std::unique_ptr<StreamVersions> m_streamVersions;
    boost::asio::steady_timer m_timer;
    MonotonicTime m_lastRunAt;
    std::chrono::nanoseconds m_lastSuspendedTime {0};
    uint64_t m_ticks = 0;
    MonotonicTime m_tickDueAt;
    RecentMaximum m_loopDelay;
    bool m_wasReading = false;
    // Whether the requests that outlast the grace period have got their responses.
    bool m_hasEndedRequests = false;
    // Number of the read of the document from a peer that is in progress. Zero if there is none.
    uint64_t m_documentRead = 0;
    // Reads of the document from peers so far.
    uint64_t m_documentReads = 0;
    ChangeSource m_documentSource;
    std::unique_ptr<TableChangesServer> m_documentServer;
    bool m_isRequestingTargets = false;
    // Whether a peer has sent its whole target list.
    bool m_hasPeerTargets = false;
    StoreReaderElection m_readers;
    // Data centres that are out of service although the store, restored from an older copy, does not say so, and until when.
    absl::flat_hash_map<std::string, MonotonicTime> m_unlistedDataCentres;
    // Entries of targets that had left, as the store lists them since it has come back from an older copy, and when they count.
    struct FormerEntry {
        TargetEntry entry;
        MonotonicTime until;
    };
    absl::flat_hash_map<std::string, FormerEntry> m_formerEntries;
    TableLag m_documentLag;
    TableLag m_targetsLag;
    // Since when the target list of a relay that reads the store has differed from this relay's.
    std::optional<MonotonicTime> m_targetListDiffersSince;
    // Different on each relay, so that not all read the store in the same moment.
    std::chrono::milliseconds m_ownReadDelay {0};
};

} // namespace Jujube
