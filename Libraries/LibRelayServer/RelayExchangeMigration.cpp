#include <LibRelayServer/RelayExchange.h>

#include <algorithm>
#include <LibRelayServer/RolloutAgent.h>

// Migration of a request's generation to another engine when its engine is leaving.
namespace Jujube
{

namespace
{

// Timeout for copying the KV cache of a running generation.
constexpr std::chrono::milliseconds CopyTimeout {2500};
// Maximum number of attempts to migrate one generation away from targets that are leaving for which a copy is ordered.
constexpr int MaxCopyAttempts = 12;
constexpr std::chrono::milliseconds MigrationRetryDelay {150};
// The same after a number of attempts. A destination or a reservation may become available at any time.
constexpr std::chrono::milliseconds LateMigrationRetryDelay {500};
constexpr int EarlyMigrationAttempts = 12;
// Maximum time for which a migration that has begun waits until the request limit of its source allows the next order to copy.
constexpr std::chrono::milliseconds MaxWaitForCopy {3000};
// Weight of an output token relative to a prompt token in the value of a generation.
constexpr int64_t OutputWeight = 10;
// Engines above this fraction of their KV cache keep no backups of generations elsewhere, so that their own generations are not evicted.
constexpr double MaxMemoryWithBackups = 0.6;
// KV cache for backups is scarce, and the engine of a short generation seldom terminates before the generation ends.
constexpr int64_t MinTokensForBackup = 300;
// Maximum number of times that a generation continues after an unexpected failure of its engine, because a poison request crashes each engine that runs it.
constexpr int MaxUnexpectedFailures = 1;

} // namespace

VersionFilter RelayExchange::versionsToContinue(const std::string &target, const std::string &version, MonotonicTime now) const
{
    const auto allowed = m_core.rollouts ? m_core.rollouts->filterForCopy(target, now) : VersionFilter {};
    return allowed.restrictedTo({version});
}

TargetBalancer::Query RelayExchange::copyQuery(const std::string &source, const std::string &version, const std::set<std::string> &excluded, MonotonicTime now)
{
    const auto *known = m_core.targets.find(source);
    return {.demand = m_admission.demand,
            .excluded = excluded,
            .homeRegions = homes().inForce,
            .liveRelays = m_core.liveRelays(now),
            .isMigration = true,
            .source = source,
            .dataCentre = known ? known->entry.dataCentre : "",
            .versions = versionsToContinue(source, version, now),
            .withheld = m_core.rollouts ? m_core.rollouts->withheldTargets() : nullptr};
}

std::optional<RelayTarget> RelayExchange::chooseDestination(const std::set<std::string> &excluded, MonotonicTime now)
{
    const auto &service = *m_admission.service;
    if (!service.engine || !service.engine->canMigrate) {
        return std::nullopt;
    }
    auto query = copyQuery(m_target, m_streamVersion.value_or(m_targetVersion), excluded, now);
    auto &demand = query.demand;
    demand.expectedTokens = std::max(demand.expectedTokens, m_session->eventCount() * service.engine->tokensPerEvent);
    query.otherSources = m_core.targets.recentlyLeaving(service.name, now);
    auto choice = m_core.balancer.choose(query, m_core.targets, service, now, m_core.random());
    const auto ownTokens = demand.promptTokens + m_core.balancer.producedTokens(m_id);
    const bool isLast = m_core.balancer.loadOf(m_target).movable <= ownTokens;
    const bool isSuperseded = m_core.rollouts && m_core.rollouts->isSuperseded(m_target);
    if (!choice.target && (isLast || isSuperseded)) {
        // A copy to another data centre takes many times as long, and would delay the copies of all other generations on the source's link.
        query.dataCentre.clear();
        choice = m_core.balancer.choose(query, m_core.targets, service, now, m_core.random());
    }
    if (!choice.target) {
        return std::nullopt;
    }
    const auto &entry = choice.target->entry;
    // The generation continues at the destination as soon as the copy is complete.
    m_reservation = m_core.balancer.requestLimits().reserve(entry.id, now, now);
    // The copy occupies KV cache from now on.
    m_core.balancer.setCopy(m_id, entry.id, demand.promptTokens + demand.expectedTokens);
    m_core.onLoadChanged(true);
    return RelayTarget::of(entry);
}

bool RelayExchange::mayContinue(const RelayTarget &holder, MonotonicTime now)
{
    if (m_core.balancer.requestLimits().hasLimits()) {
        m_core.detectFreeze(now);
    }
    // A generation that crashes the engines that run it must not continue on another one.
    if (m_unexpectedFailures > MaxUnexpectedFailures || m_core.crashSuspects.verdict(m_digest, now).action == CrashVerdict::Action::Reject
        || (!m_isSound && m_core.promptParts.verdict(m_promptParts, now).action == PromptPartVerdict::Action::Reject)) {
        return false;
    }
    if (m_isStreamVersionUncertain || holder.version != m_streamVersion.value_or(m_targetVersion)) {
        return false;
    }
    const auto *known = m_core.targets.find(holder.id);
    if (known && known->entry.incarnation != holder.incarnation) {
        // A later process has nothing of the generation, and may be of another version.
        return false;
    }
    if (!isServable(holder.id)) {
        return false;
    }
    if (reservedTarget(now) == holder.id) {
        // The limit allows it, and a cooldown may have begun since.
        return m_core.continuations.isAllowedByCooldown(holder.id, now);
    }
    return m_core.continuations.mayContinue(holder.id, m_id, now);
}

bool RelayExchange::isServable(const std::string &target)
{
    const auto *known = m_core.targets.find(target);
    return !(known && m_core.targets.isOutOfService(known->entry.dataCentre)) && isHome(target);
}

bool RelayExchange::reserveContinuation(const RelayTarget &holder, MonotonicTime now)
{
    if (holder.id == m_target && !isServable(holder.id)) {
        // Nothing may be sent there any more, so the generation could only stay until its target is gone.
        return true;
    }
    if (!mayContinue(holder, now) || !m_core.continuations.tryReserve(holder.id, m_id, now)) {
        m_awaitsReservation = holder.id == m_target;
        return false;
    }
    m_reservedAt.insert(holder.id);
    return true;
}

void RelayExchange::releaseContinuations()
{
    if (const auto reservation = std::exchange(m_reservation, std::nullopt)) {
        m_core.balancer.requestLimits().cancel(*reservation);
    }
    for (const auto &target : std::exchange(m_reservedAt, {})) {
        m_core.continuations.release(target, m_id);
    }
}

std::optional<RelayTarget> RelayExchange::chooseBackup(const RelayTarget &target, MonotonicTime now)
{
    const auto &service = *m_admission.service;
    if (!m_admission.demand.isMigratable || !service.engine->canBackUp || m_admission.demand.expectedTokens < MinTokensForBackup) {
        return std::nullopt;
    }
    auto query = copyQuery(target.id, target.version, {target.id}, now);
    query.maxMemoryShare = MaxMemoryWithBackups;
    const auto choice = m_core.balancer.choose(query, m_core.targets, service, now, m_core.random());
    return choice.target ? std::optional(RelayTarget::of(choice.target->entry)) : std::nullopt;
}

void RelayExchange::onBackupLeaving(const std::string &target)
{
    if (m_isFinished || !m_session->backup() || m_session->backup()->id != target) {
        return;
    }
    dropBackup();
    if (m_core.mustBeLeft(m_target)) {
        queueMigration();
    }
}

void RelayExchange::dropBackupOutsideHomes()
{
    const auto holder = m_isFinished ? std::nullopt : m_session->backup();
    if (holder && !isHome(holder->id)) {
        record("drop_backup", holder->id);
        onBackupLeaving(holder->id);
    }
}

void RelayExchange::dropBackup()
{
    m_session->onBackupLost();
    m_core.balancer.dropBackup(m_id);
}

void RelayExchange::leaveSupersededTarget()
{
    if (m_isFinished || m_session->isMigrating() || m_session->isInterrupted()) {
        return;
    }
    if (m_session->backup()) {
        dropBackup();
    }
    queueMigration();
}

void RelayExchange::copy(const RelayTarget &source, const RelayTarget &destination, bool stop)
{
    const auto orderedAt = monotonicNow();
    auto &limits = m_core.balancer.requestLimits();
    if (!isHome(destination.id) || !limits.mayContinue(source.id, orderedAt)) {
        waitForCopy(source, destination, stop, orderedAt);
        return;
    }
    limits.recordSend(source.id, orderedAt);
    const auto endpoint = Endpoint::parse(source.address);
    auto call = m_core.adapter.buildCopyCall(m_id, destination.address, stop);
    call.timeout = CopyTimeout;
    call.freshConnection = true;
    m_core.client.call(*endpoint, call, [self = shared_from_this(), source, destination, stop, orderedAt](const LoopAnswer &response) {
        const auto now = monotonicNow();
        const auto result = self->m_core.adapter.decodeCopy(response);
        auto line = self->m_core.line(EventKind::RelayCopied);
        line.add("request", self->m_id)
            .add("source", source.id)
            .add("destination", destination.id)
            .add("stop", stop ? 1 : 0)
            .add("status", response.status)
            .add("events_made", result.eventsProduced)
            .add("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - orderedAt).count());
        self->m_core.log(line);
        self->handleCopied(result, now);
    });
}

void RelayExchange::handleCopied(const CopyResult &result, MonotonicTime now)
{
    if (m_isFinished) {
        return;
    }
    const bool wasInterrupted = m_session->isInterrupted();
    const auto attempts = m_session->attemptCount();
    m_session->onCopied(result, now);
    if (!wasInterrupted && !m_isFinished && !m_session->isMigrating()) {
        m_core.migrations.remove(m_id);
        // The destination may have ceased to be allowed while the copy was made. Another one may be.
        const bool isUnused = result.kind == CopyResult::Kind::Copied && m_session->attemptCount() == attempts;
        retryMigrationAfter(isUnused ? CopyResult::Kind::Busy : result.kind);
        m_core.runMigrations();
    }
}

void RelayExchange::readRuns(const RelayTarget &target, MonotonicTime at)
{
    m_runsTimer.expires_at(at);
    // After the end of its connection, nothing else keeps the exchange alive.
    m_runsTimer.async_wait([self = shared_from_this(), target, attempt = m_session->attemptCount()](const LoopError &error) {
        if (error || self->m_isFinished) {
            return;
        }
        const auto onRead = [self, attempt](const TargetRuns &runs) {
            if (!self->m_isFinished && attempt == self->m_session->attemptCount()) {
                self->m_session->onRunsRead(runs, monotonicNow());
            }
        };
        self->m_core.targetRuns.read(target, onRead, monotonicNow());
    });
}

void RelayExchange::waitForCopy(const RelayTarget &source, const RelayTarget &destination, bool stop, MonotonicTime now)
{
    const auto next = m_core.balancer.requestLimits().nextContinueTime(source.id, now);
    // After a long wait the engine is gone, and others may migrate in the meantime.
    const bool isGivenUp = !isHome(destination.id) || !next || *next - now > MaxWaitForCopy;
    m_copyTimer.expires_at(isGivenUp ? now : *next);
    // The source's stream may end while the order waits, and then nothing else keeps the exchange alive.
    m_copyTimer.async_wait([self = shared_from_this(), source, destination, stop, isGivenUp](const LoopError &error) {
        if (error || self->m_isFinished) {
            return;
        }
        if (isGivenUp) {
            self->handleCopied({.kind = CopyResult::Kind::Busy}, monotonicNow());
        } else {
            self->copy(source, destination, stop);
        }
    });
}

void RelayExchange::retryMigrationAfter(CopyResult::Kind kind)
{
    if (kind == CopyResult::Kind::Copied) {
        return;
    }
    m_core.balancer.dropCopy(m_id);
    if (kind == CopyResult::Kind::DestinationUnavailable) {
        // Another destination may have free KV cache.
        queueMigration();
        return;
    }
    // A run that the engine has returned to its queue, or that is already being copied, cannot be copied to any destination now. Other generations migrate
    // first.
    retryMigrationLater();
}

void RelayExchange::queueMigration()
{
    if (m_isFinished || !m_admission.demand.isMigratable || m_session->backup()) {
        return;
    }
    if (m_copyAttempts >= MaxCopyAttempts && (m_core.targets.isLeaving(m_target) || !m_core.mustBeLeft(m_target))) {
        return;
    }
    ++m_migrationAttempts;
    m_awaitsReservation = false;
    // The value of a generation grows with its tokens. Output tokens count most.
    const double value = static_cast<double>(m_admission.demand.promptTokens + OutputWeight * m_admission.demand.expectedTokens);
    m_core.migrations.add(m_target, m_id, value);
}

bool RelayExchange::startMigration(MonotonicTime now)
{
    if (m_isFinished) {
        return false;
    }
    m_session->onTargetLeaving(now);
    if (m_isFinished || !m_session->isMigrating()) {
        return false;
    }
    ++m_copyAttempts;
    return true;
}

bool RelayExchange::resumeMigration()
{
    if (m_isFinished || !std::exchange(m_awaitsReservation, false) || m_session->isMigrating() || m_session->isInterrupted()) {
        return false;
    }
    m_migrationTimer.cancel();
    queueMigration();
    return true;
}

void RelayExchange::retryMigrationLater()
{
    if (m_isFinished) {
        return;
    }
    const auto now = monotonicNow();
    const auto retryAt = now + (m_migrationAttempts < EarlyMigrationAttempts ? MigrationRetryDelay : LateMigrationRetryDelay);
    // The target may allow a continuation sooner.
    m_migrationTimer.expires_at(std::min(retryAt, m_core.continuations.nextTime(m_target, now).value_or(retryAt)));
    m_migrationTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        if (const auto self = weak.lock(); self && !error && !self->m_isFinished && !self->m_session->isMigrating() && !self->m_session->isInterrupted()) {
            self->queueMigration();
            self->m_core.runMigrations();
        }
    });
}

} // namespace Jujube
