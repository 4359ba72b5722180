#include "../Support/BrokenResponses.h"
#include "../Support/ByteServer.h"

#include <LibHttp/HttpClient.h>

#include <future>
#include <gtest/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

// More than the sockets' buffers hold, so that the request is still being written while its server does not read it.
constexpr size_t LongUploadBytes = 32 << 20;

std::string urlOf(const ByteServer &server)
{
    return "http://" + server.address().toText() + "/";
}

// Makes a call as a stream and returns its answer with all bytes of the body.
HttpAnswer callAsStream(HttpClient &client, HttpCall call)
{
    std::promise<HttpAnswer> ended;
    std::string body;
    client.open(std::move(call),
                {.onBytes =
                     [&body](int, std::string_view bytes) {
                         body += bytes;
                         return true;
                     },
                 .onEnd = [&ended](const HttpAnswer &answer) { ended.set_value(answer); }});
    auto answer = ended.get_future().get();
    answer.body = body;
    return answer;
}

// A server that breaks off its response behind a number of bytes.
struct BreakingServer {
    std::string text;
    size_t sent = 0;
    bool isReset = false;
    ByteServer server {[this](ByteServer::Connection &connection) {
        if (connection.readRequest().empty()) {
            return;
        }
        connection.write(std::string_view(text).substr(0, sent));
        if (isReset) {
            connection.reset();
        } else {
            connection.finish();
        }
    }};
};

} // namespace

// Guards against a response that ends within its header section, a chunk or its trailers and counts as a whole one.
TEST(HttpClient, BrokenResponseIsNotComplete)
{
    HttpClient client;
    for (const auto &response : wholeResponses("Content-Type: text/plain\r\n", "first\nsecond\n")) {
        for (const bool isReset : {false, true}) {
            for (size_t sent = 0; sent <= response.text.size() - (isReset ? 1 : 0); ++sent) {
                BreakingServer breaking {.text = response.text, .sent = sent, .isReset = isReset};
                const HttpCall call {.method = sent % 2 == 0 ? "GET" : "POST", .url = urlOf(breaking.server), .freshConnection = sent % 3 == 0};
                const bool isWhole = sent >= response.completeFrom && !isReset;
                for (const auto &answer : {client.call(call), callAsStream(client, call)}) {
                    ASSERT_EQ(answer.end == HttpEnd::Complete, isWhole) << response.name << (isReset ? " reset after " : " ended after ") << sent;
                    ASSERT_EQ(answer.isSuccess(), isWhole) << response.name << " " << sent;
                    ASSERT_NE(answer.end, HttpEnd::NotSent) << response.name << " " << sent;
                    ASSERT_TRUE(response.body.starts_with(answer.body)) << response.name << " " << sent;
                }
            }
        }
    }
}

// Guards against a rejection that is broken off in its header section and counts as the target's statement.
TEST(HttpClient, BrokenRejectionIsNotComplete)
{
    HttpClient client;
    for (const std::string status : {"409 Conflict", "421 Misdirected", "429 Busy", "503 Unavailable"}) {
        const std::string text = "HTTP/1.1 " + status + "\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
        for (size_t sent = 0; sent < text.size(); ++sent) {
            BreakingServer breaking {.text = text, .sent = sent};
            ASSERT_EQ(client.call({.method = "POST", .url = urlOf(breaking.server), .freshConnection = true}).end, HttpEnd::Broken) << status << " " << sent;
        }
    }
}

