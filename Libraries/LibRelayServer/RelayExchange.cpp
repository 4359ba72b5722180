#include <LibRelayServer/RelayExchange.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibRelay/DrainAdmission.h>

namespace Jujube
{

namespace
{

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view EventStreamType = "text/event-stream";
constexpr int StatusMisdirected = 421;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
// Connecting takes two crossings of the network; a packet that is lost is sent again after a second.
constexpr std::chrono::milliseconds ConnectTimeout {400};
// The answer leaves this long before the caller's deadline, so that it arrives in time.
constexpr std::chrono::milliseconds DeadlineMargin {15};
// Longest time for a copy of a running generation.
constexpr std::chrono::milliseconds CopyTimeout {2500};
// A resumable stream whose target is silent for this time goes on at another target. Before its first event it may wait in the target's queue.
constexpr std::chrono::milliseconds StreamSilence {1500};
constexpr std::chrono::milliseconds FirstEventSilence {2600};
constexpr int MostPriority = 9;
constexpr std::chrono::milliseconds DefaultRetryAfter {500};
// Another gateway can take the request at once.
constexpr std::chrono::milliseconds ElsewhereRetryAfter {50};
// Tries to move one generation away from targets that leave.
constexpr int MostMoveTries = 12;
constexpr std::chrono::milliseconds MoveRetryPause {150};
// Weight of an output token against a prompt token in the worth of a generation.
constexpr int64_t OutputWeight = 10;

std::string_view hostOf(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

int64_t numberIn(std::string_view text)
{
    int64_t number = 0;
    return absl::SimpleAtoi(toAbsl(text), &number) && number > 0 ? number : 0;
}

std::string secondsText(std::chrono::milliseconds time)
{
    return absl::StrFormat("%.2f", std::chrono::duration<double>(time).count());
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
    m_caller->setAnswerHooks({.onGone =
                                  [weak = weak_from_this()] {
                                      if (const auto self = weak.lock(); self && self->m_session && !self->m_isOver) {
                                          auto line = self->m_core.line(EventKind::RelayCallerGone);
                                          line.add("request", self->m_id).add("events", self->m_session->eventCount());
                                          self->m_core.log(line);
                                          self->m_core.metrics.count("relay_callers_gone_total");
                                          self->m_session->onCallerGone();
                                          self->over();
                                      }
                                  },
                              .onWritable =
                                  [weak = weak_from_this()] {
                                      if (const auto self = weak.lock(); self && self->m_upstream) {
                                          self->m_upstream->resume();
                                      }
                                  }});
    if (const auto outcome = admit(now)) {
        answer(*outcome, retryAfterFor(*outcome, now));
        return;
    }
    auto line = m_core.line(EventKind::RelayAccepted);
    line.add("request", m_id)
        .add("route", m_route->name)
        .add("service", m_service->name)
        .add("workspace", m_workspace ? m_workspace->name : "")
        .add("kind", nameOf(m_route->kind))
        .add("time_left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now).count())
        .add("document", m_routes->document().version)
        .add("prompt_tokens", m_demand.promptTokens)
        .add("expected_tokens", m_demand.expectedTokens);
    m_core.log(line);
    m_core.metrics.count("relay_requests_total");
    m_core.retryBudget(m_service->name).noteRequest(now);
    createSession();
    armDeadline();
    m_session->start(now);
}

std::optional<RelayOutcome> RelayExchange::admit(MonotonicTime now)
{
    if (!m_routes) {
        return RelayOutcome::NoDocument;
    }
    const auto &head = m_request.head;
    if (m_id.empty() || !head.target.starts_with('/')) {
        return RelayOutcome::Malformed;
    }
    m_route = m_routes->findRoute(hostOf(head.value("host")), pathOf(head.target));
    if (!m_route) {
        return RelayOutcome::NoRoute;
    }
    const auto authorization = head.value("authorization");
    if (authorization.starts_with(BearerPrefix)) {
        m_workspace = m_routes->findWorkspaceByKey(authorization.substr(BearerPrefix.size()));
    }
    if (m_routes->document().requiresKeys && !m_route->isPublic && !m_workspace) {
        return RelayOutcome::UnknownKey;
    }
    m_service = m_route->shares.empty() ? nullptr : m_routes->findService(RouteTable::pickService(*m_route, m_core.randomUnit()));
    if (!m_service) {
        return RelayOutcome::NoTarget;
    }
    auto timeLeft = m_route->timeout;
    if (const auto given = numberIn(head.value(m_core.dialect.fields.deadline)); given > 0) {
        timeLeft = std::min(timeLeft, std::chrono::milliseconds(given));
    }
    m_deadline = now + timeLeft;
    readUsage();
    m_digest = CrashSuspects::fingerprint(m_workspace ? m_workspace->name : "", head.target, m_request.body);
    const auto verdict = m_core.crashes.verdict(m_digest, now).action;
    if (verdict == CrashVerdict::Action::Refuse || verdict == CrashVerdict::Action::Wait) {
        return RelayOutcome::CrashesTargets;
    }
    if (m_core.isDraining() && !DrainAdmission().admits(m_demand, m_core.stopAt(), now)) {
        return RelayOutcome::Draining;
    }
    return std::nullopt;
}

std::chrono::milliseconds RelayExchange::retryAfterFor(RelayOutcome outcome, MonotonicTime now) const
{
    if (outcome == RelayOutcome::Draining) {
        return ElsewhereRetryAfter;
    }
    if (outcome == RelayOutcome::CrashesTargets) {
        const auto until = m_core.crashes.verdict(m_digest, now).until;
        return std::max(DefaultRetryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(until - now));
    }
    return DefaultRetryAfter;
}

void RelayExchange::readUsage()
{
    const auto &fields = m_core.dialect.fields;
    m_demand = {.service = m_service->name, .priority = m_route->priority};
    if (m_workspace && m_workspace->priority) {
        m_demand.priority = *m_workspace->priority;
    }
    if (!m_service->engine) {
        return;
    }
    // A resumable stream is short, and is repeated where its target is lost.
    m_demand.isMovable = m_route->kind == RelayKind::Stream && !m_route->resumable && m_service->engine->canMove;
    const auto usage = m_request.head.value(fields.usage);
    const auto comma = usage.find(',');
    m_demand.promptTokens = numberIn(usage.substr(0, comma));
    const auto most = comma == std::string_view::npos ? 0 : numberIn(usage.substr(comma + 1));
    const auto hint = numberIn(m_request.head.value(fields.lengthHint));
    m_demand.expectedTokens = hint > 0 && (most == 0 || hint < most) ? hint : most;
}

void RelayExchange::createSession()
{
    const RelayFacts facts {
        .kind = m_route->kind, .resumable = m_route->resumable, .maxAttempts = m_route->maxAttempts, .deadline = m_deadline - DeadlineMargin};
    m_session = std::make_unique<RelaySession>(
        facts,
        RelaySession::Hooks {.choose = [this](const std::set<std::string> &excluded, MonotonicTime now) { return choose(excluded, now); },
                             .chooseDestination = [this](const std::set<std::string> &excluded, MonotonicTime now) { return chooseDestination(excluded, now); },
                             .takeRetry = [this](MonotonicTime now) { return m_core.retryBudget(m_service->name).tryRetry(m_core.liveGateways(now), now); },
                             .send = [this](const RelaySend &order) { send(order); },
                             .abortSend = [this] { abortSend(); },
                             .copy = [this](const RelayTarget &source, const RelayTarget &destination, bool stop) { copy(source, destination, stop); },
                             .beginAnswer = [this](std::optional<uint64_t> length) { beginAnswer(length); },
                             .write =
                                 [this](std::string_view bytes) {
                                     m_caller->write(bytes);
                                     if (m_upstream && m_caller->isCongested()) {
                                         m_upstream->pause();
                                     }
                                 },
                             .finishAnswer = [this] { finishAnswer(); },
                             .answer = [this](RelayOutcome outcome, std::chrono::milliseconds retryAfter) { answer(outcome, retryAfter); },
                             .cut = [this](RelayOutcome outcome) { cut(outcome); },
                             .note = [this](std::string_view decision, std::string_view reason) { note(decision, reason); }});
}

RelayChoice RelayExchange::choose(const std::set<std::string> &excluded, MonotonicTime now)
{
    const auto homes = RouteTable::homeRegions(*m_route, m_workspace);
    const auto choice = m_core.balancer.choose({.demand = m_demand, .excluded = excluded, .homeRegions = homes, .liveGateways = m_core.liveGateways(now)},
                                               m_core.targets,
                                               *m_service,
                                               now,
                                               m_core.random());
    RelayChoice result;
    if (!choice.target) {
        return result;
    }
    const auto &entry = choice.target->entry;
    result.target = RelayTarget {.id = entry.id, .incarnation = entry.incarnation, .address = entry.address};
    return result;
}

std::optional<RelayTarget> RelayExchange::chooseDestination(const std::set<std::string> &excluded, MonotonicTime now)
{
    if (!m_service->engine || !m_service->engine->canMove) {
        return std::nullopt;
    }
    auto demand = m_demand;
    demand.expectedTokens = std::max(demand.expectedTokens, m_session->eventCount() * m_service->engine->tokensPerEvent);
    const auto *source = m_core.targets.find(m_core.running[this]);
    TargetBalancer::Query query {.demand = demand,
                                 .excluded = excluded,
                                 .homeRegions = RouteTable::homeRegions(*m_route, m_workspace),
                                 .liveGateways = m_core.liveGateways(now),
                                 .isMove = true,
                                 .source = m_core.running[this],
                                 .dataCentre = source ? source->entry.dataCentre : ""};
    auto choice = m_core.balancer.choose(query, m_core.targets, *m_service, now, m_core.random());
    const auto ownTokens = demand.promptTokens + m_core.balancer.producedBy(m_id);
    const bool isLast = m_core.balancer.loadOf(m_core.running[this]).movable <= ownTokens;
    if (!choice.target && isLast) {
        // A copy to another data centre takes many times as long, and would hold up the copies of all other generations on the source's link.
        query.dataCentre.clear();
        choice = m_core.balancer.choose(query, m_core.targets, *m_service, now, m_core.random());
    }
    if (!choice.target) {
        return std::nullopt;
    }
    const auto &entry = choice.target->entry;
    // The copy takes up memory from now on.
    m_core.balancer.setCopy(m_id, entry.id, demand.promptTokens + demand.expectedTokens);
    return RelayTarget {.id = entry.id, .incarnation = entry.incarnation, .address = entry.address};
}

std::string RelayExchange::requestTextFor(const RelaySend &order) const
{
    const auto &fields = m_core.dialect.fields;
    MessageHead head {.method = m_request.head.method, .target = m_request.head.target};
    const auto isReserved = [&](std::string_view name) {
        return std::any_of(
            fields.reserved.begin(), fields.reserved.end(), [&](const std::string &reserved) { return absl::EqualsIgnoreCase(reserved, toAbsl(name)); });
    };
    for (const auto &field : m_request.head.fields) {
        if (!isChannelField(m_request.head, field.name) && !isReserved(field.name)) {
            head.fields.push_back(field);
        }
    }
    head.remove("content-length");
    head.remove("expect");
    const bool hadBody = m_request.head.has("content-length") || m_request.head.has("transfer-encoding");
    if (hadBody || !m_request.body.empty()) {
        head.set("Content-Length", absl::StrCat(m_request.body.size()));
    }
    head.set(fields.deadline, absl::StrCat(std::max<int64_t>(1, order.timeLeft.count())));
    head.set(fields.expectedTarget, order.target.id);
    if (m_workspace) {
        head.set(fields.workspace, m_workspace->name);
    }
    if (m_service->engine) {
        head.set(fields.priority, absl::StrCat(std::clamp(m_demand.priority, 0, MostPriority)));
    }
    if (!order.backupAddress.empty()) {
        head.set(fields.backup, order.backupAddress);
    }
    if (!order.memorySource.empty()) {
        head.set(fields.memorySource, order.memorySource);
    }
    if (order.lastEventId) {
        head.set(fields.lastEventId, absl::StrCat(*order.lastEventId));
    }
    return requestText(head) + m_request.body;
}

void RelayExchange::send(const RelaySend &order)
{
    const auto now = monotonicNow();
    const auto endpoint = Endpoint::parse(order.target.address);
    const bool mayReuse = m_route->kind == RelayKind::Repeatable;
    m_upstream = mayReuse ? m_core.channels.acquire(*endpoint, now) : m_core.channels.fresh(*endpoint);
    m_sentAt = now;
    m_lastByteAt = now;
    const auto load = m_core.balancer.loadOf(order.target.id);
    m_core.balancer.dropCopy(m_id);
    m_core.balancer.started(m_id, order.target.id, m_demand, now);
    if (order.memorySource.empty()) {
        m_core.onLoadChanged();
    } else {
        m_core.onTurnEnded();
    }
    m_core.running[this] = order.target.id;
    m_core.moves.remove(m_id);
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
    if (!order.memorySource.empty()) {
        line.add("memory_from", order.memorySource);
    }
    m_core.log(line);
    m_core.metrics.count("relay_sends_total");
    const auto number = ++m_sendNumber;
    const auto self = shared_from_this();
    m_upstream->exchange(requestTextFor(order),
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
}

bool RelayExchange::onHead(const MessageHead &head, std::optional<uint64_t> length)
{
    const auto &fields = m_core.dialect.fields;
    m_lastByteAt = monotonicNow();
    // An answer that arrives late, to an earlier request on this connection, bears that request's id.
    if (head.has(fields.requestId) && head.value(fields.requestId) != m_id) {
        m_core.metrics.count("relay_foreign_answers_total");
        return false;
    }
    m_answerHead = head;
    m_core.balancer.reachable(m_core.running[this]);
    const TargetAnswer answer {.status = head.status,
                               .notRun = head.has(fields.notRun),
                               .misdirected = head.status == StatusMisdirected,
                               .sealed = head.has(fields.seal),
                               .isStream = head.status / 100 == 2 && absl::StartsWithIgnoreCase(toAbsl(head.value("content-type")), toAbsl(EventStreamType)),
                               .length = length};
    const bool failed = answer.notRun || answer.misdirected || answer.status >= 500;
    if (failed) {
        auto line = m_core.line(EventKind::RelayTargetFailed);
        line.add("request", m_id).add("target", m_core.running[this]).add("status", answer.status).add("not_run", answer.notRun ? 1 : 0);
        m_core.log(line);
    }
    const auto number = m_sendNumber;
    m_session->onHead(answer, m_lastByteAt);
    // The session may have sent the request elsewhere, in which case this connection is closed already.
    return number != m_sendNumber || m_isOver || m_upstream != nullptr;
}

void RelayExchange::onBody(std::string_view bytes)
{
    m_lastByteAt = monotonicNow();
    m_session->onBody(bytes, m_lastByteAt);
    if (m_isOver || !m_service->engine) {
        return;
    }
    const auto events = m_session->eventCount();
    if (events > m_eventsCounted) {
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(m_lastByteAt - (m_eventsCounted == 0 ? m_request.arrivedAt : m_lastEventAt));
        if (m_eventsCounted == 0) {
            m_firstEventAfter = gap;
        } else {
            m_longestGap = std::max(m_longestGap, gap);
        }
        m_lastEventAt = m_lastByteAt;
        if (m_eventsCounted == 0) {
            m_core.metrics.observe("relay_first_event_seconds", std::chrono::duration<double>(m_lastByteAt - m_request.arrivedAt).count());
        }
        m_core.balancer.produced(m_id, (events - m_eventsCounted) * m_service->engine->tokensPerEvent);
        m_eventsCounted = events;
    }
}

void RelayExchange::onEnd(ChannelEnd end, const std::string &error)
{
    const auto now = monotonicNow();
    m_upstream.reset();
    if (end != ChannelEnd::Complete) {
        auto line = m_core.line(EventKind::RelayTargetFailed);
        line.add("request", m_id)
            .add("target", m_core.running[this])
            .add("reason", error)
            .add("sent", end == ChannelEnd::NotSent ? 0 : 1)
            .add("events", m_session->eventCount())
            .add("after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_sentAt).count());
        m_core.log(line);
        m_core.metrics.count("relay_target_failures_total");
        if (end == ChannelEnd::NotSent) {
            m_core.balancer.unreachable(m_core.running[this], now);
        } else if (!m_session->isMoving()) {
            m_core.noteBroken(m_core.running[this], m_digest);
        }
    }
    const auto result = end == ChannelEnd::Complete ? UpstreamResult::Complete : end == ChannelEnd::NotSent ? UpstreamResult::NotSent : UpstreamResult::Broken;
    m_session->onEnd(result, now);
}

void RelayExchange::abortSend()
{
    ++m_sendNumber;
    if (m_upstream) {
        m_upstream->abort();
        m_upstream.reset();
    }
}

void RelayExchange::copy(const RelayTarget &source, const RelayTarget &destination, bool stop)
{
    const auto endpoint = Endpoint::parse(source.address);
    auto call = m_core.dialect.copyCall(m_id, destination.address, stop);
    call.timeout = CopyTimeout;
    call.freshConnection = true;
    const auto orderedAt = monotonicNow();
    m_core.client.call(*endpoint, call, [self = shared_from_this(), source, destination, stop, orderedAt](const LoopAnswer &answer) {
        const auto now = monotonicNow();
        const auto result = self->m_core.dialect.decodeCopy(answer);
        auto line = self->m_core.line(EventKind::RelayCopied);
        line.add("request", self->m_id)
            .add("source", source.id)
            .add("destination", destination.id)
            .add("stop", stop ? 1 : 0)
            .add("status", answer.status)
            .add("events_made", result.eventsMade)
            .add("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - orderedAt).count());
        self->m_core.log(line);
        if (self->m_isOver) {
            return;
        }
        self->m_session->onCopied(result, now);
        if (!self->m_isOver && !self->m_session->isMoving()) {
            self->m_core.moves.remove(self->m_id);
            if (result.kind != CopyResult::Kind::Copied) {
                self->m_core.balancer.dropCopy(self->m_id);
                self->queueMove();
            }
            self->m_core.runMoves();
        }
    });
}

void RelayExchange::beginAnswer(std::optional<uint64_t> length)
{
    MessageHead head {.status = m_answerHead.status, .reason = m_answerHead.reason};
    for (const auto &field : m_answerHead.fields) {
        if (!isChannelField(m_answerHead, field.name)) {
            head.fields.push_back(field);
        }
    }
    const bool hasBody = m_request.head.method != "HEAD" && head.status != StatusNoContent && head.status != StatusNotModified;
    if (hasBody) {
        head.remove("content-length");
    }
    m_caller->begin(std::move(head), {.length = hasBody ? length : std::nullopt, .hasBody = hasBody});
}

void RelayExchange::finishAnswer()
{
    auto line = m_core.line(EventKind::RelayFinished);
    const auto now = monotonicNow();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_request.arrivedAt);
    line.add("request", m_id)
        .add("target", m_core.running[this])
        .add("status", m_answerHead.status)
        .add("events", m_session->eventCount())
        .add("sends", m_session->sendCount())
        .add("first_event_ms", m_firstEventAfter.count())
        .add("longest_gap_ms", m_longestGap.count())
        .add("took_ms", took.count());
    m_core.log(line);
    m_core.metrics.count("relay_answers_total", absl::StrCat("status=\"", m_answerHead.status, "\""));
    m_core.metrics.observe("relay_answer_seconds", std::chrono::duration<double>(took).count());
    leaveTarget(m_answerHead.status >= 500 ? RunEnd::Failed : RunEnd::Finished, now);
    m_caller->finish();
    over();
}

void RelayExchange::answer(RelayOutcome outcome, std::chrono::milliseconds retryAfter)
{
    const auto &info = relayOutcomeInfo(outcome);
    auto line = m_core.line(EventKind::RelayRejected);
    line.add("request", m_id).add("outcome", info.name).add("status", info.status).add("targets", static_cast<int64_t>(m_core.targets.size()));
    if (m_route) {
        line.add("route", m_route->name);
    }
    if (info.hasRetryAfter) {
        line.add("retry_after_ms", retryAfter.count());
    }
    if (!m_route) {
        line.add("path", pathOf(m_request.head.target)).add("document", m_routes ? m_routes->document().version : 0);
    }
    m_core.log(line);
    m_core.metrics.count("relay_rejections_total", absl::StrCat("outcome=\"", toAbsl(info.name), "\""));
    MessageHead head {.status = info.status};
    if (!m_id.empty()) {
        head.set(m_core.dialect.fields.requestId, m_id);
    }
    if (info.hasRetryAfter) {
        head.set("Retry-After", secondsText(retryAfter));
    }
    leaveTarget(RunEnd::Failed, monotonicNow());
    m_caller->send(std::move(head), {});
    over();
}

void RelayExchange::cut(RelayOutcome outcome)
{
    auto line = m_core.line(EventKind::RelayCut);
    line.add("request", m_id).add("outcome", relayOutcomeInfo(outcome).name).add("target", m_core.running[this]).add("events", m_session->eventCount());
    m_core.log(line);
    m_core.metrics.count("relay_cuts_total");
    leaveTarget(RunEnd::Failed, monotonicNow());
    m_caller->cut();
    over();
}

void RelayExchange::note(std::string_view decision, std::string_view reason)
{
    auto line = m_core.line(EventKind::RelayDecision);
    line.add("request", m_id).add("decision", decision).add("reason", reason);
    m_core.log(line);
    m_core.metrics.count("relay_decisions_total", absl::StrCat("decision=\"", toAbsl(decision), "\""));
}

void RelayExchange::queueMove()
{
    if (m_isOver || !m_demand.isMovable || m_moveTries >= MostMoveTries) {
        return;
    }
    ++m_moveTries;
    // The worth of a generation grows with its size, and most with its output.
    const double value = static_cast<double>(m_demand.promptTokens + OutputWeight * m_demand.expectedTokens);
    m_core.moves.add(m_core.running[this], m_id, value);
}

bool RelayExchange::startMove(MonotonicTime now)
{
    if (m_isOver) {
        return false;
    }
    m_session->onTargetLeaving(now);
    return !m_isOver && m_session->isMoving();
}

void RelayExchange::retryMoveLater()
{
    if (m_isOver) {
        return;
    }
    m_moveTimer.expires_after(MoveRetryPause);
    m_moveTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        if (const auto self = weak.lock(); self && !error && !self->m_isOver && !self->m_session->isMoving()) {
            self->queueMove();
            self->m_core.runMoves();
        }
    });
}

void RelayExchange::armDeadline()
{
    m_deadlineTimer.expires_at(m_deadline - DeadlineMargin);
    m_deadlineTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        if (const auto self = weak.lock(); self && !error && !self->m_isOver) {
            self->m_session->onDeadline(monotonicNow());
        }
    });
}

void RelayExchange::armSilence()
{
    if (m_route->kind != RelayKind::Stream || !m_route->resumable) {
        return;
    }
    const auto limit = m_eventsCounted == 0 ? FirstEventSilence : StreamSilence;
    m_silenceTimer.expires_at(m_lastByteAt + limit);
    m_silenceTimer.async_wait([weak = weak_from_this(), limit](const LoopError &error) {
        const auto self = weak.lock();
        if (!self || error || self->m_isOver) {
            return;
        }
        const auto now = monotonicNow();
        if (now - self->m_lastByteAt >= limit) {
            self->m_session->onSilence(now);
        }
        if (!self->m_isOver) {
            self->armSilence();
        }
    });
}

void RelayExchange::leaveTarget(RunEnd end, MonotonicTime now)
{
    m_core.balancer.ended(m_id, end, now);
    m_core.balancer.dropCopy(m_id);
}

void RelayExchange::over()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    leaveTarget(RunEnd::Cancelled, monotonicNow());
    m_core.running.erase(this);
    m_deadlineTimer.cancel();
    m_core.moves.remove(m_id);
    m_silenceTimer.cancel();
    m_moveTimer.cancel();
}

} // namespace Jujube
