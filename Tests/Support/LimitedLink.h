#pragma once

#include <LibCore/Time.h>
#include <LibLoop/Asio.h>
#include <LibLoop/Endpoint.h>
#include <memory>
#include <vector>

namespace Jujube
{

// Forwards connections to a server over a link of limited rate, which they share. The rate limits what comes back from the server.
class LimitedLink
{
public:
    LimitedLink(boost::asio::io_context &loop, Endpoint address, Endpoint server, double bytesPerSecond);
    ~LimitedLink();

    // Bytes that have come back from the server.
    size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct Connection;

    void accept();
    // Passes bytes on in one direction until either end closes.
    void pump(const std::shared_ptr<Connection> &connection, Tcp::socket &from, Tcp::socket &to, std::array<char, 4096> &buffer, bool isLimited);

    boost::asio::io_context &m_loop;
    const Endpoint m_server;
    const double m_bytesPerSecond;
    Tcp::acceptor m_acceptor;
    // When the link has sent all that was given to it.
    MonotonicTime m_freeAt {};
    size_t m_bytes = 0;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

} // namespace Jujube
