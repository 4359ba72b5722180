#include "SoakStore.h"

#include <future>

namespace Jujube
{

SoakStore::SoakStore(const Endpoint &address)
    : m_work(boost::asio::make_work_guard(m_loop))
    , m_store(m_loop, address)
    , m_thread([this] { m_loop.run(); })
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

void SoakStore::stop()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
}

} // namespace Jujube
