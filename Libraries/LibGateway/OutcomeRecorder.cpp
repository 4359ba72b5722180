#include <LibGateway/OutcomeRecorder.h>

#include <LibCore/Time.h>
#include <LibOneTime/ClaimRecord.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr size_t MaxOutcomes = 10'000;
constexpr auto FirstRetryDelay = 200ms;
constexpr auto MaxRetryDelay = 5000ms;

} // namespace

OutcomeRecorder::OutcomeRecorder(const TableClient &table, EventLog &events)
    : m_table(table)
    , m_events(events)
{
    m_thread = std::thread([this] { run(); });
}

OutcomeRecorder::~OutcomeRecorder()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void OutcomeRecorder::retry(Outcome outcome)
{
    {
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back(std::move(outcome));
        if (m_outcomes.size() > MaxOutcomes) {
            m_outcomes.pop_front();
        }
    }
    m_changed.notify_all();
}

bool OutcomeRecorder::waitUntilDone(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [this] { return m_outcomes.empty(); });
}

void OutcomeRecorder::run()
{
    std::chrono::milliseconds delay = FirstRetryDelay;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_outcomes.empty()) {
            m_changed.wait(lock, [this] { return m_stopping || !m_outcomes.empty(); });
            continue;
        }
        const auto outcome = m_outcomes.front();
        lock.unlock();
        const bool isDone = outcome.releaseNonce.empty() ? tryRecord(outcome) : tryRelease(outcome);
        lock.lock();
        if (isDone) {
            m_outcomes.pop_front();
            delay = FirstRetryDelay;
            m_changed.notify_all();
            continue;
        }
        m_changed.wait_for(lock, delay, [this] { return m_stopping; });
        delay = std::min<std::chrono::milliseconds>(delay * 2, MaxRetryDelay);
    }
}

bool OutcomeRecorder::tryRecord(const Outcome &outcome)
{
    const auto result = m_table.putIfRevision(outcome.tableKey, outcome.value, outcome.revision);
    if (result.end == WriteEnd::Done) {
        m_events.record({.kind = EventKind::OutcomeRecorded, .request = outcome.request}, wallMsNow());
    }
    // A conflict means that an earlier write of this process took effect and its response was lost.
    return result.end == WriteEnd::Done || result.end == WriteEnd::Conflict;
}

bool OutcomeRecorder::tryRelease(const Outcome &outcome)
{
    const auto read = m_table.get(outcome.tableKey);
    if (read.end == ReadEnd::Failed) {
        return false;
    }
    if (read.end == ReadEnd::Absent) {
        return true;
    }
    const auto record = ClaimRecord::fromText(read.row.value);
    if (!record || record->nonce != outcome.releaseNonce || record->state != ClaimState::Claimed) {
        return true;
    }
    return tryRecord({.tableKey = outcome.tableKey, .value = outcome.value, .revision = read.row.revision, .releaseNonce = "", .request = outcome.request});
}

} // namespace Jujube
