#pragma once

#include <LibRelay/RolloutTypes.h>

namespace Jujube
{

// What this relay has counted of one service since an order.
class RolloutCounts
{
public:
    // Begins anew for another order.
    void reset(int64_t order);

    int64_t order() const
    {
        return m_report.order;
    }

    void addRequest(bool isNew);
    // The samples to add to. Null if there are too many kinds of samples already.
    RolloutSamples *samples(const RolloutSampleKey &key);

    // The sums, without the parts of a report that are not counted.
    const RolloutReport &report() const
    {
        return m_report;
    }

private:
    RolloutReport m_report;
};

} // namespace Jujube
