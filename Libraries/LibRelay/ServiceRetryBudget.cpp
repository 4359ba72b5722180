#include <LibRelay/ServiceRetryBudget.h>

#include <LibRelay/RelayShare.h>

namespace Jujube
{

ServiceRetryBudget::ServiceRetryBudget(Options options)
    : m_options(options)
{
}

void ServiceRetryBudget::expire(MonotonicTime now)
{
    const auto start = now - m_options.window;
    while (!m_requests.empty() && m_requests.front() < start) {
        m_requests.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() < start) {
        m_retries.pop_front();
    }
}

void ServiceRetryBudget::recordRequest(MonotonicTime now)
{
    expire(now);
    m_requests.push_back(now);
}

bool ServiceRetryBudget::tryRetry(SharingRelays relays, MonotonicTime now)
{
    expire(now);
    const double bound = m_options.ratio * static_cast<double>(m_requests.size()) + relayShare(m_options.slack, relays.count);
    if (static_cast<double>(m_retries.size() + 1) > m_options.usedFraction * bound) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

} // namespace Jujube
