#pragma once

#include <LibCore/Time.h>
#include <LibLoop/LoopClient.h>
#include <LibRelayServer/PlatformAdapter.h>
#include <LibRelayServer/TableChangesCodec.h>
#include <map>
#include <random>

namespace Jujube
{

// What a relay knows of a table. Relays report it to each other, so that those that do not read the store learn whether they miss a change. Versions of
// different eras cannot be compared.
struct TableState {
    int64_t era = 0;
    // All changes up to this version of the store are known.
    int64_t version = 0;
    // Version of the newest known change.
    int64_t changeVersion = 0;
    // All changes after this version are known one by one. Of earlier ones, only what was left of them when the whole table was read.
    int64_t historyFrom = 0;
    // Time since the relay's own last read showed that the rows were current. Nothing before such a read. What other relays have confirmed does not count:
    // heartbeats take time, and relays that pass a confirmation on to each other would keep it young.
    std::optional<std::chrono::milliseconds> age;
};

// Follows one table of the store: reads it completely, and then its changes. Some relays do so all the time and report to the others up to which version they
// know the table, and since when. A relay that hears of a change, or has not heard for a while that its rows are current, reads the changes itself, so that it
// depends on no other relay. While the store does not respond, the last known rows stay in force, and newer ones may be taken from a peer.
//
// Rows are merged by their versions: the order in which responses arrive does not matter.
//
// The store may come back from an older copy of itself. Then a new era of it begins, in which versions are given out again, and changes that were confirmed may
// be missing until whoever made them has made them again. The follower then reads the whole table and takes each row of it as newer than those of earlier eras,
// and responses of earlier eras have no effect. Its owner is told which rows come from the copy, and decides what to keep.
class TableFollower
{
public:
    struct Options {
        std::string table;
        // Delay between two reads of changes.
        std::chrono::milliseconds changesDelay {120};
        // Maximum time for which the store may hold a read until something changes.
        std::chrono::milliseconds wait {1000};
        // Whether this relay reads changes all the time at present. If not, peers notify it of them.
        std::function<bool(MonotonicTime now)> shouldRead;
        // Whether shouldRead() returned true last.
        std::function<bool()> isReading;
        // Interval between calls of shouldRead() while it returns false.
        std::chrono::milliseconds idleInterval {250};
        // The store is read if the rows have not been known to be current for this time.
        std::function<std::chrono::milliseconds(MonotonicTime now)> maxAge;
        // Whether the rows that this relay lacks come from a peer, or are about to, so that it does not read the store. May be left out.
        std::function<bool(MonotonicTime now)> awaitsPeers;
        // Whether this relay ends a read whose response takes long, because peers receive the same. May be left out.
        std::function<bool(MonotonicTime now)> leavesReadToPeers;
        // Number of live relays. The maximum delay after failed reads grows with it, because all relays retry.
        std::function<int()> liveRelays;
        // Timeout for each part of a response, in addition to the hold time.
        std::chrono::milliseconds responseTimeout {900};
        // Time without any part of a response after which the changes are read once more, if the rows are too old.
        std::chrono::milliseconds hedgeDelay {300};
        // Delay after a failed read. It doubles with each further failure, up to the maximum.
        std::chrono::milliseconds retryDelay {100};
        std::chrono::milliseconds maxRetryDelay {500};
        // If reads fail for longer than this, the store counts as unavailable, and entries may have expired meanwhile.
        std::chrono::milliseconds outageThreshold {700};
    };

    // The circumstances under which rows were read.
    struct ReadContext {
        // The store was unavailable before this read, so that rows may have expired meanwhile.
        bool afterOutage = false;
        // The rows are those of the first table of an era: rows may be older than those of the era before, and newer ones may be missing.
        bool afterRestore = false;
        // When the read was sent. Nothing for rows that a peer has handed over.
        std::optional<MonotonicTime> sentAt;
    };

    struct Hooks {
        // A row was added, changed or removed.
        std::function<void(const StoreRow &row, const ReadContext &context)> onChange;
        // The whole table has been read, as of a version. Called after onChange for each row that is new.
        std::function<void(const StoreRows &rows, const ReadContext &context)> onTable;
        // A later era of the store has begun. Called before any row of it is handed out. May be left out.
        std::function<void(int64_t era)> onEra;
        std::function<void(const std::string &error)> onUnavailable;
        std::function<void(std::chrono::milliseconds outage)> onAvailable;
        // A response has begun to arrive that takes more than one part. May be left out.
        std::function<void()> onReceiving;
    };

