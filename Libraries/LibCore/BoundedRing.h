#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace Jujube
{

// A bounded queue that joins two duties, each with a thread of its own. The producer learns from tryPush() that the ring is full and applies back-pressure.
template<typename T>
class BoundedRing
{
public:
    explicit BoundedRing(size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Returns false, and leaves the item to the caller, if the ring is full or closed.
    bool tryPush(T &&item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_notEmpty.notify_one();
        return true;
    }

    // Pushes even over the capacity. For the last item of a sequence, which must not be lost.
    void pushLast(T &&item)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_items.push_back(std::move(item));
            m_closed = true;
        }
        m_notEmpty.notify_all();
    }

    // Waits for an item for at most the given time. Returns nothing on a timeout or if the ring is closed and empty.
    std::optional<T> popFor(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        if (m_items.empty()) {
            return std::nullopt;
        }
        T item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_notEmpty.notify_all();
    }

    size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::deque<T> m_items;
    bool m_closed = false;
};

} // namespace Jujube
