#include "../Support/ByteServer.h"
#include "../Support/EndlessResponses.h"
#include "RelayTestBed.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <LibRelayServer/TableFollower.h>
#include <platform/PlatformAdapter.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// A relay may use about as much memory as the smallest machines have beside it. Each connection has buffers in the kernel, which count for the server as well.
constexpr size_t MaxGrowth = 24 << 20;
// What each server would send, if it were let.
constexpr size_t Offered = 256 << 20;
constexpr std::string_view Seal = "X-Server-Seal: seal\r\n";

std::string idField(const std::string &request)
{
    return "X-Attempt-Id: " + fieldOf(request, "x-attempt-id") + "\r\n";
}

void sendEndless(ByteServer::Connection &connection, const EndlessResponse &response)
{
    connection.write(response.begin);
    connection.writePieces(response.piece, Offered);
}

// A relay with targets that are scripts, and sound ones of the other service.
class EndlessTargets : public testing::Test
{
protected:
    struct Script {
        std::function<void(ByteServer::Connection &connection, const std::string &request)> onRequest;
        std::function<void(ByteServer::Connection &connection)> onState;
        std::function<void(ByteServer::Connection &connection)> onOrder;
    };

    void addScript(const std::string &id, const std::string &service, const Script &script)
    {
        m_servers.push_back(std::make_unique<ByteServer>([script](ByteServer::Connection &connection) {
            for (auto request = connection.readRequest(); !request.empty(); request = connection.readRequest()) {
                if (request.starts_with("GET /-/")) {
                    if (script.onState) {
                        script.onState(connection);
                        return;
                    }
                    const std::string state = R"({"state":"ready","born":1,"queued":0,"runs":[]})";
                    connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", state.size(), "\r\n\r\n", state));
                } else if (request.starts_with("POST /-/")) {
                    if (script.onOrder) {
                        script.onOrder(connection);
                    }
                    return;
                } else {
                    script.onRequest(connection, request);
                }
            }
        }));
        setEntry(id, service, "ready");
    }

    // Writes the entry of the script that was added last.
    void setEntry(const std::string &id, const std::string &service, const std::string &state)
    {
        m_testBed.store->put(
            "servers",
            id,
            StandInTargetRow {.service = service, .address = m_servers.back()->address().toText(), .dataCentre = "lahore", .state = state}.toText());
    }

    void start()
    {
        m_testBed.writeDocument(1, "key-1", 8s);
        m_testBed.addRelay("n1");
        ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
        m_before = residentBytes();
    }

    // A generation of 400 tokens gets a backup.
    std::shared_ptr<RelayTestBed::Response> begin(const std::string &route, const std::string &usage = "1000,400")
    {
        const auto id = absl::StrCat("r", ++m_requests);
        const auto response = std::make_shared<RelayTestBed::Response>();
        const std::vector<HeaderField> fields {{.name = "X-Deadline-Ms", .value = "1200"}, {.name = "X-Token-Usage", .value = usage}};
        m_channels.push_back(
            m_testBed.begin("n1", {.path = absl::StrCat("/", route, "/", id), .id = id, .fields = fields, .body = id, .dropsBody = true}, response));
        return response;
    }

    // Lets the loop run, and keeps the highest memory.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = 8s)
    {
        return m_testBed.runUntil(
            [&] {
                m_highest = std::max(m_highest, residentBytes());
                return condition();
            },
            timeout);
    }

    // A request to a sound target, beside all others.
    void expectServed(const std::string &route, const std::string &what)
    {
        const auto response = begin(route);
        EXPECT_TRUE(runUntil([&] { return response->end != ChannelEnd::NotSent; })) << what;
        EXPECT_EQ(response->status, 200) << what;
        EXPECT_EQ(response->end, ChannelEnd::Complete) << what;
    }

    void expectBoundedMemory(const std::string &what) const
    {
        EXPECT_LT(m_highest, m_before + MaxGrowth) << what;
    }

    // Where the bytes without end are at present. Scripts run on threads of their own.
    const std::vector<EndlessResponse> m_places = endlessResponses();
    std::atomic<size_t> m_place = 0;
    std::atomic<int> m_orders = 0;
    RelayTestBed m_testBed;
    std::vector<std::unique_ptr<ByteServer>> m_servers;
    std::vector<std::shared_ptr<TargetChannel>> m_channels;
    int m_requests = 0;
    size_t m_before = 0;
    size_t m_highest = 0;
};

} // namespace

