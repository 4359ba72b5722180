#pragma once

#include <condition_variable>
#include <LibEvents/EventLog.h>
#include <LibGateway/DocumentInForce.h>
#include <LibHttp/HttpClient.h>
#include <LibMetrics/Metrics.h>
#include <LibPlatform/VmListClient.h>
#include <LibPolicy/PlacementPolicy.h>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace Jujube
{

// An engine that may be cold, and how many own streams run on it.
struct EngineColdState {
    std::string name;
    // "address:port". Permit rows are keyed by it, since the controller knows targets by their addresses.
    std::string address;
    bool mayBeCold = false;
    int ownRunning = 0;
};

// What a gateway knows about the targets, and its placement policy. Reads the targets' load and the VM list on a thread of its own. Safe to use from
// several threads: the policy is called under one lock.
class FleetManager
{
public:
    struct Options {
        std::string dataCentre;
        std::string region;
        std::string platform;
        PlacementOptions placement;
        std::chrono::milliseconds loadInterval {250};
        std::chrono::milliseconds vmListInterval {1000};
        HttpClient *http = nullptr;
        EventLog *events = nullptr;
        Metrics *metrics = nullptr;
        // Called on the keeper's thread with each VM list.
        std::function<void(const std::vector<Vm> &)> onVmList;
    };

    explicit FleetManager(Options options);
    ~FleetManager();
    FleetManager(const FleetManager &) = delete;
    FleetManager &operator=(const FleetManager &) = delete;

    // Takes over the targets and data centres of a document.
    void apply(const std::shared_ptr<const DocumentInForce> &document, MonotonicTime now);

    // Decides about a generation. The own data centre and region are filled in.
    PlacementDecision place(PlacementRequest request, MonotonicTime now);
    void generationStarted(const std::string &id, MonotonicTime now);
    void tokensProduced(const std::string &id, int64_t count, MonotonicTime now);
    void generationFinished(const std::string &id, MonotonicTime now);
    void generationFailed(const std::string &id, FailureReason reason, MonotonicTime now);
    void abandoned(const std::string &id, MonotonicTime now);
    void noteCold(const std::string &target, MonotonicTime now);

    // Waits until the time, or until the policy names the generation as ready for another decision.
    void waitUntilReady(const std::string &id, MonotonicTime until);

    // A usable target of a plain service, the own data centre first, or nothing.
    std::optional<std::string> chooseServiceTarget(const std::string &service, const std::set<std::string> &excluded);

    // The incarnation of a target by its last load report, and whether it said that it is leaving. Zero if it has not reported.
    uint64_t incarnationOf(const std::string &target) const;
    bool isLeaving(const std::string &target) const;

    // All engines that may get work, for the permits of cold ones.
    std::vector<EngineColdState> engineColdStates(MonotonicTime now) const;
    void setColdPermits(const std::string &target, int permits);

    // Whether at least one target has reported its load, or there is none.
    bool hasLoadReport() const;

    // The "address:port" of a target of the document in force, or nothing.
    std::optional<std::string> addressOf(const std::string &target) const;

    void setLiveGateways(int count);

private:
    void run();
    void startLoadReads();
    void readVmList();
    void finishLoadRead();
    void processLoadResponse(const std::string &target, const HttpAnswer &response, MonotonicTime sentAt);
    void recordChanges(const std::string &target, const LoadReport &before, bool hadReport, const LoadReport &after) const;
    // Wakes the waiting generations that the policy names. Called with the lock held.
    void wakeReadyGenerations(MonotonicTime now);

    const Options m_options;
    const VmListClient m_vmList;
    mutable std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    std::condition_variable m_readyChanged;
    std::set<std::string> m_ready;
    std::unique_ptr<PlacementPolicy> m_policy;
    std::shared_ptr<const DocumentInForce> m_document;
    std::mt19937_64 m_random;
    uint64_t m_serviceRoundRobin = 0;
    bool m_stopping = false;
    // Load reads whose answers still come. They refer to this object.
    int m_pendingLoadReads = 0;
    std::thread m_thread;
};

// The name under which the policy's fleet view lists the targets of a plain service.
std::string serviceModelName(const std::string &service);

} // namespace Jujube
