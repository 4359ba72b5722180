#pragma once

#include <LibRelay/RolloutCoordinator.h>
#include <LibRelay/RolloutCounts.h>
#include <LibRelay/RolloutRouting.h>
#include <LibRelay/RolloutSampler.h>
#include <LibRelay/RolloutStatusReport.h>
#include <LibRelayServer/RelayCore.h>
#include <LibRelayServer/RolloutStore.h>

namespace Jujube
{

// A relay's part in rollouts (docs/design/rollout.md). It knows the orders and plans, tells where requests may go, counts what targets respond, reports that to
// the relays that read the store, and coordinates the rollouts if it is the first of them. It exists only where the settings ask for rollouts.
class RolloutAgent
{
public:
    struct Hooks {
        // Whether this relay reads the store on behalf of others, and whether it does so successfully.
        std::function<bool()> isReader;
        std::function<bool(MonotonicTime now)> isReading;
        // Version of the store up to which this relay knows all orders. Zero if it has not read them.
        std::function<int64_t()> ordersKnownTo;
        // Whether a complete list of the targets is known.
        std::function<bool()> hasTargets;
        // Sends a heartbeat to all relays at once.
        std::function<void()> notifyPeers;
        std::function<void(const std::string &address, const std::string &datagram)> sendDatagram;
    };

    // `incarnation` is the one in the heartbeats of this relay.
    RolloutAgent(RelayCore &core, int64_t incarnation, Hooks hooks);

    // Reads the plans.
    void start();
    // Called at short intervals.
    void tick(MonotonicTime now);
    // The process or its VM was stopped: what it knows may have become old.
    void onStopped(std::chrono::nanoseconds suspended, MonotonicTime::duration stopped, MonotonicTime now);

    // A row of the document's table that has an order.
    void onOrderRow(const std::string &service, const StoreRow &row, MonotonicTime now);
    void onTargetApplied(const std::string &target);
    void addNotices(PeerHeartbeat &heartbeat, bool withAll, MonotonicTime now) const;
    void onPeerHeartbeat(const PeerHeartbeat &heartbeat, MonotonicTime now);
    void onReport(const RolloutReport &report, MonotonicTime now);

    bool hasRolloutInProgress() const
    {
        return m_isAnyInProgress;
    }
    // Whether this relay knows the orders, the plans and the targets, so that it may accept requests.
    bool isReady(MonotonicTime now) const;

    // Where requests of a service may be sent. `draw` is a random number from 0 to 1.
    VersionFilter filterForFirst(const std::string &service, double draw, MonotonicTime now) const;
    VersionFilter filterForRetry(const std::string &service, MonotonicTime now) const;
    // Where a copy of a run on this target may go.
    VersionFilter filterForCopy(const std::string &target, MonotonicTime now) const;
    // Whether a filter is for the targets of a trial. A request for which they have no room goes to the other version.
    bool isForTrial(const std::string &service, const VersionFilter &filter) const;
    // Targets that may not be used yet, because an order may exist that this relay does not know. Null for none.
    const absl::flat_hash_set<std::string> *withheldTargets() const;
    // Whether generations on the target are to be migrated, because all requests go to another version.
    bool isSuperseded(const std::string &target) const;

    // What this relay knows of all rollouts, for operators.
    std::vector<RolloutStatusReport> statusReports(MonotonicTime now) const;

    // Counts the first attempt of a request.
    void recordRequest(const std::string &service, const std::string &target);
    // Begins to take the samples of an attempt. Nothing if its service has no rollout in progress, or its target is cold.
    std::optional<RolloutSampler> beginSample(const std::string &service, const std::string &route, const std::string &target, MonotonicTime now) const;
    // The samples to which an attempt adds. Null if its rollout has ended.
    RolloutSamples *samplesOf(const std::string &service, const RolloutSampler &sampler);

private:
    // What this relay knows of the rollouts of one service.
    struct Service {
        // The newest row with an order, and whether it cannot be read: then the order before it stays in force.
        int64_t rowVersion = 0;
        bool isRowMalformed = false;
        std::optional<RolloutOrder> order;
        // The plan as this relay has read or written it itself, when it was known to be the store's, and when this relay learnt that.
        std::optional<RolloutPlan> stored;
        MonotonicTime storedAt;
        MonotonicTime learntAt;
        // When the plan in force changed last.
        MonotonicTime changedAt;
        RolloutCounts counts;
        // Set while the rollout is in progress.
        std::unique_ptr<RolloutCoordinator> coordinator;
        MonotonicTime nextReportAt;
        MonotonicTime nextWriteAt;
        std::chrono::milliseconds writeDelay {0};
        // Why the last write failed.
        std::string writeError;
        // Until when this relay announces that nothing is to be sent to the new version.
        MonotonicTime holdsUntil;
        MonotonicTime nextMigrationAt;
        absl::flat_hash_set<std::string> excludedTargets;
    };
    using Services = std::map<std::string, Service>;

