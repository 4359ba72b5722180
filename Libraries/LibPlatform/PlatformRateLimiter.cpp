#include <LibPlatform/PlatformRateLimiter.h>

#include <algorithm>
#include <cmath>

namespace Jujube
{

PlatformRateLimiter::PlatformRateLimiter(Options options, MonotonicTime now, double random)
    : m_options(options)
    , m_nextProbe(now)
    , m_random(random)
{
    for (const auto &info : platformUses()) {
        const RequestBudget::Options budgetOptions {.perSecond = ratePerNode(info.use, options.nodes), .burst = info.burst};
        m_budgets.emplace_back(budgetOptions, now, initialTokens(info.use));
    }
}

RequestBudget &PlatformRateLimiter::budget(PlatformUse use)
{
    return m_budgets.at(static_cast<size_t>(use));
}

double PlatformRateLimiter::initialTokens(PlatformUse use) const
{
    // Multiples of the golden ratio give the uses of one process different fractions, so that they do not send at the same time either.
    constexpr double GoldenRatio = 0.6180339887;
    return std::fmod(m_random + static_cast<double>(use) * GoldenRatio, 1.0);
}

bool PlatformRateLimiter::admit(PlatformUse use, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    if (m_failures < m_options.failuresForOutage) {
        return budget(use).tryTake(now);
    }
    if (platformUseInfo(use).isWrite || now < m_nextProbe) {
        return false;
    }
    // The next probe waits until this one has ended, or until probeCap has passed if its end is never reported.
    m_nextProbe = now + m_options.probeCap;
    return true;
}

void PlatformRateLimiter::onResponse(MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    if (m_failures >= m_options.failuresForOutage) {
        for (const auto &info : platformUses()) {
            budget(info.use).reset(now, initialTokens(info.use));
        }
    }
    m_failures = 0;
}

void PlatformRateLimiter::onFailure(MonotonicTime now, double random)
{
    const std::lock_guard lock(m_mutex);
    // The limit only keeps the counter from overflowing in a long outage.
    constexpr int MaxCountedFailures = 1000;
    m_failures = std::min(m_failures + 1, MaxCountedFailures);
    m_random = random;
    if (m_failures >= m_options.failuresForOutage) {
        m_nextProbe = now + jitteredDelay(m_options.probeBase, m_options.probeCap, m_failures - m_options.failuresForOutage + 1, random);
    }
}

bool PlatformRateLimiter::isOutage() const
{
    const std::lock_guard lock(m_mutex);
    return m_failures >= m_options.failuresForOutage;
}

std::chrono::milliseconds PlatformRateLimiter::timeUntilAdmission(PlatformUse use, MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    if (m_failures < m_options.failuresForOutage) {
        return m_budgets.at(static_cast<size_t>(use)).timeUntilToken(now);
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_nextProbe - now);
    return std::max(std::chrono::milliseconds(0), wait);
}

void PlatformRateLimiter::setNodeCount(int nodes, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &info : platformUses()) {
        budget(info.use).setRate(ratePerNode(info.use, nodes), now);
    }
}

} // namespace Jujube