// Guards against a call that waits until its timeout behind a response with an invalid status, or that reports such a status; and against valid ones refused.
TEST(HttpClient, InvalidStatusBreaksTheResponse)
{
    HttpClient client;
    const auto check = [&](const std::string &interim, const std::string &status, bool isValid) {
        ByteServer server([&](ByteServer::Connection &connection) {
            connection.readRequest();
            connection.write(interim + "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok");
            connection.waitForEnd();
        });
        const HttpCall call {.url = urlOf(server), .totalTimeout = 2000ms, .freshConnection = true};
        for (const auto &answer : {client.call(call), callAsStream(client, call)}) {
            EXPECT_EQ(answer.end, isValid ? HttpEnd::Complete : HttpEnd::Broken) << interim << status;
            EXPECT_EQ(answer.status, isValid ? std::stoi(status) : 0) << interim;
            EXPECT_EQ(answer.body, isValid ? "ok" : "") << interim << status;
        }
    };
    for (const std::string interim : {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199\r\n\r\n"}) {
        for (const std::string status : {"000 ", "000 OK", "099 X", "101 Switching", "600 X", "999 X", "0", "00 OK", "20 OK", "2000 OK", "20x OK"}) {
            check(interim, status, false);
        }
        for (const std::string status : {"200 ", "404", "599 X"}) {
            check(interim, status, true);
        }
    }
}

// Guards against a response that is reported, with other fields or another body than its server's, although a line of its header section or trailers is no
// field.
TEST(HttpClient, MalformedFieldBreaksTheResponse)
{
    HttpClient client;
    const auto check = [&](const std::string &text, bool isSound) {
        ByteServer server([&](ByteServer::Connection &connection) {
            connection.readRequest();
            connection.write(text);
            connection.finish();
        });
        const HttpCall call {.method = "POST", .url = urlOf(server), .totalTimeout = 2000ms, .freshConnection = true};
        for (const auto &answer : {client.call(call), callAsStream(client, call)}) {
            EXPECT_EQ(answer.end, isSound ? HttpEnd::Complete : HttpEnd::Broken) << text;
            EXPECT_EQ(answer.isSuccess(), isSound) << text;
        }
    };
    const auto checkLine = [&](const std::string &line, bool isSound) {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
        check("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok", isSound);
        check("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok", isSound);
        check("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\nok", isSound);
        check("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", isSound);
        check(chunked + line + "\r\n\r\n", isSound);
    };
    for (const auto &line : malformedFieldLines()) {
        checkLine(line, false);
    }
    // A line that begins with a blank continues the field before it, which senders must not do (RFC 9112, section 5.2).
    check("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n X: a\r\n\r\nok", false);
    for (const std::string line : {"X:", "X:a", "X: \t a b\t ", "X: a\xe4", "x!#$%&'*+-.^_`|~09AZ: a"}) {
        checkLine(line, true);
    }
}

// Guards against the first part of a response without a length that passes for the whole one, because its server resets the connection during the upload.
TEST(HttpClient, EarlyResponseThatIsResetIsNotComplete)
{
    const auto upload = [](bool isResetAtOnce) {
        std::promise<void> isFirstPartRead;
        ByteServer server([&](ByteServer::Connection &connection) {
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
            if (!isResetAtOnce) {
                isFirstPartRead.get_future().wait();
            }
            connection.reset();
        });
        HttpClient client;
        std::promise<HttpAnswer> ended;
        const HttpCall call {.method = "POST", .url = urlOf(server), .body = std::string(LongUploadBytes, 'u'), .freshConnection = true};
        client.open(call,
                    {.onBytes =
                         [&](int, std::string_view) {
                             // The client has not looked at the socket again when it has been reset.
                             if (!isResetAtOnce) {
                                 isFirstPartRead.set_value();
                             }
                             server.waitUntilClosed();
                             return true;
                         },
                     .onEnd = [&](const HttpAnswer &answer) { ended.set_value(answer); }});
        return ended.get_future().get();
    };
    EXPECT_EQ(upload(true).end, HttpEnd::Broken);
    EXPECT_EQ(upload(false).end, HttpEnd::Broken);
}

// Guards against an early response that counts as broken although it has ended in an orderly way, and its server reads on.
TEST(HttpClient, EarlyResponseThatEndsIsComplete)
{
    ByteServer server([&](ByteServer::Connection &connection) {
        connection.readHead();
        connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
        connection.finish();
    });
    HttpClient client;
    const auto answer = client.call({.method = "POST", .url = urlOf(server), .body = std::string(LongUploadBytes, 'u'), .freshConnection = true});
    EXPECT_EQ(answer.end, HttpEnd::Complete) << answer.error;
    EXPECT_EQ(answer.body, "whole");
}

// Guards against a second copy of a rejection that is taken for the response to the next request on a kept connection. The copy arrives with the rejection,
// in part with it, or behind it.
TEST(HttpClient, SecondCopyOfARejectionIsNoResponse)
{
    const std::string rejection = "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
    for (size_t atOnce = 0; atOnce <= rejection.size(); ++atOnce) {
        std::promise<void> copied;
        ByteServer server([&](ByteServer::Connection &connection) {
            for (int count = 0; !connection.readRequest().empty(); ++count) {
                if (count > 0 || connection.number() > 1) {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    continue;
                }
                connection.write(rejection + rejection.substr(0, atOnce));
                std::this_thread::sleep_for(2ms);
                connection.write(rejection.substr(atOnce));
                copied.set_value();
            }
        });
        HttpClient client;
        ASSERT_EQ(client.call({.url = urlOf(server)}).status, 503);
        copied.get_future().wait();
        const auto answer = client.call({.url = urlOf(server), .totalTimeout = 2000ms});
        ASSERT_EQ(answer.status, 200) << atOnce;
        ASSERT_EQ(answer.body, "ok") << atOnce;
    }
}

// Guards against a new connection for each call to a server whose connections are sound.
TEST(HttpClient, SoundConnectionIsUsedAgain)
{
    ByteServer server([](ByteServer::Connection &connection) {
        while (!connection.readRequest().empty()) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    HttpClient client;
    for (int count = 0; count < 5; ++count) {
        ASSERT_EQ(client.call({.url = urlOf(server)}).body, "ok");
    }
    EXPECT_EQ(server.connectionCount(), 1);
}

// Guards against a late copy of a response that is taken for that to a call with a connection of its own, before or after the call is wholly written.
TEST(HttpClient, CallWithItsOwnConnectionGetsNoEarlierResponse)
{
    const std::string rejection = "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    for (const bool isBeforeBody : {false, true}) {
        ByteServer server([&](ByteServer::Connection &connection) {
            bool isFirst = true;
            while (!(isBeforeBody && !isFirst ? connection.readHead() : connection.readRequest()).empty()) {
                connection.write(isFirst ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" : rejection);
                isFirst = false;
            }
        });
        HttpClient client;
        for (int count = 0; count < 3; ++count) {
            const auto answer = client.call({.method = "POST", .url = urlOf(server), .body = std::string(1 << 20, 'x'), .freshConnection = true});
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(answer.body, "ok");
        }
        EXPECT_EQ(server.connectionCount(), 3);
    }
}

// Guards against header fields of an interim response or of trailers that pass for those of the response.
TEST(HttpClient, FieldsOfInterimResponsesAndTrailersAreNotTheResponses)
{
    ByteServer server([](ByteServer::Connection &connection) {
        connection.readRequest();
        connection.write("HTTP/1.1 103 Early Hints\r\nRetry-After: 1\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "2\r\nok\r\n0\r\nContent-Type: text/html\r\n\r\n");
        connection.finish();
    });
    HttpClient client;
    const auto answer = client.call({.url = urlOf(server)});
    EXPECT_EQ(answer.end, HttpEnd::Complete);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "ok");
    EXPECT_EQ(answer.headers.count("retry-after"), 0U);
    ASSERT_EQ(answer.headers.count("content-type"), 1U);
    EXPECT_EQ(answer.headers.at("content-type"), "text/plain");
}

} // namespace Jujube
