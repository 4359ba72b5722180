#pragma once

#include <deque>
#include <LibControl/Order.h>
#include <map>
#include <set>

namespace Jujube
{

// Spreads loads from the rate-limited weight store: at most a few at a time, with a pause between starts, few of one model so that its other targets stay in
// service, and evenly over data centres. A load runs until the target reports the model.
class LoadQueue
{
public:
    struct Options {
        size_t maxRunning = 4;
        size_t maxRunningPerModel = 2;
        std::chrono::milliseconds startInterval {1000};
        // A load that takes longer makes room for others and goes to the end of the queue.
        std::chrono::milliseconds loadTimeout {120000};
    };

    explicit LoadQueue(Options options);

    // Given all loads that are missing now, returns those that may run. Their orders may be repeated freely; the others must wait. Loads that are not missing
    // any more have finished or are no longer wanted.
    std::set<Order> admit(const std::vector<Order> &missing, MonotonicTime now);

    // Forgets everything, at the beginning of a term.
    void clear(MonotonicTime now);

private:
    void reconcile(const std::vector<Order> &missing, MonotonicTime now);
    // The first queued load whose model has room, from the data centre with the fewest running loads.
    std::deque<Order>::iterator choose();
    size_t runningFor(const std::string Order::*field, const std::string &value) const;

    const Options m_options;
    std::deque<Order> m_queue;
    // Running loads and when they started.
    std::map<Order, MonotonicTime> m_running;
    MonotonicTime m_nextStart;
};

} // namespace Jujube
