#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <LibEvents/LineWriter.h>
#include <LibEvents/LogLine.h>
#include <LibLoop/LoopClient.h>
#include <LibMetrics/Metrics.h>
#include <LibPolicy/CrashSuspects.h>
#include <LibPolicy/PromptPartSuspects.h>
#include <LibRelay/ContinuationReservations.h>
#include <LibRelay/MigrationSchedule.h>
#include <LibRelay/PeerTable.h>
#include <LibRelay/RouteTable.h>
#include <LibRelay/ServiceRetryBudget.h>
#include <LibRelay/TargetBalancer.h>
#include <LibRelayServer/PlatformAdapter.h>
#include <LibRelayServer/RelayOptions.h>
#include <LibRelayServer/TargetRunsReader.h>
#include <random>

namespace Jujube
{

class RelayExchange;
class RolloutAgent;
class StreamVersions;

// A request whose response was interrupted, as far as it may tell why.
struct InterruptedRequest {
    uint64_t digest = 0;
    // Whether the target had begun to respond.
    bool hasBegun = false;
    // Events that had arrived, and the time since the first one.
    int64_t events = 0;
    std::chrono::milliseconds eventsFor {0};
    // Parts of its prompt that other requests may share.
    std::vector<uint64_t> parts;
    // When the response broke off.
    MonotonicTime interruptedAt {};
};

// State that all requests of a relay share: the document and the targets in force, the state of the decisions, connections, log and metrics. Used only on the
// loop's thread.
class RelayCore
{
public:
    RelayCore(boost::asio::io_context &loop, RelayOptions options, PlatformAdapter adapter, LineWriter &lines);

    boost::asio::io_context &loop;
    RelayOptions options;
    const PlatformAdapter adapter;
    Metrics metrics;
    TargetChannelPool channels;
    LoopClient client;
    std::shared_ptr<const RouteTable> routes;
    TargetTable targets;
    TargetBalancer balancer;
    ContinuationReservations continuations;
    TargetRunsReader targetRuns;
    PeerTable peers;
    CrashSuspects crashSuspects;
    PromptPartSuspects promptParts;
    // Parts of prompts that this relay is trying again, each with one request.
    absl::flat_hash_set<uint64_t> triedParts;
    MigrationSchedule migrations;
    // Null where the settings do not ask for rollouts.
    RolloutAgent *rollouts = nullptr;
    // Null until the relay has started.
    StreamVersions *streamVersions = nullptr;
    // A graceful shutdown in progress. Its grace period is the one in force at its beginning, because requests were taken in reliance on it.
    struct Drain {
        // Time of the SIGTERM.
        MonotonicTime since;
        std::chrono::milliseconds grace {0};
    };
    std::optional<Drain> draining;
    // Requests that have been sent to a target and have not ended.
    absl::flat_hash_set<RelayExchange *> running;

    ServiceRetryBudget &retryBudget(const std::string &service);
    uint64_t random();
    double randomUnit();
    int liveRelays(MonotonicTime now) const;

    // Time after a SIGTERM at which requests whose response has not begun get a response of the relay's own, because the process is about to exit.
    MonotonicTime stopAt() const;
    // Latest time at which the process exits after a SIGTERM.
    MonotonicTime exitAt() const;

    bool isDraining() const
    {
        return draining.has_value();
    }

    LogLine line(EventKind kind) const;
    void log(LogLine &line);

    // Handles a target that is leaving: its generations are queued for migration.
    void handleTargetLeaving(const std::string &target, std::string_view reason, MonotonicTime now);

    // Handles a target that has restarted under the same id, possibly with another version of its software.
    void handleTargetReplaced(const TargetEntry &entry);

    // Queues the generations on an engine for migration, because all requests of its service go to another version. The engine stays for the time being.
    void migrateSuperseded(const std::string &target, MonotonicTime now);

    // Whether generations on the target are to continue elsewhere: it is leaving, or it has been superseded.
    bool mustBeLeft(const std::string &target) const;

    // Whether callers' requests are accepted.
    bool isAccepting(MonotonicTime now) const;

    // Stops generations from relying on backups that this target keeps.
    void dropBackupsAt(const std::string &target);
    // The same for backups outside the homes that a new document gives to the requests.
    void dropBackupsOutsideHomes();

    // Handles a target that has reported that it is leaving, in its state or in a response.
    void recordLeaving(const std::string &target, int64_t incarnation, std::string_view reason, MonotonicTime now);

