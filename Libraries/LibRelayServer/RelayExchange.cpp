#include <LibRelayServer/RelayExchange.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibRelay/DrainAdmission.h>
#include <LibRelayServer/RelayForwarding.h>

namespace Jujube
{

namespace
{

// Connecting takes two crossings of the network; a packet that is lost is sent again after a second.
constexpr std::chrono::milliseconds ConnectTimeout {400};
// The answer leaves this long before the caller's deadline, so that it arrives in time.
constexpr std::chrono::milliseconds DeadlineMargin {15};
// A resumable stream whose target is silent for this time goes on at another target. Before its first event it may wait in the target's queue.
constexpr std::chrono::milliseconds StreamSilence {1500};
constexpr std::chrono::milliseconds FirstEventSilence {2600};
// The destination of a move admits the generation at once. After this time without an answer, the engine that it left has to go on before it is gone.
constexpr std::chrono::milliseconds MovedRunSilence {1000};
constexpr std::chrono::milliseconds DefaultRetryAfter {500};
// Another gateway can take the request at once.
constexpr std::chrono::milliseconds ElsewhereRetryAfter {50};
constexpr int FirstServerError = 500;

std::chrono::milliseconds wholeMilliseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

RelayExchange::RelayExchange(RelayCore &core, std::shared_ptr<CallerChannel> caller, CallerRequest request)
    : m_core(core)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_routes(core.routes)
    , m_id(m_request.head.value(core.dialect.fields.requestId))
    , m_deadlineTimer(core.loop)
    , m_silenceTimer(core.loop)
    , m_moveTimer(core.loop)
{
}

RelayExchange::~RelayExchange()
{
    m_core.running.erase(this);
}

void RelayExchange::start()
{
    const auto now = m_request.arrivedAt;
    listenToCaller();
    if (const auto outcome = admit(now)) {
        answer(*outcome, retryAfterFor(*outcome, now));
        return;
    }
    logAccepted(now);
    m_core.retryBudget(m_admission.service->name).recordRequest(now);
    createSession();
    armDeadline();
    m_session->start(now);
}

void RelayExchange::listenToCaller()
{
    m_caller->setAnswerHooks({.onGone =
                                  [weak = weak_from_this()] {
                                      if (const auto self = weak.lock(); self && self->m_session && !self->m_isOver) {
                                          auto line = self->m_core.line(EventKind::RelayCallerGone);
                                          line.add("request", self->m_id).add("events", self->m_session->eventCount());
                                          self->m_core.log(line);
                                          self->m_core.metrics.count("relay_callers_gone_total");
                                          self->m_session->onCallerDisconnected();
                                          self->over(RunEnd::Cancelled);
                                      }
                                  },
                              .onWritable =
                                  [weak = weak_from_this()] {
                                      if (const auto self = weak.lock(); self && self->m_upstream) {
                                          self->m_upstream->resume();
                                      }
                                  }});
}

std::optional<RelayOutcome> RelayExchange::admit(MonotonicTime now)
{
    m_admission = admitRequest(m_routes.get(), claimsOf(m_request.head, m_core.dialect.fields), m_core.randomUnit(), now);
    if (m_admission.rejection) {
        return m_admission.rejection;
    }
    m_digest = CrashSuspects::fingerprint(m_admission.workspace ? m_admission.workspace->name : "", m_request.head.target, m_request.body);
    const auto verdict = m_core.crashes.verdict(m_digest, now).action;
    if (verdict == CrashVerdict::Action::Reject || verdict == CrashVerdict::Action::Wait) {
        return RelayOutcome::PoisonRequest;
    }
    if (m_core.isDraining() && !DrainAdmission().admits(m_admission.demand, m_core.stopAt(), now)) {
        return RelayOutcome::Draining;
    }
    return std::nullopt;
}

void RelayExchange::logAccepted(MonotonicTime now)
{
    auto line = m_core.line(EventKind::RelayAccepted);
    line.add("request", m_id)
        .add("route", m_admission.route->name)
        .add("service", m_admission.service->name)
        .add("workspace", m_admission.workspace ? m_admission.workspace->name : "")
        .add("kind", nameOf(m_admission.route->kind))
        .add("time_left_ms", wholeMilliseconds(m_admission.deadline - now).count())
        .add("document", m_routes->document().version)
        .add("prompt_tokens", m_admission.demand.promptTokens)
        .add("expected_tokens", m_admission.demand.expectedTokens);
    m_core.log(line);
    m_core.metrics.count("relay_requests_total");
}

std::chrono::milliseconds RelayExchange::retryAfterFor(RelayOutcome outcome, MonotonicTime now) const
{
    if (outcome == RelayOutcome::Draining) {
        return ElsewhereRetryAfter;
    }
    if (outcome == RelayOutcome::PoisonRequest) {
        const auto until = m_core.crashes.verdict(m_digest, now).until;
        return std::max(DefaultRetryAfter, wholeMilliseconds(until - now));
    }
    return DefaultRetryAfter;
}

void RelayExchange::createSession()
{
    const RequestProperties facts {.id = m_id,
                                   .kind = m_admission.route->kind,
                                   .resumable = m_admission.route->resumable,
                                   .maxAttempts = m_admission.route->maxAttempts,
                                   .deadline = m_admission.deadline - DeadlineMargin};
    m_session = std::make_unique<RelaySession>(
        facts,
        RelaySession::Hooks {.choose = [this](const std::set<std::string> &excluded, MonotonicTime now) { return choose(excluded, now); },
                             .chooseBackup = [this](const RelayTarget &target, MonotonicTime now) { return chooseBackup(target, now); },
                             .chooseDestination = [this](const std::set<std::string> &excluded, MonotonicTime now) { return chooseDestination(excluded, now); },
                             .mayContinue = [this](const RelayTarget &target, MonotonicTime now) { return mayContinue(target, now); },
                             .tryTakeRetry
                             = [this](MonotonicTime now) { return m_core.retryBudget(m_admission.service->name).tryRetry(m_core.liveRelays(now), now); },
                             .send = [this](const RelayAttempt &order) { send(order); },
                             .abortAttempt = [this] { abortAttempt(); },
                             .copy = [this](const RelayTarget &source, const RelayTarget &destination, bool stop) { copy(source, destination, stop); },
                             .beginResponse = [this](std::optional<uint64_t> length) { beginResponse(length); },
                             .write =
                                 [this](std::string_view bytes) {
                                     m_caller->write(bytes);
                                     if (m_upstream && m_caller->isCongested()) {
                                         m_upstream->pause();
                                     }
                                 },
                             .finishResponse = [this] { finishResponse(); },
                             .answer = [this](RelayOutcome outcome, std::chrono::milliseconds retryAfter) { answer(outcome, retryAfter); },
                             .cut = [this](RelayOutcome outcome) { cut(outcome); },
                             .record = [this](std::string_view decision, std::string_view reason) { record(decision, reason); }});
}

TargetChoice RelayExchange::choose(const std::set<std::string> &excluded, MonotonicTime now)
{
    const TargetBalancer::Query query {.demand = m_admission.demand,
                                       .excluded = excluded,
                                       .homeRegions = m_admission.homeRegions,
                                       .liveRelays = m_core.liveRelays(now),
                                       .coldRateParticipants = m_core.peers.coldRateParticipants(now)};
    const auto choice = m_core.balancer.choose(query, m_core.targets, *m_admission.service, now, m_core.random());
    TargetChoice result;
    if (choice.target) {
        result.target = RelayTarget::of(choice.target->entry);
    } else if (choice.cooldownUntil) {
        result.retryAfter = std::max(DefaultRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(*choice.cooldownUntil - now));
    }
    return result;
}

void RelayExchange::send(const RelayAttempt &order)
{
    const auto now = monotonicNow();
    const auto endpoint = Endpoint::parse(order.target.address);
    const bool mayReuse = m_admission.route->kind == RouteKind::Repeatable;
    m_upstream = mayReuse ? m_core.channels.acquire(*endpoint, now) : m_core.channels.fresh(*endpoint);
    m_sentAt = now;
    m_progressAt = now;
    if (m_sendFailed) {
        m_core.balancer.onAttemptFailed(m_target, now);
        m_sendFailed = false;
    }
    const auto load = m_core.balancer.loadOf(order.target.id);
    m_core.balancer.dropCopy(m_id);
    m_core.balancer.onRunStarted(m_id, order.target.id, m_admission.demand, now);
    if (order.backup) {
        m_core.balancer.setBackup(m_id, order.backup->id, m_admission.demand.promptTokens + m_admission.demand.expectedTokens);
    }
    if (order.kvCacheSource.empty()) {
        m_core.onLoadChanged(m_admission.service->engine.has_value());
    } else {
        m_core.balancer.cooldowns().recordContinuation(order.target.id);
        m_core.onTurnEnded();
    }
    m_target = order.target.id;
    m_targetIncarnation = order.target.incarnation;
    m_core.running.insert(this);
    m_core.moves.remove(m_id);
    logSend(order, load);
    const auto number = ++m_sendNumber;
    const auto self = shared_from_this();
    m_upstream->exchange(forwardedRequest(m_request, m_admission, order, m_core.dialect.fields),
                         m_request.head.method == "HEAD",
                         ConnectTimeout,
                         {.onHead = [self, number](const MessageHead &head,
                                                   std::optional<uint64_t> length) { return number != self->m_sendNumber || self->onHead(head, length); },
                          .onBody =
                              [self, number](std::string_view bytes) {
                                  if (number == self->m_sendNumber) {
                                      self->onBody(bytes);
                                  }
                              },
                          .onEnd =
                              [self, number, channel = m_upstream](ChannelEnd end, const std::string &error) {
                                  self->m_core.channels.release(channel);
                                  if (number == self->m_sendNumber) {
                                      self->onEnd(end, error);
                                  }
                              }});
    armSilence();
    if (!order.kvCacheSource.empty() && m_core.targets.isLeaving(order.target.id)) {
        // The generation went back to the engine that it was to leave.
        retryMoveLater();
    }
}

void RelayExchange::logSend(const RelayAttempt &order, const TargetLoad &load)
{
    auto line = m_core.line(EventKind::RelaySent);
    line.add("request", m_id)
        .add("target", order.target.id)
        .add("address", order.target.address)
        .add("attempt", order.attempt)
        .add("time_left_ms", order.timeLeft.count())
        .add("target_running", load.running)
        .add("target_memory", load.memory)
        .add("target_prefill", load.prefill);
    if (order.lastEventId) {
        line.add("last_event", *order.lastEventId);
    }
    if (!order.kvCacheSource.empty()) {
        line.add("memory_from", order.kvCacheSource);
    }
    if (order.backup) {
        line.add("backup", order.backup->id);
    }
    m_core.log(line);
    m_core.metrics.count("relay_sends_total");
}

bool RelayExchange::onHead(const MessageHead &head, std::optional<uint64_t> length)
{
    const auto &fields = m_core.dialect.fields;
    const auto now = monotonicNow();
    // An answer that arrives late, to an earlier request on this connection, bears that request's id.
    if (head.has(fields.requestId) && head.value(fields.requestId) != m_id) {
        m_core.metrics.count("relay_foreign_answers_total");
        return false;
    }
    m_answerHead = head;
    m_core.balancer.markReachable(m_target);
    const auto answer = targetAnswerOf(head, length, fields);
    if (!answer.misdirected) {
        noteWishes(answer, now);
    }
    if (answer.notRun || answer.misdirected || answer.status >= FirstServerError) {
        m_sendFailed = true;
        auto line = m_core.line(EventKind::RelayTargetFailed);
        line.add("request", m_id).add("target", m_target).add("status", answer.status).add("not_run", answer.notRun ? 1 : 0);
        if (answer.cooldown) {
            line.add("quiet_ms", answer.cooldown->count());
        }
        m_core.log(line);
    }
    // An answer that the session does not accept ends with abortAttempt().
    m_session->onHead(answer, now);
    return true;
}

void RelayExchange::noteWishes(const TargetResponse &answer, MonotonicTime now)
{
    if (answer.leaving) {
        m_core.recordLeaving(m_target, m_targetIncarnation, "own answer", now);
    }
    if (answer.cooldown) {
        m_core.balancer.cooldowns().record(m_target, *answer.cooldown, now);
        m_core.metrics.count("relay_targets_quiet_total");
    }
}

void RelayExchange::onBody(std::string_view bytes)
{
    const auto now = monotonicNow();
    const auto sendNumber = m_sendNumber;
    const auto eventsBefore = m_session->eventCount();
    m_session->onBody(bytes, now);
    if (m_isOver || sendNumber != m_sendNumber || m_session->eventCount() == eventsBefore) {
        return;
    }
    // Bytes that complete no event are no progress of a stream.
    m_progressAt = now;
    if (m_admission.service->engine) {
        noteEvents(now);
    }
}

void RelayExchange::noteEvents(MonotonicTime now)
{
    const bool isFirst = m_eventsCounted == 0;
    const auto gap = now - (isFirst ? m_request.arrivedAt : m_lastEventAt);
    if (isFirst) {
        m_firstEventAfter = wholeMilliseconds(gap);
        m_core.metrics.observe("relay_first_event_seconds", std::chrono::duration<double>(gap).count());
    } else {
        m_longestGap = std::max(m_longestGap, wholeMilliseconds(gap));
    }
    const auto events = m_session->eventCount();
    m_core.balancer.onTokensProduced(m_id, (events - m_eventsCounted) * m_admission.service->engine->tokensPerEvent);
    m_lastEventAt = now;
    m_eventsCounted = events;
}

void RelayExchange::onEnd(ChannelEnd end, const std::string &error)
{
    const auto now = monotonicNow();
    m_upstream.reset();
    if (end != ChannelEnd::Complete) {
        auto line = m_core.line(EventKind::RelayTargetFailed);
        line.add("request", m_id)
            .add("target", m_target)
            .add("reason", error)
            .add("sent", end == ChannelEnd::NotSent ? 0 : 1)
            .add("events", m_session->eventCount())
            .add("after_ms", wholeMilliseconds(now - m_sentAt).count());
        m_core.log(line);
        m_core.metrics.count("relay_target_failures_total");
        m_sendFailed = end == ChannelEnd::Broken && !m_session->isMigrating();
        if (end == ChannelEnd::NotSent) {
            m_core.balancer.markUnreachable(m_target, now);
        } else if (!m_session->isMigrating()) {
            m_core.noteBroken(m_target, m_digest);
            m_unannouncedEnds += m_core.targets.isLeaving(m_target) ? 0 : 1;
        }
    }
    const auto result = end == ChannelEnd::Complete ? ExchangeResult::Complete : end == ChannelEnd::NotSent ? ExchangeResult::NotSent : ExchangeResult::Broken;
    m_session->onEnd(result, now);
}

void RelayExchange::abortAttempt()
{
    ++m_sendNumber;
    if (m_upstream) {
        m_upstream->abort();
        m_upstream.reset();
    }
}

void RelayExchange::beginResponse(std::optional<uint64_t> length)
{
    auto head = forwardedAnswer(m_answerHead);
    const bool answerHasBody = hasBody(m_request.head.method, head.status);
    if (answerHasBody) {
        head.remove("content-length");
    }
    m_caller->begin(std::move(head), {.length = answerHasBody ? length : std::nullopt, .hasBody = answerHasBody});
}

void RelayExchange::finishResponse()
{
    auto line = m_core.line(EventKind::RelayFinished);
    const auto took = wholeMilliseconds(monotonicNow() - m_request.arrivedAt);
    line.add("request", m_id)
        .add("target", m_target)
        .add("status", m_answerHead.status)
        .add("events", m_session->eventCount())
        .add("sends", m_session->attemptCount())
        .add("first_event_ms", m_firstEventAfter.count())
        .add("longest_gap_ms", m_longestGap.count())
        .add("took_ms", took.count());
    m_core.log(line);
    m_core.metrics.count("relay_answers_total", absl::StrCat("status=\"", m_answerHead.status, "\""));
    m_core.metrics.observe("relay_answer_seconds", std::chrono::duration<double>(took).count());
    m_caller->finish();
    over(m_answerHead.status >= FirstServerError ? RunEnd::Failed : RunEnd::Finished);
}

void RelayExchange::answer(RelayOutcome outcome, std::chrono::milliseconds retryAfter)
{
    const auto &info = relayOutcomeInfo(outcome);
    auto line = m_core.line(EventKind::RelayRejected);
    line.add("request", m_id).add("outcome", info.name).add("status", info.status).add("targets", static_cast<int64_t>(m_core.targets.size()));
    if (m_admission.route) {
        line.add("route", m_admission.route->name);
    }
    if (info.hasRetryAfter) {
        line.add("retry_after_ms", retryAfter.count());
    }
    if (!m_admission.route) {
        line.add("path", claimsOf(m_request.head, m_core.dialect.fields).path).add("document", m_routes ? m_routes->document().version : 0);
    }
    m_core.log(line);
    m_core.metrics.count("relay_rejections_total", absl::StrCat("outcome=\"", toAbsl(info.name), "\""));
    m_caller->send(ownAnswer(info, m_id, retryAfter, m_core.dialect.fields), {});
    over(RunEnd::Failed);
}

void RelayExchange::cut(RelayOutcome outcome)
{
    auto line = m_core.line(EventKind::RelayCut);
    line.add("request", m_id).add("outcome", relayOutcomeInfo(outcome).name).add("target", m_target).add("events", m_session->eventCount());
    m_core.log(line);
    m_core.metrics.count("relay_cuts_total");
    m_caller->cut();
    over(RunEnd::Failed);
}

void RelayExchange::record(std::string_view decision, std::string_view reason)
{
    auto line = m_core.line(EventKind::RelayDecision);
    line.add("request", m_id).add("decision", decision).add("reason", reason);
    m_core.log(line);
    m_core.metrics.count("relay_decisions_total", absl::StrCat("decision=\"", toAbsl(decision), "\""));
}

void RelayExchange::armDeadline()
{
    m_deadlineTimer.expires_at(m_admission.deadline - DeadlineMargin);
    m_deadlineTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        if (const auto self = weak.lock(); self && !error && !self->m_isOver) {
            self->m_session->onDeadline(monotonicNow());
        }
    });
}

