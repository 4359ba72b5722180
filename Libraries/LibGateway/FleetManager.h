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

// Whether an engine may be cold, and how many streams of this gateway run on it.
struct EngineColdState {
    std::string name;
    // "address:port". Permit rows are keyed by it, since the controller knows targets by their addresses.
    std::string address;
    bool mayBeCold = false;
    int ownRunning = 0;
};

// Holds the state of the targets and the placement policy of a gateway. Reads the load of the targets and the VM list on its own thread. Thread-safe: one
// mutex serializes the calls of the policy.
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
        // Called on the manager's thread with each VM list that was read.
        std::function<void(const std::vector<Vm> &)> onVmList;
    };

    explicit FleetManager(Options options);
    ~FleetManager();
    FleetManager(const FleetManager &) = delete;
    FleetManager &operator=(const FleetManager &) = delete;

    // Updates the targets and data centres from a document.
    void apply(const std::shared_ptr<const DocumentInForce> &document, MonotonicTime now);

    // Asks the policy for a placement. Sets the data centre and the region of the request to those of this gateway.
    PlacementDecision place(PlacementRequest request, MonotonicTime now);
    void generationStarted(const std::string &id, MonotonicTime now);
    void tokensProduced(const std::string &id, int64_t count, MonotonicTime now);
    void generationFinished(const std::string &id, MonotonicTime now);
    void generationFailed(const std::string &id, FailureReason reason, MonotonicTime now);
    void abandoned(const std::string &id, MonotonicTime now);
    void noteCold(const std::string &target, MonotonicTime now);

    // Waits until the given time, or until the policy reports that the generation should be placed again.
    void waitUntilReady(const std::string &id, MonotonicTime until);

    // Chooses a usable target of a plain service, by round robin among the nearest ones: first this gateway's data centre, then its region, then all others.
    // Returns nothing if there is no usable target.
    std::optional<std::string> chooseServiceTarget(const std::string &service, const std::set<std::string> &excluded);

    // The incarnation of a target in its latest load report. Zero if there is no report.
    uint64_t incarnationOf(const std::string &target) const;
    bool isLeaving(const std::string &target) const;

    // The state of all engines, used to request permits for cold ones.
    std::vector<EngineColdState> engineColdStates(MonotonicTime now) const;
    void setColdPermits(const std::string &target, int permits);

    // Whether at least one target has reported its load. Also true if there are no targets.
    bool hasLoadReport() const;

    // The "address:port" of a target in the document in force. Returns nothing if the target is not in the document.
    std::optional<std::string> addressOf(const std::string &target) const;

    void setLiveGateways(int count);

private:
    void run();
    void startLoadReads();
    void readVmList();
    void setVmState(const Vm &vm);
    void finishLoadRead();
    void processLoadResponse(const std::string &target, const HttpAnswer &response, MonotonicTime sentAt);
    void recordChanges(const std::string &target, const LoadReport &before, bool hadReport, const LoadReport &after) const;
    // Wakes the waiting generations that the policy reports as ready. Requires that m_mutex is held.
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
    // Load reads in progress. Their callbacks use this object, so the destructor waits for them.
    int m_pendingLoadReads = 0;
    std::thread m_thread;
};

// The model name under which the policy's fleet view lists the targets of a plain service.
std::string serviceModelName(const std::string &service);

} // namespace Jujube
