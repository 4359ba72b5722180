#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibLoop/Endpoint.h>
#include <memory>
#include <string>
#include <vector>

namespace Jujube
{

// What a proxy does to the connections through it.
enum class LinkFault {
    None,
    // Bytes arrive later in both directions.
    Delay,
    // Connections stay open and no byte passes.
    Silence,
    // No byte passes from the side that connected.
    CutForward,
    // No byte passes to the side that connected.
    CutBackward,
    // New connections are reset.
    Refuse,
};

struct LoopbackProxyHooks {
    // Runs a function on the thread of the proxy's loop. It is set if the functions of the proxy are called on another one.
    std::function<void(const std::function<void()> &)> run = [](const std::function<void()> &function) { function(); };
    // Bytes have arrived from a side that connected. Called on the loop's thread.
    std::function<void(std::string_view bytes)> onForward = [](std::string_view) {};
};

// Forwards TCP connections between a listening address and a program on the loopback interface, and injects faults of the network.
class LoopbackProxy
{
public:
    LoopbackProxy(boost::asio::io_context &loop, Endpoint listen, const Endpoint &target, LoopbackProxyHooks hooks = {});
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    // Affects open and new connections.
    void setFault(LinkFault fault);
    // Resets the open connections.
    void resetAll();
    // Whether anybody listens at the address. A program that is down refuses connections.
    void setListening(bool isListening);

    const Endpoint &address() const
    {
        return m_listen;
    }

private:
    class Connection;

    void open();
    void resetConnections();
    void accept();
    // Whether bytes may pass in a direction.
    bool passes(bool forward) const;

    boost::asio::io_context &m_loop;
    const Endpoint m_listen;
    const Endpoint m_target;
    const LoopbackProxyHooks m_hooks;
    Tcp::acceptor m_acceptor;
    LinkFault m_fault = LinkFault::None;
    std::vector<std::shared_ptr<Connection>> m_connections;
};

} // namespace Jujube
