#include <LibRelay/RolloutSampler.h>

#include <utility>

namespace Jujube
{

namespace
{

// Events after the first one over which the pace of a stream is measured.
constexpr int64_t EventsForPace = 8;

std::chrono::microseconds wholeMicroseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

} // namespace

RolloutSampler::RolloutSampler(RolloutSampleKey key, int64_t order, MonotonicTime sentAt)
    : m_key(std::move(key))
    , m_order(order)
    , m_sentAt(sentAt)
{
}

void RolloutSampler::count(RolloutSamples &samples)
{
    m_isCounted = true;
    ++samples.responses;
}

void RolloutSampler::recordDelay(RolloutSamples &samples, MonotonicTime now)
{
    if (!m_isCounted) {
        count(samples);
        samples.delay.add(wholeMicroseconds(now - m_sentAt));
    }
}

void RolloutSampler::recordEvents(RolloutSamples &samples, int64_t events, MonotonicTime now)
{
    m_events = events;
    m_lastEventAt = now;
    if (m_firstEvents == 0) {
        m_firstEvents = events;
        m_firstEventAt = now;
        recordDelay(samples, now);
    } else if (events - m_firstEvents >= EventsForPace) {
        recordPace(samples);
    }
}

void RolloutSampler::recordPace(RolloutSamples &samples)
{
    const auto further = m_events - m_firstEvents;
    if (!std::exchange(m_hasPace, true) && further > 0) {
        samples.pace.add(wholeMicroseconds(m_lastEventAt - m_firstEventAt) / further);
    }
}

bool RolloutSampler::recordBad(RolloutSamples &samples)
{
    if (std::exchange(m_isBad, true)) {
        return false;
    }
    if (!m_isCounted) {
        count(samples);
    }
    ++samples.bad;
    return true;
}

void RolloutSampler::recordEnd(RolloutSamples &samples, MonotonicTime now)
{
    recordDelay(samples, now);
    recordPace(samples);
}

} // namespace Jujube