    // The order in force. Nothing if there is none, or it was removed.
    std::optional<RolloutOrder> orderOf(const Service &service) const;
    // Whether a step is still to be taken.
    bool isInProgress(const std::string &name, const Service &service) const;
    void logOrder(const std::string &service, const StoreRow &row, const RolloutOrder *order);
    // Takes note of a new order or plan, and counts anew if it is of another order.
    void onChanged(const std::string &name, Service &service);
    // Takes the first complete list of targets, when the orders and plans are known.
    void takeFirstTargets();
    // Checks whether targets that were withheld may be used now.
    void checkWithheld();

    void readIfDue(MonotonicTime now);
    void read(MonotonicTime now);
    // The longest time for which the plan of a rollout in progress has not been confirmed.
    std::chrono::milliseconds timeUnconfirmed(MonotonicTime now) const;
    void onPlans(const std::vector<RolloutPlan> &plans, int64_t storeNowMs, MonotonicTime sentAt);
    void onReadFailed();
    void onUnreadablePlan(const std::string &service, const std::string &error);
    void setStoreTime(int64_t storeNowMs, MonotonicTime now);
    int64_t storeTime(MonotonicTime now) const;
    // Takes over a plan that this relay itself knows to have been the store's at a time.
    void storePlan(const RolloutPlan &plan, MonotonicTime knownAt, MonotonicTime now);
    void applyPlan(const RolloutPlan &plan, std::chrono::milliseconds age, bool isFromPeer, MonotonicTime now);
    void logStage(const std::optional<RolloutPlan> &previous, const RolloutPlan &plan, bool isFromPeer);
    // Forgets services without an order and a plan.
    void forgetIdleServices();

    // Reports and coordination (RolloutCoordination.cpp).
    RolloutCoordinator &coordinatorOf(Service &service);
    RolloutReport buildReport(const std::string &name, const Service &service, MonotonicTime now) const;
    void sendReportIfDue(const std::string &name, Service &service, MonotonicTime now);
    void noteLongWaits(const std::string &name, MonotonicTime now);
    // Decides which relays get the reports, this one possibly among them. The first one coordinates.
    void updateReceivers(MonotonicTime now);
    void updateCoordination(MonotonicTime now);
    void coordinate(const std::string &name, Service &service, MonotonicTime now);
    RolloutCoordinator::View buildView(const std::string &name, const Service &service, MonotonicTime now) const;
    std::vector<RolloutCoordinator::Participant> participants(MonotonicTime now) const;
    // Whether this relay may write a step now. A reversal needs less knowledge than other steps.
    bool mayWrite(const std::string &name, const Service &service, bool isReversal, MonotonicTime now);
    void write(Service &service, const RolloutPlan &plan, MonotonicTime now);
    // `current` is the store's plan, as far as the result tells.
    void onWritten(const RolloutPlan &written, RolloutStore::WriteResult result, const RolloutPlan &current, int64_t storeNowMs, MonotonicTime sentAt);
    // Asks all relays to send nothing to the new version for now.
    void hold(const std::string &name, Service &service, const RolloutJudge::Verdict &verdict, MonotonicTime now);
    // Adds the counts of all relays that report to this one to a report for operators.
    void addCounts(RolloutStatusReport &status, const std::string &name, const Service &service, MonotonicTime now) const;
    void excludeTargets(const std::string &name, Service &service, const std::vector<std::string> &targets);
    // Queues the generations on superseded engines for migration.
    void migrateSuperseded(const std::string &name, Service &service, MonotonicTime now);
    void exportMetrics(MonotonicTime now);

    RelayCore &m_core;
    const Hooks m_hooks;
    RolloutStore m_store;
    RolloutRouting m_routing;
    const int64_t m_incarnation;
    Services m_services;
    absl::flat_hash_set<std::string> m_withheld;
    bool m_knowsPlans = false;
    bool m_hasFirstTargets = false;
    bool m_isAnyInProgress = false;
    // After a long stop, no requests are accepted until the plans have been confirmed, or until this time.
    std::optional<MonotonicTime> m_confirmsUntil;
    // End of the last stop.
    MonotonicTime m_stoppedAt;
    // Own reads of the plans: when the newest successful one was sent off, and when the next one may follow.
    std::optional<MonotonicTime> m_readAt;
    MonotonicTime m_readSentAt;
    MonotonicTime m_nextReadAt;
    std::chrono::milliseconds m_readDelay {0};
    // The store's steady clock, in milliseconds, and when it was read.
    int64_t m_storeNowMs = 0;
    MonotonicTime m_storeNowAt;
    std::vector<std::string> m_receivers;
    std::optional<MonotonicTime> m_coordinatesSince;
    // When each relay's newest report arrived.
    absl::flat_hash_map<std::string, MonotonicTime> m_reportedAt;
    uint64_t m_ticks = 0;
};

} // namespace Jujube
