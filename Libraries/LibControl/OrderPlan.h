#pragma once

#include <LibControl/Order.h>
#include <map>

namespace Jujube
{

// Decides when the lease holder sends an order. Orders are repeated until the target reports the desired state, because no answer proves that an older order
// of an earlier holder does not arrive after it.
class OrderPlan
{
public:
    struct Options {
        std::chrono::milliseconds leaseTime {10000};
        // The longest time that an order is under way after its lease was checked.
        std::chrono::milliseconds orderTimeout {5000};
        // An order that has no visible effect is sent again after this time.
        std::chrono::milliseconds repeatInterval {10000};
    };

    explicit OrderPlan(Options options);

    // The process holds the lease since this time, under a new fencing number. Forgets what the last term sent.
    void beginTerm(MonotonicTime now);

    // Of the missing orders, those to send now. A target that ignores fencing numbers gets none before the last order of an earlier holder has had time to
    // arrive. Orders that are not missing any more are forgotten, so that they are sent at once if they are missing again.
    std::vector<Order> due(const std::vector<Order> &missing, const std::vector<WantedTarget> &wanted, MonotonicTime now);

    // The order was sent at this time.
    void onSent(const Order &order, MonotonicTime now);

    // When a target that ignores fencing numbers gets the first order of this term.
    MonotonicTime firstUnfencedOrder() const
    {
        return m_termStart + m_options.leaseTime + m_options.orderTimeout;
    }

private:
    const Options m_options;
    MonotonicTime m_termStart = MonotonicTime::max() - std::chrono::hours(24);
    std::map<Order, MonotonicTime> m_sent;
};

} // namespace Jujube
