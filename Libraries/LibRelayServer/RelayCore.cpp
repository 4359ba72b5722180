#include <LibRelayServer/RelayCore.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>
#include <LibRelayServer/RelayExchange.h>
#include <LibRelayServer/RolloutAgent.h>
#include <tuple>
#include <vector>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// Requests get their responses, and the process exits, this long before it would be killed. The first margin leaves time to write the responses.
constexpr std::chrono::milliseconds StopMargin {600};
constexpr std::chrono::milliseconds ExitMargin {300};
// Responses of one target that are interrupted within this time are attributed to one crash.
constexpr std::chrono::milliseconds CrashGroupingTime {100};
// A target that accepts connections and resets them, or does not respond on them, may have crashed in this moment, or takes no further connections. It is
// checked again after this delay, and has not crashed if it does the same then.
constexpr std::chrono::milliseconds RecheckDelay {300};
constexpr int MaxChecks = 3;
// A lost packet makes one connection time out.
constexpr int MinConnectTimeouts = 2;
// When further responses of a target break off while it is being checked, those that broke off longer ago belong to another event.
constexpr std::chrono::milliseconds MaxInterruptionTime {1500};
constexpr size_t MaxInterruptedRequests = 200;
// A target is not checked any more if its request limit has not allowed that for this time.
constexpr std::chrono::milliseconds MaxCheckDelay {1000};
constexpr std::chrono::milliseconds StateTimeout {400};
// A request that crashes its target does so within this time after its first event.
constexpr std::chrono::milliseconds MaxTimeToCrash {500};
// Length of the list of suspects in a log line.
constexpr size_t MaxLoggedSuspects = 2000;
constexpr double MillisecondsPerSecond = 1000;
// A limit that falls below this part of the previous one is reported to peers at once.
constexpr double SignificantReduction = 0.8;
// Time of a migration in addition to the transfer: two copy commands, the way to the engine and back, and the heartbeat that the relay has finished. If the
// next relay begins too early, the run that stops waits on the link for the other copy.
constexpr std::chrono::milliseconds CopyOverhead {200};

// Whether a process is known to be a later one of the same target. Zero stands for a start that is not known.
bool isLaterProcess(int64_t incarnation, int64_t earlier)
{
    return earlier != 0 && incarnation > earlier;
}

} // namespace

RelayCore::RelayCore(boost::asio::io_context &loopInUse, RelayOptions relayOptions, PlatformAdapter platformAdapter, LineWriter &lines)
    : loop(loopInUse)
    , options(std::move(relayOptions))
    , adapter(std::move(platformAdapter))
    , channels(loopInUse)
    , client(loopInUse)
    , targets({})
    , balancer({.region = options.region, .regions = options.regions, .cooldowns = {.maxCooldown = options.maxCooldown}})
    , continuations({.onReleased = [this](const std::string &target) { resumeMigrations(target); }}, balancer.cooldowns(), balancer.requestLimits())
    , targetRuns(client,
                 adapter,
                 {.tryTakeCall =
                      [this](const std::string &target, MonotonicTime now) {
                          const bool isAllowed = balancer.requestLimits().mayContinue(target, now);
                          if (isAllowed) {
                              balancer.requestLimits().recordSend(target, now);
                          }
                          return isAllowed;
                      },
                  .onUnreachable = [this](const std::string &target, MonotonicTime now) { balancer.markUnreachable(target, now); }})
    , peers({.ownAddress = options.peers.toText(), .ownName = options.node, .region = options.region, .regions = options.regions}, monotonicNow())
    , promptParts({.reportOrder = XXH3_64bits(options.node.data(), options.node.size())})
    , m_lines(lines)
    , m_random(std::random_device {}())
    , m_interruptedTimer(loopInUse)
    , m_migrationTimer(loopInUse)
{
}

ServiceRetryBudget &RelayCore::retryBudget(const std::string &service)
{
    auto &budget = m_retryBudgets[service];
    if (!budget) {
        budget = std::make_unique<ServiceRetryBudget>(options.retries);
    }
    return *budget;
}

uint64_t RelayCore::random()
{
    return m_random();
}

double RelayCore::randomUnit()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

int RelayCore::liveRelays(MonotonicTime now) const
{
    return peers.liveRelayCount(now);
}

MonotonicTime RelayCore::stopAt() const
{
    return draining->since + draining->grace - StopMargin;
}

