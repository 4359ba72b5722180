#include <LibPolicy/RetryBudget.h>

#include <algorithm>

namespace Jujube
{

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : m_options(options)
{
}

void RetryBudget::recordSuccess()
{
    m_available = std::min(m_available + m_options.share, m_options.maxSaved);
}

bool RetryBudget::tryRetry(int liveGateways, MonotonicTime now)
{
    const double floor = m_options.minRetriesPerSecond / std::max(liveGateways, 1);
    if (!m_started) {
        // A gateway starts with its share of the minimum rate for one second, but with at least one retry.
        m_available = std::min(m_available + std::max(floor, 1.0), m_options.maxSaved);
        m_started = true;
    } else {
        const std::chrono::duration<double> elapsed = now - m_updated;
        m_available = std::min(m_available + std::max(elapsed.count(), 0.0) * floor, m_options.maxSaved);
    }
    m_updated = std::max(m_updated, now);
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

double RetryBudget::available() const
{
    return m_available;
}

} // namespace Jujube
