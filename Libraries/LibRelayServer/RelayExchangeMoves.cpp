#include <LibRelayServer/RelayExchange.h>

#include <algorithm>

// How a request's generation moves to another engine when its own leaves.
namespace Jujube
{

namespace
{

// Longest time for a copy of a running generation.
constexpr std::chrono::milliseconds CopyTimeout {2500};
// Tries to move one generation away from targets that leave.
constexpr int MostMoveTries = 12;
constexpr std::chrono::milliseconds MoveRetryPause {150};
// Weight of an output token against a prompt token in the worth of a generation.
constexpr int64_t OutputWeight = 10;
// An engine that is fuller than this keeps no copies that grow with generations elsewhere, so that its own do not lose their memory.
constexpr double MostMemoryWithBackups = 0.6;
// Memory for backups is scarce, and a short generation seldom sees its engine leave.
constexpr int64_t LeastTokensForBackup = 300;
// Times that a generation goes on after an engine that was not known to leave. Load pattern: a request that crashes each engine that runs it.
constexpr int MostUnannouncedEnds = 1;

} // namespace

TargetBalancer::Query RelayExchange::copyQuery(const std::string &source, const std::set<std::string> &excluded, MonotonicTime now) const
{
    const auto *known = m_core.targets.find(source);
    return {.demand = m_admission.demand,
            .excluded = excluded,
            .homeRegions = m_admission.homeRegions,
            .liveRelays = m_core.liveRelays(now),
            .isMigration = true,
            .source = source,
            .dataCentre = known ? known->entry.dataCentre : ""};
}

std::optional<RelayTarget> RelayExchange::chooseDestination(const std::set<std::string> &excluded, MonotonicTime now)
{
    const auto &service = *m_admission.service;
    if (!service.engine || !service.engine->canMigrate) {
        return std::nullopt;
    }
    auto query = copyQuery(m_target, excluded, now);
    auto &demand = query.demand;
    demand.expectedTokens = std::max(demand.expectedTokens, m_session->eventCount() * service.engine->tokensPerEvent);
    query.otherSources = m_core.targets.recentlyLeaving(service.name, now);
    auto choice = m_core.balancer.choose(query, m_core.targets, service, now, m_core.random());
    const auto ownTokens = demand.promptTokens + m_core.balancer.producedTokens(m_id);
    const bool isLast = m_core.balancer.loadOf(m_target).movable <= ownTokens;
    if (!choice.target && isLast) {
        // A copy to another data centre takes many times as long, and would hold up the copies of all other generations on the source's link.
        query.dataCentre.clear();
        choice = m_core.balancer.choose(query, m_core.targets, service, now, m_core.random());
    }
    if (!choice.target) {
        return std::nullopt;
    }
    const auto &entry = choice.target->entry;
    // The copy takes up memory from now on.
    m_core.balancer.setCopy(m_id, entry.id, demand.promptTokens + demand.expectedTokens);
    m_core.onLoadChanged(true);
    return RelayTarget::of(entry);
}

bool RelayExchange::mayContinue(const RelayTarget &holder, MonotonicTime now)
{
    // A generation that crashes the engines that run it must not go from one to the next.
    if (m_unannouncedEnds > MostUnannouncedEnds || m_core.crashes.verdict(m_digest, now).action == CrashVerdict::Action::Reject) {
        return false;
    }
    const auto *known = m_core.targets.find(holder.id);
    return !(known && m_core.targets.isOutOfService(known->entry.dataCentre)) && m_core.balancer.cooldowns().mayContinue(holder.id, now);
}

std::optional<RelayTarget> RelayExchange::chooseBackup(const RelayTarget &target, MonotonicTime now)
{
    const auto &service = *m_admission.service;
    if (!m_admission.demand.isMigratable || !service.engine->canBackUp || m_admission.demand.expectedTokens < LeastTokensForBackup) {
        return std::nullopt;
    }
    auto query = copyQuery(target.id, {target.id}, now);
    query.maxMemoryShare = MostMemoryWithBackups;
    const auto choice = m_core.balancer.choose(query, m_core.targets, service, now, m_core.random());
    return choice.target ? std::optional(RelayTarget::of(choice.target->entry)) : std::nullopt;
}

void RelayExchange::onBackupLeaving(const std::string &target)
{
    if (m_isOver || !m_session->backup() || m_session->backup()->id != target) {
        return;
    }
    m_session->onBackupLost();
    m_core.balancer.dropBackup(m_id);
    if (m_core.targets.isLeaving(m_target)) {
        queueMove();
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
            .add("events_made", result.eventsProduced)
            .add("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - orderedAt).count());
        self->m_core.log(line);
        if (self->m_isOver) {
            return;
        }
        self->m_session->onCopied(result, now);
        if (!self->m_isOver && !self->m_session->isMigrating()) {
            self->m_core.moves.remove(self->m_id);
            self->moveAgainAfter(result.kind);
            self->m_core.runMoves();
        }
    });
}

void RelayExchange::moveAgainAfter(CopyResult::Kind kind)
{
    if (kind == CopyResult::Kind::Copied) {
        return;
    }
    m_core.balancer.dropCopy(m_id);
    if (kind == CopyResult::Kind::DestinationUnavailable) {
        // Another destination may have room.
        queueMove();
        return;
    }
    // A run that the engine has put back into its queue, or that is being copied already, cannot be copied now, wherever to. Other generations get the turn.
    retryMoveLater();
}

void RelayExchange::queueMove()
{
    if (m_isOver || !m_admission.demand.isMigratable || m_session->backup() || m_moveTries >= MostMoveTries) {
        return;
    }
    ++m_moveTries;
    // The worth of a generation grows with its size, and most with its output.
    const double value = static_cast<double>(m_admission.demand.promptTokens + OutputWeight * m_admission.demand.expectedTokens);
    m_core.moves.add(m_target, m_id, value);
}

bool RelayExchange::startMove(MonotonicTime now)
{
    if (m_isOver) {
        return false;
    }
    m_session->onTargetLeaving(now);
    return !m_isOver && m_session->isMigrating();
}

void RelayExchange::retryMoveLater()
{
    if (m_isOver) {
        return;
    }
    m_moveTimer.expires_after(MoveRetryPause);
    m_moveTimer.async_wait([weak = weak_from_this()](const LoopError &error) {
        if (const auto self = weak.lock(); self && !error && !self->m_isOver && !self->m_session->isMigrating()) {
            self->queueMove();
            self->m_core.runMoves();
        }
    });
}

} // namespace Jujube
