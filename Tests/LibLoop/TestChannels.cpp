#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <future>
#include <gtest/gtest.h>
#include <LibLoop/CallerListener.h>
#include <LibLoop/LoopClient.h>
#include <thread>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Runs the loop until the condition holds. Returns whether it did within the time.
bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &condition, std::chrono::milliseconds most = 5000ms)
{
    const auto end = std::chrono::steady_clock::now() + most;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(5ms);
    }
    return condition();
}

// A listener whose requests are kept for the test, and a raw connection to it.
class ChannelTest : public testing::Test
{
protected:
    void listen(CallerLimits limits = {})
    {
        m_limits = limits;
        m_address = ownLoopbackEndpoint();
        auto listener = CallerListener::start(m_loop,
                                              {.address = m_address,
                                               .hooks = {.onRequest =
                                                             [this](const std::shared_ptr<CallerChannel> &channel, CallerRequest request) {
                                                                 m_channel = channel;
                                                                 m_requests.push_back(std::move(request));
                                                                 if (m_answerAtOnce) {
                                                                     channel->send({.status = 200}, m_requests.back().head.target);
                                                                 }
                                                             },
                                                         .limits = [this] { return m_limits; },
                                                         .isClosing = [this] { return m_closing; },
                                                         .onRejected = [this](int status) { m_rejected = status; }}});
        ASSERT_TRUE(listener.ok()) << listener.status();
        m_listener = *std::move(listener);
    }

    void connect()
    {
        m_raw.connect(m_address.tcp());
        m_raw.non_blocking(true);
    }

    void write(const std::string &text)
    {
        boost::asio::write(m_raw, boost::asio::buffer(text));
    }

    // Reads what has arrived. Sets m_ended at the end of the channel.
    void readAvailable()
    {
        std::array<char, 65536> buffer {};
        LoopError error;
        const auto size = m_raw.read_some(boost::asio::buffer(buffer), error);
        m_received.append(buffer.data(), size);
        m_ended = m_ended || (error && error != boost::asio::error::would_block);
    }

    bool receives(std::string_view text)
    {
        return runUntil(m_loop, [&] {
            readAvailable();
            return absl::StrContains(m_received, absl::string_view(text.data(), text.size()));
        });
    }

    bool ends()
    {
        return runUntil(m_loop, [&] {
            readAvailable();
            return m_ended;
        });
    }

    struct RawExchange {
        LoopError writeError;
        std::string text;
        LoopError readError;
    };

    // Writes a request in parts and reads only afterwards, until the end of the connection. Blocks, so that another thread is to run the loop.
    RawExchange writeThenRead(std::string_view request, std::chrono::milliseconds interval) const
    {
        constexpr size_t PartBytes = 64 * 1024;
        boost::asio::io_context loop;
        Tcp::socket socket(loop);
        socket.connect(m_address.tcp());
        RawExchange result;
        for (; !request.empty() && !result.writeError; request.remove_prefix(std::min(PartBytes, request.size()))) {
            boost::asio::write(socket, boost::asio::buffer(request.substr(0, PartBytes)), result.writeError);
            std::this_thread::sleep_for(interval);
        }
        boost::asio::read(socket, boost::asio::dynamic_buffer(result.text), result.readError);
        return result;
    }

    boost::asio::io_context m_loop;
    CallerLimits m_limits;
    Endpoint m_address;
    std::unique_ptr<CallerListener> m_listener;
    std::shared_ptr<CallerChannel> m_channel;
    std::vector<CallerRequest> m_requests;
    Tcp::socket m_raw {m_loop};
    std::string m_received;
    bool m_answerAtOnce = false;
    bool m_closing = false;
    bool m_ended = false;
    int m_rejected = 0;
};

} // namespace

// Guards against work that goes on for a caller who has left while nothing was being written.
TEST_F(ChannelTest, CallerWhoLeavesIsNoticedWhileNothingIsWritten)
{
    listen();
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_requests.empty(); }));
    bool gone = false;
    m_channel->setAnswerHooks({.onGone = [&] { gone = true; }});
    m_raw.close();
    EXPECT_TRUE(runUntil(m_loop, [&] { return gone; }));
}

