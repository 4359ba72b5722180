#include <LibRelay/RelaySession.h>

#include <algorithm>
#include <array>

namespace Jujube
{

namespace
{

constexpr int FirstServerError = 500;
constexpr int FirstRedirect = 300;
constexpr int FirstSuccess = 200;
// With these statuses a response promises that the request has not run and never will.
constexpr std::array StatusesOfRejections {408, 421, 429, 503};

// Rejections that one request may get before the relay gives up. A rejection is not a run, but each retry after one counts against the retry budget.
constexpr int MaxRejections = 3;
// Unreachable targets that one request may meet before the relay gives up. Retries after them take no budget, only time.
constexpr int MaxUnreachableTargets = 8;
// A request is not retried with less time left than this.
constexpr std::chrono::milliseconds MinTimeForRetry {60};
// A response that is not a stream is buffered up to this size, so that one that breaks can still be replaced.
constexpr size_t MaxBufferedResponseBytes = 64 * 1024;

bool isSuccess(int status)
{
    return status >= FirstSuccess && status < FirstRedirect;
}

bool isRejection(int status)
{
    return std::find(StatusesOfRejections.begin(), StatusesOfRejections.end(), status) != StatusesOfRejections.end();
}

} // namespace

RelaySession::RelaySession(RequestProperties request, Hooks hooks)
    : m_request(std::move(request))
    , m_hooks(std::move(hooks))
{
}

void RelaySession::start(MonotonicTime now)
{
    startRun(now);
}

void RelaySession::onWaitOver(MonotonicTime now)
{
    if (!m_isOver && !m_target) {
        startRun(now);
    }
}

void RelaySession::startRun(MonotonicTime now)
{
    if (now >= m_request.deadline) {
        onDeadline(now);
        return;
    }
    const auto choice = m_hooks.choose(m_excluded, now);
    if (!choice.target && choice.waitUntil) {
        m_hooks.wait(*choice.waitUntil);
        return;
    }
    if (!choice.target) {
        fail(m_mayHaveRun ? RelayOutcome::TargetFailed : choice.rejection, choice.retryAfter);
        return;
    }
    send(*choice.target, {}, now);
}

void RelaySession::send(const RelayTarget &target, const std::string &kvCacheSource, MonotonicTime now)
{
    m_target = target;
    m_isTargetLeaving = false;
    m_isResponseAccepted = false;
    m_mayBeStopped = false;
    m_hasWholeEnd = false;
    m_bufferedBody.clear();
    m_response = {};
    m_events.discardPartialEvent();
    m_interruption.reset();
    m_isReadingRuns = false;
    m_sentAt = now;
    m_firstEventAt.reset();
    ++m_attempts;
    m_isContinuation = m_hasBegun;
    m_backup = m_hooks.chooseBackup(target, now);
    m_hooks.sendAttempt({.target = target,
                         .attempt = m_attempts,
                         .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_request.deadline - now),
                         .lastEventId = m_events.lastId(),
                         .kvCacheSource = kvCacheSource,
                         .backup = m_backup});
    if (kvCacheSource.empty()) {
        m_hooks.releaseContinuations();
    }
}

bool RelaySession::onHead(const TargetResponse &response, MonotonicTime now)
{
    if (m_isOver) {
        return false;
    }
    if (response.notRun || response.misdirected) {
        onFailure(ExchangeResult::Broken, true, now);
        return false;
    }
    m_mayHaveRun = true;
    // A rejection in which the target does not state that it has not run the request is no promise that the relay may pass on.
    if (isRejection(response.status) && !m_request.isRepeatable()) {
        onFailure(ExchangeResult::Broken, false, now);
        return false;
    }
    // A success without the target's seal is not the target's complete response.
    if (!response.sealed && (isSuccess(response.status) || m_isContinuation)) {
        onFailure(ExchangeResult::Broken, false, now);
        return false;
    }
    // Bytes of another format must not follow the events that the caller has received, and a response without a body (204) does not end them.
    if (m_isContinuation && (response.status != m_begunResponse.status || response.isStream != m_begunResponse.isStream)) {
        onFailure(ExchangeResult::Broken, false, now);
        return false;
    }
    if (response.status >= FirstServerError && !m_hasBegun && m_request.isRepeatable() && m_runs + 1 < m_request.maxAttempts) {
        ++m_runs;
        m_excluded.insert(m_target->id);
        if (tryRetry("server error", true, now)) {
            return false;
        }
        --m_runs;
        m_excluded.erase(m_target->id);
    }
    m_response = response;
    m_isResponseAccepted = true;
    // The source of a migration is not needed any more.
    m_hooks.releaseContinuations();
    return true;
}

