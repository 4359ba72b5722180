#include <LibPolicy/SlowStart.h>

#include <utility>

namespace Jujube
{

SlowStart::SlowStart(SlowStartOptions options)
    : m_options(std::move(options))
{
}

void SlowStart::start(MonotonicTime now)
{
    m_start = now;
}

void SlowStart::stop()
{
    m_start.reset();
}

void SlowStart::recordFailure(MonotonicTime now)
{
    const auto current = step(now);
    if (current >= m_options.shares.size()) {
        return;
    }
    m_start = now - current * m_options.stepTime;
}

double SlowStart::share(MonotonicTime now) const
{
    const auto current = step(now);
    return current < m_options.shares.size() ? m_options.shares[current] : 1.0;
}

size_t SlowStart::step(MonotonicTime now) const
{
    if (!m_start || m_options.stepTime.count() <= 0) {
        return m_options.shares.size();
    }
    if (now <= *m_start) {
        return 0;
    }
    return static_cast<size_t>((now - *m_start) / m_options.stepTime);
}

} // namespace Jujube
