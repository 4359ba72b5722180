#include "../Support/ByteServer.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>
#include <LibRelayServer/TargetRunsReader.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr int64_t Incarnation = 7;

// The state is a line "INCARNATION REQUEST REQUEST...".
PlatformAdapter lineAdapter()
{
    return {.buildStateCall = [] { return LoopCall {.target = "/state"}; },
            .decodeState = [](std::string_view body) -> absl::StatusOr<EngineState> {
                const std::vector<std::string> words = absl::StrSplit(std::string(body), ' ');
                return EngineState {.incarnation = std::stoll(words.front()), .runs = std::vector<std::string>(words.begin() + 1, words.end())};
            }};
}

class RunsReader : public testing::Test
{
protected:
    std::optional<TargetRuns> read(const Endpoint &address, int64_t incarnation = Incarnation)
    {
        std::optional<TargetRuns> result;
        m_reader.read(
            {.id = "t", .incarnation = incarnation, .address = address.toText()}, [&](const TargetRuns &runs) { result = runs; }, monotonicNow());
        run([&] { return result.has_value(); });
        return result;
    }

    void run(const std::function<bool()> &condition)
    {
        for (const auto end = monotonicNow() + 8s; !condition() && monotonicNow() < end;) {
            m_loop.restart();
            m_loop.run_for(2ms);
        }
    }

    boost::asio::io_context m_loop;
    LoopClient m_client {m_loop};
    const PlatformAdapter m_adapter = lineAdapter();
    int m_calls = 0;
    TargetRunsReader m_reader {
        m_client,
        m_adapter,
        {.tryTakeCall = [this](const std::string &, MonotonicTime) { return ++m_calls > 0; }, .onUnreachable = [](const std::string &, MonotonicTime) {}}};
};

ByteServer::Script states(const std::string &body)
{
    return [body](ByteServer::Connection &connection) {
        connection.readRequest();
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    };
}

} // namespace

// Guards against a statement of an earlier process, of no process that is known, or of none at all, that frees a run; and against one of a later process that
// holds it back.
TEST_F(RunsReader, OnlyTheProcessThatRanARequestKnowsItsEnd)
{
    const ByteServer same(states("7 a b"));
    const auto listed = read(same.address());
    ASSERT_EQ(listed->kind, TargetRuns::Kind::Listed);
    EXPECT_EQ(listed->requests, (std::vector<std::string> {"a", "b"}));
    const ByteServer earlier(states("6 x"));
    EXPECT_EQ(read(earlier.address())->kind, TargetRuns::Kind::Unknown);
    // A target that has not told its start cannot be told from its successor.
    EXPECT_EQ(read(same.address(), 0)->kind, TargetRuns::Kind::Listed);
    const ByteServer silent([](ByteServer::Connection &connection) { connection.waitForEnd(); });
    EXPECT_EQ(read(silent.address())->kind, TargetRuns::Kind::Unknown);
    const ByteServer closing([](ByteServer::Connection &connection) { connection.readRequest(); });
    EXPECT_EQ(read(closing.address())->kind, TargetRuns::Kind::Unknown);
    const ByteServer later(states("8 a"));
    EXPECT_EQ(read(later.address())->kind, TargetRuns::Kind::Gone);
}

// Guards against many calls to a target that has interrupted many responses: they share one while it lasts, and a target that has ended is not asked again.
TEST_F(RunsReader, RequestsShareTheAnswerOfATarget)
{
    constexpr int Requests = 50;
    const ByteServer server(states("7 a"));
    int answers = 0;
    for (int count = 0; count < Requests; ++count) {
        m_reader.read(
            {.id = "t", .incarnation = Incarnation, .address = server.address().toText()}, [&](const TargetRuns &) { ++answers; }, monotonicNow());
    }
    run([&] { return answers == Requests; });
    EXPECT_EQ(answers, Requests);
    EXPECT_EQ(m_calls, 1);
    const auto nobody = ownLoopbackEndpoint();
    for (int count = 0; count < Requests; ++count) {
        EXPECT_EQ(read(nobody)->kind, TargetRuns::Kind::Gone);
    }
    EXPECT_EQ(m_calls, 2);
    EXPECT_TRUE(m_reader.isGone("t", Incarnation));
}
