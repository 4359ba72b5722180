#include <LibLoop/CallerChannel.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusContentTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;

// Input beyond one request that is kept while the request is being answered. Reading stops above it.
constexpr size_t PipelinedBytes = 64 * 1024;
// Output that may wait for a slow caller before the target's answer is no longer read.
constexpr size_t OutputLimitBytes = 256 * 1024;
// Most bytes of one write to the socket.
constexpr size_t WriteBytes = 64 * 1024;

int statusOf(ParseError error)
{
    switch (error) {
    case ParseError::HeadTooLarge:
        return StatusHeaderTooLarge;
    case ParseError::BodyTooLarge:
        return StatusContentTooLarge;
    case ParseError::Malformed:
        break;
    }
    return StatusBadRequest;
}

std::string chunkOf(std::string_view bytes)
{
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", toAbsl(bytes), "\r\n");
}

} // namespace

CallerChannel::CallerChannel(Tcp::socket socket, const Hooks &hooks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_hooks(hooks)
{
}

void CallerChannel::start()
{
    LoopError ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    beginMessage();
    read();
}

void CallerChannel::setAnswerHooks(AnswerHooks hooks)
{
    m_answerHooks = std::move(hooks);
}

void CallerChannel::beginMessage()
{
    m_limits = m_hooks.limits();
    m_parser = std::make_unique<MessageParser>(MessageParser::Direction::Request,
                                               MessageParser::Limits {.headBytes = m_limits.headBytes, .bodyBytes = m_limits.bodyBytes});
    m_state = State::Idle;
    m_keep = true;
    m_answerBegun = false;
    armTimer(m_limits.idleTimeout);
}

void CallerChannel::read()
{
    if (m_reading || m_state == State::Closed || m_callerClosed || (m_state == State::Answering && m_input.size() > PipelinedBytes)) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](const LoopError &error, size_t bytes) { self->onRead(error, bytes); });
}

void CallerChannel::onRead(const LoopError &error, size_t bytes)
{
    m_reading = false;
    if (m_state == State::Closed) {
        return;
    }
    if (error) {
        m_callerClosed = true;
        if (m_state == State::Answering) {
            loseCaller();
            return;
        }
        if (m_state != State::Closing || m_writing.empty()) {
            close();
        }
        return;
    }
    if (m_state == State::Closing) {
        m_discarded += bytes;
        if (m_discarded > m_limits.discardBytes) {
            close();
            return;
        }
    } else {
        m_input.append(m_readBuffer.data(), bytes);
        if (m_state != State::Answering) {
            parseInput();
        }
    }
    read();
}

void CallerChannel::loseCaller()
{
    const auto onGone = std::move(m_answerHooks.onGone);
    m_answerHooks = {};
    close();
    if (onGone) {
        onGone();
    }
}

void CallerChannel::parseInput()
{
    if (m_state == State::Idle && !m_input.empty()) {
        m_state = State::ReadingHead;
        armTimer(m_limits.headTimeout);
    }
    if (const auto error = m_parser->feed(m_input)) {
        rejectWith(statusOf(*error));
        return;
    }
    if (m_state == State::ReadingHead && m_parser->hasHead()) {
        m_state = State::ReadingBody;
        if (absl::EqualsIgnoreCase(toAbsl(m_parser->head().value("expect")), "100-continue")) {
            append("HTTP/1.1 100 Continue\r\n\r\n");
        }
        armTimer(m_limits.idleTimeout);
    }
    if (!m_parser->isComplete()) {
        return;
    }
    const auto &head = m_parser->head();
    if (head.count("host") != 1 && head.version > 10) {
        rejectWith(StatusBadRequest);
        return;
    }
    m_timer.cancel();
    m_state = State::Answering;
    m_keep = head.keepsChannel;
    m_framing = {};
    CallerRequest request {.head = head, .body = m_parser->takeBody(), .arrivedAt = monotonicNow()};
    m_parser.reset();
    m_hooks.onRequest(shared_from_this(), std::move(request));
}

void CallerChannel::rejectWith(int status)
{
    m_hooks.onRejected(status);
    m_keep = false;
    m_state = State::Answering;
    send({.status = status}, {});
}

void CallerChannel::addChannelFields(MessageHead &head)
{
    if (m_hooks.isClosing()) {
        m_keep = false;
    }
    if (!m_keep) {
        head.set("Connection", "close");
    }
}

