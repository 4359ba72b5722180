#pragma once

#include <LibCore/Time.h>
#include <LibLoop/LoopClient.h>
#include <LibRelayServer/PlatformAdapter.h>
#include <map>
#include <random>

namespace Jujube
{

// Follows one table of the store: reads it completely, and then its changes. Reads are limited in rate because each call has a price. While the store does not
// respond, the last known rows stay in force, and newer ones may be taken from a peer.
class TableFollower
{
public:
    struct Options {
        std::string table;
        // Delay between two reads of changes.
        std::chrono::milliseconds changesDelay {120};
        // Maximum time for which the store may hold a read until something changes.
        std::chrono::milliseconds wait {1000};
        // Whether this relay reads changes at present. If not, peers notify it of them.
        std::function<bool(MonotonicTime now)> shouldRead;
        // Interval between calls of shouldRead() while it returns false.
        std::chrono::milliseconds idleInterval {250};
        // Number of live relays. The maximum delay after failed reads grows with it, because all relays retry.
        std::function<int()> liveRelays;
        // Timeout for a response, in addition to the hold time.
        std::chrono::milliseconds responseTimeout {900};
        // Delay after a failed read. It doubles with each further failure, up to the maximum.
        std::chrono::milliseconds retryDelay {100};
        std::chrono::milliseconds maxRetryDelay {500};
        // If reads fail for longer than this, the store counts as unavailable, and entries may have expired meanwhile.
        std::chrono::milliseconds outageThreshold {700};
    };

    struct Hooks {
        // The whole table has been read. `afterOutage` is set if the store was unavailable before.
        std::function<void(const std::vector<StoreRow> &rows, bool afterOutage)> onTable;
        std::function<void(const StoreRow &row, bool afterOutage)> onChange;
        std::function<void(const std::string &error)> onUnavailable;
        std::function<void(std::chrono::milliseconds outage)> onAvailable;
    };

    TableFollower(boost::asio::io_context &loop, LoopClient &client, const PlatformAdapter &adapter, Endpoint store, Options options, Hooks hooks);

    void start();

    // Reads at once over a new connection, unless such a read is in progress. Used when a peer has newer rows or the process was frozen.
    void readNow();

    // Notes that a peer with the same rows read them at this version, `age` ago.
    void noteCurrent(int64_t version, std::chrono::milliseconds age, MonotonicTime now);

    // Replaces the rows by those of a peer if these are newer. Returns whether it did.
    bool replaceIfNewer(const StoreRows &rows, const std::string &peer, MonotonicTime now);

    // The current rows, for peers.
    StoreRows snapshot() const;

    int64_t version() const
    {
        return m_version;
    }

    // Version of the newest change that was read.
    int64_t changeVersion() const
    {
        return m_changeVersion;
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
    void readTable(const std::string &fromKey);
    void readChanges();
    void onRows(const LoopAnswer &response, bool isWholeTable, MonotonicTime now);
    void applyTable(const StoreRows &rows, MonotonicTime now);
    void applyChanges(const StoreRows &rows, MonotonicTime now);
    void onFailure(const std::string &error, MonotonicTime now);
    void onSuccess(MonotonicTime now);
    void schedule(std::chrono::milliseconds delay);
    void startRead();

    LoopClient &m_client;
    const PlatformAdapter &m_adapter;
    const Endpoint m_store;
    const Options m_options;
    const Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::map<std::string, StoreRow> m_rows;
    std::string m_source;
    // Pages of a read of the whole table that is in progress.
    std::vector<StoreRow> m_pages;
    int64_t m_version = 0;
    int64_t m_changeVersion = 0;
    bool m_isReadingNow = false;
    bool m_hasRows = false;
    std::optional<MonotonicTime> m_readAt;
    MonotonicTime::duration m_readInterval {0};
    bool m_needsTable = true;
    bool m_isUnavailable = false;
    bool m_afterOutage = false;
    bool m_freshConnection = false;
    // Number of the current read. Responses to earlier reads are ignored.
    uint64_t m_readNumber = 0;
    std::chrono::milliseconds m_retryDelay;
    MonotonicTime m_currentAt;
    std::optional<MonotonicTime> m_failingSince;
};

} // namespace Jujube
