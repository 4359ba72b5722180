#include "LoopbackProxy.h"

namespace Jujube
{

namespace
{

// One way, enough to exceed what a healthy link adds to a request several times.
constexpr std::chrono::milliseconds LinkDelay {150};
constexpr size_t BufferBytes = 65536;

} // namespace

// One connection: two sockets and a pump in each direction.
class LoopbackProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(LoopbackProxy &proxy, Tcp::socket caller)
        : m_proxy(proxy)
        , m_forward(proxy.m_loop, std::move(caller))
        , m_backward(proxy.m_loop)
    {
    }

    void connect()
    {
        m_backward.socket.async_connect(m_proxy.m_target.tcp(), [self = shared_from_this()](const LoopError &error) {
            if (error) {
                self->reset();
                return;
            }
            self->m_connected = true;
            self->resume();
        });
    }

    // Goes on in the directions that a fault has held up.
    void resume()
    {
        if (m_connected && !m_closed) {
            pump(m_forward, m_backward, true);
            pump(m_backward, m_forward, false);
        }
    }

    void reset()
    {
        m_closed = true;
        for (auto *side : {&m_forward, &m_backward}) {
            LoopError ignored;
            side->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            side->socket.close(ignored);
            side->timer.cancel();
        }
    }

    bool isClosed() const
    {
        return m_closed;
    }

private:
    // A socket and what was read from it last.
    struct Side {
        explicit Side(boost::asio::io_context &loop)
            : socket(loop)
            , timer(loop)
        {
        }

        Side(boost::asio::io_context &loop, Tcp::socket connected)
            : socket(std::move(connected))
            , timer(loop)
        {
        }

        Tcp::socket socket;
        boost::asio::steady_timer timer;
        std::vector<char> buffer;
        bool busy = false;
        bool ended = false;
    };

    void pump(Side &from, Side &to, bool forward)
    {
        if (from.busy || from.ended || m_closed || !m_proxy.passes(forward)) {
            return;
        }
        from.busy = true;
        from.buffer.resize(BufferBytes);
        from.socket.async_read_some(boost::asio::buffer(from.buffer), [self = shared_from_this(), &from, &to, forward](const LoopError &error, size_t bytes) {
            if (error && error != boost::asio::error::eof) {
                self->reset();
                return;
            }
            if (forward) {
                self->m_proxy.m_hooks.onForward({from.buffer.data(), bytes});
            }
            self->deliver(from, to, forward, bytes);
        });
    }

    // Passes on what was read, or the end of the direction if nothing was, once the link lets it through.
    void deliver(Side &from, Side &to, bool forward, size_t bytes)
    {
        if (m_closed) {
            return;
        }
        const bool held = !m_proxy.passes(forward);
        const bool delayed = m_proxy.m_fault == LinkFault::Delay;
        if (held || delayed) {
            constexpr std::chrono::milliseconds HeldPoll {10};
            from.timer.expires_after(held ? HeldPoll : LinkDelay);
            from.timer.async_wait([self = shared_from_this(), &from, &to, forward, bytes, held](const LoopError &error) {
                if (error) {
                    return;
                }
                if (held) {
                    self->deliver(from, to, forward, bytes);
                } else {
                    self->write(from, to, forward, bytes);
                }
            });
            return;
        }
        write(from, to, forward, bytes);
    }

    void write(Side &from, Side &to, bool forward, size_t bytes)
    {
        if (bytes == 0) {
            LoopError ignored;
            to.socket.shutdown(Tcp::socket::shutdown_send, ignored);
            from.ended = true;
            from.busy = false;
            m_closed = m_closed || to.ended;
            return;
        }
        boost::asio::async_write(
            to.socket, boost::asio::buffer(from.buffer, bytes), [self = shared_from_this(), &from, &to, forward](const LoopError &error, size_t) {
                from.busy = false;
                if (error) {
                    self->reset();
                    return;
                }
                self->pump(from, to, forward);
            });
    }

    LoopbackProxy &m_proxy;
    Side m_forward;
    Side m_backward;
    bool m_connected = false;
    bool m_closed = false;
};

LoopbackProxy::LoopbackProxy(boost::asio::io_context &loop, Endpoint listen, const Endpoint &target, LoopbackProxyHooks hooks)
    : m_loop(loop)
    , m_listen(std::move(listen))
    , m_target(target)
    , m_hooks(std::move(hooks))
    , m_acceptor(loop)
{
    m_hooks.run([this] { open(); });
}

LoopbackProxy::~LoopbackProxy()
{
    m_hooks.run([this] { resetConnections(); });
}

void LoopbackProxy::setFault(LinkFault fault)
{
    m_hooks.run([this, fault] {
        m_fault = fault;
        const auto connections = m_connections;
        for (const auto &connection : connections) {
            connection->resume();
        }
    });
}

void LoopbackProxy::resetAll()
{
    m_hooks.run([this] { resetConnections(); });
}

void LoopbackProxy::resetConnections()
{
    for (const auto &connection : std::exchange(m_connections, {})) {
        connection->reset();
    }
}

void LoopbackProxy::setListening(bool isListening)
{
    m_hooks.run([this, isListening] {
        if (isListening == m_acceptor.is_open()) {
            return;
        }
        if (isListening) {
            open();
            return;
        }
        m_acceptor.close();
        resetConnections();
    });
}

void LoopbackProxy::open()
{
    m_acceptor = Tcp::acceptor(m_loop, m_listen.tcp(), true);
    accept();
}

void LoopbackProxy::accept()
{
    m_acceptor.async_accept([this](const LoopError &error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
        if (!error) {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            if (m_fault == LinkFault::Refuse) {
                connection->reset();
            } else {
                m_connections.push_back(connection);
                connection->connect();
            }
        }
        accept();
    });
}

bool LoopbackProxy::passes(bool forward) const
{
    return m_fault != LinkFault::Silence && m_fault != (forward ? LinkFault::CutForward : LinkFault::CutBackward);
}

} // namespace Jujube