void CallerChannel::send(MessageHead head, std::string_view body)
{
    begin(std::move(head), {.length = body.size()});
    write(body);
    finish();
}

void CallerChannel::begin(MessageHead head, const Framing &framing)
{
    if (m_state != State::Answering || m_answerBegun) {
        return;
    }
    m_answerBegun = true;
    m_framing = framing;
    m_keep = m_keep && !framing.endsWithChannel;
    addChannelFields(head);
    if (framing.length) {
        head.set("Content-Length", absl::StrCat(*framing.length));
    } else if (framing.hasBody && !framing.endsWithChannel) {
        head.set("Transfer-Encoding", "chunked");
    }
    append(answerText(head));
}

void CallerChannel::write(std::string_view bytes)
{
    if (m_state != State::Answering || bytes.empty() || !m_framing.hasBody) {
        return;
    }
    if (m_framing.length || m_framing.endsWithChannel) {
        append(bytes);
    } else {
        append(chunkOf(bytes));
    }
}

void CallerChannel::finish()
{
    if (m_state != State::Answering) {
        return;
    }
    if (m_framing.hasBody && !m_framing.length && !m_framing.endsWithChannel) {
        append("0\r\n\r\n");
    }
    endAnswer();
}

void CallerChannel::endAnswer()
{
    m_answerHooks = {};
    if (!m_keep) {
        m_state = State::Closing;
        if (m_writing.empty()) {
            endOutput();
        } else {
            armTimer(m_limits.idleTimeout);
        }
        read();
        return;
    }
    beginMessage();
    if (!m_input.empty()) {
        // Handled from the loop, so that a caller that sends many requests at once does not nest their handling.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_state == State::Idle) {
                self->parseInput();
                self->read();
            }
        });
        return;
    }
    read();
}

void CallerChannel::cut()
{
    m_answerHooks = {};
    close();
}

void CallerChannel::reset()
{
    LoopError ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    cut();
}

void CallerChannel::closeIfIdle()
{
    if (m_state == State::Idle && m_input.empty() && m_writing.empty()) {
        close();
    }
}

bool CallerChannel::isCongested() const
{
    return unsentBytes() > OutputLimitBytes;
}

void CallerChannel::append(std::string_view text)
{
    if (m_state == State::Closed) {
        return;
    }
    m_output.append(text);
    if (m_writing.empty()) {
        // Parts that are appended in one turn of the loop leave in one write.
        m_writing = std::exchange(m_output, {});
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->flush(); });
    }
}

void CallerChannel::flush()
{
    if (m_state == State::Closed) {
        return;
    }
    m_writing += m_output;
    m_output.clear();
    boost::asio::async_write(
        m_socket,
        boost::asio::buffer(m_writing),
        [self = shared_from_this()](const LoopError &error, size_t) { return self->onProgress(error); },
        [self = shared_from_this()](const LoopError &error, size_t) { self->onWritten(error); });
}

size_t CallerChannel::onProgress(const LoopError &error)
{
    if (error) {
        return 0;
    }
    if (m_state == State::Closing) {
        armTimer(m_limits.idleTimeout);
    }
    return WriteBytes;
}

void CallerChannel::endOutput()
{
    LoopError ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    armTimer(m_limits.discardTimeout);
}

void CallerChannel::onWritten(const LoopError &error)
{
    if (m_state == State::Closed) {
        return;
    }
    const bool wasCongested = isCongested();
    m_writing.clear();
    if (error) {
        loseCaller();
        return;
    }
    if (!m_output.empty()) {
        m_writing = std::exchange(m_output, {});
        flush();
    } else if (m_state == State::Closing) {
        endOutput();
        if (m_callerClosed) {
            close();
        }
        return;
    }
    if (wasCongested && !isCongested() && m_answerHooks.onWritable) {
        const auto onWritable = m_answerHooks.onWritable;
        onWritable();
    }
}

void CallerChannel::armTimer(std::chrono::milliseconds timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](const LoopError &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

void CallerChannel::onTimer()
{
    // The timer may have been set again after it had expired.
    if (m_timer.expiry() > std::chrono::steady_clock::now()) {
        return;
    }
    switch (m_state) {
    case State::ReadingHead:
    case State::ReadingBody:
        rejectWith(StatusRequestTimeout);
        break;
    case State::Idle:
    case State::Closing:
        close();
        break;
    case State::Answering:
    case State::Closed:
        break;
    }
}

void CallerChannel::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    LoopError ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    m_hooks.onClosed(this);
}

} // namespace Jujube