void RelaySession::ensureResponseBegun(std::optional<uint64_t> length)
{
    if (!m_hasBegun) {
        m_hasBegun = true;
        m_begunResponse = m_response;
        m_hooks.beginResponse(length);
    }
}

void RelaySession::writeEvents(std::string_view bytes)
{
    ensureResponseBegun(std::nullopt);
    m_hooks.write(bytes);
}

void RelaySession::onBody(std::string_view bytes, MonotonicTime now)
{
    if (m_isOver || !m_isResponseAccepted) {
        return;
    }
    if (!m_response.isStream) {
        m_bufferedBody += bytes;
        if (m_hasBegun || m_bufferedBody.size() > MaxBufferedResponseBytes) {
            ensureResponseBegun(m_response.length);
            m_hooks.write(std::exchange(m_bufferedBody, {}));
        }
        return;
    }
    const bool hadEvents = m_events.count() > 0;
    const auto events = m_events.feed(bytes);
    if (!events.empty()) {
        m_firstEventAt = m_firstEventAt.value_or(now);
        m_lastEventAt = now;
        resumeInterruptedRun();
        writeEvents(events);
    }
    if (m_events.isOutOfOrder()) {
        m_hooks.abortAttempt();
        m_hooks.record("cut", "events out of order");
        m_isOver = true;
        m_hooks.cutResponse(RelayOutcome::ResponseBroken);
        return;
    }
    if (m_events.isTooLong()) {
        m_hooks.record("abort", "event exceeds the size limit");
        m_hooks.abortAttempt();
        onFailure(ExchangeResult::Broken, false, now);
        return;
    }
    // The generation has just produced its first event, so its copy can start now.
    if (m_isTargetLeaving && m_migration == Migration::None && !m_interruption && !hadEvents && m_events.count() > 0 && !m_backup) {
        startMigration(now);
    }
}

bool RelaySession::isWhole(ExchangeResult result) const
{
    // Without a length and chunks, a stream that was stopped between two events ends as a whole one does.
    return result == ExchangeResult::Complete && m_isResponseAccepted && !m_events.hasPartialEvent() && !(m_response.endsWithConnection && m_mayBeStopped);
}

void RelaySession::complete()
{
    m_isOver = true;
    ensureResponseBegun(m_response.isStream ? std::nullopt : std::optional<uint64_t>(m_bufferedBody.size()));
    if (!m_bufferedBody.empty()) {
        m_hooks.write(m_bufferedBody);
    }
    m_hooks.finishResponse();
}

void RelaySession::onEnd(ExchangeResult result, MonotonicTime now)
{
    if (m_isOver) {
        return;
    }
    if (m_migration == Migration::Draining) {
        continueStoppedRun(now);
        return;
    }
    if (m_interruption) {
        if (isWhole(result)) {
            complete();
        } else {
            closeInterruptedRun(std::exchange(m_isResponseAccepted, false));
        }
        return;
    }
    if (m_migration == Migration::Stopping) {
        m_hasWholeEnd = isWhole(result);
        if (m_hasWholeEnd && !m_response.endsWithConnection) {
            complete();
            return;
        }
        // The source closes its stream when it stops; the response to the copy order follows.
        m_target.reset();
        return;
    }
    if (isWhole(result)) {
        complete();
        return;
    }
    onFailure(result, false, now);
}

