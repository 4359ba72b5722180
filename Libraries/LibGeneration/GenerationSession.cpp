#include <LibGeneration/GenerationSession.h>

#include <algorithm>

namespace Jujube
{

using namespace SessionAction;

namespace
{

// A generation that has lost this many targets before the caller got a token is refused; it may be the cause.
constexpr int MaxLossesBeforeDelivery = 4;

StreamAssembler::Options assemblerOptions(const GenerationSession::Options &options)
{
    if (!options.cursor) {
        return {.generation = options.generation};
    }
    return {
        .generation = options.generation,
        .attempt = options.cursor->attempt,
        .nextOffset = options.cursor->nextOffset,
        .checksum = options.cursor->checksum,
    };
}

} // namespace

GenerationSession::GenerationSession(Options options, MonotonicTime now)
    : m_options(std::move(options))
    , m_assembler(assemblerOptions(m_options))
    , m_delivered(m_options.cursor ? m_options.cursor->nextOffset : 0)
    , m_lastProgress(now)
{
}

GenerationActions GenerationSession::start(MonotonicTime now)
{
    m_lastProgress = now;
    if (!m_options.cursor || m_options.cursor->target.empty()) {
        return {Place {}};
    }
    m_target = m_options.cursor->target;
    return resumeSameTarget();
}

GenerationActions GenerationSession::onPlaced(const std::string &target, MonotonicTime)
{
    m_target = target;
    m_resuming = false;
    m_resumes = 0;
    const auto *log = m_assembler.wholeLog();
    if (m_options.canContinueExactly && log) {
        m_assembler.beginAttempt(m_assembler.attempt(), static_cast<int32_t>(log->size()));
        return {Generate {.target = target, .attempt = m_assembler.attempt(), .tokens = *log}};
    }
    m_assembler.beginAttempt(m_assembler.attempt(), 0);
    return {Generate {.target = target, .attempt = m_assembler.attempt(), .tokens = {}}};
}

GenerationActions GenerationSession::onPlacementRejected(const Problem &problem, MonotonicTime now)
{
    if (!isDelivered()) {
        m_over = true;
        return {Fail {problem}};
    }
    if (timedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "no target took the generation over in time");
    }
    // Targets that failed earlier may be the only ones left.
    m_excluded.clear();
    return {Wait {now + m_options.placementPause}};
}

GenerationActions GenerationSession::giveUp(const Problem &problem)
{
    m_over = true;
    return {Fail {problem}};
}

GenerationActions GenerationSession::onPlacementDelayed(MonotonicTime until, MonotonicTime now)
{
    if (timedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "no target had room for the generation in time");
    }
    return {Wait {until}};
}

GenerationActions GenerationSession::onTimer(MonotonicTime now)
{
    if (m_over || !m_target.empty()) {
        return {};
    }
    if (timedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "the generation made no progress in time");
    }
    return {Place {m_excluded}};
}

GenerationActions GenerationSession::onLine(const EngineLine &line, MonotonicTime now)
{
    if (m_over || m_target.empty()) {
        return {};
    }
    switch (line.kind) {
    case EngineLineKind::Token:
        return acceptToken(line, now);
    case EngineLineKind::Done:
        return acceptDone(line);
    case EngineLineKind::KeepAlive:
        return {};
    case EngineLineKind::Invalid:
        break;
    }
    return loseTarget(EngineStreamEnd::Broken, now);
}

GenerationActions GenerationSession::acceptToken(const EngineLine &line, MonotonicTime now)
{
    switch (m_assembler.accept(line)) {
    case LineVerdict::Next:
        break;
    case LineVerdict::Known:
        m_lastProgress = now;
        return {};
    case LineVerdict::Foreign:
        return {};
    case LineVerdict::Gap:
        return loseTarget(EngineStreamEnd::Broken, now);
    case LineVerdict::Mismatch:
        return fail(ErrorKind::GenerationLost, "the repeated generation differs from the tokens delivered so far");
    }
    m_lastProgress = now;
    m_resumes = 0;
    const Deliver deliver {.index = m_assembler.nextOffset() - 1, .text = line.text, .checksum = m_assembler.checksum().value()};
    if (!m_options.canContinueExactly && !isDelivered()) {
        m_held.push_back(deliver);
        return {};
    }
    m_delivered = m_assembler.nextOffset();
    return {deliver};
}

