#pragma once

#include <atomic>
#include <functional>
#include <LibLoop/Asio.h>
#include <LibLoop/Endpoint.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Jujube
{

// A server that writes exact bytes at exact points. Each connection is served by a script, on a thread of its own.
class ByteServer
{
public:
    // One connection to the server. Used by its script only.
    class Connection
    {
    public:
        Connection(Tcp::socket &socket, int number)
            : m_socket(socket)
            , m_number(number)
        {
        }

        // The number of the connection, from one.
        int number() const
        {
            return m_number;
        }

        // Reads one request with its body, if that has a length. Empty at the end of the connection.
        std::string readRequest();
        // Reads the header section of a request only, and leaves its body unread.
        std::string readHead();
        // Reads the body behind a header section, if that has a length.
        std::string readBody(const std::string &head);
        void write(std::string_view bytes);
        // Writes one piece after the other until the client closes the connection or so many bytes have been sent. Returns how many have been.
        size_t writePieces(const std::function<std::string(size_t number)> &piece, size_t most);
        // Sends the end of the connection (FIN) behind all bytes, and waits for that of the client.
        void finish();
        // Sends the end of the connection only.
        void finishSending();
        // Sends a reset (RST) as soon as the script returns. Nothing is received any more.
        void reset();
        // Waits until the client closes the connection.
        void waitForEnd();

    private:
        // Receives more bytes. Returns false at the end of the connection.
        bool receive();

        Tcp::socket &m_socket;
        const int m_number;
        std::string m_input;
        bool m_isReset = false;
    };

    using Script = std::function<void(Connection &connection)>;

    // The connection is closed when its script returns.
    explicit ByteServer(Script script);
    // Closes all connections, which ends their scripts.
    ~ByteServer();
    ByteServer(const ByteServer &) = delete;
    ByteServer &operator=(const ByteServer &) = delete;

    const Endpoint &address() const
    {
        return m_address;
    }

    int connectionCount() const
    {
        return m_connectionCount;
    }

    // Waits until each script so far has returned and its connection is closed.
    void waitUntilClosed();

private:
    void accept();

    const Script m_script;
    boost::asio::io_context m_loop;
    const Endpoint m_address;
    Tcp::acceptor m_acceptor;
    std::atomic<int> m_connectionCount {0};
    std::atomic<bool> m_isStopping {false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Tcp::socket>> m_sockets;
    std::vector<std::thread> m_scripts;
    std::thread m_thread;
};

// The value of a header field of a request as it was received. Empty if the field is absent.
std::string fieldOf(const std::string &request, const std::string &name);

} // namespace Jujube