void RelaySession::onFailure(ExchangeResult result, bool notRun, MonotonicTime now)
{
    const bool hadResponse = std::exchange(m_isResponseAccepted, false);
    if (m_migration != Migration::None) {
        abandonMigration();
    }
    if (m_target) {
        m_excluded.insert(m_target->id);
    }
    const bool mayBeRunning = m_request.hasReportedRuns && result != ExchangeResult::NotSent && !notRun && m_target;
    if (mayBeRunning && m_interruption) {
        closeInterruptedRun(hadResponse);
        return;
    }
    if (mayBeRunning && mayGoOn(hadResponse, now)) {
        awaitRunEnd(now);
        closeInterruptedRun(hadResponse);
        readRuns(now);
        return;
    }
    leaveTarget(hadResponse, result, notRun, now);
}

void RelaySession::leaveTarget(bool hadResponse, ExchangeResult result, bool notRun, MonotonicTime now)
{
    if (m_hasBegun && !m_begunResponse.isStream) {
        // Nothing says at which byte another target would have to continue.
        fail(RelayOutcome::TargetFailed, {});
        return;
    }
    if (!hadResponse) {
        if (continueAtSource(now)) {
            return;
        }
        // The run has not begun at this target, so there is no backup of it.
        m_backup.reset();
    }
    if (result == ExchangeResult::NotSent || notRun) {
        ++(notRun ? m_rejections : m_unreachable);
        if (m_isContinuation) {
            // Either the copy no longer exists or the engine that holds it is gone; the source has stopped.
            if (!continueFromBackup(now) && !(m_request.resumable && tryRetry("continuation rejected", true, now))) {
                fail(RelayOutcome::TargetFailed, {});
            }
            return;
        }
        const bool mayRunElsewhere = !m_mayHaveRun || (m_request.isRepeatable() && m_runs < m_request.maxAttempts);
        const bool hasTriesLeft = m_rejections <= MaxRejections && m_unreachable <= MaxUnreachableTargets;
        if (mayRunElsewhere && hasTriesLeft && tryRetry(notRun ? "not run" : "not sent", notRun, now)) {
            return;
        }
        const auto rejection = notRun ? RelayOutcome::RetryBudgetSpent : RelayOutcome::NoTarget;
        fail(m_mayHaveRun ? RelayOutcome::TargetFailed : rejection, m_retryAfter);
        return;
    }
    const bool runsAgain = mayRunAgain();
    m_mayHaveRun = true;
    ++m_runs;
    if (continueFromBackup(now)) {
        return;
    }
    const bool countsAgainstBudget = !m_interruption || !m_interruption->hasRetry;
    if (runsAgain && tryRetry("broken response", countsAgainstBudget, now)) {
        return;
    }
    fail(RelayOutcome::TargetFailed, {});
}

bool RelaySession::mayRunAgain() const
{
    return m_request.isRepeatable() && m_runs + 1 < m_request.maxAttempts && (!m_hasBegun || m_request.resumable);
}

bool RelaySession::tryRetry(std::string_view reason, bool countsAgainstBudget, MonotonicTime now)
{
    if (m_request.deadline - now < MinTimeForRetry) {
        m_hooks.record("no_retry", "no time");
        return false;
    }
    // The current response is discarded only if another target can take the request.
    const auto choice = m_hooks.choose(m_excluded, now);
    if (!choice.target) {
        m_retryAfter = choice.retryAfter;
        m_hooks.record("no_retry", "no target");
        return false;
    }
    if (countsAgainstBudget && !m_hooks.tryTakeRetry(now)) {
        m_hooks.record("no_retry", "budget");
        return false;
    }
    m_hooks.record("retry", reason);
    m_hooks.abortAttempt();
    send(*choice.target, {}, now);
    return true;
}

bool RelaySession::continueFromBackup(MonotonicTime now)
{
    if (!mayContinueFromBackup(now)) {
        return false;
    }
    const auto holder = *std::exchange(m_backup, std::nullopt);
    m_hooks.record("continue_from_backup", holder.id);
    m_hooks.abortAttempt();
    continueAt(holder, holder.address + "/" + m_request.id, now);
    return true;
}

