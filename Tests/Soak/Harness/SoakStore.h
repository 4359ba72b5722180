#pragma once

#include <atomic>
#include <functional>
#include <platform/StandIns/StandInStore.h>
#include <string>
#include <thread>

namespace Jujube
{

// The store, on a thread of its own together with the links to it, because many relays may read a large document at once and callers must not wait for that.
class SoakStore
{
public:
    explicit SoakStore(const Endpoint &address);
    ~SoakStore();
    SoakStore(const SoakStore &) = delete;
    SoakStore &operator=(const SoakStore &) = delete;

    // These return when the store has confirmed the change.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    void setFault(StandInStore::Fault fault);
    void discardHistory();
    // Removes a row unless it is missing.
    void removePresent(const std::string &table, const std::string &key);
    StandInStore::Copy takeCopy();
    void restoreCopy(const StandInStore::Copy &copy, StandInStore::Unfinished unfinished);

    int calls();

    boost::asio::io_context &loop()
    {
        return m_loop;
    }
    // Runs a function on the store's thread, and returns when it has ended.
    void run(const std::function<void()> &function);
    // How late the thread was at most since the last call.
    std::chrono::milliseconds takeLateness();
    // Ends the thread. Functions run on the calling thread from now on.
    void stop();

private:
    void tick();

    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    StandInStore m_store;
    boost::asio::steady_timer m_tick;
    std::atomic<std::chrono::milliseconds::rep> m_lateness {0};
    std::thread m_thread;
};

} // namespace Jujube
