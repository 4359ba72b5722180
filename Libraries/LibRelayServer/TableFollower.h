#pragma once

#include <LibCore/Time.h>
#include <LibLoop/LoopClient.h>
#include <LibRelayServer/RelayDialect.h>
#include <map>
#include <random>

namespace Jujube
{

// Follows one table of the store: reads it as a whole, and then what has changed. Reads are paced, because each call has a price. While the store does not
// answer, the last known rows stay in force, and newer ones may be taken from a peer.
class TableFollower
{
public:
    struct Options {
        std::string table;
        // Pause between two reads of changes.
        std::chrono::milliseconds pause {120};
        // How long the store may hold a read until something changes.
        std::chrono::milliseconds wait {1000};
        // Whether this relay reads changes at present; if not, others tell it of them.
        std::function<bool(MonotonicTime now)> mayRead;
        // Pause until that is asked again.
        std::chrono::milliseconds idlePause {250};
        // The longest pause after failed reads grows with the number of relays, which all try.
        std::function<int()> liveRelays;
        // Limit for an answer beside the wait.
        std::chrono::milliseconds answerTimeout {900};
        // Pause after a failed read, doubled with each further one up to the largest.
        std::chrono::milliseconds retryPause {100};
        std::chrono::milliseconds longestRetryPause {500};
        // Reads that failed for longer than this mean that the store was away, and that entries may have lapsed meanwhile.
        std::chrono::milliseconds outageTime {700};
    };

    struct Hooks {
        // The whole table has been read. `afterOutage` tells that the store was away before.
        std::function<void(const std::vector<StoreRow> &rows, bool afterOutage)> onTable;
        std::function<void(const StoreRow &row, bool afterOutage)> onChange;
        std::function<void(const std::string &error)> onLost;
        std::function<void(std::chrono::milliseconds outage)> onRegained;
    };

    TableFollower(boost::asio::io_context &loop, LoopClient &client, const RelayDialect &dialect, Endpoint store, Options options, Hooks hooks);

    void start();

    // Reads at once, over a new connection, unless such a read is in progress: a peer has newer rows, or the process was frozen.
    void hurry();

    // A peer that knows the same rows has read them as of this version, that long ago.
    void noteCurrent(int64_t version, std::chrono::milliseconds age, MonotonicTime now);

    // Takes rows from a peer if they are newer than the own ones. Returns whether they were taken.
    bool offer(const StoreRows &rows, MonotonicTime now);

    // The present rows, for peers.
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

    // Since when reads fail. Nothing if the last one succeeded.
    std::optional<MonotonicTime> failingSince() const
    {
        return m_failingSince;
    }

    // When this relay has read the store last. Nothing before its first read.
    std::optional<MonotonicTime> readAt() const
    {
        return m_readAt;
    }

    // Usual time between two reads that succeed.
    std::chrono::milliseconds readInterval() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_readInterval);
    }

    // The rows hold as of this time.
    MonotonicTime currentAt() const
    {
        return m_currentAt;
    }

    bool isLost() const
    {
        return m_lost;
    }

private:
    void readWhole(const std::string &fromKey);
    void readChanges();
    void onRows(const LoopAnswer &answer, bool whole, MonotonicTime now);
    void takeWhole(const StoreRows &rows, MonotonicTime now);
    void takeChanges(const StoreRows &rows, MonotonicTime now);
    void onFailure(const std::string &error, MonotonicTime now);
    void onSuccess(MonotonicTime now);
    void schedule(std::chrono::milliseconds pause);
    void next();

    LoopClient &m_client;
    const RelayDialect &m_dialect;
    const Endpoint m_store;
    const Options m_options;
    const Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::map<std::string, StoreRow> m_rows;
    // Pages of a whole read in progress.
    std::vector<StoreRow> m_pages;
    int64_t m_version = 0;
    int64_t m_changeVersion = 0;
    bool m_hurrying = false;
    bool m_hasRows = false;
    std::optional<MonotonicTime> m_readAt;
    MonotonicTime::duration m_readInterval {0};
    bool m_needsWhole = true;
    bool m_lost = false;
    bool m_afterOutage = false;
    bool m_freshConnection = false;
    // Numbers the reads, so that the answer to one that was overtaken is ignored.
    uint64_t m_read = 0;
    std::chrono::milliseconds m_retryPause;
    MonotonicTime m_currentAt;
    std::optional<MonotonicTime> m_failingSince;
};

} // namespace Jujube
