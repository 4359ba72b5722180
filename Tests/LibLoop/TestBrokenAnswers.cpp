#include "../Support/BrokenResponses.h"
#include "../Support/ByteServer.h"

#include <future>
#include <gtest/gtest.h>
#include <LibLoop/LoopClient.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view Rejection = "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
constexpr std::string_view Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

LoopAnswer callAndWait(boost::asio::io_context &loop, LoopClient &client, const Endpoint &address, LoopCall call = {.target = "/x", .timeout = 3000ms})
{
    std::optional<LoopAnswer> result;
    client.call(address, call, [&](const LoopAnswer &answer) { result = answer; });
    loop.restart();
    while (!result && loop.run_one_for(5000ms) > 0) { }
    return result.value_or(LoopAnswer {});
}

} // namespace

// Guards against an answer that ends within its head, a chunk or its trailers and counts as a whole one.
TEST(BrokenAnswers, BrokenAnswerIsNotComplete)
{
    boost::asio::io_context loop;
    LoopClient client(loop);
    for (const auto &response : wholeResponses("Content-Type: text/plain\r\n", "first\nsecond\n")) {
        for (const bool isReset : {false, true}) {
            size_t sent = 0;
            ByteServer server([&](ByteServer::Connection &connection) {
                if (connection.readRequest().empty()) {
                    return;
                }
                connection.write(std::string_view(response.text).substr(0, sent));
                if (isReset) {
                    connection.reset();
                } else {
                    connection.finish();
                }
            });
            for (; sent < response.text.size(); ++sent) {
                const auto answer = callAndWait(loop, client, server.address());
                const bool isWhole = std::string_view(response.name) == "until the end" && sent >= response.completeFrom && !isReset;
                ASSERT_EQ(answer.end == ChannelEnd::Complete, isWhole) << response.name << (isReset ? " reset after " : " ended after ") << sent;
                ASSERT_EQ(answer.status, isWhole ? 200 : 0) << response.name << " " << sent;
                ASSERT_NE(answer.end, ChannelEnd::NotSent) << response.name << " " << sent;
            }
        }
    }
}

// Guards against a second copy of an answer that is taken for the answer to the next request on a kept connection. The copy arrives with the answer, in part
// with it, or behind it; the loop has read it before the next request, or not.
TEST(BrokenAnswers, SecondCopyIsNoAnswerToTheNextRequest)
{
    for (const bool hasLoopReadIt : {false, true}) {
        for (size_t atOnce = 0; atOnce <= Rejection.size(); ++atOnce) {
            boost::asio::io_context loop;
            LoopClient client(loop);
            std::atomic<bool> isCopied = false;
            std::atomic<bool> mayCopy = false;
            ByteServer server([&](ByteServer::Connection &connection) {
                for (int count = 0; !connection.readRequest().empty(); ++count) {
                    if (count > 0 || connection.number() > 1) {
                        connection.write(Ok);
                        continue;
                    }
                    connection.write(std::string(Rejection) + std::string(Rejection.substr(0, atOnce)));
                    while (!mayCopy) {
                        std::this_thread::yield();
                    }
                    connection.write(Rejection.substr(atOnce));
                    isCopied = true;
                }
            });
            ASSERT_EQ(callAndWait(loop, client, server.address()).status, 503);
            mayCopy = true;
            while (!isCopied) {
                std::this_thread::yield();
            }
            if (hasLoopReadIt) {
                loop.restart();
                loop.run_for(1ms);
            }
            const auto answer = callAndWait(loop, client, server.address());
            ASSERT_EQ(answer.status, 200) << atOnce << " " << hasLoopReadIt;
            ASSERT_EQ(answer.body, "ok") << atOnce << " " << hasLoopReadIt;
        }
    }
}

// Guards against a request that is sent on a kept connection which the other end has closed or reset, although the loop has not read that yet.
TEST(BrokenAnswers, ClosedConnectionIsNotUsedAgain)
{
    for (const bool isReset : {false, true}) {
        boost::asio::io_context loop;
        LoopClient client(loop);
        std::atomic<bool> isEnded = false;
        ByteServer server([&](ByteServer::Connection &connection) {
            while (!connection.readRequest().empty()) {
                connection.write(Ok);
                if (connection.number() > 1) {
                    continue;
                }
                if (isReset) {
                    connection.reset();
                }
                return;
            }
        });
        ASSERT_EQ(callAndWait(loop, client, server.address()).body, "ok");
        std::this_thread::sleep_for(20ms);
        EXPECT_EQ(callAndWait(loop, client, server.address()).body, "ok") << isReset;
    }
}

// Guards against a late copy of an answer that is taken for that to a call with a connection of its own, before or after the call is wholly written.
TEST(BrokenAnswers, CallWithItsOwnConnectionGetsNoEarlierAnswer)
{
    for (const bool isBeforeBody : {false, true}) {
        boost::asio::io_context loop;
        LoopClient client(loop);
        ByteServer server([&](ByteServer::Connection &connection) {
            bool isFirst = true;
            while (!(isBeforeBody && !isFirst ? connection.readHead() : connection.readRequest()).empty()) {
                connection.write(isFirst ? Ok : Rejection);
                isFirst = false;
            }
        });
        const LoopCall call {.method = "POST", .target = "/x", .body = std::string(1 << 20, 'x'), .timeout = 3000ms, .freshConnection = true};
        for (int count = 0; count < 3; ++count) {
            EXPECT_EQ(callAndWait(loop, client, server.address(), call).body, "ok");
        }
        EXPECT_EQ(server.connectionCount(), 3);
    }
}