std::optional<std::chrono::milliseconds> RelayExchange::silenceLimit() const
{
    if (m_session->isAwaitingMigratedRun()) {
        return MovedRunSilence;
    }
    if (m_admission.route->kind != RouteKind::Stream || !m_admission.route->resumable) {
        return std::nullopt;
    }
    return m_eventsCounted == 0 ? FirstEventSilence : StreamSilence;
}

void RelayExchange::armSilence()
{
    const auto limit = silenceLimit();
    if (!limit) {
        m_silenceTimer.cancel();
        return;
    }
    m_silenceTimer.expires_at(m_progressAt + *limit);
    m_silenceTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        const auto self = weak.lock();
        if (!self || error || self->m_isOver) {
            return;
        }
        const auto now = monotonicNow();
        const auto limitNow = self->silenceLimit();
        if (limitNow && now - self->m_progressAt >= *limitNow) {
            self->m_session->onStreamTimeout(now);
        }
        if (!self->m_isOver) {
            self->armSilence();
        }
    });
}

void RelayExchange::over(RunEnd end)
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_core.balancer.onRunEnded(m_id, end, monotonicNow());
    m_core.balancer.dropCopy(m_id);
    m_core.running.erase(this);
    m_core.moves.remove(m_id);
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_moveTimer.cancel();
}

} // namespace Jujube
