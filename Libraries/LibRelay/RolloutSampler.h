#pragma once

#include <LibCore/Time.h>
#include <LibRelay/RolloutTypes.h>

namespace Jujube
{

// Takes the samples of one attempt: what the response of its target shows of the target's version. Each attempt counts once, and is bad at most once. The
// samples of an attempt of which nothing is recorded, for example because its caller has left, do not change.
class RolloutSampler
{
public:
    // `order` is the version of the order since which samples are counted.
    RolloutSampler(RolloutSampleKey key, int64_t order, MonotonicTime sentAt);

    // Which samples the attempt belongs to.
    const RolloutSampleKey &key() const
    {
        return m_key;
    }
    int64_t order() const
    {
        return m_order;
    }

    // The response has begun, or the attempt has lasted so long that it counts with the time it took so far.
    void recordDelay(RolloutSamples &samples, MonotonicTime now);
    // So many events of the attempt's stream have arrived.
    void recordEvents(RolloutSamples &samples, int64_t events, MonotonicTime now);
    // The target has failed. Returns whether that was not recorded yet.
    bool recordBad(RolloutSamples &samples);
    // The response has ended as a whole one.
    void recordEnd(RolloutSamples &samples, MonotonicTime now);

    // Whether the attempt counts as a response already.
    bool isCounted() const
    {
        return m_isCounted;
    }
    MonotonicTime sentAt() const
    {
        return m_sentAt;
    }

private:
    void count(RolloutSamples &samples);
    void recordPace(RolloutSamples &samples);

    RolloutSampleKey m_key;
    int64_t m_order = 0;
    MonotonicTime m_sentAt;
    bool m_isCounted = false;
    bool m_isBad = false;
    bool m_hasPace = false;
    int64_t m_firstEvents = 0;
    MonotonicTime m_firstEventAt;
    int64_t m_events = 0;
    MonotonicTime m_lastEventAt;
};

} // namespace Jujube
