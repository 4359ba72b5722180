#include "ByteServer.h"

#include "LoopbackEndpoint.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace Jujube
{

namespace
{

constexpr std::string_view HeadEnd = "\r\n\r\n";

} // namespace

bool ByteServer::Connection::receive()
{
    if (m_isReset) {
        return false;
    }
    std::array<char, 65536> buffer {};
    LoopError error;
    const auto size = m_socket.read_some(boost::asio::buffer(buffer), error);
    m_input.append(buffer.data(), size);
    return !error;
}

std::string ByteServer::Connection::readHead()
{
    while (m_input.find(HeadEnd) == std::string::npos) {
        if (!receive()) {
            return {};
        }
    }
    const auto size = m_input.find(HeadEnd) + HeadEnd.size();
    auto head = m_input.substr(0, size);
    m_input.erase(0, size);
    return head;
}

std::string ByteServer::Connection::readBody(const std::string &head)
{
    size_t length = 0;
    if (!absl::SimpleAtoi(fieldOf(head, "content-length"), &length)) {
        return {};
    }
    while (m_input.size() < length) {
        if (!receive()) {
            return {};
        }
    }
    auto body = m_input.substr(0, length);
    m_input.erase(0, length);
    return body;
}

std::string ByteServer::Connection::readRequest()
{
    const auto head = readHead();
    return head + readBody(head);
}

void ByteServer::Connection::write(std::string_view bytes)
{
    LoopError ignored;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
}

size_t ByteServer::Connection::writePieces(const std::function<std::string(size_t number)> &piece, size_t most)
{
    size_t sent = 0;
    LoopError error;
    for (size_t number = 0; !error && sent < most; ++number) {
        const auto bytes = piece(number);
        sent += boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
    }
    return sent;
}

void ByteServer::Connection::finish()
{
    finishSending();
    waitForEnd();
}

void ByteServer::Connection::finishSending()
{
    LoopError ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void ByteServer::Connection::reset()
{
    LoopError ignored;
    m_isReset = true;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void ByteServer::Connection::waitForEnd()
{
    while (receive()) {
        m_input.clear();
    }
}

ByteServer::ByteServer(Script script)
    : m_script(std::move(script))
    , m_address(ownLoopbackEndpoint())
    , m_acceptor(m_loop, m_address.tcp())
{
    accept();
    m_thread = std::thread([this] { m_loop.run(); });
}

ByteServer::~ByteServer()
{
    m_isStopping = true;
    m_loop.stop();
    m_thread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &socket : m_sockets) {
            // Closing the socket would not wake the script that reads from it.
            shutdown(socket->native_handle(), SHUT_RDWR);
        }
    }
    for (auto &script : m_scripts) {
        script.join();
    }
}

void ByteServer::waitUntilClosed()
{
    const auto hasOpen = [this] {
        const std::lock_guard lock(m_mutex);
        return !m_sockets.empty();
    };
    while (hasOpen()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void ByteServer::accept()
{
    m_acceptor.async_accept([this](const LoopError &error, Tcp::socket accepted) {
        if (error || m_isStopping) {
            return;
        }
        LoopError ignored;
        accepted.set_option(Tcp::no_delay(true), ignored);
        const auto socket = std::make_shared<Tcp::socket>(std::move(accepted));
        const int number = ++m_connectionCount;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_scripts.emplace_back([this, socket, number] {
            Connection connection(*socket, number);
            m_script(connection);
            const std::lock_guard closing(m_mutex);
            std::erase(m_sockets, socket);
            LoopError closeError;
            socket->close(closeError);
        });
        accept();
    });
}

std::string fieldOf(const std::string &request, const std::string &name)
{
    const std::string head = request.substr(0, request.find(HeadEnd));
    for (const auto line : absl::StrSplit(head, "\r\n")) {
        const std::pair<absl::string_view, absl::string_view> field = absl::StrSplit(line, absl::MaxSplits(':', 1));
        if (absl::EqualsIgnoreCase(field.first, name)) {
            return std::string(absl::StripAsciiWhitespace(field.second));
        }
    }
    return {};
}

} // namespace Jujube
