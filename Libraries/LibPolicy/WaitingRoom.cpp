#include <LibPolicy/WaitingRoom.h>

#include <LibCore/AbslView.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// A request that did not ask again for this long after it should have has lost its caller.
constexpr std::chrono::seconds AskAgainGrace {1};

// A refusal counts for the next request of the workspace for this long.
constexpr std::chrono::seconds RefusalMemory {300};

// Entries of the own class that are counted one by one for an estimate of the wait.
constexpr int ExactEntries = 64;

// Over this time the service of a class is averaged for an estimate of a wait.
constexpr std::chrono::seconds GivenHalfLife {15};

// Aged work can save up its share for this long.
constexpr double AgedSavingSeconds = 30;

// Records are only kept for workspaces of the document; this bounds the memory for those that left it.
constexpr size_t MaxRecords = 4096;

} // namespace

WaitingRoom::WaitingRoom(const MemoryForecastOptions &options)
    : m_options(options)
    , m_given {RateMeter(GivenHalfLife), RateMeter(GivenHalfLife), RateMeter(GivenHalfLife), RateMeter(GivenHalfLife)}
{
}

WaitingEntry &WaitingRoom::enter(const PlacementRequest &request, double need, MonotonicTime now)
{
    auto &slot = m_entries[request.id];
    if (slot) {
        slot->askAgain = now;
        return *slot;
    }
    slot = std::make_unique<WaitingEntry>();
    auto &entry = *slot;
    entry.id = request.id;
    entry.workspace = request.workspace;
    entry.workClass = workClassOf(request.tier, request.kind);
    entry.accepted = request.accepted;
    entry.need = need;
    entry.arrived = now;
    entry.since = now;
    entry.askAgain = now;
    entry.queue = entry.accepted && request.tier == WorkspaceTier::Paying ? AcceptedQueue : indexOf(entry.workClass);
    const auto &past = record(entry.workspace, entry.workClass);
    if (past.refusedSince && now - past.refusedLast < RefusalMemory) {
        entry.since = *past.refusedSince;
    }
    const bool fair = m_options.fairShares && entry.queue != AcceptedQueue;
    entry.order = {fair ? m_shares[indexOf(entry.workClass)].enter(entry.workspace, need) : 0.0, ++m_sequence};
    auto &queue = m_queues[entry.queue];
    queue.entries[entry.order] = &entry;
    queue.need += need;
    return entry;
}

void WaitingRoom::leave(const std::string &id, WaitingOutcome outcome, MonotonicTime now)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    const auto &entry = *known->second;
    auto &queue = m_queues[entry.queue];
    queue.entries.erase(entry.order);
    queue.need -= entry.need;
    auto &past = record(entry.workspace, entry.workClass);
    if (outcome == WaitingOutcome::Served) {
        if (isAged(entry, now)) {
            m_agedBudget[indexOf(entry.workClass)] -= entry.need;
        }
        m_given[indexOf(entry.workClass)].add(entry.need, now);
        past.refusedSince.reset();
        past.lastServed = now;
    } else if (outcome == WaitingOutcome::Refused) {
        past.refusedSince = entry.since;
        past.refusedLast = now;
    }
    if (m_options.fairShares && entry.queue != AcceptedQueue) {
        auto &share = m_shares[indexOf(entry.workClass)];
        if (outcome == WaitingOutcome::Served) {
            share.served(entry.order.first);
        } else {
            share.refund(entry.workspace, entry.need);
        }
    }
    m_entries.erase(known);
}

bool WaitingRoom::isFirst(const WaitingEntry &entry, MonotonicTime now)
{
    dropLapsed(now);
    return std::ranges::none_of(m_queues, [&](const Queue &queue) {
        return !queue.entries.empty() && queue.entries.begin()->second != &entry && goesBefore(*queue.entries.begin()->second, entry, now);
    });
}

void WaitingRoom::setServiceRate(double rate, MonotonicTime now)
{
    const std::chrono::duration<double> elapsed = now - m_serviceRateAt;
    for (size_t i = 0; i < WorkClassCount; ++i) {
        const double perSecond = agedShare(static_cast<WorkClass>(i)) * rate;
        m_agedBudget[i] = std::min(m_agedBudget[i] + std::max(elapsed.count(), 0.0) * perSecond, AgedSavingSeconds * perSecond);
    }
    m_serviceRate = rate;
    m_serviceRateAt = now;
    dropPastPromises(now);
}

