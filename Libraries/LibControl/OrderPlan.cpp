#include <LibControl/OrderPlan.h>

#include <set>

namespace Jujube
{

OrderPlan::OrderPlan(Options options)
    : m_options(options)
{
}

void OrderPlan::beginTerm(MonotonicTime now)
{
    m_termStart = now;
    m_sent.clear();
}

std::vector<Order> OrderPlan::due(const std::vector<Order> &missing, const std::vector<WantedTarget> &wanted, MonotonicTime now)
{
    std::set<std::string> fenced;
    for (const auto &item : wanted) {
        if (item.honoursFencing) {
            fenced.insert(item.target);
        }
    }
    const std::set<Order> stillMissing(missing.begin(), missing.end());
    std::erase_if(m_sent, [&stillMissing](const auto &sent) { return !stillMissing.contains(sent.first); });
    std::vector<Order> result;
    for (const auto &order : missing) {
        const bool mayStart = fenced.contains(order.target) ? now >= m_termStart : now >= firstUnfencedOrder();
        const auto sent = m_sent.find(order);
        const bool isFresh = sent != m_sent.end() && now < sent->second + m_options.repeatInterval;
        if (mayStart && !isFresh) {
            result.push_back(order);
        }
    }
    return result;
}

void OrderPlan::onSent(const Order &order, MonotonicTime now)
{
    m_sent[order] = now;
}

} // namespace Jujube
