#pragma once

#include <LibPolicy/FairShare.h>
#include <LibPolicy/MemoryForecastOptions.h>
#include <LibPolicy/RateMeter.h>

#include <map>
#include <memory>
#include <optional>

namespace Jujube
{

// A queued request, which waits for a target of its model with enough free memory.
struct QueuedRequest {
    std::string id;
    std::string workspace;
    WorkClass workClass = WorkClass::PayingDraft;
    bool accepted = false;
    // Expected cache memory in tokens.
    double need = 0;
    // Order within the queue: start tag of the fair queueing, then order of arrival.
    std::pair<double, uint64_t> order;
    MonotonicTime arrived;
    // Start of the wait that counts for aging: the arrival, or an earlier rejection of the workspace if nothing of it has been served since.
    MonotonicTime agingSince;
    MonotonicTime retryAt;
    size_t queue = 0;
};

// Why a request leaves the admission queue.
enum class QueueOutcome : uint8_t {
    Served,
    Rejected,
    Abandoned,
};

// Holds the requests of one model that wait at this gateway, and decides in which order they are served. Accepted paying work comes first, followed by the
// classes in the order of their ranks. A request that has waited for the aging time of its class precedes the other classes, as long as the aged requests of
// its class stay within their share of the service rate. Within a class, workspaces get fair shares.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(const MemoryForecastOptions &options);

    // Adds a request. Returns the existing entry if the request is already queued.
    QueuedRequest &enqueue(const PlacementRequest &request, double need, MonotonicTime now);
    void remove(const std::string &id, QueueOutcome outcome, MonotonicTime now);

    // True if no other entry precedes this one.
    bool isFirst(const QueuedRequest &entry, MonotonicTime now);

    // Sets the rate at which memory becomes free for this gateway, in tokens per second. Aged requests get a share of it.
    void setServiceRate(double rate, MonotonicTime now);

    // True if the entry has waited for the aging time of its class and the budget for aged requests of the class covers its need.
    bool isAged(const QueuedRequest &entry, MonotonicTime now) const;

    // Records that a request of the class was rejected and is expected to retry at the given time.
    void expectRetry(WorkClass workClass, double need, MonotonicTime time);

    // Expected time until the entry is served. Unless its workspace was rejected recently, this includes the time to serve rejected requests that are expected
    // to retry.
    std::chrono::duration<double> expectedWait(const QueuedRequest &entry, MonotonicTime now) const;

    // Memory in tokens that the entries before this one need. An estimate if there are many entries.
    double needAhead(const QueuedRequest &entry) const;

    // Memory in tokens that all waiting paying requests need.
    double payingNeed() const;

    // Ids of the first `count` entries in the order of service.
    std::vector<std::string> next(size_t count, MonotonicTime now);

    size_t size() const;

private:
    // When a workspace was last served and rejected in one class.
    struct WorkspaceHistory {
        MonotonicTime lastServed;
        std::optional<MonotonicTime> rejectedSince;
        MonotonicTime lastRejected;
    };
    struct Queue {
        std::map<std::pair<double, uint64_t>, QueuedRequest *> entries;
        double need = 0;
    };
    // One queue per class, and one for accepted paying work.
    static constexpr size_t AcceptedQueue = WorkClassCount;
    static constexpr size_t QueueCount = WorkClassCount + 1;

    bool precedes(const QueuedRequest &left, const QueuedRequest &right, MonotonicTime now) const;
    double agedShare(WorkClass workClass) const;
    void removeDueRetries(MonotonicTime now);
    void removeExpired(MonotonicTime now);
    MonotonicTime starvedSince(const QueuedRequest &entry) const;
    WorkspaceHistory &historyOf(std::string_view workspace, WorkClass workClass);

    const MemoryForecastOptions &m_options;
    std::array<Queue, QueueCount> m_queues;
    std::array<FairShare, WorkClassCount> m_shares;
    absl::flat_hash_map<std::string, std::unique_ptr<QueuedRequest>> m_entries;
    absl::flat_hash_map<std::string, std::array<WorkspaceHistory, WorkClassCount>> m_histories;
    uint64_t m_sequence = 0;
    double m_serviceRate = 1;
    MonotonicTime m_serviceRateAt;
    // Memory in tokens that aged requests of each class may still take, and the rate at which each class was recently served.
    std::array<double, WorkClassCount> m_agedBudget {};
    std::array<RateMeter, WorkClassCount> m_served;
    // Needs of rejected requests by the time at which they are expected to retry, and their sum for each class.
    std::array<std::multimap<MonotonicTime, double>, WorkClassCount> m_expectedRetries;
    std::array<double, WorkClassCount> m_expectedRetryNeed {};
};

} // namespace Jujube
