#include <LibPolicy/AdmissionQueue.h>

#include <LibCore/AbslView.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// A request whose next placement attempt is overdue by more than this is removed, because its caller has disconnected.
constexpr std::chrono::seconds RetryGracePeriod {1};

// For this long after a rejection, the next request of the workspace starts with the aging time of the rejected one.
constexpr std::chrono::seconds RejectionLifetime {300};

// Number of preceding entries of the same queue whose needs are summed exactly for a wait estimate. With more of them, the need of the whole queue is used.
constexpr int ExactEntries = 64;

// Half-life of the average rate at which a class is served, from which waits are estimated.
constexpr std::chrono::seconds ServedHalfLife {15};

// Aged requests can accumulate their share of the service rate for this time.
constexpr double MaxAgedSavingSeconds = 30;

// Only workspaces of the environment document send requests. This bounds the memory for workspaces that were removed from the document.
constexpr size_t MaxHistories = 4096;

} // namespace

AdmissionQueue::AdmissionQueue(const MemoryForecastOptions &options)
    : m_options(options)
    , m_served {RateMeter(ServedHalfLife), RateMeter(ServedHalfLife), RateMeter(ServedHalfLife), RateMeter(ServedHalfLife)}
{
}

QueuedRequest &AdmissionQueue::enqueue(const PlacementRequest &request, double need, MonotonicTime now)
{
    auto &slot = m_entries[request.id];
    if (slot) {
        slot->retryAt = now;
        return *slot;
    }
    slot = std::make_unique<QueuedRequest>();
    auto &entry = *slot;
    entry.id = request.id;
    entry.workspace = request.workspace;
    entry.workClass = workClassOf(request.tier, request.kind);
    entry.accepted = request.accepted;
    entry.need = need;
    entry.arrived = now;
    entry.agingSince = now;
    entry.retryAt = now;
    entry.queue = entry.accepted && request.tier == WorkspaceTier::Paying ? AcceptedQueue : indexOf(entry.workClass);
    const auto &history = historyOf(entry.workspace, entry.workClass);
    if (history.rejectedSince && now - history.lastRejected < RejectionLifetime) {
        entry.agingSince = *history.rejectedSince;
    }
    const bool fair = m_options.fairShares && entry.queue != AcceptedQueue;
    entry.order = {fair ? m_shares[indexOf(entry.workClass)].startTag(entry.workspace, need) : 0.0, ++m_sequence};
    auto &queue = m_queues[entry.queue];
    queue.entries[entry.order] = &entry;
    queue.need += need;
    return entry;
}

void AdmissionQueue::remove(const std::string &id, QueueOutcome outcome, MonotonicTime now)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    const auto &entry = *known->second;
    auto &queue = m_queues[entry.queue];
    queue.entries.erase(entry.order);
    queue.need -= entry.need;
    auto &history = historyOf(entry.workspace, entry.workClass);
    if (outcome == QueueOutcome::Served) {
        if (isAged(entry, now)) {
            m_agedBudget[indexOf(entry.workClass)] -= entry.need;
        }
        m_served[indexOf(entry.workClass)].add(entry.need, now);
        history.rejectedSince.reset();
        history.lastServed = now;
    } else if (outcome == QueueOutcome::Rejected) {
        history.rejectedSince = entry.agingSince;
        history.lastRejected = now;
    }
    if (m_options.fairShares && entry.queue != AcceptedQueue) {
        auto &share = m_shares[indexOf(entry.workClass)];
        if (outcome == QueueOutcome::Served) {
            share.served(entry.order.first);
        } else {
            share.refund(entry.workspace, entry.need);
        }
    }
    m_entries.erase(known);
}

bool AdmissionQueue::isFirst(const QueuedRequest &entry, MonotonicTime now)
{
    removeExpired(now);
    return std::ranges::none_of(m_queues, [&](const Queue &queue) {
        return !queue.entries.empty() && queue.entries.begin()->second != &entry && precedes(*queue.entries.begin()->second, entry, now);
    });
}

void AdmissionQueue::setServiceRate(double rate, MonotonicTime now)
{
    const std::chrono::duration<double> elapsed = now - m_serviceRateAt;
    for (size_t i = 0; i < WorkClassCount; ++i) {
        const double perSecond = agedShare(static_cast<WorkClass>(i)) * rate;
        m_agedBudget[i] = std::min(m_agedBudget[i] + std::max(elapsed.count(), 0.0) * perSecond, MaxAgedSavingSeconds * perSecond);
    }
    m_serviceRate = rate;
    m_serviceRateAt = now;
    removeDueRetries(now);
}

bool AdmissionQueue::isAged(const QueuedRequest &entry, MonotonicTime now) const
{
    const auto rank = static_cast<size_t>(m_options.rank[indexOf(entry.workClass)]);
    if (!m_options.aging || rank == 0 || now - starvedSince(entry) < m_options.agingTimes[rank]) {
        return false;
    }
    // A request that needs more than the maximum budget is served when the budget is full.
    const double full = MaxAgedSavingSeconds * agedShare(entry.workClass) * m_serviceRate;
    return m_agedBudget[indexOf(entry.workClass)] >= std::min(entry.need, full);
}