GenerationActions GenerationSession::acceptDone(const EngineLine &line)
{
    if (line.generation != m_options.generation || line.attempt != m_assembler.attempt()) {
        return {};
    }
    if (!m_assembler.isComplete(line)) {
        return fail(ErrorKind::GenerationLost, "the engine's count does not match the tokens received");
    }
    GenerationActions actions;
    for (auto &deliver : m_held) {
        actions.emplace_back(std::move(deliver));
    }
    m_held.clear();
    m_over = true;
    actions.emplace_back(Complete {.count = line.count, .checksum = m_assembler.checksum().hex()});
    return actions;
}

GenerationActions GenerationSession::onEngineStreamEnd(EngineStreamEnd end, MonotonicTime now)
{
    if (m_over || m_target.empty()) {
        return {};
    }
    switch (end) {
    case EngineStreamEnd::Closed:
    case EngineStreamEnd::Broken:
    case EngineStreamEnd::Silent:
        // The connection may be at fault rather than the target, so the same target is asked again over a new connection.
        if (m_resumes < m_options.resumeLimit) {
            return resumeSameTarget();
        }
        return loseTarget(end, now);
    case EngineStreamEnd::Rejected:
        if (!m_resuming) {
            return fail(ErrorKind::TargetFailed, "the engine rejected the request");
        }
        return loseTarget(end, now);
    case EngineStreamEnd::Unreachable:
    case EngineStreamEnd::Refused:
    case EngineStreamEnd::NotFound:
    case EngineStreamEnd::Busy:
        return loseTarget(end, now);
    }
    return {};
}

GenerationActions GenerationSession::resumeSameTarget()
{
    ++m_resumes;
    m_resuming = true;
    m_assembler.beginAttempt(m_assembler.attempt(), m_assembler.nextOffset());
    return {Resume {.target = m_target, .attempt = m_assembler.attempt(), .from = m_assembler.nextOffset()}};
}

GenerationActions GenerationSession::loseTarget(EngineStreamEnd end, MonotonicTime now)
{
    GenerationActions actions {Abandon {m_target}, ReportLost {.target = m_target, .end = end}};
    m_excluded.insert(m_target);
    m_target.clear();
    if (end != EngineStreamEnd::Busy) {
        ++m_losses;
    }
    const int32_t nextAttempt = m_assembler.attempt() + 1;
    if (m_options.canContinueExactly) {
        m_assembler.beginAttempt(nextAttempt, m_assembler.nextOffset());
    } else if (isDelivered()) {
        auto failure = fail(ErrorKind::GenerationLost, "the engine that held the generation is gone and no other one can continue it");
        actions.insert(actions.end(), failure.begin(), failure.end());
        return actions;
    } else {
        m_held.clear();
        m_assembler.restart(nextAttempt);
    }
    auto next = placeAgain(now);
    actions.insert(actions.end(), next.begin(), next.end());
    return actions;
}

GenerationActions GenerationSession::placeAgain(MonotonicTime now)
{
    if (!isDelivered() && m_losses >= MaxLossesBeforeDelivery) {
        return fail(ErrorKind::TargetUnavailable, "several targets were lost while they ran this request");
    }
    if (timedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "the generation made no progress in time");
    }
    const auto excluded = m_excluded;
    if (m_losses > 0 && m_losses % MaxLossesBeforeDelivery == 0) {
        // Targets come back, so a long generation does not run out of candidates.
        m_excluded.clear();
    }
    return {Place {excluded}};
}

bool GenerationSession::timedOut(MonotonicTime now) const
{
    return now - m_lastProgress > m_options.progressTimeout;
}

GenerationActions GenerationSession::fail(ErrorKind kind, const std::string &detail)
{
    m_over = true;
    return {Fail {{.kind = kind, .detail = detail, .retryAfter = errorKindInfo(kind).retryAfter}}};
}

} // namespace Jujube
