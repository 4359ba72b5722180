#pragma once

#include <LibPolicy/FairShare.h>
#include <LibPolicy/MemoryForecastOptions.h>
#include <LibPolicy/RateMeter.h>

#include <map>
#include <memory>
#include <optional>

namespace Jujube
{

// A request that waits for room on a target of its model.
struct WaitingEntry {
    std::string id;
    std::string workspace;
    WorkClass workClass = WorkClass::PayingDraft;
    bool accepted = false;
    // Expected cache memory in tokens.
    double need = 0;
    // Order within the class: fair-share tag, then order of arrival.
    std::pair<double, uint64_t> order;
    MonotonicTime arrived;
    // Start of the time for aging: the arrival, or an earlier refusal of the workspace that was not made good since.
    MonotonicTime since;
    MonotonicTime askAgain;
    size_t queue = 0;
};

// Why an entry leaves the waiting room.
enum class WaitingOutcome : uint8_t {
    Served,
    Refused,
    Gone,
};

// The requests of one model that wait at this gateway, and the order in which they go. Accepted paying work goes first, then the classes by their rank. A
// request that has waited for the aging time of its class goes before all of them as long as the aged work of its class stays within its share of the
// service. Within a class, workspaces get fair shares.
class WaitingRoom
{
public:
    explicit WaitingRoom(const MemoryForecastOptions &options);

    // Adds a request, or returns the entry that it already has.
    WaitingEntry &enter(const PlacementRequest &request, double need, MonotonicTime now);
    void leave(const std::string &id, WaitingOutcome outcome, MonotonicTime now);

    // True if no other entry goes before this one.
    bool isFirst(const WaitingEntry &entry, MonotonicTime now);

    // Memory that becomes free for this gateway, in tokens per second. Aged work gets a share of it.
    void setServiceRate(double rate, MonotonicTime now);

    // True if the entry has waited for the aging time of its class, and the share of aged work has room for it.
    bool isAged(const WaitingEntry &entry, MonotonicTime now) const;

    // A request of the class was refused and told to come back at a time.
    void promise(WorkClass workClass, double need, MonotonicTime time);

    // Time until the entry probably goes. A request of a workspace that was not refused lately also waits for those that were promised a time.
    std::chrono::duration<double> expectedWait(const WaitingEntry &entry, MonotonicTime now) const;

    // Memory in tokens that the entries before this one need. An estimate if there are many.
    double needAhead(const WaitingEntry &entry) const;

    // Memory in tokens that all waiting paying requests need.
    double payingNeed() const;

    // Ids of the entries that go next.
    std::vector<std::string> next(size_t count, MonotonicTime now);

    size_t size() const;

private:
    // What a workspace got, and did not get, in one class.
    struct Record {
        MonotonicTime lastServed;
        std::optional<MonotonicTime> refusedSince;
        MonotonicTime refusedLast;
    };
    struct Queue {
        std::map<std::pair<double, uint64_t>, WaitingEntry *> entries;
        double need = 0;
    };
    // One queue per class, and one for accepted paying work.
    static constexpr size_t AcceptedQueue = WorkClassCount;
    static constexpr size_t QueueCount = WorkClassCount + 1;

    bool goesBefore(const WaitingEntry &left, const WaitingEntry &right, MonotonicTime now) const;
    double agedShare(WorkClass workClass) const;
    void dropPastPromises(MonotonicTime now);
    void dropLapsed(MonotonicTime now);
    MonotonicTime starvedSince(const WaitingEntry &entry) const;
    Record &record(std::string_view workspace, WorkClass workClass);

    const MemoryForecastOptions &m_options;
    std::array<Queue, QueueCount> m_queues;
    std::array<FairShare, WorkClassCount> m_shares;
    absl::flat_hash_map<std::string, std::unique_ptr<WaitingEntry>> m_entries;
    absl::flat_hash_map<std::string, std::array<Record, WorkClassCount>> m_records;
    uint64_t m_sequence = 0;
    double m_serviceRate = 1;
    MonotonicTime m_serviceRateAt;
    // Memory in tokens that aged work of each class may still take, and the memory that was given to each class lately.
    std::array<double, WorkClassCount> m_agedBudget {};
    std::array<RateMeter, WorkClassCount> m_given;
    // Needs of refused requests by the time at which they were told to come back, and their sums.
    std::array<std::multimap<MonotonicTime, double>, WorkClassCount> m_promises;
    std::array<double, WorkClassCount> m_promised {};
};

} // namespace Jujube