// Guards against a response of a server or an engine without end that the relay keeps until it has no memory left: in a header section, a body, a chunk's frame
// or trailers, or an event of a stream.
TEST_F(EndlessTargets, ResponsesAreNotKept)
{
    const auto script = [this](ByteServer::Connection &connection, const std::string &request) {
        sendEndless(connection, endlessResponses(absl::StrCat(idField(request), std::string(Seal))).at(m_place));
    };
    addScript("i-desk", "desk", {.onRequest = script, .onState = {}, .onOrder = {}});
    m_testBed.addTarget("i-sound", "engine", 3);
    start();
    for (const std::string route : {"commit", "status"}) {
        for (m_place = 0; m_place < m_places.size(); ++m_place) {
            const auto what = absl::StrCat(route, ", ", m_places[m_place].name);
            const auto bad = begin(route);
            expectServed("hint", what);
            EXPECT_TRUE(runUntil([&] { return bad->end != ChannelEnd::NotSent; })) << what;
            expectBoundedMemory(what);
        }
    }
}

// Guards against the same in the streams of engines.
TEST_F(EndlessTargets, StreamsAreNotKept)
{
    const auto script = [this](ByteServer::Connection &connection, const std::string &request) {
        const auto fields = absl::StrCat(idField(request), std::string(Seal), "Content-Type: text/event-stream\r\n");
        sendEndless(connection, endlessResponses(fields).at(m_place));
    };
    addScript("i-engine", "engine", {.onRequest = script, .onState = {}, .onOrder = {}});
    m_testBed.addTarget("i-sound", "desk");
    start();
    for (const std::string route : {"draft", "hint"}) {
        for (m_place = 0; m_place < m_places.size(); ++m_place) {
            const auto what = absl::StrCat(route, ", ", m_places[m_place].name);
            const auto bad = begin(route);
            expectServed("status", what);
            EXPECT_TRUE(runUntil([&] { return bad->end != ChannelEnd::NotSent; })) << what;
            expectBoundedMemory(what);
        }
    }
}

// Guards against a body without end that is kept because its caller does not read it.
TEST_F(EndlessTargets, CallersThatDoNotReadHoldUpTheirTargets)
{
    constexpr int Callers = 20;
    addScript(
        "i-desk",
        "desk",
        {.onRequest = [](ByteServer::Connection &connection,
                         const std::string &request) { sendEndless(connection, endlessResponses(absl::StrCat(idField(request), std::string(Seal))).back()); },
         .onState = {},
         .onOrder = {}});
    m_testBed.addTarget("i-sound", "engine", 3);
    start();
    std::vector<std::shared_ptr<RelayTestBed::Response>> responses;
    for (int caller = 0; caller < Callers; ++caller) {
        responses.push_back(begin("commit"));
        m_channels.back()->pause();
    }
    for (int count = 0; count < 5; ++count) {
        expectServed("hint", "beside callers that do not read");
        runUntil([] { return false; }, 200ms);
    }
    expectBoundedMemory("callers that do not read");
}

// The place of the bytes without end, by its position in endlessResponses().
class EndlessCalls : public EndlessTargets, public testing::WithParamInterface<size_t>
{
};

// Guards against the states of engines without end, which the relay asks for when responses break off, of many engines at the same time.
TEST_P(EndlessCalls, StatesAreNotKept)
{
    constexpr int Engines = 10;
    for (int index = 0; index < Engines; ++index) {
        addScript(absl::StrCat("i-", index),
                  "engine",
                  {.onRequest =
                       [](ByteServer::Connection &connection, const std::string &request) {
                           connection.write(
                               absl::StrCat("HTTP/1.1 200 OK\r\n", idField(request), std::string(Seal), "Content-Type: text/event-stream\r\n\r\n"));
                           connection.write("id: 1\ndata: text\n\nid: 2");
                           connection.finish();
                       },
                   .onState = [this](ByteServer::Connection &connection) { sendEndless(connection, m_places.at(m_place)); },
                   .onOrder = {}});
    }
    m_testBed.addTarget("i-sound", "desk");
    start();
    m_place = GetParam();
    const auto &what = m_places.at(m_place).name;
    std::vector<std::shared_ptr<RelayTestBed::Response>> bad;
    for (int count = 0; count < Engines; ++count) {
        bad.push_back(begin(count % 2 == 0 ? "draft" : "hint"));
    }
    expectServed("status", what);
    EXPECT_TRUE(runUntil([&] { return std::ranges::all_of(bad, [](const auto &each) { return each->end != ChannelEnd::NotSent; }); })) << what;
    runUntil([] { return false; }, 300ms);
    expectBoundedMemory(what);
}