bool WaitingRoom::isAged(const WaitingEntry &entry, MonotonicTime now) const
{
    const auto rank = static_cast<size_t>(m_options.rank[indexOf(entry.workClass)]);
    if (!m_options.aging || rank == 0 || now - starvedSince(entry) < m_options.agingTimes[rank]) {
        return false;
    }
    // A request that is larger than what can be saved up goes when the savings are full.
    const double full = AgedSavingSeconds * agedShare(entry.workClass) * m_serviceRate;
    return m_agedBudget[indexOf(entry.workClass)] >= std::min(entry.need, full);
}

std::chrono::duration<double> WaitingRoom::expectedWait(const WaitingEntry &entry, MonotonicTime now) const
{
    double rate = m_serviceRate;
    if (m_options.rank[indexOf(entry.workClass)] > 0) {
        rate = std::max(m_given[indexOf(entry.workClass)].perSecond(now), agedShare(entry.workClass) * m_serviceRate);
    }
    const double promised = entry.since < entry.arrived ? 0.0 : m_promised[indexOf(entry.workClass)];
    return std::chrono::duration<double>((needAhead(entry) + promised + entry.need) / rate);
}

void WaitingRoom::promise(WorkClass workClass, double need, MonotonicTime time)
{
    m_promises[indexOf(workClass)].emplace(time, need);
    m_promised[indexOf(workClass)] += need;
}

void WaitingRoom::dropPastPromises(MonotonicTime now)
{
    for (size_t i = 0; i < WorkClassCount; ++i) {
        auto &promises = m_promises[i];
        while (!promises.empty() && promises.begin()->first <= now) {
            m_promised[i] -= promises.begin()->second;
            promises.erase(promises.begin());
        }
        if (promises.empty()) {
            m_promised[i] = 0;
        }
    }
}

double WaitingRoom::needAhead(const WaitingEntry &entry) const
{
    double need = 0;
    const bool isLower = m_options.rank[indexOf(entry.workClass)] > 0;
    for (size_t index = 0; index < QueueCount; ++index) {
        // The measured service of a lower class already leaves out what higher classes take.
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

double WaitingRoom::payingNeed() const
{
    return m_queues[AcceptedQueue].need + m_queues[indexOf(WorkClass::PayingDraft)].need + m_queues[indexOf(WorkClass::PayingSuggestion)].need;
}

std::vector<std::string> WaitingRoom::next(size_t count, MonotonicTime now)
{
    dropLapsed(now);
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
            if (!best || goesBefore(*heads[index]->second, *heads[*best]->second, now)) {
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

size_t WaitingRoom::size() const
{
    return m_entries.size();
}

bool WaitingRoom::goesBefore(const WaitingEntry &left, const WaitingEntry &right, MonotonicTime now) const
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

double WaitingRoom::agedShare(WorkClass workClass) const
{
    return m_options.agedShares[m_options.rank[indexOf(workClass)]];
}

void WaitingRoom::dropLapsed(MonotonicTime now)
{
    for (auto &queue : m_queues) {
        while (!queue.entries.empty() && queue.entries.begin()->second->askAgain + AskAgainGrace < now) {
            const auto id = queue.entries.begin()->second->id;
            leave(id, WaitingOutcome::Gone, now);
        }
    }
}

// A workspace that is being served does not starve, however long the queue of its other requests is.
MonotonicTime WaitingRoom::starvedSince(const WaitingEntry &entry) const
{
    const auto known = m_records.find(entry.workspace);
    return known == m_records.end() ? entry.since : std::max(entry.since, known->second[indexOf(entry.workClass)].lastServed);
}

WaitingRoom::Record &WaitingRoom::record(std::string_view workspace, WorkClass workClass)
{
    if (m_records.size() >= MaxRecords) {
        m_records.clear();
    }
    return m_records[toAbsl(workspace)][indexOf(workClass)];
}

} // namespace Jujube
