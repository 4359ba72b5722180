#include "SoakStore.h"

#include <future>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds TickInterval {20};

} // namespace

SoakStore::SoakStore(const Endpoint &address)
    : m_work(boost::asio::make_work_guard(m_loop))
    , m_store(m_loop, address)
    , m_tick(m_loop, TickInterval)
    , m_thread([this] {
        tick();
        m_loop.run();
    })
{
}

SoakStore::~SoakStore()
{
    stop();
}

void SoakStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    run([&] { m_store.put(table, key, value); });
}

void SoakStore::remove(const std::string &table, const std::string &key)
{
    run([&] { m_store.remove(table, key); });
}

void SoakStore::setFault(StandInStore::Fault fault)
{
    run([&] { m_store.setFault(fault); });
}

void SoakStore::discardHistory()
{
    run([&] { m_store.discardHistory(); });
}

void SoakStore::removePresent(const std::string &table, const std::string &key)
{
    run([&] {
        if (m_store.hasRow(table, key)) {
            m_store.remove(table, key);
        }
    });
}

StandInStore::Copy SoakStore::takeCopy()
{
    StandInStore::Copy copy;
    run([&] { copy = m_store.takeCopy(); });
    return copy;
}

void SoakStore::restoreCopy(const StandInStore::Copy &copy, StandInStore::Unfinished unfinished)
{
    run([&] { m_store.restoreCopy(copy, unfinished); });
}

int SoakStore::calls()
{
    int calls = 0;
    run([&] { calls = m_store.calls(); });
    return calls;
}

void SoakStore::run(const std::function<void()> &function)
{
    if (!m_thread.joinable()) {
        function();
        return;
    }
    std::promise<void> ended;
    boost::asio::post(m_loop, [&] {
        function();
        ended.set_value();
    });
    ended.get_future().wait();
}

void SoakStore::tick()
{
    m_tick.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_tick.expiry()).count();
        m_lateness = std::max(m_lateness.load(), late);
        m_tick.expires_at(now + TickInterval);
        tick();
    });
}

std::chrono::milliseconds SoakStore::takeLateness()
{
    return std::chrono::milliseconds(m_lateness.exchange(0));
}

void SoakStore::stop()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
}

} // namespace Jujube
