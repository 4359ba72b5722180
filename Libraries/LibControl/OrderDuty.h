#pragma once

#include <LibControl/LeaseDuty.h>
#include <LibControl/LoadQueue.h>
#include <LibControl/OrderPlan.h>
#include <LibControl/ReportDuty.h>

namespace Jujube
{

// Sends the orders that are due to the targets, while this process holds the lease. step() runs on one thread.
class OrderDuty
{
public:
    struct Options {
        OrderPlan::Options plan;
        LoadQueue::Options loads;
        // One step sends at most this many, so that the lease is renewed in the meantime.
        size_t maxOrdersPerStep = 32;
    };

    OrderDuty(Options options, LeaseDuty &lease, const ReportDuty &reports, ControlContext context);

    void step(const std::vector<WantedTarget> &wanted);

private:
    // The missing orders without the loads that must wait.
    std::vector<Order> withoutWaitingLoads(const std::vector<Order> &missing, MonotonicTime now);
    void send(const Order &order, uint64_t fencing);

    const Options m_options;
    LeaseDuty &m_lease;
    const ReportDuty &m_reports;
    const ControlContext m_context;
    OrderPlan m_plan;
    LoadQueue m_loads;
    uint64_t m_fencing = 0;
};

} // namespace Jujube
