#include <LibGateway/GenerationStream.h>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace Jujube
{

using namespace SessionAction;
using namespace std::chrono_literals;

namespace
{

constexpr auto EngineConnectTimeout = 1000ms;
constexpr auto AbandonTimeout = 1000ms;
constexpr auto NoTimeout = 0ms;

// Tokens that are available at the same time are written together, up to this size.
constexpr size_t FlushBytes = 16 * 1024;

constexpr auto SuspectRetryDelay = 200ms;

// Delay before a crash suspect is placed again. It differs between the requests that ran on a crashed target, also across gateways: if they were placed
// together again, every further crash would have the same suspects, and the poison request could not be identified.
std::chrono::milliseconds isolationDelay(const std::string &generation, int32_t attempt)
{
    constexpr uint64_t MaxDelayMs = 3000;
    return std::chrono::milliseconds(XXH3_64bits_withSeed(generation.data(), generation.size(), static_cast<uint64_t>(attempt)) % MaxDelayMs);
}

GenerationSession::Options sessionOptions(const GenerationStream::Options &options)
{
    const auto &model = options.caller.document->document.models.at(options.body.model);
    return {
        .generation = options.generation,
        .canContinueExactly = model.continuation == Continuation::Exact,
        .cursor = options.cursor,
    };
}

double secondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

GenerationStream::GenerationStream(Options options, HttpResponder &responder)
    : m_options(std::move(options))
    , m_parts(*m_options.parts)
    , m_responder(responder)
    , m_session(sessionOptions(m_options), monotonicNow())
    , m_fingerprint(CrashSuspects::fingerprint(m_options.caller.workspace, m_options.body.model, std::to_string(m_options.bodyDigest)))
    , m_acceptedAt(monotonicNow())
    , m_lastWriteAt(m_acceptedAt)
{
}

void GenerationStream::run()
{
    if (m_options.cursor) {
        record(EventKind::StreamResumed, m_options.cursor->target, absl::StrCat("from offset ", m_options.cursor->nextOffset));
    }
    perform(m_session.start(monotonicNow()));
    while (!m_session.isOver() && !m_isCallerGone) {
        if (m_engineStream) {
            readEngineStream();
        } else {
            waitForTarget();
        }
    }
    finish();
}

void GenerationStream::perform(GenerationActions actions)
{
    m_pendingActions.insert(m_pendingActions.end(), std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    while (!m_pendingActions.empty()) {
        const auto action = std::move(m_pendingActions.front());
        m_pendingActions.erase(m_pendingActions.begin());
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
}

PlacementRequest GenerationStream::placementRequest(const std::set<std::string> &excluded) const
{
    const auto &body = m_options.body;
    return {
        .id = m_options.generation,
        .workspace = m_options.caller.workspace,
        .tier = m_options.caller.settings().tier,
        .kind = body.kind,
        .model = body.model,
        .promptTokens = estimatePromptTokens(body.prompt),
        .producedTokens = m_session.producedTokens(),
        .maxTokens = body.maxTokens,
        .accepted = m_session.producedTokens() > 0 || m_isResponseBegun,
        .excludedTargets = {excluded.begin(), excluded.end()},
    };
}

void GenerationStream::perform(const Place &action)
{
    const auto now = monotonicNow();
    auto excluded = action.excludedTargets;
    auto next = checkCrashSuspicion(now, excluded);
    if (!next) {
        next = placeNow(excluded, now);
    }
    m_pendingActions.insert(m_pendingActions.end(), next->begin(), next->end());
}

std::optional<GenerationActions> GenerationStream::checkCrashSuspicion(MonotonicTime now, std::set<std::string> &excluded)
{
    const auto verdict = m_parts.crashes->verdict(m_fingerprint, now);
    m_isSuspect = verdict.action != CrashVerdict::Action::Run;
    switch (verdict.action) {
    case CrashVerdict::Action::Run:
        return std::nullopt;
    case CrashVerdict::Action::RunIsolated: {
        if (now < m_isolatedUntil) {
            return m_session.onPlacementDelayed(m_isolatedUntil, now);
        }
        const auto others = m_parts.crashes->targetsOfSuspects();
        excluded.insert(others.begin(), others.end());
        return std::nullopt;
    }
    case CrashVerdict::Action::Wait:
        return m_session.onPlacementDelayed(verdict.until, now);
    case CrashVerdict::Action::Reject:
        break;
    }
    record(EventKind::CrashRefused);
    const auto retryAfter = std::chrono::ceil<std::chrono::seconds>(verdict.until - now);
    const Problem problem {.kind = ErrorKind::RequestCrashesTargets, .detail = "targets crashed while they ran this request", .retryAfter = retryAfter};
    return m_session.giveUp(problem);
}

GenerationActions GenerationStream::placeNow(const std::set<std::string> &excluded, MonotonicTime now)
{
    if (!m_parts.documents->permissions(now).newWork && m_session.attempt() == 1 && m_session.producedTokens() == 0) {
        // The request waits for this gateway to regain contact, up to the queue wait of the document.
        const bool waitedLongEnough = now - m_acceptedAt > m_options.caller.document->document.limits.queueWait;
        const Problem isolated {
            .kind = ErrorKind::Isolated,
            .detail = "this gateway reaches neither the platform nor a majority of the gateways",
            .retryAfter = errorKindInfo(ErrorKind::Isolated).retryAfter,
        };
        return waitedLongEnough ? m_session.onPlacementRejected(isolated, now) : m_session.onPlacementDelayed(now + 100ms, now);
    }
    const auto decision = m_parts.fleet->place(placementRequest(excluded), now);
    if (const auto *placed = std::get_if<PlaceOnTarget>(&decision)) {
        m_isPlaced = true;
        m_parts.crashes->runStarted(m_options.generation, m_fingerprint, placed->target, m_isSuspect);
        record(EventKind::TargetChosen, placed->target);
        return m_session.onPlaced(placed->target, now);
    }
    if (const auto *held = std::get_if<WaitUntil>(&decision)) {
        return m_session.onPlacementDelayed(held->time, now);
    }
    const auto &refused = std::get<RejectRequest>(decision);
    if (m_isSuspect && now - m_acceptedAt < m_options.caller.document->document.limits.queueWait) {
        // All usable targets run other crash suspects. Their runs will end, or the suspicion against them will be cleared.
        return m_session.onPlacementDelayed(now + SuspectRetryDelay, now);
    }
    return m_session.onPlacementRejected({.kind = refused.kind, .detail = "no target has capacity for this request", .retryAfter = refused.retryAfter}, now);
}

HttpCall GenerationStream::generateCall(const std::string &address, const Generate &action) const
{
    const auto &body = m_options.body;
    const nlohmann::json json {
        {"generation", m_options.generation},
        {"attempt", action.attempt},
        {"model", body.model},
        {"prompt", body.prompt},
        {"seed", seedOf(m_options.generation)},
        {"max_tokens", body.maxTokens},
        {"priority", m_options.caller.document->document.priorities.of(body.kind)},
        {"workspace", m_options.caller.workspace},
        {"tier", nameOf(m_options.caller.settings().tier)},
        {"tokens", action.tokens},
    };
    return {
        .method = "POST",
        .url = absl::StrCat("http://", address, "/generate"),
        .headers = {{"Content-Type", "application/json"}},
        .body = json.dump(),
    };
}

void GenerationStream::perform(const Generate &action)
{
    const auto address = m_parts.fleet->addressOf(action.target);
    if (!address) {
        auto next = m_session.onEngineStreamEnd(EngineStreamEnd::Unreachable, monotonicNow());
        m_pendingActions.insert(m_pendingActions.end(), next.begin(), next.end());
        return;
    }
    if (action.attempt > 1) {
        record(EventKind::StreamContinued, action.target, absl::StrCat("attempt ", action.attempt, " from offset ", m_session.producedTokens()));
    }
    // Sends the event id with the chosen target now, so that a caller can resume while a long prompt is being processed.
    if (m_session.producedTokens() == 0 && !beginResponse()) {
        return;
    }
    m_isRequestReceived = false;
    m_targetIncarnation = m_parts.fleet->incarnationOf(action.target);
    openEngineStream(generateCall(*address, action));
}

void GenerationStream::perform(const Resume &action)
{
    const auto address = m_parts.fleet->addressOf(action.target);
    if (!address) {
        auto next = m_session.onEngineStreamEnd(EngineStreamEnd::Unreachable, monotonicNow());
        m_pendingActions.insert(m_pendingActions.end(), next.begin(), next.end());
        return;
    }
    openEngineStream({.url = absl::StrCat("http://", *address, "/generations/", m_options.generation, "?from=", action.from)});
}

void GenerationStream::openEngineStream(HttpCall call)
{
    call.connectTimeout = EngineConnectTimeout;
    call.totalTimeout = NoTimeout;
    call.silenceTimeout = m_parts.options.silenceTimeout;
    // Retries after silence must not reuse the silent connection.
    call.freshConnection = true;
    m_engineStream = std::make_shared<EngineStream>(*m_parts.http, std::move(call));
}

void GenerationStream::perform(const Abandon &action)
{
    m_engineStream.reset();
    const auto address = m_parts.fleet->addressOf(action.target);
    if (!address) {
        return;
    }
    const auto url = absl::StrCat("http://", *address, "/generations/", m_options.generation);
    // The response is ignored: a target that is gone has no generation left to drop.
    m_parts.http->open({.method = "DELETE", .url = url, .connectTimeout = AbandonTimeout, .totalTimeout = AbandonTimeout}, {});
}

void GenerationStream::perform(const ReportLost &action)
{
    const auto now = monotonicNow();
    record(EventKind::TargetLost, action.target);
    m_parts.metrics->count("jujube_targets_lost_total");
    const bool hasCrashed = action.end == EngineStreamEnd::Refused || action.end == EngineStreamEnd::NotFound;
    if (m_isPlaced && hasCrashed && m_isRequestReceived && !m_parts.fleet->isLeaving(action.target)) {
        m_parts.crashes->targetCrashed(action.target, m_targetIncarnation, now);
        m_isolatedUntil = now + isolationDelay(m_options.generation, m_session.attempt());
    }
    m_parts.crashes->runEnded(m_options.generation);
    if (m_isPlaced) {
        m_isPlaced = false;
        m_parts.fleet->generationFailed(m_options.generation, action.end == EngineStreamEnd::Busy ? FailureReason::Moved : FailureReason::TargetLost, now);
    }
}

void GenerationStream::perform(const Deliver &action)
{
    const auto now = monotonicNow();
    if (!beginResponse()) {
        return;
    }
    if (!m_lastTokenAt) {
        record(EventKind::StreamStarted, m_session.target());
        m_parts.metrics->observe("jujube_time_to_first_token_seconds", secondsBetween(m_acceptedAt, now));
    } else {
        m_parts.metrics->observe("jujube_time_between_tokens_seconds", secondsBetween(*m_lastTokenAt, now));
    }
    m_lastTokenAt = now;
    const nlohmann::json data {{"index", action.index}, {"text", action.text}};
    const auto id = m_parts.cursors->encode(cursorAt(action.index + 1, action.checksum));
    absl::StrAppend(&m_output, "id: ", id, "\nevent: token\ndata: ", data.dump(), "\n\n");
    if (m_output.size() > FlushBytes) {
        flush();
    }
}

void GenerationStream::perform(const Complete &action)
{
    if (!beginResponse()) {
        return;
    }
    const nlohmann::json data {{"count", action.count}, {"checksum", action.checksum}};
    absl::StrAppend(&m_output, "event: done\ndata: ", data.dump(), "\n\n");
    if (flush()) {
        record(EventKind::StreamFinished, m_session.target(), absl::StrCat("count ", action.count, " checksum ", action.checksum));
    }
}

void GenerationStream::perform(const Fail &action)
{
    if (!m_isResponseBegun) {
        respondWithProblem(m_parts, m_responder, action.problem, m_options.generation);
        return;
    }
    const std::string name(errorKindInfo(action.problem.kind).name);
    m_parts.metrics->count("jujube_stream_failures_total", absl::StrCat("kind=\"", name, "\""));
    record(EventKind::StreamFailed, m_session.target(), absl::StrCat(name, ": ", action.problem.detail));
    absl::StrAppend(&m_output, "event: error\ndata: ", action.problem.toJson().dump(), "\n\n");
    flush();
}

void GenerationStream::perform(const Wait &action)
{
    m_engineStream.reset();
    m_waitUntil = action.until;
}

void GenerationStream::waitForTarget()
{
    const auto now = monotonicNow();
    const auto until = std::min(m_waitUntil.value_or(now + 100ms), now + m_parts.options.keepAliveInterval);
    m_parts.fleet->waitUntilReady(m_options.generation, until);
    if (sendKeepAlive()) {
        perform(m_session.onTimer(monotonicNow()));
    }
}

void GenerationStream::readEngineStream()
{
    auto piece = m_engineStream->next(m_output.empty() ? 500ms : 0ms);
    if (!piece) {
        flush();
        sendKeepAlive();
        return;
    }
    if (const auto *end = std::get_if<EngineStreamEnd>(&*piece)) {
        m_engineStream.reset();
        if (*end == EngineStreamEnd::Closed || *end == EngineStreamEnd::Broken || *end == EngineStreamEnd::Silent) {
            markRequestReceived();
        }
        if (*end == EngineStreamEnd::Silent) {
            record(EventKind::TargetSilent, m_session.target());
        }
        perform(m_session.onEngineStreamEnd(*end, monotonicNow()));
        return;
    }
    processBytes(std::get<std::string>(*piece));
}

void GenerationStream::markRequestReceived()
{
    if (!m_isRequestReceived) {
        m_isRequestReceived = true;
        m_parts.crashes->requestReceived(m_options.generation);
    }
}

void GenerationStream::processBytes(const std::string &bytes)
{
    markRequestReceived();
    // An action may replace the engine stream. The remaining lines then belong to the old stream, whose parser has to outlive this call.
    const auto source = m_engineStream;
    const auto before = m_session.producedTokens();
    source->parser().feed(bytes, [this, &source](const EngineLine &line) {
        if (m_engineStream != source || m_session.isOver() || m_isCallerGone) {
            return;
        }
        if (line.cold) {
            m_parts.fleet->noteCold(m_session.target(), monotonicNow());
        }
        perform(m_session.onLine(line, monotonicNow()));
    });
    const auto produced = m_session.producedTokens() - before;
    if (m_isPlaced && produced > 0) {
        if (before == 0) {
            m_parts.fleet->generationStarted(m_options.generation, monotonicNow());
        }
        m_parts.fleet->tokensProduced(m_options.generation, produced, monotonicNow());
    }
}

Cursor GenerationStream::cursorAt(int32_t nextOffset, uint64_t checksum) const
{
    return {
        .workspace = m_options.caller.workspace,
        .generation = m_options.generation,
        .attempt = m_session.attempt(),
        .target = m_session.target(),
        .nextOffset = nextOffset,
        .checksum = checksum,
        .bodyDigest = m_options.bodyDigest,
        .time = m_parts.events->tick(wallMsNow()),
    };
}

bool GenerationStream::beginResponse()
{
    if (m_isResponseBegun) {
        return !m_isCallerGone;
    }
    m_isResponseBegun = true;
    if (!m_responder.beginStream("text/event-stream")) {
        m_isCallerGone = true;
        return false;
    }
    if (!m_options.cursor) {
        absl::StrAppend(&m_output, "id: ", m_parts.cursors->encode(cursorAt(0, 0)), "\n\n");
    }
    return true;
}

bool GenerationStream::flush()
{
    if (m_output.empty() || m_isCallerGone) {
        return !m_isCallerGone;
    }
    m_isCallerGone = !m_responder.write(m_output);
    m_output.clear();
    m_lastWriteAt = monotonicNow();
    return !m_isCallerGone;
}

bool GenerationStream::sendKeepAlive()
{
    if (m_isCallerGone || !m_isResponseBegun || monotonicNow() - m_lastWriteAt < m_parts.options.keepAliveInterval) {
        return !m_isCallerGone;
    }
    m_output += ": keep-alive\n\n";
    return flush();
}

void GenerationStream::finish()
{
    const auto now = monotonicNow();
    m_engineStream.reset();
    m_parts.crashes->runEnded(m_options.generation);
    if (m_isCallerGone) {
        // The engine continues the generation, so that the caller can resume at any gateway.
        record(EventKind::StreamCallerLost, m_session.target(), absl::StrCat("after ", m_session.producedTokens(), " tokens"));
    }
    if (!m_isPlaced) {
        m_parts.fleet->abandoned(m_options.generation, now);
    } else if (m_isCallerGone) {
        m_parts.fleet->generationFailed(m_options.generation, FailureReason::Cancelled, now);
    } else {
        m_parts.fleet->generationFinished(m_options.generation, now);
    }
    record(EventKind::RequestFinished);
}

void GenerationStream::record(EventKind kind, const std::string &target, std::string detail) const
{
    m_parts.record({.kind = kind, .request = m_options.generation, .target = target, .detail = std::move(detail)});
}

} // namespace Jujube