// Guards against answers in another order than the requests of one channel.
TEST_F(ChannelTest, PipelinedRequestsAreAnsweredInOrder)
{
    listen();
    m_answerAtOnce = true;
    connect();
    write("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(receives("/second"));
    EXPECT_LT(m_received.find("/first"), m_received.find("/second"));
}

// Guards against a smuggled second request that reaches the handler.
TEST_F(ChannelTest, MalformedRequestIsRefusedAndEndsTheChannel)
{
    listen();
    m_answerAtOnce = true;
    connect();
    write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(receives("HTTP/1.1 400"));
    EXPECT_TRUE(ends());
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(m_rejected, 400);
}

// Guards against requests that name two hosts, of which each party may believe another one.
TEST_F(ChannelTest, RequestWithTwoHostsIsRefused)
{
    listen();
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    EXPECT_TRUE(receives("HTTP/1.1 400"));
    EXPECT_TRUE(m_requests.empty());
}

// Guards against bodies and heads beyond the limits that fill the memory.
TEST_F(ChannelTest, TooLargeMessagesAreRefused)
{
    listen({.headBytes = 200, .bodyBytes = 10});
    connect();
    write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n");
    EXPECT_TRUE(receives("HTTP/1.1 413"));
    EXPECT_TRUE(ends());
}

// Guards against a rejection that is lost because the channel is closed, and thereby reset, while the caller still writes its request.
TEST_F(ChannelTest, RejectionsReachCallersThatWriteTheirRequestFirst)
{
    const std::string large(8 << 20, 'x');
    const std::string start = "POST /a HTTP/1.1\r\nHost: a\r\n";
    const std::pair<const char *, std::string> cases[] = {
        {"413", absl::StrCat(start, "Content-Length: ", large.size(), "\r\n\r\n", large)},
        {"413", absl::StrCat(start, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(large.size()), "\r\n", large, "\r\n0\r\n\r\n")},
        {"431", absl::StrCat(start, "X-Large: ", large)},
        {"400", absl::StrCat(start, "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", large)},
    };
    listen({.discardTimeout = 60s});
    for (const auto &[status, request] : cases) {
        for (const auto interval : {0ms, 1ms}) {
            SCOPED_TRACE(absl::StrCat(status, " for ", request.substr(0, 80), ", parts every ms: ", interval.count()));
            auto exchange = std::async(std::launch::async, [this, &text = request, interval] { return writeThenRead(text, interval); });
            EXPECT_TRUE(runUntil(
                m_loop, [&] { return exchange.wait_for(0ms) == std::future_status::ready; }, 20s));
            const auto [writeError, text, readError] = exchange.get();
            EXPECT_FALSE(writeError) << writeError.message();
            EXPECT_TRUE(text.starts_with(absl::StrCat("HTTP/1.1 ", status, " "))) << text;
            EXPECT_TRUE(text.ends_with("\r\n\r\n")) << text;
            EXPECT_EQ(readError, boost::asio::error::eof);
        }
    }
}

// Guards against the last response of a channel that is cut although the caller still reads it, because the time to discard input runs out.
TEST_F(ChannelTest, LastResponseIsWrittenToItsEnd)
{
    listen({.discardTimeout = 50ms});
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_requests.empty(); }));
    // More than the system buffers.
    const std::string body(16 << 20, 'x');
    m_channel->send({.status = 200}, body);
    runUntil(
        m_loop, [] { return false; }, 200ms);
    EXPECT_TRUE(runUntil(
        m_loop,
        [&] {
            readAvailable();
            return m_ended;
        },
        60s));
    EXPECT_GE(m_received.size(), body.size());
}

// Guards against a caller that holds a channel, and the memory of its last response, by not reading it.
TEST_F(ChannelTest, LastResponseThatIsNotReadIsGivenUp)
{
    listen({.idleTimeout = 50ms});
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_requests.empty(); }));
    m_channel->send({.status = 200}, std::string(16 << 20, 'x'));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_listener->channelCount() == 0; }));
}

