#include <LibGeneration/GenerationSession.h>

#include <algorithm>

namespace Jujube
{

using namespace SessionAction;

namespace
{

// A generation that has lost this many targets before its first token was delivered fails, because it may have caused the losses.
constexpr int MaxLostTargetsBeforeDelivery = 4;

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
    , m_deliveredTokens(m_options.cursor ? m_options.cursor->nextOffset : 0)
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
    const auto *tokens = m_assembler.allTokens();
    if (m_options.canContinueExactly && tokens) {
        m_assembler.beginAttempt(m_assembler.attempt(), static_cast<int32_t>(tokens->size()));
        return {Generate {.target = target, .attempt = m_assembler.attempt(), .tokens = *tokens}};
    }
    m_assembler.beginAttempt(m_assembler.attempt(), 0);
    return {Generate {.target = target, .attempt = m_assembler.attempt(), .tokens = {}}};
}

GenerationActions GenerationSession::onPlacementRejected(const Problem &problem, MonotonicTime now)
{
    if (!hasDeliveredTokens()) {
        m_over = true;
        return {Fail {problem}};
    }
    if (isTimedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "no target became available in time to continue the generation");
    }
    // Targets that failed earlier become candidates again, because they may be the only ones left.
    m_excluded.clear();
    return {Wait {now + m_options.placementDelay}};
}

GenerationActions GenerationSession::giveUp(const Problem &problem)
{
    m_over = true;
    return {Fail {problem}};
}

GenerationActions GenerationSession::onPlacementDelayed(MonotonicTime until, MonotonicTime now)
{
    if (isTimedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "no target had capacity for the generation in time");
    }
    return {Wait {until}};
}

GenerationActions GenerationSession::onTimer(MonotonicTime now)
{
    if (m_over || !m_target.empty()) {
        return {};
    }
    if (isTimedOut(now)) {
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
    return handleTargetLoss(EngineStreamEnd::Broken, now);
}

GenerationActions GenerationSession::acceptToken(const EngineLine &line, MonotonicTime now)
{
    switch (m_assembler.accept(line)) {
    case LineVerdict::Next:
        break;
    case LineVerdict::Duplicate:
        m_lastProgress = now;
        return {};
    case LineVerdict::Unrelated:
        return {};
    case LineVerdict::Gap:
        return handleTargetLoss(EngineStreamEnd::Broken, now);
    case LineVerdict::Mismatch:
        return fail(ErrorKind::GenerationLost, "the repeated generation differs from the tokens delivered so far");
    }
    m_lastProgress = now;
    m_resumes = 0;
    const Deliver deliver {.index = m_assembler.nextOffset() - 1, .text = line.text, .checksum = m_assembler.checksum().value()};
    if (!m_options.canContinueExactly && !hasDeliveredTokens()) {
        m_undelivered.push_back(deliver);
        return {};
    }
    m_deliveredTokens = m_assembler.nextOffset();
    return {deliver};
}

GenerationActions GenerationSession::acceptDone(const EngineLine &line)
{
    if (line.generation != m_options.generation || line.attempt != m_assembler.attempt()) {
        return {};
    }
    if (!m_assembler.isComplete(line)) {
        return fail(ErrorKind::GenerationLost, "the engine's token count does not match the number of tokens received");
    }
    GenerationActions actions;
    for (auto &deliver : m_undelivered) {
        actions.emplace_back(std::move(deliver));
    }
    m_undelivered.clear();
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
        // The connection may have failed rather than the target, so the stream is resumed from the same target over a new connection.
        if (m_resumes < m_options.maxResumes) {
            return resumeSameTarget();
        }
        return handleTargetLoss(end, now);
    case EngineStreamEnd::Rejected:
        if (!m_resuming) {
            return fail(ErrorKind::TargetFailed, "the engine rejected the request");
        }
        return handleTargetLoss(end, now);
    case EngineStreamEnd::Unreachable:
    case EngineStreamEnd::Refused:
    case EngineStreamEnd::NotFound:
    case EngineStreamEnd::Busy:
        return handleTargetLoss(end, now);
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

GenerationActions GenerationSession::handleTargetLoss(EngineStreamEnd end, MonotonicTime now)
{
    GenerationActions actions {Abandon {m_target}, ReportLost {.target = m_target, .end = end}};
    m_excluded.insert(m_target);
    m_target.clear();
    if (end != EngineStreamEnd::Busy) {
        ++m_lostTargets;
    }
    const int32_t nextAttempt = m_assembler.attempt() + 1;
    if (m_options.canContinueExactly) {
        m_assembler.beginAttempt(nextAttempt, m_assembler.nextOffset());
    } else if (hasDeliveredTokens()) {
        auto failure = fail(ErrorKind::GenerationLost, "the engine that held the generation is gone and no other one can continue it");
        actions.insert(actions.end(), failure.begin(), failure.end());
        return actions;
    } else {
        m_undelivered.clear();
        m_assembler.restart(nextAttempt);
    }
    auto next = retryPlacement(now);
    actions.insert(actions.end(), next.begin(), next.end());
    return actions;
}

GenerationActions GenerationSession::retryPlacement(MonotonicTime now)
{
    if (!hasDeliveredTokens() && m_lostTargets >= MaxLostTargetsBeforeDelivery) {
        return fail(ErrorKind::TargetUnavailable, "several targets were lost while they ran this request");
    }
    if (isTimedOut(now)) {
        return fail(ErrorKind::DeadlineExceeded, "the generation made no progress in time");
    }
    const auto excluded = m_excluded;
    if (m_lostTargets > 0 && m_lostTargets % MaxLostTargetsBeforeDelivery == 0) {
        // Targets recover, so earlier ones become candidates again and a long generation does not run out of candidates.
        m_excluded.clear();
    }
    return {Place {excluded}};
}

bool GenerationSession::isTimedOut(MonotonicTime now) const
{
    return now - m_lastProgress > m_options.progressTimeout;
}

GenerationActions GenerationSession::fail(ErrorKind kind, const std::string &detail)
{
    m_over = true;
    return {Fail {{.kind = kind, .detail = detail, .retryAfter = errorKindInfo(kind).retryAfter}}};
}

} // namespace Jujube
