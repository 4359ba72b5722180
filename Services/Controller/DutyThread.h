#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Jujube
{

// Runs one duty's step again and again on a thread of its own, until it is destroyed.
class DutyThread
{
public:
    DutyThread(std::chrono::milliseconds interval, std::function<void()> step)
        : m_thread([this, interval, step = std::move(step)] { run(interval, step); })
    {
    }

    ~DutyThread()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wakeUp.notify_all();
        m_thread.join();
    }

    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

private:
    void run(std::chrono::milliseconds interval, const std::function<void()> &step)
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            lock.unlock();
            step();
            lock.lock();
            m_wakeUp.wait_for(lock, interval, [this] { return m_stopping; });
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_stopping = false;
    // The last member: the thread uses the others.
    std::thread m_thread;
};

} // namespace Jujube
