#include <LibRelay/RelaySession.h>

namespace Jujube
{

namespace
{

constexpr int FirstServerError = 500;
constexpr int FirstRedirect = 300;
constexpr int FirstSuccess = 200;

// Targets that may refuse one request before the gateway gives up. Refusals are not runs, but each counts against the retry budget.
constexpr int MostRejections = 3;
// Targets that may turn out to be unreachable before the gateway gives up. They cost no budget, only time.
constexpr int MostUnreached = 8;
// An answer that is not a stream is held back up to this size, so that one that breaks can still be replaced.
constexpr size_t HeldBytes = 64 * 1024;
// A retry is not worth its send with less time left than this.
constexpr std::chrono::milliseconds LeastTimeForRetry {60};

bool isSuccess(int status)
{
    return status >= FirstSuccess && status < FirstRedirect;
}

} // namespace

RelaySession::RelaySession(RelayFacts facts, Hooks hooks)
    : m_facts(std::move(facts))
    , m_hooks(std::move(hooks))
{
}

void RelaySession::start(MonotonicTime now)
{
    place(now);
}

void RelaySession::place(MonotonicTime now)
{
    if (now >= m_facts.deadline) {
        onDeadline(now);
        return;
    }
    const auto choice = m_hooks.choose(m_excluded, now);
    if (!choice.target) {
        giveUp(m_mayHaveRun ? RelayOutcome::TargetFailed : choice.refusal, choice.retryAfter);
        return;
    }
    send(*choice.target, {}, now);
}

void RelaySession::send(const RelayTarget &target, const std::string &memorySource, MonotonicTime now)
{
    m_target = target;
    m_targetLeaving = false;
    m_accepted = false;
    m_held.clear();
    m_answer = {};
    m_events.restart();
    ++m_sends;
    m_continuing = m_begun;
    m_backup = m_hooks.chooseBackup(target, now);
    m_hooks.send({.target = target,
                  .attempt = m_sends,
                  .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_facts.deadline - now),
                  .lastEventId = m_events.lastId(),
                  .memorySource = memorySource,
                  .backup = m_backup});
}

bool RelaySession::onHead(const TargetAnswer &answer, MonotonicTime now)
{
    if (m_over) {
        return false;
    }
    if (answer.notRun || answer.misdirected) {
        onFailure(UpstreamResult::Broken, true, now);
        return false;
    }
    m_mayHaveRun = true;
    // A success without the target's mark is not the target's whole answer.
    if (!answer.sealed && (isSuccess(answer.status) || m_continuing)) {
        onFailure(UpstreamResult::Broken, false, now);
        return false;
    }
    // Bytes of another format must not follow the events that the caller has.
    if (m_continuing && (!isSuccess(answer.status) || (m_facts.kind == RelayKind::Stream && !answer.isStream))) {
        onFailure(UpstreamResult::Broken, false, now);
        return false;
    }
    if (answer.status >= FirstServerError && !m_begun && m_facts.isRepeatable() && m_runs + 1 < m_facts.maxAttempts) {
        ++m_runs;
        m_excluded.insert(m_target->id);
        if (retry("server error", true, now)) {
            return false;
        }
        --m_runs;
        m_excluded.erase(m_target->id);
    }
    m_answer = answer;
    m_accepted = true;
    return true;
}

void RelaySession::begin(std::optional<uint64_t> length)
{
    if (!m_begun) {
        m_begun = true;
        m_hooks.beginAnswer(length);
    }
}

void RelaySession::deliver(std::string_view bytes)
{
    begin(std::nullopt);
    m_hooks.write(bytes);
}

void RelaySession::onBody(std::string_view bytes, MonotonicTime now)
{
    if (m_over || !m_accepted) {
        return;
    }
    if (!m_answer.isStream) {
        m_held += bytes;
        if (m_begun || m_held.size() > HeldBytes) {
            begin(m_answer.length);
            m_hooks.write(std::exchange(m_held, {}));
        }
        return;
    }
    const bool hadEvents = m_events.count() > 0;
    const auto events = m_events.feed(bytes);
    if (!events.empty()) {
        deliver(events);
    }
    if (m_events.isOutOfOrder()) {
        m_hooks.abortSend();
        m_hooks.note("cut", "events out of order");
        m_over = true;
        m_hooks.cut(RelayOutcome::AnswerBroken);
        return;
    }
    if (m_events.isTooLong()) {
        m_hooks.note("abort", "event without end");
        m_hooks.abortSend();
        onFailure(UpstreamResult::Broken, false, now);
        return;
    }
    // The copy of a generation that has just produced its first event can start now.
    if (m_targetLeaving && m_move == Move::None && !hadEvents && m_events.count() > 0 && !m_backup) {
        startCopy(now);
    }
}

