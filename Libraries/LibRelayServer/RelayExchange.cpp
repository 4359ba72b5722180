#include <LibRelayServer/RelayExchange.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibCore/HttpStatus.h>
#include <LibRelay/DrainAdmission.h>
#include <LibRelay/OverloadAdmission.h>
#include <LibRelayServer/RelayForwarding.h>
#include <LibRelayServer/RolloutAgent.h>
#include <LibRelayServer/StreamVersions.h>

namespace Jujube
{

namespace
{

// Connecting takes one network round trip. A lost packet is only retransmitted after a second.
constexpr std::chrono::milliseconds ConnectTimeout {400};
// The response is sent this long before the caller's deadline, so that it arrives in time.
constexpr std::chrono::milliseconds DeadlineMargin {15};
// A resumable stream whose target is silent for this time continues on another target. The first event may take longer, because the request may wait in the
// target's queue.
constexpr std::chrono::milliseconds StreamSilenceTimeout {1500};
constexpr std::chrono::milliseconds FirstEventTimeout {2600};
// The destination of a migration admits the generation at once. After this time without a response, the source has to continue it before the source terminates.
constexpr std::chrono::milliseconds MigratedRunTimeout {1000};
constexpr std::chrono::milliseconds DefaultRetryAfter {500};
// A target that has crashed is back after some seconds.
constexpr std::chrono::milliseconds RestartRetryAfter {1000};
// Another relay can accept the request at once.
constexpr std::chrono::milliseconds OtherRelayRetryAfter {50};
// Time for which a request waits until a request limit allows it. Callers give up a stream after two seconds without an event.
constexpr std::chrono::milliseconds MaxWaitForRequestLimit {1000};
// A relay that has not known its document to be current for this time does not turn requests away for good, because a newer document may allow them.
constexpr std::chrono::milliseconds MaxDocumentAgeForDenial {2500};
// Time for which others wait while a part of prompts is tried again that crashed targets.
constexpr std::chrono::milliseconds TrialTime {5000};
// A target that lives on for this time after its first event has responded well.
constexpr std::chrono::milliseconds SoundResponseTime {1000};
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
    , m_id(m_request.head.value(core.adapter.fields.requestId))
    , m_waitTimer(core.loop)
    , m_deadlineTimer(core.loop)
    , m_silenceTimer(core.loop)
    , m_migrationTimer(core.loop)
    , m_copyTimer(core.loop)
    , m_runsTimer(core.loop)
{
}

RelayExchange::~RelayExchange()
{
    m_core.running.erase(this);
}

void RelayExchange::start()
{
    const auto now = m_request.arrivedAt;
    // A request that waited while the process was suspended must not be turned away for good by a table that seems newer than it is.
    m_core.detectFreeze(now);
    installCallerHooks();
    if (const auto outcome = admit(now)) {
        answer(*outcome, retryAfterFor(*outcome, now));
        return;
    }
    logAccepted(now);
    m_core.retryBudget(m_admission.service->name).recordRequest(now);
    if (isResumption()) {
        findStreamVersion(now);
    } else {
        startSession(now);
    }
}

bool RelayExchange::isResumption() const
{
    if (m_admission.route->kind != RouteKind::Stream || !m_admission.route->resumable) {
        return false;
    }
    const auto lastEvent = m_request.head.value(m_core.adapter.fields.lastEventId);
    return !lastEvent.empty() && lastEvent != "0";
}

void RelayExchange::findStreamVersion(MonotonicTime now)
{
    StreamVersions::Question question {.workspace = m_admission.workspace ? m_admission.workspace->name : std::string(),
                                       .attempt = std::string(m_request.head.value(m_core.adapter.fields.resumedAttempt))};
    for (const auto &share : m_admission.route->shares) {
        question.services.push_back(share.service);
    }
    m_core.streamVersions->find(
        question,
        [self = shared_from_this()](const std::optional<StreamVersions::Origin> &origin) {
            const auto foundAt = monotonicNow();
            if (self->m_isCallerGone) {
                self->finishRequest(RunEnd::Cancelled);
                return;
            }
            const auto *service = origin ? self->m_routes->findService(origin->service) : nullptr;
            if (!service) {
                self->answer(RelayOutcome::StreamVersionUnknown, DefaultRetryAfter);
                return;
            }
            self->m_admission.service = service;
            self->m_admission.demand.service = service->name;
            self->m_streamVersion = origin->version;
            self->startSession(foundAt);
        },
        now);
}

void RelayExchange::startSession(MonotonicTime now)
{
    createSession();
    armDeadlineTimer();
    m_session->start(now);
}

void RelayExchange::recordStreamVersion(const std::string &version, MonotonicTime now)
{
    if (!m_admission.route->resumable) {
        return;
    }
    const auto resumed = isResumption() ? m_request.head.value(m_core.adapter.fields.resumedAttempt) : std::string_view();
    const auto timeLeft = parseRequestClaims(m_request.head, m_core.adapter.fields).timeLeft.value_or(m_admission.route->timeout);
    m_core.streamVersions->record(m_admission.workspace ? m_admission.workspace->name : std::string(),
                                  m_admission.service->name,
                                  std::string(resumed.empty() ? std::string_view(m_id) : resumed),
                                  version,
                                  m_request.arrivedAt + timeLeft,
                                  now);
}

bool RelayExchange::hasTargetOfStreamVersion(MonotonicTime now) const
{
    const auto &targets = m_core.targets.ofService(m_admission.service->name);
    return std::ranges::any_of(
        targets, [&](const KnownTarget *target) { return target->entry.softwareVersion == *m_streamVersion && m_core.targets.isUsable(*target, now); });
}

void RelayExchange::onTargetReplaced(const TargetEntry &entry)
{
    if (m_isFinished || entry.softwareVersion == m_targetVersion) {
        return;
    }
    m_isStreamVersionUncertain = true;
    record("version_uncertain", entry.softwareVersion);
    if (m_streamVersion) {
        // Contradicts the version that was recorded, so that no relay goes on with the stream.
        recordStreamVersion(entry.softwareVersion, monotonicNow());
    }
}

void RelayExchange::installCallerHooks()
{
    m_caller->setAnswerHooks({.onGone =
                                  [weak = weak_from_this()] {
                                      const auto self = weak.lock();
                                      if (self) {
                                          self->m_isCallerGone = true;
                                      }
                                      if (self && self->m_session && !self->m_isFinished) {
                                          auto line = self->m_core.line(EventKind::RelayCallerGone);
                                          line.add("request", self->m_id).add("events", self->m_session->eventCount());
                                          self->m_core.log(line);
                                          self->m_core.metrics.count("relay_callers_gone_total");
                                          self->m_session->onCallerDisconnected();
                                          self->finishRequest(RunEnd::Cancelled);
                                      }
                                  },
                              .onWritable =
                                  [weak = weak_from_this()] {
                                      if (const auto self = weak.lock(); self && self->m_targetConnection) {
                                          self->m_targetConnection->resume();
                                      }
                                  }});
}

std::optional<RelayOutcome> RelayExchange::admit(MonotonicTime now)
{
    m_admission = admitRequest(m_routes.get(), parseRequestClaims(m_request.head, m_core.adapter.fields), m_core.randomUnit(), now);
    if (m_admission.rejection) {
        const bool isDenial = m_admission.rejection == RelayOutcome::NoRoute || m_admission.rejection == RelayOutcome::UnknownKey;
        return isDenial && m_core.documentAge(now) >= MaxDocumentAgeForDenial ? RelayOutcome::DocumentTooOld : *m_admission.rejection;
    }
    m_digest = CrashSuspects::fingerprint(m_admission.workspace ? m_admission.workspace->name : "", m_request.head.target, m_request.body);
    m_promptParts = m_core.adapter.decodePromptParts(m_request.head.value(m_core.adapter.fields.promptParts));
    if (!m_promptParts.empty()) {
        // The last part belongs to the request alone.
        m_promptParts.pop_back();
    }
    if (!mayUseTargets(now)) {
        return RelayOutcome::RolloutsUnknown;
    }
    if (poisonousUntil(now)) {
        return RelayOutcome::PoisonRequest;
    }
    if (m_core.isDraining() && !endsBeforeStop(m_admission.deadline, m_core.stopAt())) {
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
        .add("prompt_tokens", m_admission.demand.promptTokens)
        .add("expected_tokens", m_admission.demand.expectedTokens);
    if (const auto lastEvent = m_request.head.value(m_core.adapter.fields.lastEventId); !lastEvent.empty()) {
        line.add("last_event", lastEvent).add("resumes", m_request.head.value(m_core.adapter.fields.resumedAttempt));
    }
    addHomes(line, now);
    m_core.log(line);
    m_core.metrics.count("relay_requests_total");
}

void RelayExchange::addHomes(LogLine &line, MonotonicTime now)
{
    const auto &current = homes();
    line.add("document", current.document).add("document_age_ms", m_core.documentAge(now).count());
    if (current.inForce) {
        line.add("homes", absl::StrJoin(*current.inForce, ","));
    }
}

std::chrono::milliseconds RelayExchange::retryAfterFor(RelayOutcome outcome, MonotonicTime now)
{
    if (outcome == RelayOutcome::Draining) {
        return OtherRelayRetryAfter;
    }
    if (outcome == RelayOutcome::PoisonRequest) {
        return std::max(DefaultRetryAfter, wholeMilliseconds(poisonousUntil(now).value_or(now) - now));
    }
    return DefaultRetryAfter;
}

std::optional<MonotonicTime> RelayExchange::poisonousUntil(MonotonicTime now)
{
    if (const auto verdict = m_core.crashSuspects.verdict(m_digest, now);
        verdict.action == CrashVerdict::Action::Reject || verdict.action == CrashVerdict::Action::Wait) {
        return verdict.until;
    }
    const auto verdict = m_core.promptParts.verdict(m_promptParts, now);
    switch (verdict.action) {
    case PromptPartVerdict::Action::Run:
        break;
    case PromptPartVerdict::Action::Reject:
        return verdict.until;
    case PromptPartVerdict::Action::Try:
        if (m_triedPart == verdict.part) {
            break;
        }
        if (!m_core.triesPart(verdict.part, now) || !m_core.triedParts.insert(verdict.part).second) {
            return now + TrialTime;
        }
        if (m_triedPart) {
            m_core.triedParts.erase(*m_triedPart);
        }
        m_triedPart = verdict.part;
        break;
    }
    return std::nullopt;
}

void RelayExchange::noteSoundResponse(MonotonicTime now)
{
    if (!m_isSound && !m_promptParts.empty()) {
        m_isSound = true;
        m_core.promptParts.recordSound(m_promptParts, {}, now);
    }
}

void RelayExchange::createSession()
{
    const RequestProperties facts {.id = m_id,
                                   .kind = m_admission.route->kind,
                                   .resumable = m_admission.route->resumable,
                                   .maxAttempts = m_admission.route->maxAttempts,
                                   .hasReportedRuns = m_admission.service->engine.has_value(),
                                   .deadline = m_admission.deadline - DeadlineMargin};
    m_session = std::make_unique<RelaySession>(
        facts,
        RelaySession::Hooks {.choose = [this](const std::set<std::string> &excluded, MonotonicTime now) { return choose(excluded, now); },
                             .chooseBackup = [this](const RelayTarget &target, MonotonicTime now) { return chooseBackup(target, now); },
                             .chooseDestination = [this](const std::set<std::string> &excluded, MonotonicTime now) { return chooseDestination(excluded, now); },
                             .mayContinue = [this](const RelayTarget &target, MonotonicTime now) { return mayContinue(target, now); },
                             .reserveContinuation = [this](const RelayTarget &target, MonotonicTime now) { return reserveContinuation(target, now); },
                             .releaseContinuations = [this] { releaseContinuations(); },
                             .tryTakeRetry
                             = [this](MonotonicTime now) { return m_core.retryBudget(m_admission.service->name).tryRetry(m_core.peers.sharingRelays(), now); },
                             .sendAttempt = [this](const RelayAttempt &attempt) { send(attempt); },
                             .wait = [this](MonotonicTime until) { armWaitTimer(until); },
                             .abortAttempt = [this] { abortAttempt(); },
                             .startCopy = [this](const RelayTarget &source, const RelayTarget &destination, bool stop) { copy(source, destination, stop); },
                             .readRuns = [this](const RelayTarget &target, MonotonicTime at) { readRuns(target, at); },
                             .beginResponse = [this](std::optional<uint64_t> length) { beginResponse(length); },
                             .write =
                                 [this](std::string_view bytes) {
                                     m_caller->write(bytes);
                                     if (m_targetConnection && m_caller->isCongested()) {
                                         m_hasPausedTarget = true;
                                         m_targetConnection->pause();
                                     }
                                 },
                             .finishResponse = [this] { finishResponse(); },
                             .respond = [this](RelayOutcome outcome, std::chrono::milliseconds retryAfter) { answer(outcome, retryAfter); },
                             .cutResponse = [this](RelayOutcome outcome) { cut(outcome); },
                             .record = [this](std::string_view decision, std::string_view reason) { record(decision, reason); }});
}

TargetChoice RelayExchange::choose(const std::set<std::string> &excluded, MonotonicTime now)
{
    if (m_core.balancer.requestLimits().hasLimits()) {
        m_core.detectFreeze(now);
    }
    if (const auto until = poisonousUntil(now)) {
        return {.rejection = RelayOutcome::PoisonRequest, .retryAfter = std::max(DefaultRetryAfter, wholeMilliseconds(*until - now))};
    }
    if (m_mayHaveCrashedTarget && !m_core.promptParts.areSound(m_promptParts, now)) {
        // Another target may crash as well.
        return {};
    }
    if (m_streamVersion && m_isStreamVersionUncertain) {
        return {.rejection = RelayOutcome::StreamVersionUnknown, .retryAfter = DefaultRetryAfter};
    }
    if (m_streamVersion && !hasTargetOfStreamVersion(now)) {
        return {.rejection = RelayOutcome::StreamVersionGone, .retryAfter = RestartRetryAfter};
    }
    const auto choice = chooseByVersion({.demand = m_admission.demand,
                                         .excluded = excluded,
                                         .homeRegions = homes().inForce,
                                         .liveRelays = m_core.liveRelays(now),
                                         .coldRateParticipants = m_core.peers.coldRateParticipants(now),
                                         .reservedTarget = reservedTarget(now)},
                                        now);
    if (const auto retryAfter = choice.target ? overloadRetryAfter(choice.target->entry.id, now) : std::nullopt) {
        return {.rejection = RelayOutcome::Overloaded, .retryAfter = *retryAfter};
    }
    TargetChoice result;
    if (choice.target) {
        result.target = RelayTarget::of(choice.target->entry);
        if (choice.isHeldBack) {
            m_core.metrics.count("relay_limit_held_back_total", "action=\"sent_elsewhere\"");
        }
    } else if (choice.isHeldBack) {
        result = holdBack(choice, now);
    } else if (choice.cooldownUntil) {
        result.retryAfter = std::max(DefaultRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(*choice.cooldownUntil - now));
    }
    return result;
}

std::optional<std::chrono::milliseconds> RelayExchange::overloadRetryAfter(const std::string &target, MonotonicTime now)
{
    const auto &service = *m_admission.service;
    if (!m_core.options.hasOverloadAdmission() || !service.engine || m_session->attemptCount() > 0) {
        return std::nullopt;
    }
    // The most urgent requests of a service are never rejected in favour of others.
    const auto mostUrgent = m_routes->mostUrgentPriority(service.name);
    if (!mostUrgent || m_admission.route->priority <= *mostUrgent) {
        return std::nullopt;
    }
    const OverloadAdmission admission({.maxWaitPart = m_core.options.maxOverloadWait});
    const OverloadAdmission::Engine engine {.load = m_core.balancer.loadOf(target), .memoryTokens = service.engine->memoryTokens};
    const OverloadAdmission::Request request {.promptTokens = m_admission.demand.promptTokens,
                                              .expectedTokens = m_admission.demand.expectedTokens,
                                              .latencyGoal = m_admission.route->latencyGoal,
                                              .timeLeft = wholeMilliseconds(m_admission.deadline - now)};
    const auto retryAfter = admission.rejectionOf(engine, request, m_core.randomUnit());
    if (retryAfter) {
        record("reject", absl::StrCat("overload: ", target, " begins after ", admission.waitingTime(engine, request).count(), " ms"));
    }
    return retryAfter;
}

TargetBalancer::Choice RelayExchange::chooseByVersion(TargetBalancer::Query query, MonotonicTime now)
{
    if (!mayUseTargets(now)) {
        return {};
    }
    const auto &service = *m_admission.service;
    const auto chooseNow = [&] { return m_core.balancer.choose(query, m_core.targets, service, now, m_core.random()); };
    const auto allowed = allowedVersions(now);
    query.versions = withoutUnsettled(allowed, now);
    if (!m_core.rollouts) {
        return chooseNow();
    }
    query.withheld = m_core.rollouts->withheldTargets();
    auto choice = chooseNow();
    if (!choice.target && !m_streamVersion && m_core.rollouts->isForTrial(service.name, allowed)) {
        m_isTurnedAwayFromTrial = true;
        query.versions = withoutUnsettled(m_core.rollouts->filterForRetry(service.name, now), now);
        choice = chooseNow();
    }
    return choice;
}

VersionFilter RelayExchange::withoutUnsettled(VersionFilter allowed, MonotonicTime now) const
{
    if (m_streamVersion || m_admission.route->kind != RouteKind::Stream || !m_admission.route->resumable) {
        return allowed;
    }
    const auto settled = m_core.streamVersions->settledVersions(m_admission.service->name, now);
    return settled ? allowed.restrictedTo(*settled) : allowed;
}

bool RelayExchange::mayUseTargets(MonotonicTime now)
{
    if (!m_core.rollouts) {
        return true;
    }
    if (m_core.rollouts->hasRolloutInProgress()) {
        // While the process was stopped, a rollout may have gone on without it.
        m_core.detectFreeze(now);
    }
    return m_core.rollouts->isReady(now);
}

VersionFilter RelayExchange::allowedVersions(MonotonicTime now)
{
    if (m_streamVersion) {
        return versionsToContinue(m_target, *m_streamVersion, now);
    }
    if (!m_core.rollouts) {
        return {};
    }
    const auto &service = m_admission.service->name;
    if (m_session->attemptCount() > 0 || m_isTurnedAwayFromTrial) {
        return m_core.rollouts->filterForRetry(service, now);
    }
    if (!m_versionDraw) {
        m_versionDraw = m_core.randomUnit();
    }
    return m_core.rollouts->filterForFirst(service, *m_versionDraw, now);
}

TargetChoice RelayExchange::holdBack(const TargetBalancer::Choice &choice, MonotonicTime now)
{
    const auto latest = std::min(m_request.arrivedAt + MaxWaitForRequestLimit, m_request.arrivedAt + (m_admission.deadline - m_request.arrivedAt) / 2);
    if (choice.nextLimited && m_session->attemptCount() == 0) {
        m_reservation = m_core.balancer.requestLimits().reserve(choice.nextLimited->entry.id, latest, now);
        if (m_reservation) {
            record("queue", m_reservation->target);
            m_core.metrics.count("relay_limit_held_back_total", "action=\"queued\"");
            return {.waitUntil = m_reservation->sendAt};
        }
    }
    m_core.metrics.count("relay_limit_held_back_total", "action=\"rejected\"");
    // Without a share of its own, the relay does not know when another one may send a request.
    auto nextAt = choice.nextLimited ? choice.nextLimitedAt : now + DefaultRetryAfter;
    if (choice.cooldownUntil) {
        nextAt = std::min(nextAt, *choice.cooldownUntil);
    }
    return {.rejection = RelayOutcome::OverRequestLimit,
            .retryAfter = std::max(OtherRelayRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(nextAt - now))};
}

std::string RelayExchange::reservedTarget(MonotonicTime now) const
{
    return m_reservation && m_core.balancer.requestLimits().isValid(*m_reservation, now) ? m_reservation->target : std::string();
}

void RelayExchange::useRequestLimit(const std::string &target, MonotonicTime now)
{
    const bool isReserved = reservedTarget(now) == target;
    if (m_reservation && !isReserved) {
        m_core.balancer.requestLimits().cancel(*m_reservation);
    }
    m_reservation.reset();
    m_reservedAt.erase(target);
    if (!m_core.continuations.use(target, m_id, now) && !isReserved) {
        m_core.balancer.requestLimits().recordSend(target, now);
    }
}

void RelayExchange::send(const RelayAttempt &attempt)
{
    const auto now = monotonicNow();
    const auto endpoint = Endpoint::parse(attempt.target.address);
    const bool mayReuse = m_admission.route->kind == RouteKind::Repeatable;
    m_targetConnection = mayReuse ? m_core.channels.acquire(*endpoint, now) : m_core.channels.fresh(*endpoint);
    m_isConnectionKept = m_targetConnection->isIdle();
    m_isResponseNamed = false;
    m_hasPausedTarget = false;
    m_sentAt = now;
    m_silentSince = now;
    if (m_attemptFailed) {
        m_core.balancer.onAttemptFailed(m_target, now);
        m_attemptFailed = false;
    }
    const auto load = m_core.balancer.loadOf(attempt.target.id);
    useRequestLimit(attempt.target.id, now);
    if (m_core.balancer.requestLimits().isLimited(attempt.target.id)) {
        m_core.metrics.count("relay_limited_sends_total", absl::StrCat("target=\"", attempt.target.id, "\""));
    }
    m_core.balancer.dropCopy(m_id);
    m_core.balancer.onRunStarted(m_id, attempt.target.id, m_admission.demand, now);
    if (attempt.backup) {
        m_core.balancer.setBackup(m_id, attempt.backup->id, m_admission.demand.promptTokens + m_admission.demand.expectedTokens);
    }
    if (attempt.kvCacheSource.empty()) {
        m_core.onLoadChanged(m_admission.service->engine.has_value());
    } else {
        m_core.balancer.cooldowns().recordContinuation(attempt.target.id);
        m_core.onMigrationEnded();
    }
    m_target = attempt.target.id;
    m_targetIncarnation = attempt.target.incarnation;
    m_targetVersion = attempt.target.version;
    if (m_core.rollouts) {
        beginRolloutSample(attempt, now);
    }
    m_core.running.insert(this);
    m_core.finishMigration(m_id);
    logAttempt(attempt, load, now);
    const auto number = ++m_attemptNumber;
    const auto self = shared_from_this();
    m_targetConnection->exchange(
        forwardedRequest(m_request, m_admission, attempt, m_core.adapter.fields),
        m_request.head.method == "HEAD",
        ConnectTimeout,
        {.onHead
         = [self, number](const MessageHead &head, std::optional<uint64_t> length) { return number != self->m_attemptNumber || self->onHead(head, length); },
         .onBody =
             [self, number](std::string_view bytes) {
                 if (number == self->m_attemptNumber) {
                     self->onBody(bytes);
                 }
             },
         .onEnd =
             [self, number, channel = m_targetConnection](ChannelEnd end, const std::string &error) {
                 // On a kept connection only the id tells a response from a late one to an earlier request, so a target that sends none gets new connections.
                 if (self->m_isResponseNamed) {
                     self->m_core.channels.release(channel);
                 } else {
                     channel->abort();
                 }
                 if (number == self->m_attemptNumber) {
                     self->onEnd(end, error);
                 }
             }});
    armSilenceTimer();
    if (!attempt.kvCacheSource.empty() && m_core.mustBeLeft(attempt.target.id)) {
        // The generation continues on the engine that it was to leave.
        retryMigrationLater();
    }
}

void RelayExchange::logAttempt(const RelayAttempt &attempt, const TargetLoad &load, MonotonicTime now)
{
    const auto *known = m_core.targets.find(attempt.target.id);
    const auto &dataCentre = known ? known->entry.dataCentre : std::string();
    auto line = m_core.line(EventKind::RelaySent);
    line.add("request", m_id)
        .add("target", attempt.target.id)
        .add("address", attempt.target.address)
        .add("data_centre", dataCentre)
        .add("region", m_core.balancer.regionOf(dataCentre))
        .add("version", attempt.target.version)
        .add("attempt", attempt.attempt)
        .add("time_left_ms", attempt.timeLeft.count())
        .add("target_running", load.running)
        .add("target_memory", load.memory)
        .add("target_prefill", load.prefill);
    if (attempt.lastEventId) {
        line.add("last_event", *attempt.lastEventId);
    }
    if (m_streamVersion) {
        line.add("stream_version", *m_streamVersion);
    }
    if (!attempt.kvCacheSource.empty()) {
        line.add("memory_from", attempt.kvCacheSource);
    }
    if (attempt.backup) {
        line.add("backup", attempt.backup->id);
    }
    addHomes(line, now);
    m_core.log(line);
    m_core.metrics.count("relay_sends_total");
    checkHomes(attempt.target.id, dataCentre);
    if (m_streamVersion && *m_streamVersion != attempt.target.version) {
        m_core.metrics.count("relay_sends_at_other_version_total");
    }
}

const RelayExchange::Homes &RelayExchange::homes()
{
    const auto version = m_core.routes->document().version;
    if (!m_homes || m_homes->document != version) {
        const bool isOfAdmission = version == m_routes->document().version;
        auto byDocument
            = isOfAdmission ? m_admission.homeRegions : homesByDocument(*m_core.routes, parseRequestClaims(m_request.head, m_core.adapter.fields), m_admission);
        auto inForce = homesInForce(m_admission.homeRegions, byDocument);
        m_homes = {.document = version, .byDocument = std::move(byDocument), .inForce = std::move(inForce)};
    }
    return *m_homes;
}

bool RelayExchange::isHome(const std::string &target)
{
    const auto &regions = homes().inForce;
    const auto *known = m_core.targets.find(target);
    return !regions || (known && m_core.balancer.isHome(regions, known->entry.dataCentre));
}

void RelayExchange::checkHomes(const std::string &target, const std::string &dataCentre)
{
    const auto &regions = homes().byDocument;
    if (m_core.balancer.isHome(regions, dataCentre)) {
        return;
    }
    auto line = m_core.line(EventKind::RelaySentOutsideHomes);
    line.add("request", m_id)
        .add("target", target)
        .add("data_centre", dataCentre)
        .add("region", m_core.balancer.regionOf(dataCentre))
        .add("homes", absl::StrJoin(*regions, ","))
        .add("document", m_core.routes->document().version)
        .add("accepted_by_document", m_routes->document().version);
    m_core.log(line);
    m_core.metrics.count("relay_sends_outside_homes_total");
}

bool RelayExchange::onHead(const MessageHead &head, std::optional<uint64_t> length)
{
    const auto &fields = m_core.adapter.fields;
    const auto now = monotonicNow();
    // A late response to an earlier request on this connection has that request's id, or none.
    m_isResponseNamed = head.value(fields.requestId) == m_id;
    if (!m_isResponseNamed && (head.has(fields.requestId) || m_isConnectionKept)) {
        m_core.metrics.count("relay_foreign_answers_total");
        return false;
    }
    m_responseHead = head;
    m_core.balancer.markReachable(m_target);
    m_core.targetRuns.recordAlive(m_target, m_targetIncarnation, now);
    const auto response = parseTargetResponse(head, length, fields);
    if (!response.misdirected) {
        noteTargetState(response, now);
    }
    if (response.notRun || response.misdirected || response.status >= FirstServerError) {
        m_attemptFailed = true;
        auto line = m_core.line(EventKind::RelayTargetFailed);
        line.add("request", m_id).add("target", m_target).add("status", response.status).add("not_run", response.notRun ? 1 : 0);
        if (response.cooldown) {
            line.add("quiet_ms", response.cooldown->count());
        }
        m_core.log(line);
    }
    sampleHead(response, now);
    // If the session rejects the response, it calls abortAttempt().
    m_session->onHead(response, now);
    return true;
}

void RelayExchange::noteTargetState(const TargetResponse &response, MonotonicTime now)
{
    if (response.leaving) {
        m_core.recordLeaving(m_target, m_targetIncarnation, "own response", now);
    }
    if (response.cooldown) {
        m_core.balancer.cooldowns().record(m_target, *response.cooldown, now);
        m_core.metrics.count("relay_targets_quiet_total");
    }
    // A response of something else than the target, or with an unusable value, does not end a limit.
    const bool isOwnResponse = response.sealed || response.notRun;
    if (response.requestLimit || (isOwnResponse && !response.hasRequestLimit)) {
        m_core.recordRequestLimit({.target = m_target, .incarnation = m_targetIncarnation, .limit = response.requestLimit}, now);
    }
}

void RelayExchange::onBody(std::string_view bytes)
{
    const auto now = monotonicNow();
    const auto attemptNumber = m_attemptNumber;
    const auto eventsBefore = m_session->eventCount();
    if (!m_hasPausedTarget) {
        m_core.targetRuns.recordAlive(m_target, m_targetIncarnation, now);
    }
    m_session->onBody(bytes, now);
    if (m_isFinished || attemptNumber != m_attemptNumber || m_session->eventCount() == eventsBefore) {
        return;
    }
    // Bytes that complete no event do not count as progress of a stream.
    m_silentSince = now;
    if (!m_streamVersion || (eventsBefore == 0 && isResumption())) {
        m_streamVersion = m_streamVersion.value_or(m_targetVersion);
        recordStreamVersion(*m_streamVersion, now);
    }
    if (auto *samples = rolloutSamples()) {
        m_rolloutSampler->recordEvents(*samples, m_session->eventCount() - m_eventsBefore, now);
    }
    if (m_admission.service->engine) {
        noteEvents(now);
    }
}

void RelayExchange::noteEvents(MonotonicTime now)
{
    const bool isFirst = m_eventsCounted == 0;
    const auto gap = now - (isFirst ? m_request.arrivedAt : m_lastEventAt);
    if (isFirst) {
        m_firstEventAt = now;
        m_firstEventAfter = wholeMilliseconds(gap);
        m_core.metrics.observe("relay_first_event_seconds", std::chrono::duration<double>(gap).count());
    } else {
        m_maxGap = std::max(m_maxGap, wholeMilliseconds(gap));
    }
    const auto events = m_session->eventCount();
    m_core.balancer.onTokensProduced(m_id, (events - m_eventsCounted) * m_admission.service->engine->tokensPerEvent);
    m_lastEventAt = now;
    m_eventsCounted = events;
    if (now - m_firstEventAt >= SoundResponseTime) {
        noteSoundResponse(now);
    }
}

void RelayExchange::onEnd(ChannelEnd end, const std::string &error)
{
    const auto now = monotonicNow();
    m_targetConnection.reset();
    if (end == ChannelEnd::Broken && !m_isConnectionKept) {
        // The connection was accepted after the request was to be sent.
        m_core.targetRuns.recordAlive(m_target, m_targetIncarnation, m_sentAt);
    }
    sampleEnd(end, now);
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
        m_attemptFailed = end == ChannelEnd::Broken && !m_session->isMigrating();
        if (end == ChannelEnd::NotSent) {
            m_core.balancer.markUnreachable(m_target, now);
        } else if (!m_session->isMigrating()) {
            m_mayHaveCrashedTarget = m_isResponseNamed && m_eventsCounted == 0 && !m_promptParts.empty() && !m_core.targets.isLeaving(m_target);
            m_core.noteInterruptedResponse(m_target,
                                           {.digest = m_digest,
                                            .hasBegun = m_isResponseNamed,
                                            .events = m_eventsCounted,
                                            .eventsFor = m_eventsCounted > 0 ? wholeMilliseconds(now - m_firstEventAt) : std::chrono::milliseconds(0),
                                            .parts = m_promptParts});
            m_unexpectedFailures += m_core.targets.isLeaving(m_target) ? 0 : 1;
        }
    }
    const auto result = end == ChannelEnd::Complete ? ExchangeResult::Complete : end == ChannelEnd::NotSent ? ExchangeResult::NotSent : ExchangeResult::Broken;
    m_session->onEnd(result, now);
}

void RelayExchange::abortAttempt()
{
    ++m_attemptNumber;
    if (m_targetConnection) {
        m_targetConnection->abort();
        m_targetConnection.reset();
    }
}

void RelayExchange::beginResponse(std::optional<uint64_t> length)
{
    auto head = forwardedResponse(m_responseHead);
    const bool responseHasBody = hasBody(m_request.head.method, head.status);
    // Without a body, the target's length only describes that of another response (RFC 9110, section 8.6). A caller of HEAD knows that; another one might wait
    // for the bytes.
    if (m_request.head.method != "HEAD" || head.status == StatusNoContent) {
        head.remove("content-length");
    }
    m_caller->begin(std::move(head), {.length = responseHasBody ? length : std::nullopt, .hasBody = responseHasBody});
}

void RelayExchange::finishResponse()
{
    if (m_eventsCounted > 0) {
        noteSoundResponse(monotonicNow());
    }
    auto line = m_core.line(EventKind::RelayFinished);
    const auto took = wholeMilliseconds(monotonicNow() - m_request.arrivedAt);
    line.add("request", m_id)
        .add("target", m_target)
        .add("status", m_responseHead.status)
        .add("events", m_session->eventCount())
        .add("sends", m_session->attemptCount())
        .add("first_event_ms", m_firstEventAfter.count())
        .add("longest_gap_ms", m_maxGap.count())
        .add("took_ms", took.count());
    m_core.log(line);
    m_core.metrics.count("relay_answers_total", absl::StrCat("status=\"", m_responseHead.status, "\""));
    m_core.metrics.observe("relay_answer_seconds", std::chrono::duration<double>(took).count());
    m_caller->finish();
    finishRequest(m_responseHead.status >= FirstServerError ? RunEnd::Failed : RunEnd::Finished);
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
        line.add("path", parseRequestClaims(m_request.head, m_core.adapter.fields).path).add("document", m_routes ? m_routes->document().version : 0);
    }
    m_core.log(line);
    m_core.metrics.count("relay_rejections_total", absl::StrCat("outcome=\"", toAbsl(info.name), "\""));
    m_caller->send(ownResponse(info, m_id, retryAfter, m_core.adapter.fields), {});
    finishRequest(RunEnd::Failed);
}

void RelayExchange::cut(RelayOutcome outcome)
{
    auto line = m_core.line(EventKind::RelayCut);
    line.add("request", m_id).add("outcome", relayOutcomeInfo(outcome).name).add("target", m_target).add("events", m_session->eventCount());
    m_core.log(line);
    m_core.metrics.count("relay_cuts_total");
    m_caller->cut();
    finishRequest(RunEnd::Failed);
}

void RelayExchange::handleStop(MonotonicTime now)
{
    if (!m_isFinished) {
        m_session->onStop(now);
    }
}

void RelayExchange::logUnfinished(MonotonicTime now) const
{
    auto line = m_core.line(EventKind::RelayUnfinished);
    line.add("request", m_id)
        .add("target", m_target)
        .add("events", m_session->eventCount())
        .add("age_ms", wholeMilliseconds(now - m_request.arrivedAt).count())
        .add("time_left_ms", wholeMilliseconds(m_admission.deadline - now).count());
    if (m_core.draining) {
        line.add("since_stop_ms", wholeMilliseconds(now - m_core.draining->since).count())
            .add("arrived_after_stop_ms", wholeMilliseconds(m_request.arrivedAt - m_core.draining->since).count());
    }
    m_core.log(line);
}

void RelayExchange::record(std::string_view decision, std::string_view reason)
{
    auto line = m_core.line(EventKind::RelayDecision);
    line.add("request", m_id).add("decision", decision).add("reason", reason);
    m_core.log(line);
    m_core.metrics.count("relay_decisions_total", absl::StrCat("decision=\"", toAbsl(decision), "\""));
}

void RelayExchange::armDeadlineTimer()
{
    m_deadlineTimer.expires_at(m_admission.deadline - DeadlineMargin);
    m_deadlineTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        if (const auto self = weak.lock(); self && !error && !self->m_isFinished) {
            const auto now = monotonicNow();
            self->sampleDeadline(now);
            self->m_session->onDeadline(now);
        }
    });
}