    TableFollower(boost::asio::io_context &loop, LoopClient &client, const PlatformAdapter &adapter, Endpoint store, Options options, Hooks hooks);

    void start();

    // Reads the store if the rows are older than maxAge() and the read in progress, if any, has been silent for the hedge delay. Called at short intervals.
    void check(MonotonicTime now);

    // Reads at once, unless a read that the store may not hold is in progress. Used when the process was stopped.
    void readNow();

    // The process was suspended for a time that the steady clock does not count. The rows are older by it, and so is what a read in progress will confirm.
    // Reads at once.
    void onSuspended(std::chrono::nanoseconds time);

    // Reads the changes after a delay, because a peer has some that this relay lacks. Does nothing while such a read is planned or another one than a held one
    // is in progress.
    void readSoon(std::chrono::milliseconds delay);

    // Reads the whole table at once, because the rows differ from those of a peer although all changes have been read.
    void readTable();

    // Takes note of what a peer knows. Nothing comes of it if the peer's rows may differ from those of this relay.
    void noteState(const TableState &peer, MonotonicTime now);

    // Notes that a peer with the same rows knows the table up to this version of an era, and that they were current `age` ago.
    void noteCurrent(int64_t era, int64_t version, std::chrono::milliseconds age, MonotonicTime now);

    // Takes over that the store is in this era, as a peer has reported together with rows of it. Does nothing if it is not a later one.
    void enterEra(int64_t era);

    // Merges what a peer has sent, and what was current at the given time. Returns whether it is newer than the own rows.
    bool merge(const TableChanges &changes, const std::string &peer, std::optional<MonotonicTime> currentAt);

    // What a peer lacks that knows all changes up to a version of an era: the changes since then, or the whole table if they are not known one by one.
    TableChanges changesSince(int64_t era, int64_t version) const;

    // Whether a response of more than one part is arriving from the store.
    bool isReceiving() const
    {
        return isWaitingForResponse() && m_partsReceived > 1;
    }

    TableState state(MonotonicTime now) const;

    // Version of the store up to which all changes are known.
    int64_t version() const
    {
        return m_version;
    }

    // The era of the store to which the versions belong. Zero if the store states none.
    int64_t era() const
    {
        return m_era;
    }

    // Whether an era has begun whose table has not been read yet.
    bool awaitsFirstTable() const
    {
        return m_awaitsFirstTable;
    }

    // Whether a state that a peer reports is later than this relay's: of a later era, or with newer changes.
    bool isBehind(int64_t era, int64_t changeVersion) const
    {
        return era > m_era || (era == m_era && changeVersion > m_version);
    }

    // Whether rows have been read, from the store or from a peer.
    bool hasRows() const
    {
        return m_hasRows;
    }

    // Time since the rows were last known to be current.
    std::chrono::milliseconds age(MonotonicTime now) const;

    // Since when reads fail. Nothing if the last read succeeded.
    std::optional<MonotonicTime> failingSince() const
    {
        return m_failingSince;
    }

    // Time of this relay's last successful read of the store. Nothing before its first one.
    std::optional<MonotonicTime> readAt() const
    {
        return m_readAt;
    }

    // Smoothed interval between two successful reads.
    std::chrono::milliseconds readInterval() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_readInterval);
    }

    // Time at which the rows were last known to be current.
    MonotonicTime currentAt() const
    {
        return m_currentAt;
    }

    bool isUnavailable() const
    {
        return m_isUnavailable;
    }

    // Where the rows that were applied last came from: empty for the store, else the peer.
    const std::string &source() const
    {
        return m_source;
    }

