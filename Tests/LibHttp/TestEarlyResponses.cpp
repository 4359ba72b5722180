#include <LibHttp/HttpServer.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr size_t LargeBytes = 8 << 20;
// Only a broken server takes this long.
constexpr auto Patience = 20s;

std::unique_ptr<HttpServer> startServer(HttpServer::Options options = {.discardTimeout = 60s})
{
    options.threads = 8;
    options.bodyLimitBytes = 1000;
    options.headerLimitBytes = 4096;
    options.handler = [](const HttpRequest &request, HttpResponder &responder) {
        if (request.header("authorization").empty()) {
            responder.closeConnection();
            responder.sendProblem({.kind = ErrorKind::Unauthorized, .detail = "no key"});
            return;
        }
        responder.send(200, "text/plain", "ok");
    };
    auto server = HttpServer::start(std::move(options));
    EXPECT_TRUE(server.ok()) << server.status();
    return *std::move(server);
}

// A caller that writes bytes as they are, and reads only when it is told to.
class RawCaller
{
public:
    explicit RawCaller(const HttpServer &server)
    {
        const auto &address = server.address();
        const auto colon = address.rfind(':');
        const auto port = static_cast<uint16_t>(std::stoi(address.substr(colon + 1)));
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), port});
    }

    // Returns whether the connection took all bytes.
    bool write(std::string_view bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        return !error;
    }

    bool writeSlowly(std::string_view bytes)
    {
        constexpr size_t PartBytes = 64 * 1024;
        for (; !bytes.empty(); bytes.remove_prefix(std::min(PartBytes, bytes.size()))) {
            if (!write(bytes.substr(0, PartBytes))) {
                return false;
            }
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    // Reads until the end of the connection.
    std::string read()
    {
        std::string text;
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        while (!error) {
            text.append(buffer.data(), m_socket.read_some(boost::asio::buffer(buffer), error));
        }
        m_endedInOrder = error == boost::asio::error::eof;
        return text;
    }

    // Whether the connection ended without a reset.
    bool hasEndedInOrder() const
    {
        return m_endedInOrder;
    }

private:
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_socket {m_loop};
    bool m_endedInOrder = false;
};

std::string requestWithBody(std::string_view fields, std::string_view body)
{
    return absl::StrCat("POST /a HTTP/1.1\r\nHost: a\r\n", std::string(fields), "Content-Length: ", body.size(), "\r\n\r\n", std::string(body));
}

std::string chunked(std::string_view body)
{
    return absl::StrCat(absl::Hex(body.size()), "\r\n", std::string(body), "\r\n0\r\n\r\n");
}

// Expects a whole response with this status, its announced end, and the end of the connection.
void expectWholeResponse(RawCaller &caller, int status, const std::string &kind)
{
    const auto text = caller.read();
    EXPECT_TRUE(text.starts_with(absl::StrCat("HTTP/1.1 ", status, " "))) << text;
    EXPECT_TRUE(absl::StrContains(text, "Connection: close\r\n")) << text;
    EXPECT_TRUE(absl::StrContains(text, absl::StrCat("\"kind\":\"", kind, "\""))) << text;
    EXPECT_TRUE(text.ends_with("}\n")) << text;
    EXPECT_TRUE(caller.hasEndedInOrder());
}

struct EarlyResponse {
    std::string name;
    std::string request;
    int status = 0;
    std::string kind;
};

std::vector<EarlyResponse> earlyResponses()
{
    const std::string large(LargeBytes, 'x');
    return {
        {.name = "announced length", .request = requestWithBody("Authorization: a\r\n", large), .status = 413, .kind = "body_too_large"},
        {.name = "chunks",
         .request = "POST /a HTTP/1.1\r\nHost: a\r\nAuthorization: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(large),
         .status = 413,
         .kind = "body_too_large"},
        {.name = "header section", .request = requestWithBody("X-Large: " + std::string(8000, 'a') + "\r\n", large), .status = 431, .kind = "header_too_large"},
        {.name = "malformed", .request = "POST\r\nHost: a\r\n\r\n" + large, .status = 400, .kind = "bad_request"},
        {.name = "unauthorized", .request = requestWithBody("", std::string(1000, 'x')) + large, .status = 401, .kind = "unauthorized"},
    };
}

} // namespace

// Guards against an early response that is lost, because the connection is closed, and thereby reset, while the caller still writes the request.
TEST(HttpServer, EarlyResponsesReachCallersThatWriteTheirRequestFirst)
{
    const auto server = startServer();
    for (const auto &early : earlyResponses()) {
        for (const bool slowly : {false, true}) {
            SCOPED_TRACE(absl::StrCat(early.name, slowly ? ", written slowly" : ""));
            RawCaller caller(*server);
            EXPECT_TRUE(slowly ? caller.writeSlowly(early.request) : caller.write(early.request));
            expectWholeResponse(caller, early.status, early.kind);
        }
    }
}

// Guards against a header section above the read buffer of the server whose rejection is lost.
TEST(HttpServer, EndlessHeaderSectionIsRejectedByAWholeResponse)
{
    const auto server = startServer();
    RawCaller caller(*server);
    EXPECT_TRUE(caller.write("GET /a HTTP/1.1\r\nHost: a\r\nX-Large: " + std::string(LargeBytes, 'a')));
    const auto text = caller.read();
    EXPECT_TRUE(text.starts_with("HTTP/1.1 4")) << text;
    EXPECT_TRUE(text.ends_with("}\n")) << text;
    EXPECT_TRUE(caller.hasEndedInOrder());
}

// Guards against a caller that occupies a thread by sending without end after its request was rejected.
TEST(HttpServer, DiscardsNoMoreThanItsLimits)
{
    struct Case {
        const char *name;
        HttpServer::Options options;
        size_t partBytes;
        std::chrono::milliseconds interval;
    };
    const Case cases[] = {
        {.name = "bytes", .options = {.discardLimitBytes = LargeBytes, .discardTimeout = 60s}, .partBytes = 64 * 1024, .interval = 0ms},
        {.name = "time", .options = {.discardLimitBytes = 1 << 30, .discardTimeout = 100ms}, .partBytes = 1, .interval = 1ms},
    };
    for (const auto &[name, options, partBytes, interval] : cases) {
        SCOPED_TRACE(name);
        const auto server = startServer(options);
        RawCaller caller(*server);
        ASSERT_TRUE(caller.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n"));
        const std::string part(partBytes, 'x');
        const auto end = std::chrono::steady_clock::now() + Patience;
        bool isOpen = true;
        while (isOpen && std::chrono::steady_clock::now() < end) {
            isOpen = caller.write(part);
            std::this_thread::sleep_for(interval);
        }
        EXPECT_FALSE(isOpen);
    }
}

} // namespace Jujube