// Guards against a channel that reads without end from a caller whose request was rejected.
TEST_F(ChannelTest, InputAfterARejectionIsReadUpToALimit)
{
    // More than the limit of bytes at once, and few bytes for longer than the limit of time.
    struct Case {
        CallerLimits limits;
        size_t partBytes;
        std::chrono::milliseconds interval;
    };
    const Case cases[] = {{.limits = {.discardBytes = 1 << 20, .discardTimeout = 60s}, .partBytes = 64 * 1024, .interval = 0ms},
                          {.limits = {.discardBytes = 1 << 30, .discardTimeout = 100ms}, .partBytes = 1, .interval = 1ms}};
    for (const auto &[limits, partBytes, interval] : cases) {
        SCOPED_TRACE(partBytes);
        listen(limits);
        auto isClosed = std::async(std::launch::async, [this, part = std::string(partBytes, 'x'), pause = interval] {
            boost::asio::io_context loop;
            Tcp::socket socket(loop);
            LoopError error;
            socket.connect(m_address.tcp(), error);
            boost::asio::write(socket, boost::asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n")), error);
            const auto end = std::chrono::steady_clock::now() + 20s;
            while (!error && std::chrono::steady_clock::now() < end) {
                boost::asio::write(socket, boost::asio::buffer(part), error);
                std::this_thread::sleep_for(pause);
            }
            return static_cast<bool>(error);
        });
        EXPECT_TRUE(runUntil(
            m_loop, [&] { return isClosed.wait_for(0ms) == std::future_status::ready; }, 30s));
        EXPECT_TRUE(isClosed.get());
    }
}

// Guards against a head that is sent byte by byte and holds the channel for ever.
TEST_F(ChannelTest, SlowHeadIsCutOff)
{
    listen({.headTimeout = 50ms});
    connect();
    write("GET /a HTTP/1.1\r\nHo");
    EXPECT_TRUE(receives("HTTP/1.1 408"));
    EXPECT_TRUE(ends());
}

// Guards against an answer that was cut off and looks complete.
TEST_F(ChannelTest, CutAnswerHasNoLastChunk)
{
    listen();
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_requests.empty(); }));
    m_channel->begin({.status = 200}, {});
    m_channel->write("part");
    ASSERT_TRUE(receives("part"));
    m_channel->cut();
    EXPECT_TRUE(ends());
    EXPECT_FALSE(absl::StrContains(m_received, "0\r\n\r\n"));
}

// Guards against memory that grows with what a slow caller does not read.
TEST_F(ChannelTest, CallerWhoDoesNotReadCongestsTheChannel)
{
    listen();
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_requests.empty(); }));
    m_channel->begin({.status = 200}, {});
    const std::string block(64 * 1024, 'x');
    for (int count = 0; count < 400 && !m_channel->isCongested(); ++count) {
        m_channel->write(block);
        m_loop.restart();
        m_loop.run_for(1ms);
    }
    EXPECT_TRUE(m_channel->isCongested());
    bool writable = false;
    m_channel->setAnswerHooks({.onWritable = [&] { writable = true; }});
    EXPECT_TRUE(runUntil(m_loop, [&] {
        readAvailable();
        return writable;
    }));
}

// Guards against callers that go on using a channel of a process that shuts down.
TEST_F(ChannelTest, AnswersAnnounceTheEndDuringShutdown)
{
    listen();
    m_answerAtOnce = true;
    m_closing = true;
    connect();
    write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(receives("Connection: close"));
    EXPECT_TRUE(ends());
}

// Guards against a planned stop that cuts off a request which has been accepted and is still being read, or an answer that is not written yet.
TEST_F(ChannelTest, RequestsThatAreBeingReadHoldUpAStop)
{
    listen();
    connect();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_listener->channelCount() == 1; }));
    EXPECT_EQ(m_listener->busyCount(), 0U);
    write("GET /a HTTP/1.1\r\nHo");
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_listener->busyCount() == 1; }));
    write("st: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_requests.empty(); }));
    EXPECT_EQ(m_listener->busyCount(), 1U);
    m_channel->send({.status = 200}, std::string(1 << 20, 'x'));
    EXPECT_EQ(m_listener->busyCount(), 1U);
    EXPECT_TRUE(runUntil(m_loop, [&] {
        readAvailable();
        return m_listener->busyCount() == 0;
    }));
}

namespace
{

// A target that answers each connection with fixed bytes and keeps or ends it.
class FixedTarget
{
public:
    FixedTarget(boost::asio::io_context &loop, std::string answer, bool end)
        : m_acceptor(loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_answer(std::move(answer))
        , m_end(end)
    {
        accept();
    }

    Endpoint address() const
    {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

    int connections = 0;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const LoopError &error, Tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections;
            auto kept = std::make_shared<Tcp::socket>(std::move(socket));
            auto buffer = std::make_shared<std::array<char, 4096>>();
            kept->async_read_some(boost::asio::buffer(*buffer), [this, kept, buffer](const LoopError &, size_t) {
                LoopError ignored;
                boost::asio::write(*kept, boost::asio::buffer(m_answer), ignored);
                if (m_end) {
                    kept->close(ignored);
                } else {
                    m_kept.push_back(kept);
                }
            });
            accept();
        });
    }