MonotonicTime RelayCore::exitAt() const
{
    return draining->since + draining->grace - ExitMargin;
}

LogLine RelayCore::line(EventKind kind) const
{
    return {kind, wallMsNow(), options.node};
}

void RelayCore::log(LogLine &line)
{
    m_lines.add(line.take());
}

void RelayCore::handleTargetLeaving(const std::string &target, std::string_view reason, MonotonicTime now)
{
    auto entry = line(EventKind::TargetLeft);
    entry.add("target", target).add("reason", reason);
    log(entry);
    metrics.count("relay_targets_left_total");
    updateRequestLimits(now);
    migrations.addLeavingTarget(target, migrationDelay(target, now), now);
    dropBackupsAt(target);
    for (auto *exchange : running) {
        if (exchange->target() == target) {
            exchange->queueMigration();
        }
    }
    runMigrations();
}

void RelayCore::handleTargetReplaced(const TargetEntry &entry)
{
    for (auto *exchange : running) {
        if (exchange->target() == entry.id) {
            exchange->onTargetReplaced(entry);
        }
    }
}

void RelayCore::migrateSuperseded(const std::string &target, MonotonicTime now)
{
    migrations.addLeavingTarget(target, migrationDelay(target, now), now);
    dropBackupsAt(target);
    for (auto *exchange : running) {
        if (exchange->target() == target) {
            exchange->leaveSupersededTarget();
        }
    }
    runMigrations();
}

bool RelayCore::mustBeLeft(const std::string &target) const
{
    return targets.isLeaving(target) || (rollouts && rollouts->isSuperseded(target));
}

bool RelayCore::isAccepting(MonotonicTime now) const
{
    return routes && !isDraining() && (!rollouts || rollouts->isReady(now));
}

void RelayCore::dropBackupsAt(const std::string &target)
{
    for (auto *exchange : running) {
        exchange->onBackupLeaving(target);
    }
}

void RelayCore::dropBackupsOutsideHomes()
{
    for (auto *exchange : running) {
        exchange->dropBackupOutsideHomes();
    }
    runMigrations();
}

void RelayCore::recordLeaving(const std::string &target, int64_t incarnation, std::string_view reason, MonotonicTime now)
{
    if (targets.recordLeaving(target, incarnation, now)) {
        handleTargetLeaving(target, reason, now);
        onMigrationEnded();
    }
}

void RelayCore::recordRequestLimit(const TargetRequestLimits::Statement &statement, MonotonicTime now)
{
    auto &limits = balancer.requestLimits();
    const auto previous = limits.limit(statement.target);
    const auto change = limits.record(statement, now);
    if (change == TargetRequestLimits::Change::None) {
        return;
    }
    updateRequestLimits(now);
    auto entry = line(change == TargetRequestLimits::Change::Named ? EventKind::TargetLimitChanged : EventKind::TargetLimitEnded);
    entry.add("target", statement.target)
        .add("source", statement.peer.empty() ? "own response" : statement.peer)
        .add("age_ms", statement.age.count())
        .addReal("share_per_s", limits.share(statement.target));
    if (statement.limit) {
        entry.addReal("limit_per_s", *statement.limit);
    }
    if (previous) {
        entry.addReal("previous_per_s", *previous);
    }
    log(entry);
    const bool isLower = statement.limit && (!previous || *statement.limit < SignificantReduction * *previous);
    if (isLower && statement.peer.empty()) {
        onRequestLimitLowered();
    }
}

RequestLimitParticipants RelayCore::requestLimitParticipants(const std::string &target, MonotonicTime now)
{
    auto result = peers.requestLimitParticipants(now);
    const auto *known = targets.find(target);
    const auto region = known ? options.regions.find(known->entry.dataCentre) : options.regions.end();
    result.targetRegion = region == options.regions.end() ? std::string() : region->second;
    if (!targets.isLeaving(target)) {
        return result;
    }
    // A target that is leaving gets no new requests, so the limit is left to the relays that still have generations there.
    const auto silent = result.known - std::min(result.known, result.others.size() + 1);
    m_limitSharers.clear();
    for (const auto &relay : result.others) {
        if (balancer.peerLoad(relay.node, target).movable > 0) {
            m_limitSharers.push_back(relay);
        }
    }
    result.others = m_limitSharers;
    result.known = m_limitSharers.size() + 1 + silent;
    result.areAllHolders = true;
    return result;
}

