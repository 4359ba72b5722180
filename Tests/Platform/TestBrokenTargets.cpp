#include "../Support/BrokenResponses.h"
#include "../Support/ByteServer.h"
#include "../Support/LoopbackEndpoint.h"
#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// The time that routes of the document give a request.
constexpr std::chrono::milliseconds RouteTimeout = 3s;
constexpr std::string_view Seal = "X-Server-Seal: seal\r\n";

std::string idField(const std::string &request)
{
    return "X-Attempt-Id: " + fieldOf(request, "x-attempt-id") + "\r\n";
}

// A response with a length, with the id of the request and the target's seal.
std::string responseTo(const std::string &request, const std::string &status, const std::string &body, const std::string &fields = {})
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\n", idField(request), std::string(Seal), fields, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string eventsText(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: text\n\n";
    }
    return text;
}

// A target on a machine that vanishes while it runs its first request: connections to it time out from then on.
class VanishingTarget
{
public:
    VanishingTarget()
    {
        m_acceptor.open(Tcp::v4());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(m_address.tcp());
        m_acceptor.listen(0);
        m_thread = std::thread([this] {
            Tcp::socket socket(m_loop);
            LoopError ignored;
            m_acceptor.accept(socket, ignored);
            std::array<char, 4096> buffer {};
            socket.read_some(boost::asio::buffer(buffer), ignored);
            // Connections that are not accepted fill the queue, and further ones get no response.
            for (int count = 0; count < QueuedConnections; ++count) {
                auto &queued = m_queued.emplace_back(m_loop);
                queued.open(Tcp::v4());
                queued.non_blocking(true);
                queued.native_non_blocking(true);
                const auto address = m_address.tcp();
                ::connect(queued.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
            }
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        });
    }
    ~VanishingTarget()
    {
        m_thread.join();
    }

    const Endpoint &address() const
    {
        return m_address;
    }

private:
    static constexpr int QueuedConnections = 8;

    const Endpoint m_address = ownLoopbackEndpoint();
    boost::asio::io_context m_loop;
    Tcp::acceptor m_acceptor {m_loop};
    std::vector<Tcp::socket> m_queued;
    std::thread m_thread;
};

// One relay, and targets that are scripts.
class BrokenTargets : public testing::Test
{
protected:
    // Adds a target whose script gets the header sections of callers' requests only; questions about its state are answered. It runs nothing behind the end of
    // a connection.
    void
    addTarget(const std::string &id, const std::string &service, const std::function<void(ByteServer::Connection &, const std::string &request)> &onRequest)
    {
        m_targets.push_back(std::make_unique<ByteServer>([onRequest](ByteServer::Connection &connection) {
            for (auto request = connection.readHead(); !request.empty(); request = connection.readHead()) {
                if (request.starts_with("GET /-/") || request.starts_with("GET /healthz")) {
                    const std::string state = R"({"state":"ready","born":1,"queued":0,"runs":[]})";
                    connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", state.size(), "\r\n\r\n", state));
                    continue;
                }
                if (request.starts_with("POST /-/")) {
                    connection.readBody(request);
                    connection.write("HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                onRequest(connection, request);
            }
        }));
        m_testBed.store->put(
            "servers", id, StandInTargetRow {.service = service, .address = m_targets.back()->address().toText(), .dataCentre = "lahore"}.toText());
    }

    void start()
    {
        m_testBed.writeDocument(1);
        m_testBed.addRelay("n1");
        ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    }

    // Each request has a path and an id of its own, so that none counts as a poison request.
    RelayTestBed::Response call(const std::string &route, const std::string &method = "POST", const std::string &body = "{}")
    {
        const auto number = std::to_string(++m_requestNumber);
        return m_testBed.call("n1", {.path = "/" + route + "/" + number, .id = "r" + number, .method = method, .body = body});
    }

    std::string lastId() const
    {
        return "r" + std::to_string(m_requestNumber);
    }

    RelayTestBed m_testBed;
    std::vector<std::unique_ptr<ByteServer>> m_targets;
    int m_requestNumber = 0;
};

} // namespace

// Guards against a response that a target breaks off in its header section, a chunk or its trailers and that reaches the caller as a whole success.
TEST_F(BrokenTargets, BrokenResponseIsNoSuccess)
{
    std::string text;
    bool isReset = false;
    size_t sent = 0;
    std::vector<std::string> ran;
    addTarget("i-1", "desk", [&](ByteServer::Connection &connection, const std::string &request) {
        ran.push_back(fieldOf(request, "x-attempt-id"));
        connection.write(std::string_view(text).substr(0, sent));
        if (isReset) {
            connection.reset();
        } else {
            connection.finish();
        }
    });
    start();
    for (size_t framing = 0; framing < wholeResponses("", "").size(); ++framing) {
        for (const bool reset : {false, true}) {
            isReset = reset;
            for (sent = 0;; ++sent) {
                const auto fields = absl::StrCat("X-Attempt-Id: r", m_requestNumber + 1, "\r\n", std::string(Seal));
                const auto response = wholeResponses(fields, "first\nsecond\n").at(framing);
                if (sent >= response.text.size()) {
                    break;
                }
                text = response.text;
                const bool mayBeWhole = std::string_view(response.name) == "until the end" && sent >= response.completeFrom && !reset;
                const auto received = call("commit");
                ASSERT_EQ(received.status, mayBeWhole ? 200 : 502) << response.name << (reset ? " reset after " : " ended after ") << sent;
                ASSERT_EQ(received.end, ChannelEnd::Complete) << response.name << " " << sent;
                ASSERT_EQ(ran.size(), static_cast<size_t>(m_requestNumber)) << response.name << " " << sent;
            }
        }
    }
}

// Guards against a stream without a length and chunks that is broken off, within an event or by a reset, and reaches the caller as a whole one; and against
// a whole one that does not.
TEST_F(BrokenTargets, StreamThatEndsWithItsConnectionIsWholeAfterAnEventOnly)
{
    const auto body = eventsText(1, 2);
    const auto firstEvent = eventsText(1, 1).size();
    size_t sent = 0;
    bool isReset = false;
    addTarget("i-1", "engine", [&](ByteServer::Connection &connection, const std::string &request) {
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\n", idField(request), std::string(Seal), "Content-Type: text/event-stream\r\n\r\n"));
        connection.write(std::string_view(body).substr(0, sent));
        if (isReset) {
            connection.reset();
        } else {
            connection.finish();
        }
    });
    start();
    for (const bool reset : {false, true}) {
        isReset = reset;
        for (sent = 1; sent <= body.size(); ++sent) {
            const auto received = call("draft");
            const bool isWhole = !reset && (sent == firstEvent || sent == body.size());
            const bool isSuccess = received.status == 200 && received.end == ChannelEnd::Complete;
            ASSERT_EQ(isSuccess, isWhole) << (reset ? "reset after " : "ended after ") << sent;
            if (isWhole) {
                ASSERT_EQ(received.body, body.substr(0, sent));
            }
        }
    }
}

// Guards against an earlier response, mostly a rejection, that a target writes once more on a kept connection and that counts as the response to the next
// request. The copy has the earlier id or none, and arrives before the next request, before its body is read, or behind it.
TEST_F(BrokenTargets, SecondCopyIsNoResponseToTheNextRequest)
{
    enum class Time { BeforeRequest, BeforeBody, BehindRequest };
    std::string status;
    bool hasId = false;
    Time time = Time::BeforeRequest;
    int copyOn = 0;
    std::string copy;
    int runs = 0;
    int copies = 0;
    const auto respond = [&](ByteServer::Connection &connection, const std::string &request) {
        ++runs;
        connection.write(responseTo(request, "200 OK", fieldOf(request, "x-attempt-id")));
    };
    addTarget("i-1", "desk", [&](ByteServer::Connection &connection, const std::string &request) {
        const auto writeCopy = [&](Time due) {
            if (due == time && copyOn == connection.number()) {
                copies += due == Time::BeforeRequest ? 0 : 1;
                connection.write(copy);
            }
        };
        writeCopy(Time::BeforeBody);
        connection.readBody(request);
        writeCopy(Time::BehindRequest);
        respond(connection, request);
        copyOn = connection.number();
        copy = absl::StrCat("HTTP/1.1 ",
                            status,
                            "\r\n",
                            hasId ? idField(request) : "",
                            status.starts_with("200") ? std::string(Seal) : "X-Not-Executed: 1\r\n",
                            "Content-Length: 5\r\n\r\nother");
        std::this_thread::sleep_for(1ms);
        writeCopy(Time::BeforeRequest);
    });
    addTarget("i-2", "desk", [&](ByteServer::Connection &connection, const std::string &request) {
        connection.readBody(request);
        respond(connection, request);
    });
    start();
    for (const std::string given : {"200 OK", "400 Bad Request", "408 Timeout", "421 Misdirected", "429 Too Many", "503 Unavailable"}) {
        status = given;
        for (const bool isNamed : {false, true}) {
            hasId = isNamed;
            for (const auto due : {Time::BeforeRequest, Time::BeforeBody, Time::BehindRequest}) {
                time = due;
                for (const std::string route : {"status", "commit"}) {
                    for (int count = 0; count < 4; ++count) {
                        const auto what = absl::StrCat(status, " id ", hasId, " time ", static_cast<int>(due), " ", route);
                        const int runsBefore = runs;
                        const auto received = call(route, count % 2 == 0 ? "GET" : "POST", std::string(count % 2 == 0 ? 0 : 50000, 'x'));
                        ASSERT_EQ(received.status, 200) << what;
                        ASSERT_EQ(received.body, lastId()) << what;
                        if (route == "commit") {
                            ASSERT_EQ(runs, runsBefore + 1) << what;
                        }
                    }
                }
            }
        }
    }
    // Some copies have met a further request.
    EXPECT_GT(copies, 0);
}

// The status of the response that should continue a stream. A relay for each, because the budget bounds the retries of one.
class ContinuationStatus : public BrokenTargets, public testing::WithParamInterface<std::string>
{
};

// Guards against a stream that goes on with an error's text or ends as if it were complete, when the target that should continue it responds with anything but
// the events that follow.
TEST_P(ContinuationStatus, StreamIsContinuedByItsEventsOnly)
{
    const auto &status = GetParam();
    const bool isStream = status == "200 OK";
    const std::string body = isStream ? eventsText(3, 4) : "the text of an error";
    std::string continuation;
    int continuations = 0;
    const auto script = [&](ByteServer::Connection &connection, const std::string &request) {
        if (fieldOf(request, "last-event-id").empty()) {
            const auto events = eventsText(1, 2) + "id: 3\nda";
            connection.write(absl::StrCat("HTTP/1.1 200 OK\r\n", idField(request), std::string(Seal)));
            connection.write(absl::StrCat("Content-Type: text/event-stream\r\nContent-Length: ", events.size() + 10, "\r\n\r\n", events));
        } else {
            ++continuations;
            connection.write(continuation);
        }
        connection.finish();
    };
    addTarget("i-1", "engine", script);
    addTarget("i-2", "engine", script);
    start();
    for (const std::string framing : {"length", "chunks", "end"}) {
        for (const bool hasId : {false, true}) {
            const auto what = absl::StrCat(status, " ", framing, " id ", hasId);
            const auto idLine = hasId ? absl::StrCat("X-Attempt-Id: r", m_requestNumber + 1, "\r\n") : "";
            continuation = absl::StrCat("HTTP/1.1 ", status, "\r\n", idLine, std::string(Seal));
            absl::StrAppend(&continuation, "Content-Type: ", status == "200 Plain" ? "text/plain" : "text/event-stream", "\r\n");
            if (framing == "length") {
                absl::StrAppend(&continuation, "Content-Length: ", body.size(), "\r\n\r\n", body);
            } else if (framing == "chunks") {
                absl::StrAppend(&continuation, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n\r\n");
            } else {
                absl::StrAppend(&continuation, "\r\n", body);
            }
            const int before = continuations;
            const auto received = call("hint");
            ASSERT_EQ(continuations, before + 1) << what;
            ASSERT_EQ(received.status, 200) << what;
            ASSERT_EQ(received.body, eventsText(1, isStream ? 4 : 2)) << what;
            ASSERT_EQ(received.end, isStream ? ChannelEnd::Complete : ChannelEnd::Broken) << what;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(BrokenTargets,
                         ContinuationStatus,
                         testing::Values("200 OK",
                                         "200 Plain",
                                         "204 None",
                                         "206 Part",
                                         "302 Found",
                                         "400 Bad",
                                         "404 None",
                                         "408 Late",
                                         "421 Other",
                                         "429 Many",
                                         "500 Failed",
                                         "502 Bad",
                                         "503 Full"));

// The status line of responses that are none. A relay for each, because the budget bounds the retries of one.
class InvalidStatus : public BrokenTargets, public testing::WithParamInterface<std::string>
{
};

// Guards against a response with an invalid status that reaches a caller, holds its request until the deadline, or makes a one-time request run again.
TEST_P(InvalidStatus, BreaksTheResponse)
{
    constexpr int RoundsPerRelay = 3;
    constexpr int AllRuns = 1000;
    std::mutex mutex;
    std::map<std::string, int> runs;
    int brokenRuns = 1;
    const auto script = [&](ByteServer::Connection &connection, const std::string &request) {
        connection.readBody(request);
        const std::lock_guard lock(mutex);
        const bool isBroken = ++runs[fieldOf(request, "x-attempt-id")] <= brokenRuns;
        const auto body = isBroken ? "no" : eventsText(1, 3);
        connection.write(responseTo(request, isBroken ? GetParam() : "200 OK", body, "Content-Type: text/event-stream\r\n"));
    };
    for (const std::string service : {"desk", "engine"}) {
        for (const std::string id : {"i-1-", "i-2-", "i-3-"}) {
            addTarget(id + service, service, script);
        }
    }
    start();
    for (int round = 0; round < RoundsPerRelay; ++round) {
        for (const std::string route : {"status", "hint", "commit", "draft"}) {
            const bool isOneTime = route == "commit" || route == "draft";
            const auto begun = monotonicNow();
            const auto received = call(route);
            EXPECT_EQ(received.status, isOneTime ? 502 : 200) << route;
            EXPECT_EQ(received.body == eventsText(1, 3), !isOneTime) << route;
            EXPECT_EQ(received.end, ChannelEnd::Complete) << route;
            EXPECT_LT(monotonicNow() - begun, RouteTimeout / 2) << route;
            EXPECT_EQ(runs[lastId()], isOneTime ? 1 : 2) << route;
        }
    }
    // No other target is left to serve these.
    brokenRuns = AllRuns;
    for (const std::string route : {"status", "hint"}) {
        EXPECT_EQ(call(route).status, 502) << route;
    }
}

// Guards against a stream that waits until its deadline, or goes on with other bytes, when the target that should continue it responds with an invalid status.
TEST_P(InvalidStatus, DoesNotContinueAStream)
{
    for (const std::string id : {"i-1", "i-2"}) {
        addTarget(id, "engine", [](ByteServer::Connection &connection, const std::string &request) {
            connection.readBody(request);
            const std::string type = "Content-Type: text/event-stream\r\n";
            if (!fieldOf(request, "last-event-id").empty()) {
                connection.write(responseTo(request, GetParam(), eventsText(3, 4), type));
                return;
            }
            auto response = responseTo(request, "200 OK", eventsText(1, 3), type);
            connection.write(response.erase(response.size() - 1));
            connection.finish();
        });
    }
    start();
    const auto begun = monotonicNow();
    const auto received = call("hint");
    EXPECT_EQ(received.status, 200);
    EXPECT_EQ(received.body, eventsText(1, 2));
    EXPECT_EQ(received.end, ChannelEnd::Broken);
    EXPECT_LT(monotonicNow() - begun, RouteTimeout / 2);
}

INSTANTIATE_TEST_SUITE_P(BrokenTargets, InvalidStatus, testing::Values("000 ", "000 OK", "099 X", "101 Switching", "600 X", "999 X"));

// Guards against a caller that waits for the body that the length of a 204 or 304 promises. Only a caller of HEAD gets a length without a body.
TEST_F(BrokenTargets, ResponseWithoutBodyHasNoLength)
{
    std::string status;
    addTarget("i-1", "desk", [&](ByteServer::Connection &connection, const std::string &request) {
        connection.readBody(request);
        connection.write(responseTo(request, status, request.starts_with("HEAD ") ? "" : "no", "X-Other: kept\r\n"));
    });
    start();
    for (const std::string given : {"204 None", "304 Not Modified"}) {
        status = given;
        for (const std::string method : {"GET", "POST"}) {
            const auto received = call("status", method);
            EXPECT_EQ(received.status, std::stoi(status)) << method;
            EXPECT_EQ(received.end, ChannelEnd::Complete) << status << method;
            EXPECT_FALSE(received.head.has("content-length")) << status << method;
            EXPECT_FALSE(received.head.has("transfer-encoding")) << status << method;
            EXPECT_EQ(received.head.value("x-other"), "kept") << status << method;
        }
    }
    status = "204 None";
    EXPECT_FALSE(call("status", "HEAD").head.has("content-length"));
    status = "200 OK";
    EXPECT_TRUE(call("status", "HEAD").head.has("content-length"));
}

// Guards against a status that promises that a request has not run and never will, although its target does not state that.
TEST_F(BrokenTargets, OnlyTargetsThatDidNotRunARequestAreSaidNotToHaveRunIt)
{
    std::string status;
    int runs = 0;
    const auto script = [&](ByteServer::Connection &connection, const std::string &request) {
        connection.readBody(request);
        ++runs;
        connection.write(responseTo(request, status, "text", "Retry-After: 0.1\r\n"));
    };
    for (const std::string service : {"desk", "engine"}) {
        addTarget("i-1-" + service, service, script);
        addTarget("i-2-" + service, service, script);
    }
    start();
    for (const std::string route : {"commit", "draft"}) {
        for (const std::string given : {"408 Timeout", "429 Too Many", "503 Unavailable"}) {
            status = given;
            const int runsBefore = runs;
            const auto received = call(route);
            EXPECT_EQ(received.status, 502) << route << " " << status;
            EXPECT_FALSE(received.head.has("X-Server-Seal")) << route << " " << status;
            EXPECT_EQ(runs, runsBefore + 1) << route << " " << status;
        }
    }
}

// Guards against targets that reset connections beyond their limit and are taken for crashed ones, so that a burst makes its own requests poison requests.
TEST_F(BrokenTargets, ConnectionsBeyondTheLimitAreNoCrash)
{
    constexpr int TargetCount = 6;
    constexpr auto TimeUntilJudged = 2s;
    for (int number = 1; number <= TargetCount; ++number) {
        const auto id = "i-" + std::to_string(number);
        m_targets.push_back(std::make_unique<ByteServer>([](ByteServer::Connection &connection) {
            connection.readHead();
            connection.reset();
        }));
        m_testBed.store->put(
            "servers", id, StandInTargetRow {.service = "desk", .address = m_targets.back()->address().toText(), .dataCentre = "lahore"}.toText());
    }
    start();
    for (int count = 0; count < TargetCount; ++count) {
        EXPECT_EQ(m_testBed.call("n1", {.path = "/status/1", .id = "r" + std::to_string(count), .method = "GET"}).status, 502);
    }
    m_testBed.runFor(TimeUntilJudged);
    EXPECT_EQ(m_testBed.call("n1", {.path = "/status/1", .id = "last", .method = "GET"}).status, 502);
}

// Guards against a machine that vanishes with its target and whose crash is never found, because the checks of the target time out.
TEST_F(BrokenTargets, VanishedMachineIsACrash)
{
    VanishingTarget target;
    m_testBed.store->put("servers", "i-1", StandInTargetRow {.service = "desk", .address = target.address().toText(), .dataCentre = "lahore"}.toText());
    start();
    ScriptedPeer peer(m_testBed.loop, "peer", m_testBed.options("n1").peers);
    peer.setHeartbeat({.dataCentre = "lahore"});
    call("status", "GET");
    EXPECT_TRUE(m_testBed.runUntil([&] { return peer.received() && peer.received()->crashes.size() == 1; }));
}

// Guards against a crash that is ruled out because the next process is in the target list, and runs, before the earlier one has been checked.
TEST_F(BrokenTargets, LaterProcessInTheListIsACrash)
{
    ByteServer target([](ByteServer::Connection &connection) {
        connection.readHead();
        connection.reset();
    });
    StandInTargetRow row {.service = "desk", .address = target.address().toText(), .dataCentre = "lahore"};
    m_testBed.store->put("servers", "i-1", row.toText());
    start();
    ScriptedPeer peer(m_testBed.loop, "peer", m_testBed.options("n1").peers);
    peer.setHeartbeat({.dataCentre = "lahore"});
    call("status", "GET");
    ++row.born;
    m_testBed.store->put("servers", "i-1", row.toText());
    EXPECT_TRUE(m_testBed.runUntil([&] { return peer.received() && peer.received()->crashes.size() == 1; }, 3s));
}

// Guards against requests that a target reset seconds before it crashed and that count as those that it ran then.
TEST_F(BrokenTargets, CrashBehindResetsHasTheLastRequestsOnly)
{
    constexpr auto Interval = 100ms;
    constexpr int Resets = 40;
    // Requests of 1.5 s, and the time until the last of them is interrupted.
    constexpr size_t MaxMembers = 18;
    auto target = std::make_unique<ByteServer>([](ByteServer::Connection &connection) {
        connection.readHead();
        connection.reset();
    });
    m_testBed.store->put("servers", "i-1", StandInTargetRow {.service = "desk", .address = target->address().toText(), .dataCentre = "lahore"}.toText());
    start();
    ScriptedPeer peer(m_testBed.loop, "peer", m_testBed.options("n1").peers);
    peer.setHeartbeat({.dataCentre = "lahore"});
    std::vector<std::shared_ptr<RelayTestBed::Response>> responses;
    std::vector<std::shared_ptr<TargetChannel>> callers;
    for (int count = 0; count < Resets; ++count) {
        responses.push_back(std::make_shared<RelayTestBed::Response>());
        const auto id = std::to_string(count);
        callers.push_back(m_testBed.begin("n1", {.path = "/status/" + id, .id = "r" + id, .method = "GET"}, responses.back()));
        m_testBed.runFor(Interval);
    }
    target.reset();
    ASSERT_TRUE(m_testBed.runUntil([&] { return peer.received() && !peer.received()->crashes.empty(); }, 3s));
    const auto &crashes = peer.received()->crashes;
    EXPECT_EQ(crashes.size(), 1U);
    EXPECT_GT(crashes.front().members.size(), 0U);
    EXPECT_LE(crashes.front().members.size(), MaxMembers);
}

// Guards against a request whose target crashes and that is checked once only, because the checks of an earlier one have used up the others.
TEST_F(BrokenTargets, RequestThatJoinsAnEarlierOneIsCheckedAsOften)
{
    // The second request breaks off before the last check of the first one, and the target ends behind it.
    constexpr auto TimeUntilSecond = 550ms;
    constexpr auto TimeUntilEnd = 500ms;
    auto target = std::make_unique<ByteServer>([](ByteServer::Connection &connection) {
        connection.readHead();
        connection.reset();
    });
    m_testBed.store->put("servers", "i-1", StandInTargetRow {.service = "desk", .address = target->address().toText(), .dataCentre = "lahore"}.toText());
    start();
    ScriptedPeer peer(m_testBed.loop, "peer", m_testBed.options("n1").peers);
    peer.setHeartbeat({.dataCentre = "lahore"});
    call("status", "GET");
    m_testBed.runFor(TimeUntilSecond);
    call("status", "GET");
    m_testBed.runFor(TimeUntilEnd);
    target.reset();
    EXPECT_TRUE(m_testBed.runUntil([&] { return peer.received() && !peer.received()->crashes.empty(); }, 3s));
}