// Guards against a call that waits until its timeout behind an answer with an invalid status, or that reports such a status.
TEST(BrokenAnswers, InvalidStatusBreaksTheAnswer)
{
    for (const std::string status : {"000 ", "000 OK", "099 X", "101 Switching", "600 X", "999 X"}) {
        boost::asio::io_context loop;
        LoopClient client(loop);
        ByteServer server([&](ByteServer::Connection &connection) {
            connection.readRequest();
            connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok");
            connection.waitForEnd();
        });
        const auto answer = callAndWait(loop, client, server.address());
        EXPECT_EQ(answer.end, ChannelEnd::Broken) << status;
        EXPECT_EQ(answer.status, 0) << status;
        EXPECT_EQ(answer.error, "malformed answer") << status;
    }
}

// Guards against an answer that is reported, with other fields or another body than its server's, although a line of its head or trailers is no field.
TEST(BrokenAnswers, MalformedFieldBreaksTheAnswer)
{
    boost::asio::io_context loop;
    LoopClient client(loop);
    const auto check = [&](const std::string &text) {
        ByteServer server([&](ByteServer::Connection &connection) {
            connection.readRequest();
            connection.write(text);
            connection.finish();
        });
        const auto answer = callAndWait(loop, client, server.address());
        EXPECT_EQ(answer.end, ChannelEnd::Broken) << text;
        EXPECT_EQ(answer.status, 0) << text;
    };
    for (const auto &line : malformedFieldLines()) {
        check("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok");
        check("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok");
        check("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\nok");
        check("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n");
    }
    check("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n X: a\r\n\r\nok");
}

namespace
{

// More than the sockets' buffers hold, so that the request is still being written while its server does not read it.
constexpr size_t LongUploadBytes = 32 << 20;
constexpr std::string_view WithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
constexpr std::string_view WithLength = "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\nContent-Length: 5001\r\n\r\n";
const std::string FirstPart(5000, 'a');

// What the channel learns of while its server does the rest.
enum class Loop {
    // Each event as it comes, with a read and a write waiting.
    Runs,
    // Nothing until the server has closed its socket.
    IsHeldUp,
};

struct UploadResult {
    std::optional<ChannelEnd> end;
    std::string body;
    std::string error;
};

// Makes a long upload to a server that responds with a head and the first part of a body before it reads the request's, and then does the rest.
UploadResult upload(std::string_view responseHead, Loop loopState, const std::function<void(ByteServer::Connection &)> &rest)
{
    std::promise<void> isFirstPartRead;
    ByteServer server([&](ByteServer::Connection &connection) {
        connection.readHead();
        connection.write(std::string(responseHead) + FirstPart);
        isFirstPartRead.get_future().wait();
        rest(connection);
    });
    boost::asio::io_context loop;
    const auto continueServer = [&] {
        isFirstPartRead.set_value();
        if (loopState == Loop::IsHeldUp) {
            server.waitUntilClosed();
        }
    };
    const auto channel = std::make_shared<TargetChannel>(loop, server.address());
    const MessageHead head {.method = "POST", .target = "/x", .fields = {{"Host", "a"}, {"Content-Length", std::to_string(LongUploadBytes)}}};
    UploadResult result;
    channel->exchange(requestText(head) + std::string(LongUploadBytes, 'u'),
                      false,
                      1000ms,
                      {.onHead = [](const MessageHead &, const std::optional<uint64_t> &) { return true; },
                       .onBody =
                           [&](std::string_view bytes) {
                               result.body += bytes;
                               if (result.body == FirstPart) {
                                   // Called when the channel's next read has begun.
                                   boost::asio::post(loop, continueServer);
                               }
                           },
                       .onEnd =
                           [&](ChannelEnd end, const std::string &error) {
                               result.end = end;
                               result.error = error;
                           }});
    while (!result.end && loop.run_one_for(5000ms) > 0) { }
    return result;
}

} // namespace

// Guards against the first part of an answer without a length that passes for the whole one: if the write of the request has met the reset, the read finds an
// end that looks orderly.
TEST(BrokenAnswers, EarlyAnswerThatIsResetIsNotComplete)
{
    for (const auto loopState : {Loop::Runs, Loop::IsHeldUp}) {
        const auto result = upload(WithoutLength, loopState, [](ByteServer::Connection &connection) { connection.reset(); });
        EXPECT_EQ(result.end, ChannelEnd::Broken);
        EXPECT_EQ(result.body, FirstPart);
        EXPECT_EQ(result.error, "Connection reset by peer");
    }
}

// Guards against an early answer that counts as broken although it has ended in an orderly way, before its server reads on or closes its socket.
TEST(BrokenAnswers, EarlyAnswerThatEndsIsComplete)
{
    const auto readOn = [](ByteServer::Connection &connection) {
        connection.write("b");
        connection.finish();
    };
    const auto close = [](ByteServer::Connection &connection) {
        connection.write("b");
        connection.finishSending();
        connection.reset();
    };
    for (const auto &result :
         {upload(WithoutLength, Loop::Runs, readOn), upload(WithoutLength, Loop::Runs, close), upload(WithoutLength, Loop::IsHeldUp, close)}) {
        EXPECT_EQ(result.end, ChannelEnd::Complete) << result.error;
        EXPECT_EQ(result.body, FirstPart + "b");
    }
}

// Guards against an early rejection with a length that is lost because its server resets the connection behind it.
TEST(BrokenAnswers, EarlyAnswerWithALengthOutlivesAReset)
{
    const auto result = upload(WithLength, Loop::IsHeldUp, [](ByteServer::Connection &connection) {
        connection.write("b");
        connection.reset();
    });
    EXPECT_EQ(result.end, ChannelEnd::Complete) << result.error;
    EXPECT_EQ(result.body, FirstPart + "b");
}
