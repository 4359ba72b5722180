#include <LibRelay/TargetRequestLimits.h>

#include <algorithm>
#include <cmath>
#include <LibPolicy/SplitMix.h>
#include <tuple>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// Minimum share, in requests per second, for which an interval is computed. Longer intervals would not fit the clock's type.
constexpr double MinShare = 1e-6;
// Holders of a limit, in addition to one for each request per second. A single holder may have no requests for the target.
constexpr size_t MinHolders = 2;

std::chrono::milliseconds wholeMilliseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

uint64_t orderOf(uint64_t relay, uint64_t salt)
{
    return SplitMix(relay ^ salt).next();
}

uint64_t saltOf(std::string_view target)
{
    return XXH3_64bits(target.data(), target.size());
}

} // namespace

TargetRequestLimits::TargetRequestLimits(Options options)
    : m_options(options)
{
}

TargetRequestLimits::Change TargetRequestLimits::record(const Statement &statement, MonotonicTime now)
{
    const auto observedAt = now - statement.age;
    const auto found = m_targets.find(statement.target);
    const bool isKnown = found != m_targets.end();
    const bool isOlder = isKnown
        && (statement.incarnation < found->second.incarnation || (statement.incarnation == found->second.incarnation && observedAt < found->second.observedAt));
    if (isOlder || (!isKnown && !statement.limit)) {
        return Change::None;
    }
    auto &entry = m_targets[statement.target];
    entry.incarnation = statement.incarnation;
    entry.observedAt = observedAt;
    if (!statement.limit) {
        if (entry.endedAt) {
            return Change::None;
        }
        entry.endedAt = observedAt;
        entry.peer = statement.peer;
        return Change::Ended;
    }
    const bool isMinor = isKnown && !entry.endedAt && std::abs(*statement.limit - entry.reportedLimit) <= m_options.minorChange * entry.reportedLimit;
    entry.limit = *statement.limit;
    entry.peer = statement.peer;
    entry.endedAt.reset();
    if (isMinor) {
        return Change::None;
    }
    entry.reportedLimit = entry.limit;
    return Change::Named;
}

bool TargetRequestLimits::isOver(const Entry &entry, MonotonicTime now) const
{
    return entry.endedAt && now - *entry.endedAt >= m_options.rampTime;
}

double TargetRequestLimits::currentLimit(const Entry &entry, MonotonicTime now) const
{
    if (!entry.endedAt) {
        return std::max(entry.limit, m_options.minLimit);
    }
    const double intervals = std::chrono::duration<double>(now - *entry.endedAt) / m_options.doublingInterval;
    return std::max(entry.limit, m_options.minRampLimit) * std::exp2(std::max(0.0, intervals));
}

double TargetRequestLimits::shareOf(double limit, const RequestLimitParticipants &participants, std::string_view target)
{
    if (!participants.hasDiscoveredPeers) {
        return 0;
    }
    const size_t live = participants.others.size() + 1;
    const double part = limit * static_cast<double>(live) / static_cast<double>(std::max(participants.known, live));
    const bool areAllHolders = participants.areAllHolders || part >= static_cast<double>(live);
    const size_t holders = areAllHolders ? live : std::min(live, MinHolders + static_cast<size_t>(part));
    if (holders < live) {
        const auto salt = saltOf(target);
        const auto order = [&](const RequestLimitParticipants::Relay &relay) {
            return std::make_tuple(relay.region != participants.targetRegion, orderOf(relay.hash, salt), relay.hash);
        };
        const auto own = order(participants.self);
        const auto before = std::count_if(participants.others.begin(), participants.others.end(), [&](const auto &other) { return order(other) < own; });
        if (static_cast<size_t>(before) >= holders) {
            return 0;
        }
    }
    return part / static_cast<double>(holders);
}

void TargetRequestLimits::update(const std::function<RequestLimitParticipants(const std::string &target)> &participantsOf, MonotonicTime now)
{
    absl::erase_if(m_targets, [&](const auto &item) { return isOver(item.second, now); });
    for (auto &[target, entry] : m_targets) {
        auto participants = participantsOf(target);
        const bool isStale = !entry.endedAt && now - entry.observedAt >= m_options.staleAfter;
        participants.areAllHolders = participants.areAllHolders || isStale;
        const auto phase = SplitMix(orderOf(participants.self.hash, saltOf(target))).unit();
        setShare(entry, shareOf(currentLimit(entry, now), participants, target), phase, now);
    }
}

MonotonicTime::duration TargetRequestLimits::intervalOf(double share)
{
    return std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(1 / std::max(share, MinShare)));
}

void TargetRequestLimits::setShare(Entry &entry, double share, double phase, MonotonicTime now)
{
    if (share == entry.share) {
        return;
    }
    const auto scaled = [](MonotonicTime::duration time, double factor) { return std::chrono::duration_cast<MonotonicTime::duration>(time * factor); };
    if (entry.share <= 0) {
        // New holders begin at different times, so that their first requests do not coincide.
        entry.dueAt = std::max(entry.dueAt, now + scaled(intervalOf(share), phase));
    } else if (share > 0 && entry.dueAt > now) {
        entry.dueAt = now + scaled(entry.dueAt - now, entry.share / share);
    }
    entry.reductions += share < entry.share ? 1 : 0;
    entry.share = share;
}

bool TargetRequestLimits::isLimited(const std::string &target) const
{
    return m_targets.contains(target);
}

std::optional<double> TargetRequestLimits::limit(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() || found->second.endedAt ? std::nullopt : std::optional(found->second.limit);
}

double TargetRequestLimits::share(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.share;
}

