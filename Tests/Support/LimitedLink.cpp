#include "LimitedLink.h"

#include <algorithm>

namespace Jujube
{

struct LimitedLink::Connection {
    explicit Connection(boost::asio::io_context &loop)
        : client(loop)
        , server(loop)
        , timer(loop)
    {
    }

    void close()
    {
        LoopError ignored;
        client.close(ignored);
        server.close(ignored);
        timer.cancel();
    }

    Tcp::socket client;
    Tcp::socket server;
    boost::asio::steady_timer timer;
    std::array<char, 4096> request {};
    std::array<char, 4096> response {};
};

LimitedLink::LimitedLink(boost::asio::io_context &loop, Endpoint address, Endpoint server, double bytesPerSecond)
    : m_loop(loop)
    , m_server(std::move(server))
    , m_bytesPerSecond(bytesPerSecond)
    , m_acceptor(loop, address.tcp())
{
    accept();
}

LimitedLink::~LimitedLink()
{
    LoopError ignored;
    m_acceptor.close(ignored);
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
}

void LimitedLink::accept()
{
    const auto connection = std::make_shared<Connection>(m_loop);
    m_acceptor.async_accept(connection->client, [this, connection](const LoopError &error) {
        if (error) {
            return;
        }
        std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
        m_connections.push_back(connection);
        connection->server.async_connect(m_server.tcp(), [this, connection](const LoopError &failure) {
            if (failure) {
                connection->close();
                return;
            }
            pump(connection, connection->client, connection->server, connection->request, false);
            pump(connection, connection->server, connection->client, connection->response, true);
        });
        accept();
    });
}

void LimitedLink::pump(const std::shared_ptr<Connection> &connection, Tcp::socket &from, Tcp::socket &to, std::array<char, 4096> &buffer, bool isLimited)
{
    from.async_read_some(boost::asio::buffer(buffer), [this, connection, &from, &to, &buffer, isLimited](const LoopError &error, size_t bytes) {
        if (error) {
            connection->close();
            return;
        }
        const auto send = [this, connection, &from, &to, &buffer, isLimited, bytes] {
            boost::asio::async_write(
                to, boost::asio::buffer(buffer.data(), bytes), [this, connection, &from, &to, &buffer, isLimited](const LoopError &failure, size_t) {
                    if (failure) {
                        connection->close();
                        return;
                    }
                    pump(connection, from, to, buffer, isLimited);
                });
        };
        if (!isLimited) {
            send();
            return;
        }
        m_bytes += bytes;
        const std::chrono::duration<double> time(static_cast<double>(bytes) / m_bytesPerSecond);
        m_freeAt = std::max(m_freeAt, monotonicNow()) + std::chrono::duration_cast<MonotonicTime::duration>(time);
        connection->timer.expires_at(m_freeAt);
        connection->timer.async_wait([send](const LoopError &failure) {
            if (!failure) {
                send();
            }
        });
    });
}

} // namespace Jujube
