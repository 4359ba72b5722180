#pragma once

#include <absl/container/flat_hash_set.h>
#include <LibLoop/Asio.h>
#include <LibRelay/PeerTrafficLimit.h>
#include <LibRelay/StreamOriginCodec.h>
#include <LibRelay/StreamOriginKeepers.h>
#include <LibRelay/VersionHistory.h>
#include <LibRelayServer/RelayCore.h>
#include <LibRelayServer/VersionStore.h>
#include <memory>

namespace Jujube
{

// Finds out by which version of its service a stream began that a caller takes up again. docs/design.md, section 21.
//
// While a service has had one version only for longer than callers take streams up again, that version began the stream. Otherwise relays report to each other
// by which version each resumable stream began, hand that over to relays that lack it when the live relays have changed, and ask each other. The store keeps
// which versions of each service have served lately, so that a relay that has just started knows whether there was only one.
//
// A relay that is cut off or stands still takes the version that it knows for the only one until its list is MaxListAge old. Therefore streams begin at a
// version that joins only once all relays have reported that they know of it, or after more than that time.
class StreamVersions
{
public:
    // Nothing is concluded from a target list that has not been confirmed for this time.
    static constexpr std::chrono::milliseconds MaxListAge {3000};
    // A list may be older than it seems by the delay of heartbeats and by suspensions that are too short to be noticed.
    static constexpr std::chrono::milliseconds MaxAgeError {1000};

    struct Hooks {
        // Time since the target list was last confirmed.
        std::function<std::chrono::milliseconds(MonotonicTime now)> listAge;
        // Whether all relays that may be running know the target list up to a version of the store.
        std::function<bool(int64_t version, MonotonicTime now)> isKnownToAll;
        // Whether this relay reads the store for others. Such relays store the versions.
        std::function<bool()> isReader;
        std::function<void(const std::string &address, const std::string &datagram)> sendDatagram;
    };

    // Where a stream that is taken up again may go on.
    struct Origin {
        std::string service;
        std::string version;
    };
    using Hook = std::function<void(const std::optional<Origin> &origin)>;

    // A stream that a caller takes up again: `attempt` brought its first event, by a target of one of the services.
    struct Question {
        std::string workspace;
        std::vector<std::string> services;
        std::string attempt;
    };

    // `incarnation` is the start of this process, as in heartbeats.
    StreamVersions(RelayCore &core, bool isFirstStart, int64_t incarnation, Hooks hooks);

    // Passes on by which version a stream began, at once or within 200 ms, or nothing if that is not known.
    void find(const Question &question, Hook hook, MonotonicTime now);

    // A stream has begun at a version, or goes on there, and its caller may take it up again until a time.
    void record(const std::string &workspace,
                const std::string &service,
                const std::string &attempt,
                const std::string &version,
                MonotonicTime until,
                MonotonicTime now);

    // The versions of a service at which resumable streams may begin. Nothing while this relay has no list of its targets.
    std::optional<std::set<std::string>> settledVersions(const std::string &service, MonotonicTime now) const;

    // Other relays may have joined, restarted or fallen silent, so that some lack origins of streams.
    void onRelaysChanged(MonotonicTime now);
    void onReport(const StreamOriginReport &report, MonotonicTime now);
    // The store has come back from an older copy of itself.
    void onStoreRestored(MonotonicTime now);
    // The machine was suspended for a time that the clock of `now` does not count.
    void onSuspended(std::chrono::nanoseconds time, MonotonicTime now);
    void tick(MonotonicTime now);

private:
    struct PendingQuestion {
        Question question;
        Hook hook;
        std::vector<uint64_t> keys;
        // Addresses of the peers that were asked.
        std::set<std::string> asked;
        // Those of them that have not answered yet.
        size_t awaited = 0;
        bool awaitsStore = false;
        // Whether the time for answers is over.
        bool isLate = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    using PendingPointer = std::shared_ptr<PendingQuestion>;

    std::vector<uint64_t> keysOf(const Question &question) const;
    std::optional<Origin> known(const Question &question, const std::vector<uint64_t> &keys, MonotonicTime now) const;
    void ask(const PendingPointer &pending, MonotonicTime now);
    // Asks the peers that may know the stream and were not asked yet.
    void askPeers(const PendingPointer &pending, MonotonicTime now);
    // Ends the questions that can be answered, and those for which no more answers are to come.
    void settle(MonotonicTime now);
    void finish(const PendingPointer &pending, MonotonicTime now);
    // Whether the origins of single streams decide at which version they go on.
    bool areOriginsInUse() const
    {
        return !m_withSeveral.empty() || !m_wasListCurrent;
    }
    // Takes over which relays are alive.
    void updateRelays(MonotonicTime now);
    void scheduleReports();
    void sendReports(MonotonicTime now);
    // Sends origins to peers, by their addresses. Returns the number of bytes.
    size_t sendOrigins(const std::map<std::string, std::vector<StreamOrigin>> &origins);
    // Begins to hand origins over to the relays that lack some.
    void beginHandover(MonotonicTime now);
    void continueHandover(MonotonicTime now);
    // Takes the versions of the target list into the history.
    void recordVersions(MonotonicTime now);
    // Settles the versions of a service that all relays know by now.
    void settleVersions(const std::string &service, MonotonicTime now);
    // Stores what has changed, if this relay is one of those that do.
    void updateStore(MonotonicTime now);
    void readStore(MonotonicTime now);
    void onStoreRead(const std::map<std::string, StoredVersions> &stored, MonotonicTime now);
    // Services with routes whose streams callers take up again.
    const std::vector<std::string> &services();

    RelayCore &m_core;
    const bool m_isFirstStart;
    const Hooks m_hooks;
    StreamOrigins m_origins;
    StreamOriginKeepers m_keepers;
    VersionHistory m_history;
    VersionStore m_store;
    PeerTrafficLimit m_traffic;
    boost::asio::steady_timer m_reportTimer;
    bool m_isReportScheduled = false;
    // Keys of the origins that have not been looked at yet in the handover in progress, last one first.
    std::vector<uint64_t> m_toHandOver;
    boost::asio::steady_timer m_handoverTimer;
    bool m_wereOriginsInUse = false;
    std::vector<PendingPointer> m_pending;
    bool m_wasListCurrent = false;
    // Whether the stored versions are known, so that what this relay stores does not lack any.
    bool m_hasStored = false;
    MonotonicTime m_nextStoreRead;
    absl::flat_hash_set<std::string> m_toStore;
    // Services whose stored versions cannot be read, so that they are not taken for ones that were never stored.
    absl::flat_hash_set<std::string> m_unreadable;
    absl::flat_hash_set<std::string> m_withSeveral;
    std::shared_ptr<const RouteTable> m_routes;
    std::vector<std::string> m_services;
    uint64_t m_ticks = 0;
};

} // namespace Jujube
