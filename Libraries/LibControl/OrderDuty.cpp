#include <LibControl/OrderDuty.h>

#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr int Refused = 409;

std::string describe(const Order &order, uint64_t fencing)
{
    return absl::StrCat(toAbsl(nameOf(order.kind)), " ", order.model, " ", order.version, order.role, " with fencing number ", fencing);
}

} // namespace

OrderDuty::OrderDuty(Options options, LeaseDuty &lease, const ReportDuty &reports, ControlContext context)
    : m_options(options)
    , m_lease(lease)
    , m_reports(reports)
    , m_context(std::move(context))
    , m_plan(options.plan)
    , m_loads(options.loads)
{
}

void OrderDuty::step(const std::vector<WantedTarget> &wanted)
{
    const auto now = m_context.now();
    const auto term = m_lease.term();
    if (!term) {
        return;
    }
    if (term->fencing != m_fencing) {
        m_fencing = term->fencing;
        m_plan.beginTerm(term->start);
        m_loads.clear(now);
    }
    const auto missing = missingOrders(wanted, m_reports.reports());
    size_t sent = 0;
    for (const auto &order : m_plan.due(withoutWaitingLoads(missing, now), wanted, now)) {
        // The process may have been frozen since the last order, so the lease is checked before each one.
        const auto current = m_lease.term();
        if (!current || current->fencing != m_fencing || sent >= m_options.maxOrdersPerStep) {
            return;
        }
        m_plan.onSent(order, now);
        send(order, m_fencing);
        ++sent;
    }
}

std::vector<Order> OrderDuty::withoutWaitingLoads(const std::vector<Order> &missing, MonotonicTime now)
{
    std::vector<Order> loads;
    std::vector<Order> result;
    for (const auto &order : missing) {
        (order.kind == OrderKind::Load ? loads : result).push_back(order);
    }
    const auto admitted = m_loads.admit(loads, now);
    result.insert(result.end(), admitted.begin(), admitted.end());
    return result;
}

void OrderDuty::send(const Order &order, uint64_t fencing)
{
    m_context.record(EventKind::OrderSent, order.target, describe(order, fencing));
    // A connection of its own and a limit for the whole call bound how late an order can arrive.
    HttpCall call {.method = "POST",
                   .url = absl::StrCat("http://", order.target, "/orders"),
                   .headers = {{"Content-Type", "application/json"}},
                   .body = order.toJson(fencing).dump(),
                   .totalTimeout = m_options.plan.orderTimeout,
                   .freshConnection = true};
    m_context.send(std::move(call), [this, order, fencing](const HttpAnswer &answer) {
        if (answer.end == HttpEnd::Complete && answer.status == Refused) {
            m_context.record(EventKind::OrderRefused, order.target, describe(order, fencing));
            m_lease.suspect();
        }
    });
}

} // namespace Jujube
