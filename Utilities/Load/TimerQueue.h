#pragma once

#include <condition_variable>
#include <functional>
#include <LibCore/Time.h>
#include <map>
#include <mutex>

namespace Jujube
{

// Runs functions at their time, on the thread that calls run(). Functions may be added from every thread.
class TimerQueue
{
public:
    void add(MonotonicTime due, std::function<void()> function)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_functions.emplace(due, std::move(function));
        }
        m_changed.notify_one();
    }

    // Returns at the end time, or earlier when isFinished() returns true. isFinished() is called after each function and wake-up.
    void run(MonotonicTime end, const std::function<bool()> &isFinished)
    {
        std::unique_lock lock(m_mutex);
        while (monotonicNow() < end) {
            const auto first = m_functions.begin();
            if (first != m_functions.end() && first->first <= monotonicNow()) {
                const auto function = std::move(first->second);
                m_functions.erase(first);
                lock.unlock();
                function();
                lock.lock();
                continue;
            }
            lock.unlock();
            const bool finished = isFinished();
            lock.lock();
            if (finished) {
                return;
            }
            const auto due = m_functions.empty() ? end : std::min(end, m_functions.begin()->first);
            // Bounded, because a wake-up between isFinished() and the wait is lost.
            m_changed.wait_until(lock, std::min(due, monotonicNow() + LongestWait));
        }
    }

    // Lets run() ask isFinished() again.
    void wake()
    {
        m_changed.notify_one();
    }

private:
    static constexpr std::chrono::milliseconds LongestWait {100};

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<MonotonicTime, std::function<void()>> m_functions;
};

} // namespace Jujube
