#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

std::unique_ptr<HttpServer> startServer(HttpHandler handler)
{
    auto server = HttpServer::start({.threads = 8, .bodyLimitBytes = 1000, .headerLimitBytes = 4096, .handler = std::move(handler)});
    EXPECT_TRUE(server.ok()) << server.status();
    return *std::move(server);
}

} // namespace

// Guards against a body over the limit reaching a handler, and against an answer without an error kind.
TEST(HttpServer, RefusesBodiesOverTheLimit)
{
    std::atomic<int> handled = 0;
    const auto server = startServer([&handled](const HttpRequest &, HttpResponder &responder) {
        ++handled;
        responder.send(200, "text/plain", "ok");
    });
    HttpClient client;
    const auto url = "http://" + server->address() + "/";
    EXPECT_EQ(client.call({.method = "POST", .url = url, .body = std::string(1000, 'a')}).status, 200);
    const auto refused = client.call({.method = "POST", .url = url, .body = std::string(1001, 'a')});
    EXPECT_EQ(refused.status, 413);
    EXPECT_NE(refused.body.find("body_too_large"), std::string::npos);
    EXPECT_EQ(handled, 1);
}

// Guards against a header over the limit being answered without an error kind, or stopping the server.
TEST(HttpServer, RefusesHeadersOverTheLimit)
{
    const auto server = startServer([](const HttpRequest &, HttpResponder &responder) { responder.send(200, "text/plain", "ok"); });
    HttpClient client;
    const auto url = "http://" + server->address() + "/";
    const auto refused = client.call({.url = url, .headers = {{"X-Large", std::string(8000, 'a')}}});
    EXPECT_EQ(refused.status, 431) << refused.body;
    EXPECT_NE(refused.body.find("header_too_large"), std::string::npos);
    EXPECT_EQ(client.call({.url = url}).status, 200);
}

// Guards against a refusal that says "not sent" although the target may have received the request.
TEST(HttpClient, TellsNotSentFromBroken)
{
    HttpClient client;
    std::string address;
    {
        const auto server = startServer([](const HttpRequest &, HttpResponder &) {});
        address = server->address();
    }
    EXPECT_EQ(client.call({.method = "POST", .url = "http://" + address + "/", .body = "x"}).end, HttpEnd::NotSent);

    const auto server = startServer([](const HttpRequest &, HttpResponder &) { std::this_thread::sleep_for(300ms); });
    const auto url = "http://" + server->address() + "/";
    const auto timedOut = client.call({.method = "POST", .url = url, .body = "x", .totalTimeout = 100ms});
    EXPECT_EQ(timedOut.end, HttpEnd::TimedOut);
}

// Guards against a stream that went silent being waited for without end.
TEST(HttpClient, EndsASilentStream)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    const auto server = startServer([released](const HttpRequest &, HttpResponder &responder) {
        responder.beginStream("text/plain");
        responder.write("first");
        released.wait();
    });
    HttpClient client;
    std::string received;
    std::promise<HttpAnswer> ended;
    client.open({.url = "http://" + server->address() + "/", .totalTimeout = 0ms, .silenceTimeout = 200ms},
                {.onBytes =
                     [&received](int, std::string_view bytes) {
                         received += bytes;
                         return true;
                     },
                 .onEnd = [&ended](const HttpAnswer &answer) { ended.set_value(answer); }});
    EXPECT_EQ(ended.get_future().get().end, HttpEnd::Silent);
    EXPECT_EQ(received, "first");
    release.set_value();
}

// Guards against bytes being lost or doubled when a slow consumer pauses a stream.
TEST(HttpClient, OffersPausedBytesAgain)
{
    const auto server = startServer([](const HttpRequest &, HttpResponder &responder) {
        responder.beginStream("text/plain");
        responder.write("abc");
    });
    HttpClient client;
    std::promise<void> paused;
    std::promise<std::string> ended;
    std::string received;
    bool first = true;
    const auto id = client.open({.url = "http://" + server->address() + "/"},
                                {.onBytes =
                                     [&](int, std::string_view bytes) {
                                         if (first) {
                                             first = false;
                                             paused.set_value();
                                             return false;
                                         }
                                         received += bytes;
                                         return true;
                                     },
                                 .onEnd = [&](const HttpAnswer &) { ended.set_value(received); }});
    paused.get_future().wait();
    client.resume(id);
    EXPECT_EQ(ended.get_future().get(), "abc");
}

} // namespace Jujube