void RelayCore::updateRequestLimits(MonotonicTime now)
{
    balancer.requestLimits().update([this, now](const std::string &target) { return requestLimitParticipants(target, now); }, now);
}

void RelayCore::exportRequestLimits(MonotonicTime now)
{
    const auto states = balancer.requestLimits().states(now);
    metrics.set("relay_limited_targets", static_cast<double>(states.size()));
    for (const std::string_view name : {"relay_target_limit", "relay_target_limit_share", "relay_target_limit_age_seconds"}) {
        metrics.removeGauges(std::string(name));
    }
    for (const auto &state : states) {
        const auto labels = absl::StrCat("target=\"", state.target, "\",source=\"", state.peer.empty() ? "own response" : state.peer, "\"");
        metrics.set("relay_target_limit", state.limit, labels);
        metrics.set("relay_target_limit_share", state.share, labels);
        metrics.set("relay_target_limit_age_seconds", std::chrono::duration<double>(state.age).count(), labels);
    }
}

std::chrono::milliseconds RelayCore::migrationDelay(const std::string &target, MonotonicTime now) const
{
    const auto *known = targets.find(target);
    const auto *service = known && routes ? routes->findService(known->entry.service) : nullptr;
    if (!service || !service->engine || service->engine->linkMbps <= 0) {
        return {};
    }
    const auto &engine = *service->engine;
    std::chrono::milliseconds wait {0};
    // Relays in the target's data centre migrate first, because their copies are started and stopped in the shortest time.
    const bool ownIsFar = options.dataCentre != known->entry.dataCentre;
    for (const auto *peer : peers.livePeers(now)) {
        const auto movable = balancer.peerLoad(peer->latestHeartbeat.node, target).movable;
        const bool isFar = peer->latestHeartbeat.dataCentre != known->entry.dataCentre;
        if (movable > 0 && std::tie(isFar, peer->latestHeartbeat.node) < std::tie(ownIsFar, options.node)) {
            wait += std::chrono::milliseconds(static_cast<int64_t>(MillisecondsPerSecond * engine.secondsToSend(movable))) + CopyOverhead;
        }
    }
    return wait;
}

void RelayCore::noteInterruptedResponse(const std::string &target, InterruptedRequest request)
{
    const auto *known = targets.find(target);
    if (!known || known->leavingSince) {
        return;
    }
    const auto now = monotonicNow();
    request.interruptedAt = now;
    Interruption interruption {.since = now, .incarnation = known->entry.incarnation, .address = known->entry.address};
    interruption.requests.push_back(std::move(request));
    awaitCheck(target, std::move(interruption), now);
}

void RelayCore::awaitCheck(const std::string &target, Interruption interruption, MonotonicTime now)
{
    const bool isFirst = m_interrupted.empty();
    const auto [entry, isNew] = m_interrupted.try_emplace(target, interruption);
    auto &pending = entry->second;
    const bool isReplaced = isLaterProcess(interruption.incarnation, pending.incarnation);
    if (isReplaced || isLaterProcess(pending.incarnation, interruption.incarnation)) {
        // A later process writes responses, so the earlier one has ended.
        if (isReplaced) {
            std::swap(pending, interruption);
        }
        recordCrash(target, interruption.incarnation, interruption.requests, "later process", now);
    } else if (!isNew) {
        auto &requests = pending.requests;
        std::move(interruption.requests.begin(), interruption.requests.end(), std::back_inserter(requests));
        std::ranges::stable_sort(requests, {}, &InterruptedRequest::interruptedAt);
        const auto isOld = [now](const auto &request) { return now - request.interruptedAt > MaxInterruptionTime; };
        const auto kept = std::ranges::find_if_not(requests, isOld);
        const auto excess = static_cast<ptrdiff_t>(requests.size()) - static_cast<ptrdiff_t>(MaxInterruptedRequests);
        requests.erase(requests.begin(), std::max(kept, requests.begin() + std::max<ptrdiff_t>(0, excess)));
        pending.checks = 0;
        pending.connectTimeouts = std::max(pending.connectTimeouts, interruption.connectTimeouts);
    }
    if (isFirst) {
        // Other requests on the target are interrupted at the same time.
        armInterruptedTimer();
    }
}

void RelayCore::armInterruptedTimer()
{
    m_interruptedTimer.expires_after(CrashGroupingTime);
    m_interruptedTimer.async_wait([this](const LoopError &error) {
        if (!error) {
            checkInterruptedTargets(monotonicNow());
        }
    });
}

