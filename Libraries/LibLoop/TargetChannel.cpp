#include <LibLoop/TargetChannel.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <cerrno>
#include <LibCore/AbslView.h>
#include <LibCore/HttpStatus.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Jujube
{

namespace
{

// Interim answers (RFC 9110, section 15.2) that may precede the final one.
constexpr int MostInterimAnswers = 8;
constexpr std::chrono::milliseconds DefaultKeepAlive {4000};
// Unacknowledged data ends the connection after this time (TCP_USER_TIMEOUT), so that a silent network does not hold it for minutes.
constexpr int UnacknowledgedTimeoutMs = 4000;

std::chrono::milliseconds keepAliveOf(const MessageHead &head)
{
    for (const auto part : absl::StrSplit(toAbsl(head.value("keep-alive")), ',')) {
        const auto text = absl::StripAsciiWhitespace(part);
        int seconds = 0;
        if (absl::StartsWith(text, "timeout=") && absl::SimpleAtoi(text.substr(8), &seconds)) {
            return std::chrono::seconds(seconds);
        }
    }
    return DefaultKeepAlive;
}

} // namespace

TargetChannel::TargetChannel(boost::asio::io_context &loop, Endpoint address)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_socket(loop)
    , m_timer(loop)
    , m_keepAlive(DefaultKeepAlive)
{
}

void TargetChannel::exchange(std::string request, bool isHead, std::chrono::milliseconds connectTimeout, ExchangeHooks hooks)
{
    m_request = std::move(request);
    m_hooks = std::make_shared<const ExchangeHooks>(std::move(hooks));
    m_onLost = nullptr;
    ++m_useNumber;
    m_direction = isHead ? MessageParser::Direction::AnswerWithoutBody : MessageParser::Direction::Answer;
    m_parser = std::make_unique<MessageParser>(m_direction, MessageParser::Limits {});
    m_headSeen = false;
    m_interimAnswers = 0;
    m_requestWritten = false;
    m_writeError = {};
    m_hasInputEnded = false;
    m_keep = true;
    m_paused = false;
    if (m_state == State::Idle) {
        m_state = State::Exchanging;
        sendRequest();
        return;
    }
    m_state = State::Connecting;
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([weak = weak_from_this()](const LoopError &error) {
        const auto self = weak.lock();
        if (!error && self && self->m_state == State::Connecting) {
            self->m_connectFailure = ConnectFailure::TimedOut;
            self->end(ChannelEnd::NotSent, "connect timeout");
        }
    });
    m_socket.async_connect(m_address.tcp(), [self = shared_from_this()](const LoopError &error) { self->onConnected(error); });
}

void TargetChannel::onConnected(const LoopError &error)
{
    if (m_state != State::Connecting) {
        return;
    }
    m_timer.cancel();
    if (error) {
        m_connectFailure = error == boost::asio::error::connection_refused ? ConnectFailure::Refused : ConnectFailure::Other;
        end(ChannelEnd::NotSent, error.message());
        return;
    }
    LoopError ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(UserTimeout(UnacknowledgedTimeoutMs), ignored);
    m_state = State::Exchanging;
    sendRequest();
}

void TargetChannel::sendRequest()
{
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_request), [self = shared_from_this()](const LoopError &error, size_t) {
        self->m_writing = false;
        self->m_requestWritten = !error;
        self->m_writeError = error;
        self->m_request.clear();
        // A failed write does not end the exchange, because the read may still find an answer that was sent early.
        if (self->m_state == State::Exchanging && self->m_hasInputEnded) {
            self->onInputEnd();
        }
    });
    read();
}

void TargetChannel::read()
{
    if (m_reading || m_paused || m_state == State::Closed) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](const LoopError &error, size_t bytes) { self->onRead(error, bytes); });
}

void TargetChannel::onRead(const LoopError &error, size_t bytes)
{
    m_reading = false;
    if (m_state == State::Closed) {
        return;
    }
    if (!error) {
        m_input.append(m_readBuffer.data(), bytes);
        parseInput();
        if (m_state == State::Exchanging) {
            read();
        }
        return;
    }
    if (error == boost::asio::error::eof) {
        m_hasInputEnded = true;
        onInputEnd();
        return;
    }
    end(ChannelEnd::Broken, error.message());
}