    // Handles what a response says about the target's request limit, received by this relay or reported by a peer.
    void recordRequestLimit(const TargetRequestLimits::Statement &statement, MonotonicTime now);
    // Computes the shares of all request limits, because time has passed or the live relays have changed.
    void updateRequestLimits(MonotonicTime now);
    // Sets the metrics of the request limits in force.
    void exportRequestLimits(MonotonicTime now);

    // Whether this relay is the one that tries a part of prompts again that crashed targets long ago. All relays that know each other agree on one.
    bool triesPart(uint64_t part, MonotonicTime now) const;
    // Logs which parts of prompts have been rejected since the last call, and which are not any more.
    void logRejectedParts(MonotonicTime now);

    // Reads an engine's state to detect that it is leaving.
    void checkState(const std::string &target);
    // Handles an interrupted response of a target that was not known to be leaving.
    void noteInterruptedResponse(const std::string &target, InterruptedRequest request);

    // Called when this relay has placed a request, so that peers are notified of the load.
    std::function<void(bool isGeneration)> onLoadChanged = [](bool) {};
    // Time since the document was last known to be current.
    std::function<std::chrono::milliseconds(MonotonicTime now)> documentAge = [](MonotonicTime) { return std::chrono::milliseconds {0}; };
    // Called before limits of targets decide, because the process may have been frozen since they were learnt.
    std::function<void(MonotonicTime now)> detectFreeze = [](MonotonicTime) {};
    // Called when a target has named to this relay a limit that peers do not know, or a lower one.
    std::function<void()> onRequestLimitLowered = [] {};
    // Called when this relay has observed a crash that peers do not know.
    std::function<void()> onCrashObserved = [] {};
    // Called when a generation has left a target that is leaving, because another relay may be waiting for that.
    std::function<void()> onMigrationEnded = [] {};

    // Handles changed loads of peers: generations that wait for peers may migrate earlier.
    void releaseWaitingMigrations(MonotonicTime now);

    // Starts the migrations that are due and schedules the later ones.
    void runMigrations();
    // Lets the generations migrate that wait for a reservation at their target.
    void resumeMigrations(const std::string &target);
    // Ends the turn of a request's generation, so that the next one on its engine can migrate.
    void finishMigration(const std::string &request);

private:
    // Responses of one target that were interrupted at the same time, until it is known whether the target has crashed.
    struct Interruption {
        MonotonicTime since;
        // The process that ran the requests, and its address.
        int64_t incarnation = 0;
        std::string address;
        std::vector<InterruptedRequest> requests;
        MonotonicTime nextCheckAt;
        int checks = 0;
        // Checks since the last one that reached the target.
        int connectTimeouts = 0;
    };

    // Reads the state of a target to detect that it is leaving or, with interrupted responses, has crashed.
    void checkTarget(const std::string &target, Interruption interruption);
    // Handles a check after interrupted responses that found no target, or not the one that was asked.
    void handleFailedCheck(const std::string &target, Interruption interruption, bool isBackAlready, const LoopAnswer &response, MonotonicTime now);
    // Keeps interrupted responses until their target is checked, together with others of it that are waiting for that.
    void awaitCheck(const std::string &target, Interruption interruption, MonotonicTime now);
    std::chrono::milliseconds migrationDelay(const std::string &target, MonotonicTime now) const;
    RequestLimitParticipants requestLimitParticipants(const std::string &target, MonotonicTime now);
    // Handles a target that has crashed while it ran requests or was about to.
    void
    recordCrash(const std::string &target, int64_t incarnation, const std::vector<InterruptedRequest> &interrupted, std::string_view reason, MonotonicTime now);
    void armInterruptedTimer();
    // Checks targets whose responses were interrupted, as far as their request limits allow it.
    void checkInterruptedTargets(MonotonicTime now);
    std::shared_ptr<RelayExchange> findRunning(const std::string &request) const;

    LineWriter &m_lines;
    std::mt19937_64 m_random;
    // Recently interrupted requests, by target, until the target has been checked.
    absl::flat_hash_map<std::string, Interruption> m_interrupted;
    // The relays among which the limit of the target is divided that was asked for last.
    std::vector<RequestLimitParticipants::Relay> m_limitSharers;
    absl::flat_hash_set<uint64_t> m_rejectedParts;
    boost::asio::steady_timer m_interruptedTimer;
    boost::asio::steady_timer m_migrationTimer;
    absl::flat_hash_map<std::string, std::unique_ptr<ServiceRetryBudget>> m_retryBudgets;
};

} // namespace Jujube
