#include <StandIns/Engine/EngineServer.h>
#include <StandIns/OrderDesk/OrderDesk.h>

#include <future>
#include <gtest/gtest.h>
#include <LibHttp/HttpClient.h>
#include <thread>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

std::unique_ptr<EngineServer> startEngine(std::chrono::microseconds step = 1ms)
{
    auto engine = EngineServer::start(
        {.listen = "127.0.0.1:0", .threads = 16, .host = {.name = "engine", .model = {.baseStep = step}, .models = {"m"}, .reportInterval = 20ms}});
    EXPECT_TRUE(engine.ok()) << engine.status();
    return *std::move(engine);
}

std::string generateBody(const std::string &id, const std::string &prompt)
{
    return nlohmann::json {{"generation", id}, {"attempt", 1}, {"model", "m"}, {"prompt", prompt}, {"seed", 1}, {"max_tokens", 100000}}.dump();
}

std::vector<nlohmann::json> parseLines(const std::string &text)
{
    std::vector<nlohmann::json> lines;
    for (size_t begin = 0, end = text.find('\n'); end != std::string::npos; begin = end + 1, end = text.find('\n', begin)) {
        auto line = nlohmann::json::parse(text.substr(begin, end - begin));
        if (!line.contains("ka")) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

HttpAnswer post(HttpClient &client, const std::string &address, const std::string &path, const std::string &body)
{
    return client.call({.method = "POST", .url = "http://" + address + path, .body = body, .totalTimeout = 60s});
}

HttpAnswer get(HttpClient &client, const std::string &address, const std::string &path)
{
    return client.call({.url = "http://" + address + path, .totalTimeout = 60s});
}

} // namespace

// Guards against a generation that ends with its reader's connection, and against resumed output with a gap or an overlap.
TEST(EngineServer, KeepsGeneratingWithoutAReader)
{
    const auto engine = startEngine();
    HttpClient client;
    const auto cut
        = client.call({.method = "POST", .url = "http://" + engine->address() + "/generate", .body = generateBody("g", "length=400"), .totalTimeout = 100ms});
    EXPECT_NE(cut.end, HttpEnd::Complete);
    const auto lines = parseLines(get(client, engine->address(), "/generations/g?from=5").body);
    ASSERT_EQ(lines.size(), 396);
    EXPECT_EQ(lines.front().at("o"), 5);
    EXPECT_EQ(lines.back().at("count"), 400);
    EXPECT_EQ(get(client, engine->address(), "/generations/unknown").status, 404);
}

// Guards against a silence fault that also affects new connections, or that leaves the old one writing.
TEST(EngineServer, SilencedConnectionsStayOpenWhileNewOnesWork)
{
    const auto engine = startEngine(5ms);
    HttpClient client;
    std::atomic<size_t> received = 0;
    std::promise<void> first;
    std::promise<HttpAnswer> ended;
    client.open({.method = "POST",
                 .url = "http://" + engine->address() + "/generate",
                 .body = generateBody("g", "length=300"),
                 .totalTimeout = 0ms,
                 .silenceTimeout = 3s},
                {.onBytes =
                     [&](int, std::string_view bytes) {
                         if (received.fetch_add(bytes.size()) == 0) {
                             first.set_value();
                         }
                         return true;
                     },
                 .onEnd = [&](const HttpAnswer &answer) { ended.set_value(answer); }});
    first.get_future().wait();
    EXPECT_EQ(post(client, engine->address(), "/faults", R"({"silence":true})").status, 200);
    EXPECT_EQ(parseLines(get(client, engine->address(), "/generations/g?from=0").body).size(), 301);
    EXPECT_EQ(ended.get_future().get().end, HttpEnd::Silent);
}

// Guards against a fault that splits characters but changes the bytes, and checks that it splits at all.
TEST(EngineServer, SplitsLinesInsideACharacter)
{
    const auto engine = startEngine();
    HttpClient client;
    post(client, engine->address(), "/faults", R"({"split_lines":true})");
    const auto plain = post(client, engine->address(), "/generate", generateBody("g", "length=60"));
    EXPECT_EQ(parseLines(plain.body).size(), 61);
    std::atomic<int> endedInside = 0;
    std::promise<void> ended;
    client.open({.url = "http://" + engine->address() + "/generations/g?from=0", .totalTimeout = 60s},
                {.onBytes =
                     [&](int, std::string_view bytes) {
                         endedInside += static_cast<unsigned char>(bytes.back()) >= 0x80 ? 1 : 0;
                         return true;
                     },
                 .onEnd = [&](const HttpAnswer &) { ended.set_value(); }});
    ended.get_future().wait();
    EXPECT_GT(endedInside, 0);
}

// Guards against frozen reports that still show changes, and reports that never do.
TEST(EngineServer, ReportsLagAndFreeze)
{
    const auto engine = startEngine();
    HttpClient client;
    const auto leaving = [&] { return nlohmann::json::parse(get(client, engine->address(), "/load").body).at("leaving").get<bool>(); };
    post(client, engine->address(), "/faults", R"({"freeze_reports":true,"leave":true})");
    std::this_thread::sleep_for(100ms);
    EXPECT_FALSE(leaving());
    post(client, engine->address(), "/faults", R"({"freeze_reports":false})");
    while (!leaving()) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_EQ(post(client, engine->address(), "/faults", R"({"no_such_fault":true})").status, 400);
}

// Guards against an engine that obeys the order of a holder that has lost its lease.
TEST(EngineServer, RejectsOrdersWithAnOldFencingNumber)
{
    const auto engine = startEngine();
    HttpClient client;
    EXPECT_EQ(post(client, engine->address(), "/orders", R"({"order":"load","model":"n","version":"1","fencing":5})").status, 200);
    EXPECT_EQ(post(client, engine->address(), "/orders", R"({"order":"unload","model":"n","fencing":4})").status, 409);
    EXPECT_EQ(post(client, engine->address(), "/generate", R"({"generation":"g","model":"n","prompt":"length=2"})").status, 200);
    EXPECT_EQ(post(client, engine->address(), "/orders", R"({"order":"unload","model":"n","fencing":6})").status, 200);
    EXPECT_EQ(post(client, engine->address(), "/generate", R"({"generation":"h","model":"n","prompt":"length=2"})").status, 404);
}

// Guards against a ledger that does not show every run: a call closed before it ran must be absent, one closed after it ran must be there.
TEST(OrderDesk, LedgerShowsExactlyWhatRan)
{
    const auto desk = OrderDesk::start({.name = "desk", .listen = "127.0.0.1:0", .threads = 8});
    ASSERT_TRUE(desk.ok()) << desk.status();
    HttpClient client;
    const auto &address = (*desk)->address();
    const auto call = [&](const std::string &id) {
        return client.call(
            {.method = "POST", .url = "http://" + address + "/capture", .body = "{\"id\":\"" + id + "\"}", .totalTimeout = 60s, .freshConnection = true});
    };
    post(client, address, "/faults", R"({"close_before_run":1})");
    EXPECT_EQ(call("a").end, HttpEnd::Broken);
    post(client, address, "/faults", R"({"close_after_run":1})");
    EXPECT_EQ(call("b").end, HttpEnd::Broken);
    EXPECT_EQ(call("c").status, 200);
    const auto entries = nlohmann::json::parse(get(client, address, "/ledger").body).at("entries");
    ASSERT_EQ(entries.size(), 2);
    EXPECT_EQ(entries[0].at("id"), "b");
    EXPECT_EQ(entries[1].at("id"), "c");
    EXPECT_EQ(get(client, address, "/capture/a").status, 404);
    EXPECT_EQ(get(client, address, "/capture/c").status, 200);
}

} // namespace Jujube
