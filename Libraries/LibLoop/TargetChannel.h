#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibLoop/Asio.h>
#include <LibLoop/Endpoint.h>
#include <LibLoop/MessageParser.h>
#include <memory>

namespace Jujube
{

// How one exchange over a channel to a target ended.
enum class ChannelEnd {
    // The whole answer arrived.
    Complete,
    // The connection was refused or could not be made in time; no byte of the request left this process.
    NotSent,
    // The request was sent, at least in part, and the answer is missing, incomplete or malformed.
    Broken,
};

// Why a connection could not be made.
enum class ConnectFailure {
    None,
    // Nothing listens at the address.
    Refused,
    TimedOut,
    // For example no free descriptor in this process.
    Other,
};

// One connection to a target, the store or a peer. It carries one exchange at a time and never repeats a request. Used on the loop's thread only.
class TargetChannel : public std::enable_shared_from_this<TargetChannel>
{
public:
    // Called during an exchange; none of them is called after abort().
    struct ExchangeHooks {
        // Returns false if the answer does not belong to this exchange, which ends it as Broken.
        std::function<bool(const MessageHead &head, std::optional<uint64_t> length)> onHead;
        std::function<void(std::string_view bytes)> onBody;
        std::function<void(ChannelEnd end, const std::string &error)> onEnd;
    };

    TargetChannel(boost::asio::io_context &loop, Endpoint address);

    // Connects if necessary, sends the request and reads its answer. `isHead` is set for the method HEAD.
    void exchange(std::string request, bool isHead, std::chrono::milliseconds connectTimeout, ExchangeHooks hooks);

    // Stops and continues the reading of the answer while a slow caller holds it up.
    void pause();
    void resume();

    // Closes the connection, which tells a target to stop its work. No hook is called any more.
    void abort();

    // Whether the last exchange has left the connection fit for a further one, and nothing has arrived on it since, read by the loop or not.
    bool isReusable();
    // Whether the connection waits for a further exchange.
    bool isIdle() const
    {
        return m_state == State::Idle;
    }
    // Watches an idle connection: onLost is called when the other end closes it or sends bytes that no request asked for.
    void watchIdle(std::function<void()> onLost);

    MonotonicTime idleSince() const
    {
        return m_idleSince;
    }

    // How long the other end keeps an idle connection, from its Keep-Alive field.
    std::chrono::milliseconds keepAlive() const
    {
        return m_keepAlive;
    }

    const Endpoint &address() const
    {
        return m_address;
    }

    // Why an exchange was not sent.
    ConnectFailure connectFailure() const
    {
        return m_connectFailure;
    }

private:
    enum class State {
        New,
        Connecting,
        Exchanging,
        Idle,
        Closed,
    };

    void onConnected(const LoopError &error);
    void sendRequest();
    void read();
    void onRead(const LoopError &error, size_t bytes);
    // Ends the exchange because nothing more can be read, or waits for the end of a write that is about to fail.
    void onInputEnd();
    // Whether the other end has finished its side of the connection, and the connection has not failed since.
    bool isHalfClosed();
    void onIdleReadable();
    void parseInput();
    void noteHead();
    void deliverBody();
    void end(ChannelEnd end, const std::string &error);
    void complete();
    void close();

    boost::asio::io_context &m_loop;
    const Endpoint m_address;
    Tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    State m_state = State::New;
    // Shared, because a hook may end the exchange and with it the hooks while it runs.
    std::shared_ptr<const ExchangeHooks> m_hooks;
    std::function<void()> m_onLost;
    // Number of times for which the connection was watched or used. The end of an earlier watch is ignored.
    uint64_t m_useNumber = 0;
    std::string m_request;
    bool m_requestWritten = false;
    bool m_writing = false;
    // Why the request could not be written to its end.
    LoopError m_writeError;
    // Whether a read has found the end of the connection.
    bool m_hasInputEnded = false;
    MessageParser::Direction m_direction = MessageParser::Direction::Answer;
    std::unique_ptr<MessageParser> m_parser;
    std::string m_input;
    std::array<char, 8192> m_readBuffer {};
    bool m_reading = false;
    bool m_paused = false;
    bool m_headSeen = false;
    ConnectFailure m_connectFailure = ConnectFailure::None;
    int m_interimAnswers = 0;
    bool m_keep = true;
    std::chrono::milliseconds m_keepAlive;
    MonotonicTime m_idleSince;
};

} // namespace Jujube