void RelaySession::complete()
{
    m_over = true;
    begin(m_answer.isStream ? std::nullopt : std::optional<uint64_t>(m_held.size()));
    if (!m_held.empty()) {
        m_hooks.write(m_held);
    }
    m_hooks.finishAnswer();
}

void RelaySession::onEnd(UpstreamResult result, MonotonicTime now)
{
    if (m_over) {
        return;
    }
    if (m_move == Move::Draining) {
        continueAt(m_destination, m_handle, now);
        return;
    }
    if (m_move == Move::Stopping) {
        if (result == UpstreamResult::Complete && !m_events.hasPartialEvent()) {
            complete();
            return;
        }
        // The source closes its stream when it stops; the answer to the order follows.
        m_target.reset();
        return;
    }
    if (result == UpstreamResult::Complete && m_accepted && !m_events.hasPartialEvent()) {
        complete();
        return;
    }
    onFailure(result, false, now);
}

void RelaySession::onFailure(UpstreamResult result, bool notRun, MonotonicTime now)
{
    const bool hadAnswer = std::exchange(m_accepted, false);
    m_move = Move::None;
    if (m_target) {
        m_excluded.insert(m_target->id);
    }
    if (!hadAnswer) {
        if (continueAtSource(now)) {
            return;
        }
        // The run has not begun at this target, and no copy has grown with it.
        m_backup.reset();
    }
    if (result == UpstreamResult::NotSent || notRun) {
        ++(notRun ? m_rejections : m_unreached);
        if (m_continuing) {
            // The copy is gone or its holder is; the source has stopped.
            if (!continueFromBackup(now) && !(m_facts.resumable && retry("continuation refused", true, now))) {
                giveUp(RelayOutcome::TargetFailed, {});
            }
            return;
        }
        const bool mayRunElsewhere = !m_mayHaveRun || (m_facts.isRepeatable() && m_runs < m_facts.maxAttempts);
        const bool mayTryOn = m_rejections <= MostRejections && m_unreached <= MostUnreached;
        if (mayRunElsewhere && mayTryOn && retry(notRun ? "not run" : "not sent", notRun, now)) {
            return;
        }
        const auto refusal = notRun ? RelayOutcome::RetryBudgetSpent : RelayOutcome::NoTarget;
        giveUp(m_mayHaveRun ? RelayOutcome::TargetFailed : refusal, m_retryAfter);
        return;
    }
    m_mayHaveRun = true;
    ++m_runs;
    if (continueFromBackup(now)) {
        return;
    }
    const bool mayRunAgain = m_facts.isRepeatable() && m_runs < m_facts.maxAttempts && (!m_begun || m_facts.resumable);
    if (mayRunAgain && retry("broken answer", true, now)) {
        return;
    }
    giveUp(RelayOutcome::TargetFailed, {});
}

bool RelaySession::retry(std::string_view reason, bool wasReached, MonotonicTime now)
{
    if (m_facts.deadline - now < LeastTimeForRetry) {
        return false;
    }
    // The answer at hand is given up only for a target that can take the request.
    const auto choice = m_hooks.choose(m_excluded, now);
    if (!choice.target) {
        m_retryAfter = choice.retryAfter;
        return false;
    }
    if (wasReached && !m_hooks.takeRetry(now)) {
        return false;
    }
    m_hooks.note("retry", reason);
    m_hooks.abortSend();
    send(*choice.target, {}, now);
    return true;
}

bool RelaySession::continueFromBackup(MonotonicTime now)
{
    if (!m_backup || m_facts.deadline - now < LeastTimeForRetry || !m_hooks.mayContinue(*m_backup, now)) {
        return false;
    }
    const auto holder = *std::exchange(m_backup, std::nullopt);
    m_hooks.note("continue_from_backup", holder.id);
    m_hooks.abortSend();
    continueAt(holder, holder.address + "/" + m_facts.id, now);
    return true;
}

bool RelaySession::awaitsMovedRun() const
{
    return !m_over && !m_accepted && !m_handle.empty() && m_target && m_target->id == m_destination.id && m_destination.id != m_source.id;
}