    Tcp::acceptor m_acceptor;
    const std::string m_answer;
    const bool m_end;
    std::vector<std::shared_ptr<Tcp::socket>> m_kept;
};

LoopAnswer callOnce(boost::asio::io_context &loop, LoopClient &client, const Endpoint &address, std::chrono::milliseconds timeout = 2000ms)
{
    std::optional<LoopAnswer> result;
    client.call(address, {.target = "/x", .timeout = timeout}, [&](const LoopAnswer &answer) { result = answer; });
    runUntil(loop, [&] { return result.has_value(); });
    return result.value_or(LoopAnswer {});
}

} // namespace

// Guards against a truncated answer that passes for a whole one.
TEST(TargetChannel, TruncatedAnswerIsBroken)
{
    boost::asio::io_context loop;
    FixedTarget target(loop, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true);
    LoopClient client(loop);
    const auto answer = callOnce(loop, client, target.address());
    EXPECT_EQ(answer.end, ChannelEnd::Broken);
    EXPECT_FALSE(answer.isSuccess());
}

// Guards against bytes behind an answer that are given to the next request on the connection.
TEST(TargetChannel, ConnectionWithExtraBytesIsNotReused)
{
    boost::asio::io_context loop;
    FixedTarget target(loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", false);
    LoopClient client(loop);
    EXPECT_EQ(callOnce(loop, client, target.address()).body, "abc");
    EXPECT_EQ(callOnce(loop, client, target.address()).body, "abc");
    EXPECT_EQ(target.connections, 2);
}

// Guards against an unreachable target that is mistaken for one that may have run the request.
TEST(TargetChannel, RefusedConnectionMeansNotSent)
{
    boost::asio::io_context loop;
    LoopClient client(loop);
    EXPECT_EQ(callOnce(loop, client, ownLoopbackEndpoint()).end, ChannelEnd::NotSent);
}

// Guards against a call that waits for ever on a connection that has gone silent.
TEST(TargetChannel, SilentConnectionTimesOut)
{
    boost::asio::io_context loop;
    FixedTarget target(loop, "", false);
    LoopClient client(loop);
    const auto answer = callOnce(loop, client, target.address(), 100ms);
    EXPECT_EQ(answer.end, ChannelEnd::Broken);
    EXPECT_EQ(answer.error, "timeout");
}

// Guards against bytes that are no answer in the protocol.
TEST(TargetChannel, GarbageIsBroken)
{
    boost::asio::io_context loop;
    FixedTarget target(loop, "ICY 200 OK\r\n\r\n", false);
    LoopClient client(loop);
    EXPECT_EQ(callOnce(loop, client, target.address()).end, ChannelEnd::Broken);
}

// Guards against interim answers without end that hold a request until its deadline.
TEST(TargetChannel, EndlessInterimAnswersAreBroken)
{
    boost::asio::io_context loop;
    std::string interim;
    for (int count = 0; count < 50; ++count) {
        interim += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    }
    FixedTarget target(loop, interim, false);
    LoopClient client(loop);
    const auto answer = callOnce(loop, client, target.address());
    EXPECT_EQ(answer.end, ChannelEnd::Broken);
    EXPECT_EQ(answer.error, "too many interim answers");
}

// Guards against a body without end in the answer to a call of the relay's own.
TEST(LoopClient, TooLongAnswerIsBroken)
{
    boost::asio::io_context loop;
    FixedTarget target(loop, "HTTP/1.1 200 OK\r\n\r\n" + std::string(10000, 'x'), false);
    LoopClient client(loop);
    std::optional<LoopAnswer> result;
    client.call(target.address(), {.target = "/x", .timeout = 2000ms, .mostAnswerBytes = 5000}, [&](const LoopAnswer &answer) { result = answer; });
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    EXPECT_EQ(result->end, ChannelEnd::Broken);
    EXPECT_EQ(result->error, "answer too long");
}
