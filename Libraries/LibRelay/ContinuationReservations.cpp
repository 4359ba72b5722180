#include <LibRelay/ContinuationReservations.h>

#include <algorithm>

namespace Jujube
{

ContinuationReservations::ContinuationReservations(Options options, TargetCooldowns &cooldowns, TargetRequestLimits &limits)
    : m_options(std::move(options))
    , m_cooldowns(cooldowns)
    , m_limits(limits)
{
}

size_t ContinuationReservations::countAt(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.size();
}

bool ContinuationReservations::isReserved(const std::string &target, const std::string &request) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && std::ranges::find(found->second, request, &Reservation::request) != found->second.end();
}

bool ContinuationReservations::mayContinue(const std::string &target, const std::string &request, MonotonicTime now) const
{
    if (isReserved(target, request)) {
        return m_cooldowns.continuations(target, now) < m_options.maxInCooldown;
    }
    return isAllowedByCooldown(target, now) && m_limits.mayContinue(target, now);
}

bool ContinuationReservations::isAllowedByCooldown(const std::string &target, MonotonicTime now) const
{
    const auto remaining = m_cooldowns.remainingContinuations(target, now);
    return !remaining || countAt(target) < *remaining;
}

bool ContinuationReservations::tryReserve(const std::string &target, const std::string &request, MonotonicTime now)
{
    if (isReserved(target, request)) {
        return mayContinue(target, request, now);
    }
    if (!mayContinue(target, request, now)) {
        return false;
    }
    m_targets[target].push_back({.request = request, .limit = m_limits.reserveContinuation(target, now)});
    return true;
}

std::optional<ContinuationReservations::Reservation> ContinuationReservations::take(const std::string &target, const std::string &request)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return std::nullopt;
    }
    auto &reservations = found->second;
    const auto reservation = std::ranges::find(reservations, request, &Reservation::request);
    if (reservation == reservations.end()) {
        return std::nullopt;
    }
    auto result = std::move(*reservation);
    reservations.erase(reservation);
    if (reservations.empty()) {
        m_targets.erase(found);
    }
    return result;
}

bool ContinuationReservations::use(const std::string &target, const std::string &request, MonotonicTime now)
{
    const auto reservation = take(target, request);
    if (!reservation) {
        return false;
    }
    if (!reservation->limit) {
        // The target may have named a limit since.
        m_limits.recordSend(target, now);
    }
    m_options.onReleased(target);
    return true;
}

void ContinuationReservations::release(const std::string &target, const std::string &request)
{
    const auto reservation = take(target, request);
    if (!reservation) {
        return;
    }
    if (reservation->limit) {
        m_limits.cancel(*reservation->limit);
    }
    m_options.onReleased(target);
}

void ContinuationReservations::forget(const std::string &target)
{
    m_targets.erase(target);
}

std::optional<MonotonicTime> ContinuationReservations::nextTime(const std::string &target, MonotonicTime now) const
{
    const auto remaining = m_cooldowns.remainingContinuations(target, now);
    auto next = now;
    if (remaining && *remaining == 0) {
        next = m_cooldowns.until(target, now).value_or(now);
    }
    if (!m_limits.mayContinue(target, now)) {
        const auto allowed = m_limits.nextContinueTime(target, now);
        if (!allowed) {
            return std::nullopt;
        }
        next = std::max(next, *allowed);
    }
    return next > now ? std::optional(next) : std::nullopt;
}

} // namespace Jujube