bool RelaySession::continueAtSource(MonotonicTime now)
{
    if (!awaitsMovedRun() || m_facts.deadline - now < LeastTimeForRetry || !m_hooks.mayContinue(m_source, now)) {
        return false;
    }
    m_hooks.note("continue_at_source", m_source.id);
    m_hooks.abortSend();
    continueAt(m_source, std::exchange(m_handle, {}), now);
    return true;
}

void RelaySession::continueAt(const RelayTarget &target, const std::string &memorySource, MonotonicTime now)
{
    m_move = Move::None;
    if (!m_hooks.mayContinue(target, now)) {
        m_hooks.note("no_continuation", target.id);
        giveUp(RelayOutcome::TargetFailed, {});
        return;
    }
    send(target, memorySource, now);
}

void RelaySession::giveUp(RelayOutcome outcome, std::chrono::milliseconds retryAfter)
{
    m_over = true;
    m_hooks.abortSend();
    if (m_begun) {
        m_hooks.cut(RelayOutcome::AnswerBroken);
        return;
    }
    m_hooks.answer(outcome, retryAfter);
}

void RelaySession::onTargetLeaving(MonotonicTime now)
{
    if (m_over || m_facts.kind != RelayKind::Stream || !m_target) {
        return;
    }
    m_targetLeaving = true;
    // A copy that has grown with the generation takes over when the target is gone, and needs nothing of the link that others wait for.
    if (m_move == Move::None && m_events.count() > 0 && !m_backup) {
        startCopy(now);
    }
}

void RelaySession::startCopy(MonotonicTime now)
{
    auto excluded = m_excluded;
    excluded.insert(m_target->id);
    const auto destination = m_hooks.chooseDestination(excluded, now);
    if (!destination) {
        m_hooks.note("stay", "no destination");
        return;
    }
    m_destination = *destination;
    m_move = Move::Copying;
    m_hooks.note("copy", m_destination.id);
    m_hooks.copy(*m_target, m_destination, false);
}

void RelaySession::onCopied(const CopyResult &result, MonotonicTime now)
{
    if (m_over) {
        return;
    }
    if (m_move == Move::Copying) {
        if (result.kind == CopyResult::Kind::Copied) {
            m_move = Move::Stopping;
            m_source = *m_target;
            m_hooks.note("stop_and_copy", m_destination.id);
            m_hooks.copy(m_source, m_destination, true);
            return;
        }
        m_move = Move::None;
        if (result.kind == CopyResult::Kind::NoRoom) {
            m_excluded.insert(m_destination.id);
        }
        return;
    }
    if (m_move != Move::Stopping) {
        return;
    }
    const bool hasCopy = result.kind == CopyResult::Kind::Copied;
    const bool keptAtSource = result.kind == CopyResult::Kind::NoRoom && !result.handle.empty();
    if (!hasCopy && !keptAtSource) {
        m_move = Move::None;
        m_hooks.note("copy_failed", "no handle");
        if (!m_target) {
            m_target = m_source;
            onFailure(UpstreamResult::Broken, false, now);
        }
        return;
    }
    m_handle = m_source.address + "/" + result.handle;
    // The source keeps the memory of a run that it has stopped.
    if (keptAtSource || !m_hooks.mayContinue(m_destination, now)) {
        m_destination = m_source;
    }
    if (m_target) {
        m_move = Move::Draining;
        return;
    }
    continueAt(m_destination, m_handle, now);
}

void RelaySession::onBackupLost()
{
    m_backup.reset();
}

void RelaySession::onDeadline(MonotonicTime)
{
    if (m_over) {
        return;
    }
    // A send whose answer has not arrived may have been run.
    const bool mayHaveRun = m_mayHaveRun || (m_target && !m_begun);
    giveUp(mayHaveRun ? RelayOutcome::TimedOut : RelayOutcome::TimedOutNotRun, std::chrono::milliseconds(300));
}

void RelaySession::onCallerGone()
{
    if (m_over) {
        return;
    }
    m_over = true;
    m_hooks.abortSend();
}

void RelaySession::onSilence(MonotonicTime now)
{
    if (m_over || m_move != Move::None) {
        return;
    }
    m_hooks.note("silent", m_target ? m_target->id : "");
    m_hooks.abortSend();
    onFailure(UpstreamResult::Broken, false, now);
}

} // namespace Jujube