void RelayExchange::armWaitTimer(MonotonicTime until)
{
    m_waitTimer.expires_at(until);
    // While the request waits, no connection to a target keeps the exchange alive.
    m_waitTimer.async_wait([self = shared_from_this()](const LoopError &error) {
        if (!error && !self->m_isFinished) {
            self->m_session->onWaitOver(monotonicNow());
        }
    });
}

std::optional<std::chrono::milliseconds> RelayExchange::silenceTimeout() const
{
    if (m_session->isAwaitingMigratedRun()) {
        return MigratedRunTimeout;
    }
    if (m_admission.route->kind != RouteKind::Stream || !m_admission.route->resumable) {
        return std::nullopt;
    }
    return m_eventsCounted == 0 ? FirstEventTimeout : StreamSilenceTimeout;
}

void RelayExchange::armSilenceTimer()
{
    const auto limit = silenceTimeout();
    if (!limit) {
        m_silenceTimer.cancel();
        return;
    }
    m_silenceTimer.expires_at(m_silentSince + *limit);
    m_silenceTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        const auto self = weak.lock();
        if (!self || error || self->m_isFinished) {
            return;
        }
        const auto now = monotonicNow();
        const auto currentTimeout = self->silenceTimeout();
        if (currentTimeout && now - self->m_silentSince >= *currentTimeout) {
            // Without an alternative the stream stays with its target, and the next look is a whole timeout later.
            self->m_silentSince = now;
            if (!self->m_caller->isCongested() && !self->m_session->isMigrating() && !self->m_session->isInterrupted()) {
                self->sampleFailure();
            }
            self->m_session->onStreamTimeout(now);
        }
        if (!self->m_isFinished) {
            self->armSilenceTimer();
        }
    });
}

void RelayExchange::finishRequest(RunEnd end)
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    m_rolloutSampler.reset();
    if (m_triedPart) {
        m_core.triedParts.erase(*m_triedPart);
    }
    m_core.balancer.onRunEnded(m_id, end, monotonicNow());
    m_core.balancer.dropCopy(m_id);
    m_core.running.erase(this);
    m_core.finishMigration(m_id);
    m_waitTimer.cancel();
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_migrationTimer.cancel();
    m_copyTimer.cancel();
    releaseContinuations();
    m_runsTimer.cancel();
}

} // namespace Jujube