void RelayCore::checkInterruptedTargets(MonotonicTime now)
{
    for (auto &[target, interruption] : std::exchange(m_interrupted, {})) {
        const bool isDue = now >= interruption.nextCheckAt;
        if (isDue && balancer.requestLimits().mayContinue(target, now)) {
            checkTarget(target, std::move(interruption));
        } else if (!isDue || now - interruption.since < MaxCheckDelay) {
            m_interrupted.emplace(target, std::move(interruption));
        }
    }
    if (!m_interrupted.empty()) {
        armInterruptedTimer();
    }
}

void RelayCore::checkState(const std::string &target)
{
    if (const auto *known = targets.find(target)) {
        checkTarget(target, {.incarnation = known->entry.incarnation, .address = known->entry.address});
    }
}

void RelayCore::checkTarget(const std::string &target, Interruption interruption)
{
    const auto endpoint = Endpoint::parse(interruption.address);
    const bool isStateCheck = interruption.requests.empty();
    const auto startedAt = monotonicNow();
    if (!endpoint || (isStateCheck && (balancer.cooldowns().until(target, startedAt) || !balancer.requestLimits().maySend(target, startedAt)))) {
        return;
    }
    const auto *known = targets.find(target);
    const bool isReplaced = known && isLaterProcess(known->entry.incarnation, interruption.incarnation);
    if (!isStateCheck && (isReplaced || targetRuns.isGone(target, interruption.incarnation, startedAt))) {
        recordCrash(target, interruption.incarnation, interruption.requests, isReplaced ? "later process" : "gone", startedAt);
        return;
    }
    balancer.requestLimits().recordSend(target, startedAt);
    auto call = adapter.buildStateCall();
    call.timeout = StateTimeout;
    call.freshConnection = true;
    // The call must not time out before the connection, or its response would not tell that the connection did.
    call.connectTimeout = StateTimeout / 2;
    client.call(*endpoint, call, [this, target, interruption = std::move(interruption)](const LoopAnswer &response) {
        const auto now = monotonicNow();
        const auto *current = targets.find(target);
        if (response.end == ChannelEnd::NotSent && current && current->entry.address == interruption.address) {
            balancer.markUnreachable(target, now);
        }
        const auto state = response.isSuccess() ? adapter.decodeState(response.body) : absl::StatusOr<EngineState>(EngineState {});
        const bool isBackAlready = response.isSuccess() && state.ok() && state->incarnation != interruption.incarnation;
        if (response.isSuccess() && state.ok()) {
            targetRuns.recordAlive(target, state->incarnation, now);
        }
        if (!interruption.requests.empty() && (isBackAlready || response.end != ChannelEnd::Complete)) {
            handleFailedCheck(target, interruption, isBackAlready, response, now);
            return;
        }
        if (state.ok() && state->leaving) {
            recordLeaving(target, state->incarnation, "own report", now);
        }
    });
}

void RelayCore::handleFailedCheck(const std::string &target, Interruption interruption, bool isBackAlready, const LoopAnswer &response, MonotonicTime now)
{
    ++interruption.checks;
    const bool wasReached = response.end != ChannelEnd::NotSent;
    const bool isRefused = response.connectFailure == ConnectFailure::Refused;
    interruption.connectTimeouts = wasReached ? 0 : interruption.connectTimeouts + 1;
    if (isBackAlready || isRefused || interruption.connectTimeouts >= MinConnectTimeouts) {
        recordCrash(target, interruption.incarnation, interruption.requests, isBackAlready ? "new incarnation" : response.error, now);
    } else if (interruption.checks < MaxChecks || !wasReached) {
        interruption.nextCheckAt = now + RecheckDelay;
        interruption.since = now;
        awaitCheck(target, std::move(interruption), now);
    } else {
        metrics.count("relay_crashes_ruled_out_total");
    }
}

