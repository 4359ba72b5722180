#pragma once

#include <functional>
#include <LibCore/CallerLimits.h>
#include <LibCore/Time.h>
#include <LibLoop/Asio.h>
#include <LibLoop/MessageParser.h>
#include <memory>

namespace Jujube
{

// A request as it arrived, with its whole body.
struct CallerRequest {
    MessageHead head;
    std::string body;
    // When the last byte of the request was read.
    MonotonicTime arrivedAt;
};

// One connection of a caller. Requests are handled one after the other; while one is being answered, the channel keeps reading so that a caller who leaves is
// noticed at once. Used on the loop's thread only.
class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    struct Hooks {
        // A whole request has arrived. The channel waits until finish(), send() or cut() ends its answer.
        std::function<void(const std::shared_ptr<CallerChannel> &, CallerRequest)> onRequest;
        // The limits in force for the next request.
        std::function<CallerLimits()> limits;
        // Whether answers announce the end of the channel, as during a graceful shutdown.
        std::function<bool()> isClosing;
        // A request could not be parsed and was answered with this status.
        std::function<void(int status)> onRejected;
        // The channel is gone; called once.
        std::function<void(CallerChannel *)> onClosed;
    };

    // How the end of an answer's body is told to the caller.
    struct Framing {
        // Without a length the body is sent in chunks, or ends with the channel.
        std::optional<uint64_t> length;
        // Whether the answer has a body. Answers to HEAD, 204 and 304 have none.
        bool hasBody = true;
        // Whether a body without a length is sent without chunks, so that only the end of the channel ends it.
        bool endsWithChannel = false;
    };

    // Called while an answer is being made.
    struct AnswerHooks {
        // The caller has closed the channel.
        std::function<void()> onGone;
        // Output that was over the limit has been written.
        std::function<void()> onWritable;
    };

    CallerChannel(Tcp::socket socket, const Hooks &hooks);

    void start();
    void setAnswerHooks(AnswerHooks hooks);

    // Sends an answer as a whole.
    void send(MessageHead head, std::string_view body);
    // Sends the head of an answer whose body follows in parts.
    void begin(MessageHead head, const Framing &framing);
    void write(std::string_view bytes);
    void finish();
    // Ends the channel without completing the answer.
    void cut();
    // The same, in a way that shows even if only the end of the channel ends the answer.
    void reset();

    // Closes the channel if no request is being read or answered.
    void closeIfIdle();

    // Whether a request is being read or answered, or an answer is not written yet.
    bool isBusy() const
    {
        return m_state == State::ReadingHead || m_state == State::ReadingBody || m_state == State::Answering || !m_output.empty() || !m_writing.empty();
    }

    // Bytes that wait to be written.
    size_t unsentBytes() const
    {
        return m_output.size() + m_writing.size();
    }

    // Whether more than the limit waits to be written because the caller reads slowly.
    bool isCongested() const;

private:
    enum class State {
        Idle,
        ReadingHead,
        ReadingBody,
        Answering,
        // The last answer is being written; the rest of the input is discarded.
        Closing,
        Closed,
    };

    void read();
    void onRead(const LoopError &error, size_t bytes);
    // The caller has left while its request was being answered.
    void loseCaller();
    void parseInput();
    void beginMessage();
    void rejectWith(int status);
    void addChannelFields(MessageHead &head);
    void append(std::string_view text);
    void flush();
    // Returns how many bytes to write next. The last answer may take any time while the caller reads it.
    size_t onProgress(const LoopError &error);
    void onWritten(const LoopError &error);
    // The last answer is written: no more output follows, and the time to discard input begins.
    void endOutput();
    void endAnswer();
    void armTimer(std::chrono::milliseconds timeout);
    void onTimer();
    void close();

    Tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const Hooks &m_hooks;
    AnswerHooks m_answerHooks;
    State m_state = State::Idle;
    CallerLimits m_limits;
    std::unique_ptr<MessageParser> m_parser;
    std::string m_input;
    std::array<char, 4096> m_readBuffer {};
    bool m_reading = false;
    std::string m_output;
    std::string m_writing;
    Framing m_framing;
    bool m_answerBegun = false;
    bool m_keep = true;
    bool m_callerClosed = false;
    // Input that was read and dropped since the last answer.
    size_t m_discarded = 0;
};

} // namespace Jujube