void TargetChannel::onInputEnd()
{
    // Only an orderly end of the channel completes a body without a length. A socket reports a reset or a timeout once, to the read or to the write. If the
    // write gets the report, the read finds an end of file. The write fails with EPIPE if the other end had finished its side before the reset.
    if (m_writing && !isHalfClosed()) {
        // The write is about to fail with the reason.
        return;
    }
    const bool isOrderly = !m_writeError || m_writeError == boost::asio::error::broken_pipe;
    if (isOrderly && m_headSeen && m_parser->finishAtEnd()) {
        m_keep = false;
        complete();
        return;
    }
    const LoopError error = isOrderly ? LoopError(boost::asio::error::eof) : m_writeError;
    end(ChannelEnd::Broken, error.message());
}

bool TargetChannel::isHalfClosed()
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

void TargetChannel::parseInput()
{
    const auto self = shared_from_this();
    while (m_state == State::Exchanging) {
        if (m_parser->feed(m_input)) {
            end(ChannelEnd::Broken, "malformed answer");
            return;
        }
        if (!m_parser->hasHead()) {
            return;
        }
        if (statusKindOf(m_parser->head().status) == StatusKind::Interim) {
            if (++m_interimAnswers > MostInterimAnswers) {
                end(ChannelEnd::Broken, "too many interim answers");
                return;
            }
            m_parser = std::make_unique<MessageParser>(m_direction, MessageParser::Limits {});
            continue;
        }
        if (!m_headSeen) {
            noteHead();
            if (m_state != State::Exchanging) {
                return;
            }
        }
        deliverBody();
        if (m_state == State::Exchanging && m_parser->isComplete()) {
            complete();
        }
        return;
    }
}

void TargetChannel::noteHead()
{
    m_headSeen = true;
    const auto &head = m_parser->head();
    m_keep = head.keepsChannel && !m_parser->endsWithChannel();
    m_keepAlive = keepAliveOf(head);
    const auto hooks = m_hooks;
    if (!hooks->onHead(head, m_parser->declaredLength()) && m_state == State::Exchanging) {
        end(ChannelEnd::Broken, "answer to another request");
    }
}

void TargetChannel::deliverBody()
{
    const auto bytes = m_parser->takeBody();
    if (!bytes.empty()) {
        const auto hooks = m_hooks;
        hooks->onBody(bytes);
    }
}

void TargetChannel::complete()
{
    // Bytes behind a complete answer belong to no request, and an answer that came before the request was written leaves the rest of it unread. A read that a
    // hook has started may have taken such bytes from the socket.
    if (!m_keep || !m_requestWritten || !m_input.empty() || m_reading) {
        end(ChannelEnd::Complete, {});
        return;
    }
    m_state = State::Idle;
    m_idleSince = monotonicNow();
    const auto hooks = std::exchange(m_hooks, nullptr);
    hooks->onEnd(ChannelEnd::Complete, {});
}

void TargetChannel::end(ChannelEnd end, const std::string &error)
{
    const auto hooks = std::exchange(m_hooks, nullptr);
    close();
    if (hooks) {
        hooks->onEnd(end, error);
    }
}

void TargetChannel::pause()
{
    m_paused = true;
}

void TargetChannel::resume()
{
    m_paused = false;
    if (m_state == State::Exchanging) {
        read();
    }
}

void TargetChannel::abort()
{
    close();
}

bool TargetChannel::isReusable()
{
    char byte = 0;
    return m_state == State::Idle && recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0
        && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TargetChannel::watchIdle(std::function<void()> onLost)
{
    m_onLost = std::move(onLost);
    // The bytes stay in the socket, where isReusable() finds them although the loop has not called this yet.
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), number = ++m_useNumber](const LoopError &) {
        if (number == self->m_useNumber) {
            self->onIdleReadable();
        }
    });
}

void TargetChannel::onIdleReadable()
{
    if (m_state != State::Idle) {
        return;
    }
    const auto onLost = std::move(m_onLost);
    close();
    if (onLost) {
        onLost();
    }
}

void TargetChannel::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_hooks = nullptr;
    m_onLost = nullptr;
    m_timer.cancel();
    LoopError ignored;
    m_socket.close(ignored);
}

} // namespace Jujube