void RelayCore::recordCrash(
    const std::string &target, int64_t incarnation, const std::vector<InterruptedRequest> &interrupted, std::string_view reason, MonotonicTime now)
{
    TargetCrash crash {.target = target, .incarnation = static_cast<uint64_t>(incarnation), .members = {}, .running = static_cast<int>(interrupted.size())};
    PromptPartCrash promptCrash {.target = target, .incarnation = static_cast<uint64_t>(incarnation), .age = {}, .requests = {}};
    std::string requests;
    for (const auto &request : interrupted) {
        // A target that has been writing a response for a while crashes for another reason.
        if (!request.parts.empty() && (request.events == 0 || request.eventsFor < MaxTimeToCrash)) {
            promptCrash.requests.push_back({.digest = request.digest, .hasBegun = request.hasBegun, .parts = request.parts});
        }
        crash.members.push_back(request.digest);
        if (requests.size() < MaxLoggedSuspects) {
            absl::StrAppend(&requests, requests.empty() ? "" : " ", request.hasBegun ? "begun" : "not begun", "/", request.events, "/", request.parts.size());
            for (const auto part : request.parts) {
                if (requests.size() < MaxLoggedSuspects && !promptParts.areSound({part}, now)) {
                    absl::StrAppend(&requests, ",", absl::Hex(part));
                }
            }
        }
    }
    crashSuspects.merge(crash, now);
    if (promptParts.recordCrash(promptCrash, now)) {
        onCrashObserved();
    }
    auto entry = line(EventKind::CrashSuspected);
    entry.add("target", target).add("requests", static_cast<int64_t>(interrupted.size())).add("reason", reason).add("suspects", requests);
    log(entry);
}

bool RelayCore::triesPart(uint64_t part, MonotonicTime now) const
{
    const auto weight = [part](const std::string &node) { return XXH3_64bits_withSeed(node.data(), node.size(), part); };
    const auto own = weight(options.node);
    const auto live = peers.livePeers(now);
    return std::none_of(
        live.begin(), live.end(), [&](const Peer *peer) { return peer->latestHeartbeat.accepting && weight(peer->latestHeartbeat.node) > own; });
}

void RelayCore::logRejectedParts(MonotonicTime now)
{
    const auto parts = promptParts.rejectedParts(now);
    absl::flat_hash_set<uint64_t> rejected(parts.begin(), parts.end());
    const auto logPart = [this](EventKind kind, uint64_t part) {
        auto entry = line(kind);
        entry.add("part", absl::StrCat(absl::Hex(part)));
        log(entry);
    };
    for (const auto part : rejected) {
        if (!m_rejectedParts.contains(part)) {
            logPart(EventKind::PromptPartRejected, part);
        }
    }
    for (const auto part : m_rejectedParts) {
        if (!rejected.contains(part)) {
            logPart(EventKind::PromptPartAllowed, part);
        }
    }
    metrics.set("relay_rejected_prompt_parts", static_cast<double>(rejected.size()));
    m_rejectedParts = std::move(rejected);
}

void RelayCore::releaseWaitingMigrations(MonotonicTime now)
{
    bool released = false;
    for (const auto &target : migrations.waitingTargets(now)) {
        if (migrationDelay(target, now).count() == 0) {
            migrations.grantTurn(target, now);
            released = true;
        }
    }
    if (released) {
        runMigrations();
    }
}

std::shared_ptr<RelayExchange> RelayCore::findRunning(const std::string &request) const
{
    for (auto *exchange : running) {
        if (exchange->requestId() == request) {
            return exchange->shared_from_this();
        }
    }
    return nullptr;
}

void RelayCore::finishMigration(const std::string &request)
{
    migrations.remove(request);
    if (migrations.nextDueTime()) {
        // The caller may be in the middle of a decision about its own request.
        boost::asio::post(loop, [this] { runMigrations(); });
    }
}

void RelayCore::resumeMigrations(const std::string &target)
{
    bool areQueued = false;
    for (auto *exchange : running) {
        areQueued = (exchange->target() == target && exchange->resumeMigration()) || areQueued;
    }
    if (areQueued) {
        // The caller may be in the middle of a decision about its own request.
        boost::asio::post(loop, [this] { runMigrations(); });
    }
}

void RelayCore::runMigrations()
{
    const auto now = monotonicNow();
    for (auto due = migrations.takeDue(now); !due.empty(); due = migrations.takeDue(now)) {
        for (const auto &request : due) {
            const auto exchange = findRunning(request);
            if (!exchange) {
                migrations.remove(request);
            } else if (!exchange->startMigration(now)) {
                migrations.remove(request);
                exchange->retryMigrationLater();
            }
        }
    }
    const auto next = migrations.nextDueTime();
    if (!next) {
        return;
    }
    m_migrationTimer.expires_at(*next);
    m_migrationTimer.async_wait([this](const LoopError &error) {
        if (!error) {
            runMigrations();
        }
    });
}

} // namespace Jujube