// Guards against responses without end to orders to copy, which go to an engine for each of its generations when it leaves.
TEST_P(EndlessCalls, ResponsesToOrdersAreNotKept)
{
    constexpr size_t Drafts = 12;
    m_place = GetParam();
    const auto &endless = m_places.at(m_place);
    addScript("i-1",
              "engine",
              {.onRequest =
                   [](ByteServer::Connection &connection, const std::string &request) {
                       connection.write(absl::StrCat("HTTP/1.1 200 OK\r\n", idField(request), std::string(Seal), "Content-Type: text/event-stream\r\n\r\n"));
                       connection.write("id: 1\ndata: text\n\n");
                       connection.waitForEnd();
                   },
               .onState = {},
               .onOrder =
                   [this](ByteServer::Connection &connection) {
                       ++m_orders;
                       sendEndless(connection, m_places.at(m_place));
                   }});
    start();
    std::vector<std::shared_ptr<RelayTestBed::Response>> drafts;
    for (size_t count = 0; count < Drafts; ++count) {
        drafts.push_back(begin("draft", "1000,40"));
    }
    ASSERT_TRUE(runUntil([&] { return std::ranges::all_of(drafts, [](const auto &draft) { return draft->status == 200; }); }));
    m_testBed.addTarget("i-2", "engine", 3);
    m_testBed.addTarget("i-desk", "desk");
    runUntil([] { return false; }, 200ms);
    setEntry("i-1", "engine", "draining");
    EXPECT_TRUE(runUntil([&] { return m_orders > 0; })) << endless.name;
    expectServed("status", endless.name);
    EXPECT_TRUE(runUntil([&] { return std::ranges::all_of(drafts, [](const auto &draft) { return draft->end != ChannelEnd::NotSent; }); })) << endless.name;
    expectBoundedMemory(endless.name);
}

INSTANTIATE_TEST_SUITE_P(Places, EndlessCalls, testing::Range<size_t>(0, 14));

// Guards against responses of the store without end, and against a relay that does not serve meanwhile: the store is read over connections of its own.
TEST(EndlessStore, ResponsesAreNotKept)
{
    for (const auto &endless : endlessResponses()) {
        std::atomic<int> reads = 0;
        ByteServer store([&](ByteServer::Connection &connection) {
            if (!connection.readRequest().empty()) {
                ++reads;
                sendEndless(connection, endless);
            }
        });
        ByteServer sound([](ByteServer::Connection &connection) {
            while (!connection.readRequest().empty()) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
        boost::asio::io_context loop;
        LoopClient client(loop);
        const auto adapter = createPlatformAdapter();
        const TableFollower::Options options {.table = "op",
                                              .shouldRead = [](MonotonicTime) { return true; },
                                              .isReading = [] { return true; },
                                              .maxAge = [](MonotonicTime) { return std::chrono::milliseconds(1500); },
                                              .liveRelays = [] { return 3; }};
        TableFollower follower(loop,
                               client,
                               adapter,
                               store.address(),
                               options,
                               {.onChange = [](const StoreRow &, const TableFollower::ReadContext &) {},
                                .onTable = [](const StoreRows &, const TableFollower::ReadContext &) {},
                                .onUnavailable = [](const std::string &) {},
                                .onAvailable = [](std::chrono::milliseconds) {}});
        const auto before = residentBytes();
        size_t highest = before;
        int served = 0;
        std::function<void()> callSound = [&] {
            client.call(sound.address(), {.target = "/"}, [&](const LoopAnswer &answer) {
                served += answer.isSuccess() ? 1 : 0;
                callSound();
            });
        };
        follower.start();
        callSound();
        for (const auto end = monotonicNow() + 1500ms; monotonicNow() < end;) {
            loop.restart();
            loop.run_for(5ms);
            follower.check(monotonicNow());
            highest = std::max(highest, residentBytes());
        }
        EXPECT_GT(reads, 1) << endless.name;
        EXPECT_GT(served, 10) << endless.name;
        EXPECT_LT(highest, before + MaxGrowth) << endless.name;
        loop.stop();
    }
}
