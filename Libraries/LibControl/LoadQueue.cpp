#include <LibControl/LoadQueue.h>

#include <algorithm>

namespace Jujube
{

LoadQueue::LoadQueue(Options options)
    : m_options(options)
{
}

void LoadQueue::clear(MonotonicTime now)
{
    m_queue.clear();
    m_running.clear();
    // The loads of the last holder may still run.
    m_nextStart = now + m_options.startInterval;
}

std::set<Order> LoadQueue::admit(const std::vector<Order> &missing, MonotonicTime now)
{
    reconcile(missing, now);
    if (now >= m_nextStart && m_running.size() < m_options.maxRunning) {
        const auto chosen = choose();
        if (chosen != m_queue.end()) {
            m_running[*chosen] = now;
            m_queue.erase(chosen);
            m_nextStart = now + m_options.startInterval;
        }
    }
    std::set<Order> admitted;
    for (const auto &[order, started] : m_running) {
        admitted.insert(order);
    }
    return admitted;
}

void LoadQueue::reconcile(const std::vector<Order> &missing, MonotonicTime now)
{
    const std::set<Order> wanted(missing.begin(), missing.end());
    std::erase_if(m_running, [&wanted](const auto &item) { return !wanted.contains(item.first); });
    std::erase_if(m_queue, [&wanted](const auto &order) { return !wanted.contains(order); });
    std::erase_if(m_running, [this, now](const auto &item) { return now - item.second >= m_options.loadTimeout; });
    std::set<Order> known(m_queue.begin(), m_queue.end());
    for (const auto &order : missing) {
        if (!m_running.contains(order) && known.insert(order).second) {
            m_queue.push_back(order);
        }
    }
}

std::deque<Order>::iterator LoadQueue::choose()
{
    auto best = m_queue.end();
    for (auto item = m_queue.begin(); item != m_queue.end(); ++item) {
        if (runningFor(&Order::model, item->model) >= m_options.maxRunningPerModel) {
            continue;
        }
        if (best == m_queue.end() || runningFor(&Order::dataCentre, item->dataCentre) < runningFor(&Order::dataCentre, best->dataCentre)) {
            best = item;
        }
    }
    return best;
}

size_t LoadQueue::runningFor(const std::string Order::*field, const std::string &value) const
{
    return static_cast<size_t>(std::count_if(m_running.begin(), m_running.end(), [&](const auto &item) { return item.first.*field == value; }));
}

} // namespace Jujube
