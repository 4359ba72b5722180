#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <LibEvents/LineWriter.h>
#include <LibEvents/LogLine.h>
#include <LibLoop/LoopClient.h>
#include <LibMetrics/Metrics.h>
#include <LibPolicy/CrashSuspects.h>
#include <LibRelay/MigrationSchedule.h>
#include <LibRelay/PeerTable.h>
#include <LibRelay/RouteTable.h>
#include <LibRelay/ServiceRetryBudget.h>
#include <LibRelay/TargetBalancer.h>
#include <LibRelayServer/RelayDialect.h>
#include <LibRelayServer/RelayOptions.h>
#include <random>

namespace Jujube
{

class RelayExchange;

// What all requests of a relay share: the document and the targets in force, the decisions' state, connections, log and metrics. Used on the loop's thread
// only.
class RelayCore
{
public:
    RelayCore(boost::asio::io_context &loop, RelayOptions options, RelayDialect dialect, LineWriter &lines);

    boost::asio::io_context &loop;
    RelayOptions options;
    const RelayDialect dialect;
    Metrics metrics;
    TargetChannelPool channels;
    LoopClient client;
    std::shared_ptr<const RouteTable> routes;
    TargetTable targets;
    TargetBalancer balancer;
    PeerTable peers;
    CrashSuspects crashes;
    MigrationSchedule moves;
    // Time of the SIGTERM.
    std::optional<MonotonicTime> drainingSince;
    // Requests that have been sent to a target and have not ended.
    absl::flat_hash_set<RelayExchange *> running;

    ServiceRetryBudget &retryBudget(const std::string &service);
    uint64_t random();
    double randomUnit();
    int liveRelays(MonotonicTime now) const;

    // When the process exits at the latest after a SIGTERM.
    MonotonicTime stopAt() const;

    bool isDraining() const
    {
        return drainingSince.has_value();
    }

    LogLine line(EventKind kind) const;
    void log(LogLine &line);

    // A target leaves: its generations are queued for a copy to another one.
    void announceLeaving(const std::string &target, std::string_view reason, MonotonicTime now);

    // Generations are not to rely any more on copies that grow at a target.
    void dropBackupsAt(const std::string &target);

    // A target has said itself, by its report or in an answer, that it leaves.
    void recordLeaving(const std::string &target, int64_t incarnation, std::string_view reason, MonotonicTime now);

    // Asks an engine for its state, and draws the conclusions: it leaves, or it has crashed. `broken` are digests of requests whose answers broke off there.
    void checkTarget(const std::string &target, const std::vector<uint64_t> &broken);
    // The answer to a request broke off although its target was not known to leave.
    void noteBroken(const std::string &target, uint64_t digest);

    // Called when this relay has placed a request, so that others learn of it.
    std::function<void(bool isGeneration)> onLoadChanged = [](bool) {};
    // Called when a generation has left a target that leaves, because another relay may wait for that.
    std::function<void()> onTurnEnded = [] {};

    // The other relays' loads have changed: generations may have their turn earlier.
    void checkTurns(MonotonicTime now);

    // Starts the copies that are due, and those that become due later.
    void runMoves();

private:
    std::chrono::milliseconds waitForPeers(const std::string &target, MonotonicTime now) const;
    std::shared_ptr<RelayExchange> findRunning(const std::string &request) const;

    LineWriter &m_lines;
    std::mt19937_64 m_random;
    // Requests that broke off lately, by target, until the target has been checked.
    absl::flat_hash_map<std::string, std::vector<uint64_t>> m_broken;
    boost::asio::steady_timer m_brokenTimer;
    boost::asio::steady_timer m_moveTimer;
    absl::flat_hash_map<std::string, std::unique_ptr<ServiceRetryBudget>> m_retryBudgets;
};

} // namespace Jujube