private:
    // One read of the store: of changes, or of the whole table in pages.
    struct Read {
        uint64_t number = 0;
        MonotonicTime sentAt;
        // Total time of suspensions before it was sent.
        MonotonicTime::duration suspended {0};
        std::chrono::milliseconds hold {0};
        bool isOfWholeTable = false;
        // Rows of the pages so far, and the version of the first page. Later pages may contain newer rows.
        std::vector<StoreRow> rows;
        std::optional<int64_t> version;
        // Era of the pages so far, or the known one when the read was sent.
        int64_t era = 0;
    };
    using ReadPointer = std::shared_ptr<Read>;

    // Whether a read that the store may not hold is in progress.
    bool isWaitingForResponse() const
    {
        return m_readActiveAt && !m_isReadHeld;
    }
    void startRead(std::chrono::milliseconds hold);
    // Ends the newest read for the sake of what peers receive.
    void leaveRead();
    void request(const ReadPointer &read, LoopCall call);
    void requestPage(const ReadPointer &read);
    void requestChanges(const ReadPointer &read);
    void onResponse(const ReadPointer &read, const LoopAnswer &response, MonotonicTime now);
    // Enters the era of a response if it is a later one. Returns whether the response belongs to the current era and to a request of it.
    bool acceptEra(const ReadPointer &read, const LoopAnswer &response, MonotonicTime now);
    void onTablePage(const ReadPointer &read, StoreRows page, MonotonicTime now);
    void onChanges(const Read &read, const StoreRows &changes, MonotonicTime now);
    // Schedules the next read after the newest one.
    void onReadEnded(const Read &read);
    void mergeChanges(const StoreRows &changes, const ReadContext &context);
    void mergeTable(const StoreRows &rows, std::optional<MonotonicTime> sentAt);
    // Takes a row over if it is newer than the known one. Returns whether it is.
    bool mergeRow(const StoreRow &row);
    // Bounds the memory for removed rows.
    void forgetRemovedRows();
    // When a read was sent, earlier by the time for which the process has been suspended since.
    MonotonicTime sendTimeOf(const Read &read) const;
    void confirm(MonotonicTime currentAt);
    void confirmByRead(MonotonicTime currentAt);
    void onFailure(const Read &read, const std::string &error, MonotonicTime now);
    // Notes that reads fail, and since when if they did not before.
    void recordFailure(const std::string &error, MonotonicTime since, MonotonicTime now);
    void onSuccess(const Read &read, MonotonicTime now);
    void endFailure(MonotonicTime now);
    void schedule(std::chrono::milliseconds delay);
    std::chrono::milliseconds maxRetryDelay() const;

    LoopClient &m_client;
    const PlatformAdapter &m_adapter;
    const Endpoint m_store;
    const Options m_options;
    const Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_catchUpTimer;
    // Removed rows are kept, so that an older response does not bring them back.
    std::map<std::string, StoreRow> m_rows;
    std::string m_source;
    int64_t m_era = 0;
    // Whether the next table is the first one of its era.
    bool m_awaitsFirstTable = false;
    int64_t m_version = 0;
    int64_t m_changeVersion = 0;
    int64_t m_historyFrom = 0;
    bool m_hasRows = false;
    bool m_needsTable = true;
    std::optional<MonotonicTime> m_readAt;
    MonotonicTime::duration m_readInterval {0};
    bool m_isUnavailable = false;
    bool m_afterOutage = false;
    // Number of the newest read. Its end decides when the next one follows.
    uint64_t m_readNumber = 0;
    // When the newest read was sent or the last part of its response arrived, if it is in progress, and whether the store may hold it.
    std::optional<MonotonicTime> m_readActiveAt;
    bool m_isReadHeld = false;
    int m_partsReceived = 0;
    // Whether the next read after a failed one is scheduled.
    bool m_isRetryScheduled = false;
    bool m_isCatchingUp = false;
    std::chrono::milliseconds m_retryDelay;
    std::chrono::milliseconds m_hedgeDelay;
    // When the rows were last known to be current, by own reads or by those of peers, and by own reads alone.
    MonotonicTime m_currentAt;
    std::optional<MonotonicTime> m_readCurrentAt;
    // Total time for which the process has been suspended.
    MonotonicTime::duration m_suspended {0};
    // Number of the first read whose response ends the time in which confirmations of peers are ignored, because heartbeats may have been queued while the
    // process was stopped. Nothing while they count.
    std::optional<uint64_t> m_ignoresPeersUntilRead;
    std::minstd_rand m_random {std::random_device {}()};
    std::optional<MonotonicTime> m_failingSince;
};

} // namespace Jujube