bool RelaySession::isAwaitingMigratedRun() const
{
    return !m_isOver && !m_isResponseAccepted && !m_copyHandle.empty() && m_target && m_target->id == m_destination.id && m_destination.id != m_source.id;
}

bool RelaySession::continueAtSource(MonotonicTime now)
{
    if (!mayContinueAtSource(now)) {
        return false;
    }
    m_hooks.record("continue_at_source", m_source.id);
    m_hooks.abortAttempt();
    continueAt(m_source, std::exchange(m_copyHandle, {}), now);
    return true;
}

bool RelaySession::mayContinueFromBackup(MonotonicTime now) const
{
    return m_backup && m_request.deadline - now >= MinTimeForRetry && m_hooks.mayContinue(*m_backup, now);
}

bool RelaySession::mayContinueAtSource(MonotonicTime now) const
{
    return isAwaitingMigratedRun() && m_request.deadline - now >= MinTimeForRetry && m_hooks.mayContinue(m_source, now);
}

void RelaySession::continueAt(const RelayTarget &target, const std::string &kvCacheSource, MonotonicTime now)
{
    m_migration = Migration::None;
    if (!m_hooks.mayContinue(target, now)) {
        m_hooks.record("no_continuation", target.id);
        fail(RelayOutcome::TargetFailed, {});
        return;
    }
    send(target, kvCacheSource, now);
}

void RelaySession::continueStoppedRun(MonotonicTime now)
{
    if (m_destination.id != m_source.id && !m_hooks.mayContinue(m_destination, now)) {
        m_hooks.record("destination_lost", m_destination.id);
        m_destination = m_source;
    }
    if (m_destination.id == m_source.id && !m_hooks.mayContinue(m_source, now) && continueFromBackup(now)) {
        return;
    }
    continueAt(m_destination, m_copyHandle, now);
}

void RelaySession::abandonMigration()
{
    m_migration = Migration::None;
    m_hooks.releaseContinuations();
}

void RelaySession::fail(RelayOutcome outcome, std::chrono::milliseconds retryAfter)
{
    m_isOver = true;
    m_interruption.reset();
    m_hooks.abortAttempt();
    if (m_hasBegun) {
        m_hooks.cutResponse(RelayOutcome::ResponseBroken);
        return;
    }
    m_hooks.respond(outcome, retryAfter);
}

void RelaySession::onTargetLeaving(MonotonicTime now)
{
    if (m_isOver || m_request.kind != RouteKind::Stream || !m_target || m_interruption) {
        return;
    }
    m_isTargetLeaving = true;
    // A backup takes over when the target is gone, and needs no transfer on the link, for which others wait.
    if (m_migration == Migration::None && m_events.count() > 0 && !m_backup) {
        startMigration(now);
    }
}

void RelaySession::startMigration(MonotonicTime now)
{
    // The destination may have no room for the rest of the KV cache when the run has been stopped.
    if (!m_hooks.reserveContinuation(*m_target, now)) {
        m_hooks.record("stay", "no reservation at the source");
        return;
    }
    auto excluded = m_excluded;
    excluded.insert(m_target->id);
    const auto destination = m_hooks.chooseDestination(excluded, now);
    if (!destination) {
        m_hooks.record("stay", "no destination");
        m_hooks.releaseContinuations();
        return;
    }
    m_destination = *destination;
    m_migration = Migration::Copying;
    m_hooks.record("copy", m_destination.id);
    startCopy(*m_target, m_destination, false);
}

void RelaySession::startCopy(const RelayTarget &source, const RelayTarget &destination, bool stop)
{
    ++m_copyOrders;
    m_hooks.startCopy(source, destination, stop);
}