std::chrono::duration<double> AdmissionQueue::expectedWait(const QueuedRequest &entry, MonotonicTime now) const
{
    double rate = m_serviceRate;
    if (m_options.rank[indexOf(entry.workClass)] > 0) {
        rate = std::max(m_served[indexOf(entry.workClass)].perSecond(now), agedShare(entry.workClass) * m_serviceRate);
    }
    const double expectedRetryNeed = entry.agingSince < entry.arrived ? 0.0 : m_expectedRetryNeed[indexOf(entry.workClass)];
    return std::chrono::duration<double>((needAhead(entry) + expectedRetryNeed + entry.need) / rate);
}

void AdmissionQueue::expectRetry(WorkClass workClass, double need, MonotonicTime time)
{
    m_expectedRetries[indexOf(workClass)].emplace(time, need);
    m_expectedRetryNeed[indexOf(workClass)] += need;
}

void AdmissionQueue::removeDueRetries(MonotonicTime now)
{
    for (size_t i = 0; i < WorkClassCount; ++i) {
        auto &retries = m_expectedRetries[i];
        while (!retries.empty() && retries.begin()->first <= now) {
            m_expectedRetryNeed[i] -= retries.begin()->second;
            retries.erase(retries.begin());
        }
        if (retries.empty()) {
            m_expectedRetryNeed[i] = 0;
        }
    }
}

double AdmissionQueue::needAhead(const QueuedRequest &entry) const
{
    double need = 0;
    const bool isLower = m_options.rank[indexOf(entry.workClass)] > 0;
    for (size_t index = 0; index < QueueCount; ++index) {
        // The measured service rate of a lower class does not include what higher classes take.
        const bool isHigher = index == AcceptedQueue || m_options.rank[index] < m_options.rank[indexOf(entry.workClass)];
        if (index != entry.queue && isHigher && !isLower) {
            need += m_queues[index].need;
        }
    }
    const auto &own = m_queues[entry.queue];
    double ownNeed = 0;
    int counted = 0;
    for (const auto &[order, other] : own.entries) {
        if (other == &entry) {
            return need + ownNeed;
        }
        if (++counted > ExactEntries) {
            break;
        }
        ownNeed += other->need;
    }
    return need + own.need - entry.need;
}

double AdmissionQueue::payingNeed() const
{
    return m_queues[AcceptedQueue].need + m_queues[indexOf(WorkClass::PayingDraft)].need + m_queues[indexOf(WorkClass::PayingSuggestion)].need;
}

std::vector<std::string> AdmissionQueue::next(size_t count, MonotonicTime now)
{
    removeExpired(now);
    using Iterator = decltype(Queue::entries)::const_iterator;
    std::array<Iterator, QueueCount> heads;
    for (size_t index = 0; index < QueueCount; ++index) {
        heads[index] = m_queues[index].entries.begin();
    }
    std::vector<std::string> ids;
    while (ids.size() < count) {
        std::optional<size_t> best;
        for (size_t index = 0; index < QueueCount; ++index) {
            if (heads[index] == m_queues[index].entries.end()) {
                continue;
            }
            if (!best || precedes(*heads[index]->second, *heads[*best]->second, now)) {
                best = index;
            }
        }
        if (!best) {
            break;
        }
        ids.push_back(heads[*best]->second->id);
        ++heads[*best];
    }
    return ids;
}

size_t AdmissionQueue::size() const
{
    return m_entries.size();
}

bool AdmissionQueue::precedes(const QueuedRequest &left, const QueuedRequest &right, MonotonicTime now) const
{
    if (left.queue == right.queue) {
        return left.order < right.order;
    }
    if (left.queue == AcceptedQueue || right.queue == AcceptedQueue) {
        return left.queue == AcceptedQueue;
    }
    const bool leftAged = isAged(left, now);
    if (leftAged != isAged(right, now)) {
        return leftAged;
    }
    const int leftRank = m_options.rank[indexOf(left.workClass)];
    const int rightRank = m_options.rank[indexOf(right.workClass)];
    return std::make_pair(leftRank, left.order) < std::make_pair(rightRank, right.order);
}

double AdmissionQueue::agedShare(WorkClass workClass) const
{
    return m_options.agedShares[m_options.rank[indexOf(workClass)]];
}

void AdmissionQueue::removeExpired(MonotonicTime now)
{
    for (auto &queue : m_queues) {
        while (!queue.entries.empty() && queue.entries.begin()->second->retryAt + RetryGracePeriod < now) {
            const auto id = queue.entries.begin()->second->id;
            remove(id, QueueOutcome::Abandoned, now);
        }
    }
}

// Time since which the entry's workspace has not been served in its class. A workspace that is being served does not starve, however many of its requests wait.
MonotonicTime AdmissionQueue::starvedSince(const QueuedRequest &entry) const
{
    const auto known = m_histories.find(entry.workspace);
    return known == m_histories.end() ? entry.agingSince : std::max(entry.agingSince, known->second[indexOf(entry.workClass)].lastServed);
}

AdmissionQueue::WorkspaceHistory &AdmissionQueue::historyOf(std::string_view workspace, WorkClass workClass)
{
    if (m_histories.size() >= MaxHistories) {
        m_histories.clear();
    }
    return m_histories[toAbsl(workspace)][indexOf(workClass)];
}

} // namespace Jujube
