#include <LibRelay/RelaySession.h>

#include <algorithm>

// Runs whose response broke off or went silent. A broken connection does not end a run on every target, so the request goes on elsewhere only when the target
// has stopped the run, does not state it any more, or is gone.
namespace Jujube
{

namespace
{

// What a target states is at most this old.
constexpr std::chrono::milliseconds MaxStatementAge {1000};
// A run with a longer pause between events may have been put back into its target's queue.
constexpr std::chrono::milliseconds MaxPauseOfRunning {500};
constexpr std::chrono::milliseconds FirstReadInterval {250};
constexpr std::chrono::milliseconds MaxReadInterval {1000};
// Orders to stop one run. One whose response is lost may have been carried out.
constexpr int MaxStopOrders = 3;

} // namespace

bool RelaySession::mayGoOn(bool hadResponse, MonotonicTime now) const
{
    if (m_hasBegun && !m_begunResponse.isStream) {
        return false;
    }
    if (hadResponse ? mayContinueFromBackup(now) : mayContinueAtSource(now)) {
        return true;
    }
    auto excluded = m_excluded;
    excluded.insert(m_target->id);
    return mayRunAgain() && m_hooks.choose(excluded, now).target;
}

void RelaySession::awaitRunEnd(MonotonicTime now)
{
    m_interruption = {.since = now, .readInterval = FirstReadInterval, .stopDestination = {}, .nextStopAt = now};
    m_hooks.record("await_run_end", m_target->id);
}

void RelaySession::closeInterruptedRun(bool hadResponse)
{
    if (std::exchange(m_interruption->isOpen, false)) {
        m_interruption->hadResponse = hadResponse;
        m_excluded.insert(m_target->id);
        m_hooks.abortAttempt();
    }
}

bool RelaySession::hasInterruptedRunResponded() const
{
    return m_interruption->isOpen ? m_isResponseAccepted : m_interruption->hadResponse;
}

void RelaySession::readRuns(MonotonicTime at)
{
    if (!m_isReadingRuns) {
        m_isReadingRuns = true;
        m_hooks.readRuns(*m_target, at);
    }
}

MonotonicTime RelaySession::runBegunAt() const
{
    return m_firstEventAt.value_or(m_sentAt);
}

bool RelaySession::wasRunning() const
{
    return m_firstEventAt && m_interruption->since - m_lastEventAt <= MaxPauseOfRunning;
}

RunState RelaySession::stateOf(const TargetRuns &runs) const
{
    switch (runs.kind) {
    case TargetRuns::Kind::Unknown:
        return RunState::Unknown;
    case TargetRuns::Kind::Gone:
    case TargetRuns::Kind::Unreachable:
        return RunState::Ended;
    case TargetRuns::Kind::Listed:
        break;
    }
    if (std::ranges::find(runs.requests, m_request.id) != runs.requests.end()) {
        return RunState::AtWork;
    }
    // The statement may be older than the run. A target that is short of memory puts running requests back into its queue at any time.
    const bool isOlder = runs.askedAt - runBegunAt() < MaxStatementAge;
    const bool mayBeQueued = runs.queued > 0;
    return isOlder || mayBeQueued ? RunState::Unknown : RunState::Ended;
}

void RelaySession::onRunsRead(const TargetRuns &runs, MonotonicTime now)
{
    m_isReadingRuns = false;
    if (m_isOver || !m_interruption || m_interruption->stopDestination) {
        return;
    }
    const auto state = stateOf(runs);
    if (state == RunState::Ended) {
        onInterruptedRunEnded(nameOf(runs.kind), now);
        return;
    }
    // An order to stop is answered at once, also where the statement is too old to tell.
    const bool isStopUseful = state == RunState::AtWork || (runs.kind == TargetRuns::Kind::Listed && wasRunning());
    if (isStopUseful && stopInterruptedRun(now)) {
        return;
    }
    const auto interval = m_interruption->readInterval;
    if (now - m_interruption->since >= MaxStatementAge) {
        m_interruption->readInterval = std::min(2 * interval, MaxReadInterval);
    }
    const bool mayBeQueued = state == RunState::Unknown && runs.kind == TargetRuns::Kind::Listed && runs.queued > 0;
    if (mayBeQueued && !m_interruption->mayBeQueued) {
        m_hooks.record("may_be_queued", m_target->id);
    }
    m_interruption->mayBeQueued = mayBeQueued;
    const auto oldEnoughAt = runBegunAt() + MaxStatementAge;
    const bool isOnlyTooOld = runs.kind == TargetRuns::Kind::Listed && state == RunState::Unknown && now < oldEnoughAt;
    readRuns(isOnlyTooOld ? oldEnoughAt : now + interval);
}

void RelaySession::onInterruptedRunEnded(std::string_view reason, MonotonicTime now)
{
    m_hooks.record("run_ended", reason);
    if (!m_interruption->isOpen) {
        leaveTarget(m_interruption->hadResponse, ExchangeResult::Broken, false, now);
        return;
    }
    if (!tryGoOnElsewhere(now)) {
        // The rest of the response may be on its way.
        m_interruption.reset();
        m_hooks.record("wait", m_target->id);
    }
}

std::optional<RelayTarget> RelaySession::copyHolder(MonotonicTime now) const
{
    if (!hasInterruptedRunResponded() && mayContinueAtSource(now)) {
        return m_source;
    }
    return mayContinueFromBackup(now) ? m_backup : std::nullopt;
}

std::optional<RelayTarget> RelaySession::chooseStopDestination(MonotonicTime now) const
{
    const bool isReserved = m_hooks.reserveContinuation(*m_target, now);
    auto holder = copyHolder(now);
    if (holder && (m_hooks.reserveContinuation(*holder, now) || isReserved)) {
        return holder;
    }
    if (!isReserved) {
        return std::nullopt;
    }
    auto excluded = m_excluded;
    excluded.insert(m_target->id);
    auto destination = m_hooks.chooseDestination(excluded, now);
    if (!destination) {
        m_hooks.releaseContinuations();
    }
    return destination;
}

bool RelaySession::stopInterruptedRun(MonotonicTime now)
{
    auto &interruption = *m_interruption;
    // The result of an order in progress could not be told from that of the order to stop.
    if (m_copyOrders > 0 || now < interruption.nextStopAt) {
        return false;
    }
    const int maxOrders = interruption.isOpen ? 1 : MaxStopOrders;
    const auto destination = interruption.stopOrders < maxOrders ? chooseStopDestination(now) : std::nullopt;
    if (destination) {
        ++interruption.stopOrders;
        interruption.stopDestination = destination;
        m_mayBeStopped = true;
        m_hooks.record("stop_interrupted_run", destination->id);
        startCopy(*m_target, *destination, true);
        return true;
    }
    dropInterruptedRun(now);
    return false;
}

void RelaySession::dropInterruptedRun(MonotonicTime now)
{
    if (m_interruption->isOpen && mayRunAgain() && m_hooks.tryTakeRetry(now)) {
        m_interruption->hasRetry = true;
        m_hooks.record("close_interrupted_run", m_target->id);
        closeInterruptedRun(std::exchange(m_isResponseAccepted, false));
    }
}

void RelaySession::dropUnknownRun(MonotonicTime now)
{
    const bool hasResponded = hasInterruptedRunResponded();
    const bool hasCopyElsewhere = hasResponded ? mayContinueFromBackup(now) : mayContinueAtSource(now);
    // The copy is used when the run has ended, and must be allowed then, too.
    if (!hasCopyElsewhere || !m_hooks.reserveContinuation(hasResponded ? *m_backup : m_source, now)) {
        dropInterruptedRun(now);
    } else if (m_interruption->isOpen) {
        m_hooks.record("close_interrupted_run", m_target->id);
        closeInterruptedRun(std::exchange(m_isResponseAccepted, false));
    }
}

void RelaySession::onInterruptedRunCopied(const CopyResult &result, MonotonicTime now)
{
    const auto destination = std::exchange(m_interruption->stopDestination, std::nullopt);
    if (!destination) {
        return;
    }
    m_interruption->nextStopAt = now + MaxStatementAge;
    const bool hasCopy = result.kind == CopyResult::Kind::Copied;
    const bool isKeptAtSource = result.kind == CopyResult::Kind::DestinationUnavailable && !result.handle.empty();
    if (hasCopy || isKeptAtSource) {
        m_hooks.record("run_stopped", destination->id);
        m_isResponseAccepted = false;
        m_mayHaveRun = true;
        ++m_runs;
        m_excluded.insert(m_target->id);
        m_source = *m_target;
        m_destination = isKeptAtSource ? m_source : *destination;
        m_copyHandle = m_source.address + "/" + result.handle;
        m_hooks.abortAttempt();
        continueStoppedRun(now);
        return;
    }
    m_hooks.releaseContinuations();
    // A run in the queue cannot be copied either, so a target without the run has not shown its end. An order that was not carried out may be given again.
    const bool isNotCarriedOut = result.kind == CopyResult::Kind::NotRunning || result.kind == CopyResult::Kind::Busy;
    if (isNotCarriedOut && !m_interruption->isOpen) {
        --m_interruption->stopOrders;
    }
    if (result.kind == CopyResult::Kind::NotRunning) {
        dropUnknownRun(now);
    }
    readRuns(now);
}

void RelaySession::resumeInterruptedRun()
{
    if (m_interruption && m_interruption->isOpen && !m_interruption->stopDestination) {
        m_hooks.record("run_resumed", m_target->id);
        m_interruption.reset();
    }
}

} // namespace Jujube