void RelaySession::onCopied(const CopyResult &result, MonotonicTime now)
{
    --m_copyOrders;
    if (m_isOver) {
        return;
    }
    if (m_interruption) {
        onInterruptedRunCopied(result, now);
        return;
    }
    if (m_migration == Migration::Copying) {
        const bool mayGoOn = m_hooks.mayContinue(m_destination, now) && m_hooks.reserveContinuation(*m_target, now);
        if (result.kind == CopyResult::Kind::Copied && mayGoOn) {
            m_migration = Migration::Stopping;
            m_source = *m_target;
            m_hooks.record("stop_and_copy", m_destination.id);
            startCopy(m_source, m_destination, true);
            return;
        }
        abandonMigration();
        if (!mayGoOn) {
            m_hooks.record("stay", "no continuation");
        }
        if (result.kind == CopyResult::Kind::DestinationUnavailable) {
            m_excluded.insert(m_destination.id);
        }
        return;
    }
    if (m_migration != Migration::Stopping) {
        return;
    }
    const bool hasCopy = result.kind == CopyResult::Kind::Copied;
    const bool isKeptAtSource = result.kind == CopyResult::Kind::DestinationUnavailable && !result.handle.empty();
    if (!hasCopy && !isKeptAtSource) {
        abandonMigration();
        m_hooks.record("copy_failed", "no handle");
        const bool hasNotStopped = result.kind == CopyResult::Kind::NotRunning || result.kind == CopyResult::Kind::Busy;
        m_mayBeStopped = m_mayBeStopped || !hasNotStopped;
        if (!m_target) {
            m_target = m_source;
            if (m_hasWholeEnd && !m_mayBeStopped) {
                complete();
                return;
            }
            onFailure(ExchangeResult::Broken, false, now);
        }
        return;
    }
    m_copyHandle = m_source.address + "/" + result.handle;
    // The source keeps the KV cache of a run that it has stopped.
    if (isKeptAtSource) {
        m_destination = m_source;
    }
    if (m_target) {
        m_migration = Migration::Draining;
        return;
    }
    continueStoppedRun(now);
}

void RelaySession::onBackupLost()
{
    m_backup.reset();
}

void RelaySession::onDeadline(MonotonicTime)
{
    if (m_isOver) {
        return;
    }
    // The target may have run an attempt whose response has not arrived.
    const bool mayHaveRun = m_mayHaveRun || (m_target && !m_hasBegun);
    fail(mayHaveRun ? RelayOutcome::TimedOut : RelayOutcome::TimedOutNotRun, std::chrono::milliseconds(300));
}

void RelaySession::onStop(MonotonicTime)
{
    if (m_isOver || m_hasBegun) {
        return;
    }
    const bool mayHaveRun = m_mayHaveRun || m_target;
    m_hooks.record("stop", m_target ? m_target->id : "");
    fail(mayHaveRun ? RelayOutcome::TimedOut : RelayOutcome::Draining, m_retryAfter);
}

void RelaySession::onCallerDisconnected()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_hooks.abortAttempt();
}

void RelaySession::onStreamTimeout(MonotonicTime now)
{
    if (m_isOver || m_migration != Migration::None || m_interruption) {
        return;
    }
    m_hooks.record("silent", m_target ? m_target->id : "");
    if (!tryLeaveSilentTarget(now)) {
        // The target may still be at work, so its response is not given up without an alternative.
        m_hooks.record("wait", m_target ? m_target->id : "");
    }
}

bool RelaySession::tryLeaveSilentTarget(MonotonicTime now)
{
    if (!m_target) {
        return false;
    }
    if (!m_request.hasReportedRuns) {
        return tryGoOnElsewhere(now);
    }
    if (!mayGoOn(m_isResponseAccepted, now)) {
        return false;
    }
    awaitRunEnd(now);
    readRuns(now);
    return true;
}

bool RelaySession::tryGoOnElsewhere(MonotonicTime now)
{
    const auto silent = m_target->id;
    const bool isNewlyExcluded = m_excluded.insert(silent).second;
    // There is no backup of a run that has not begun.
    if (continueAtSource(now) || (m_isResponseAccepted && continueFromBackup(now))) {
        return true;
    }
    if (mayRunAgain() && tryRetry("silent", true, now)) {
        m_mayHaveRun = true;
        ++m_runs;
        return true;
    }
    if (isNewlyExcluded) {
        m_excluded.erase(silent);
    }
    return false;
}

} // namespace Jujube