std::vector<TargetRequestLimits::State> TargetRequestLimits::states(MonotonicTime now) const
{
    std::vector<State> result;
    for (const auto &[target, entry] : m_targets) {
        result.push_back(
            {.target = target, .limit = currentLimit(entry, now), .share = entry.share, .age = wholeMilliseconds(now - entry.observedAt), .peer = entry.peer});
    }
    return result;
}

bool TargetRequestLimits::mayProceed(const std::string &target, std::chrono::milliseconds burstTime, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || isOver(found->second, now)) {
        return true;
    }
    return found->second.share > 0 && now >= m_outdatedUntil && found->second.dueAt - burstTime <= now;
}

bool TargetRequestLimits::maySend(const std::string &target, MonotonicTime now) const
{
    return mayProceed(target, m_options.burstTime, now);
}

bool TargetRequestLimits::mayContinue(const std::string &target, MonotonicTime now) const
{
    return mayProceed(target, m_options.continuationBurstTime, now);
}

std::optional<MonotonicTime> TargetRequestLimits::nextTime(const std::string &target, std::chrono::milliseconds burstTime, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.share <= 0) {
        return std::nullopt;
    }
    return std::max({now, m_outdatedUntil, found->second.dueAt - burstTime});
}

std::optional<MonotonicTime> TargetRequestLimits::nextSendTime(const std::string &target, MonotonicTime now) const
{
    return nextTime(target, m_options.burstTime, now);
}

std::optional<MonotonicTime> TargetRequestLimits::nextContinueTime(const std::string &target, MonotonicTime now) const
{
    return nextTime(target, m_options.continuationBurstTime, now);
}

void TargetRequestLimits::advance(Entry &entry, MonotonicTime now) const
{
    if (entry.share <= 0) {
        return;
    }
    entry.dueAt
        = std::min(std::max(entry.dueAt, now) + intervalOf(entry.share), now + std::max<MonotonicTime::duration>(m_options.maxDelay, intervalOf(entry.share)));
}

std::optional<TargetRequestLimits::Reservation> TargetRequestLimits::reserve(const std::string &target, MonotonicTime latest, MonotonicTime now)
{
    const auto sendAt = nextSendTime(target, now);
    if (!sendAt || *sendAt > latest) {
        return std::nullopt;
    }
    return take(target, *sendAt, now);
}

std::optional<TargetRequestLimits::Reservation> TargetRequestLimits::reserveContinuation(const std::string &target, MonotonicTime now)
{
    const auto sendAt = nextContinueTime(target, now);
    return sendAt && *sendAt <= now ? std::optional(take(target, now, now)) : std::nullopt;
}

TargetRequestLimits::Reservation TargetRequestLimits::take(const std::string &target, MonotonicTime sendAt, MonotonicTime now)
{
    auto &entry = m_targets.at(target);
    const auto dueAt = std::max(entry.dueAt, now);
    advance(entry, now);
    return {.target = target,
            .sendAt = sendAt,
            .reductions = entry.reductions,
            .incarnation = entry.incarnation,
            .delay = std::max(entry.dueAt - dueAt, MonotonicTime::duration(0))};
}

void TargetRequestLimits::cancel(const Reservation &reservation)
{
    const auto found = m_targets.find(reservation.target);
    if (found == m_targets.end() || found->second.incarnation != reservation.incarnation || found->second.reductions != reservation.reductions) {
        // The time that was taken for it belongs to a share that does not apply any more.
        return;
    }
    found->second.dueAt -= std::min(reservation.delay, intervalOf(found->second.share));
}

bool TargetRequestLimits::isValid(const Reservation &reservation, MonotonicTime now) const
{
    const auto found = m_targets.find(reservation.target);
    return now >= std::max(reservation.sendAt, m_outdatedUntil) && (found == m_targets.end() || found->second.reductions == reservation.reductions);
}

void TargetRequestLimits::recordSend(const std::string &target, MonotonicTime now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        advance(found->second, now);
    }
}

TargetRequestLimits::Statement TargetRequestLimits::statementOf(const std::string &target, const Entry &entry, MonotonicTime now)
{
    const auto observedAt = entry.endedAt.value_or(entry.observedAt);
    return {.target = target,
            .incarnation = entry.incarnation,
            .limit = entry.endedAt ? std::nullopt : std::optional(entry.limit),
            .age = wholeMilliseconds(now - observedAt),
            .peer = entry.peer};
}

std::vector<TargetRequestLimits::Statement> TargetRequestLimits::recentStatements(std::chrono::milliseconds within, MonotonicTime now) const
{
    auto result = allStatements(now);
    std::erase_if(result, [&](const Statement &statement) { return !statement.peer.empty() || statement.age > within; });
    return result;
}

std::vector<TargetRequestLimits::Statement> TargetRequestLimits::allStatements(MonotonicTime now) const
{
    std::vector<Statement> result;
    for (const auto &[target, entry] : m_targets) {
        result.push_back(statementOf(target, entry, now));
    }
    return result;
}

void TargetRequestLimits::onFrozen(std::chrono::nanoseconds suspended, MonotonicTime now)
{
    m_outdatedUntil = now + m_options.relearningTime;
    for (auto &[target, entry] : m_targets) {
        entry.observedAt -= suspended;
        if (entry.endedAt) {
            *entry.endedAt -= suspended;
        }
    }
}

void TargetRequestLimits::forgetBefore(const std::string &target, int64_t incarnation)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.incarnation < incarnation) {
        m_targets.erase(found);
    }
}

void TargetRequestLimits::expire(const std::function<bool(const std::string &target)> &isListed, MonotonicTime now)
{
    absl::erase_if(m_targets, [&](const auto &item) { return now - item.second.observedAt >= m_options.staleAfter && !isListed(item.first); });
}

} // namespace Jujube
