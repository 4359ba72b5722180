#include <LibPlatform/RequestBudget.h>

#include <algorithm>
#include <cmath>

namespace Jujube
{

namespace
{

// Tokens accumulate in binary fractions of a second. Without this allowance, rounding could make a token that is due exactly now appear missing.
constexpr double RoundingAllowance = 1e-9;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

RequestBudget::RequestBudget(Options options, MonotonicTime now, double fraction)
    : m_options(options)
    , m_tokens(fraction)
    , m_updated(now)
{
}

bool RequestBudget::tryTake(MonotonicTime now)
{
    const double tokens = tokensAt(now);
    if (tokens + RoundingAllowance < 1) {
        return false;
    }
    m_tokens = std::max(0.0, tokens - 1);
    m_updated = std::max(m_updated, now);
    return true;
}

std::chrono::milliseconds RequestBudget::timeUntilToken(MonotonicTime now) const
{
    const double missing = 1 - RoundingAllowance - tokensAt(now);
    if (missing <= 0) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::milliseconds(static_cast<int64_t>(std::ceil(missing / m_options.perSecond * MillisecondsPerSecond)));
}

void RequestBudget::reset(MonotonicTime now, double fraction)
{
    m_tokens = fraction;
    m_updated = std::max(m_updated, now);
}

void RequestBudget::setRate(double perSecond, MonotonicTime now)
{
    m_tokens = tokensAt(now);
    m_updated = std::max(m_updated, now);
    m_options.perSecond = perSecond;
}

double RequestBudget::tokensAt(MonotonicTime now) const
{
    const std::chrono::duration<double> elapsed = std::max(now, m_updated) - m_updated;
    return std::min(m_options.burst, m_tokens + elapsed.count() * m_options.perSecond);
}

} // namespace Jujube
