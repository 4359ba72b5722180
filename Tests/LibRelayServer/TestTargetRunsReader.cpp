#include "../Support/ByteServer.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>
#include <LibRelayServer/TargetRunsReader.h>
#include <list>

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

// Listens and accepts nothing, with a full queue, so that further connections time out.
class FullListener
{
public:
    FullListener()
        : m_address(ownLoopbackEndpoint())
        , m_acceptor(m_loop)
    {
        m_acceptor.open(m_address.tcp().protocol());
        m_acceptor.bind(m_address.tcp());
        m_acceptor.listen(0);
        constexpr int Connections = 4;
        for (int count = 0; count < Connections; ++count) {
            m_sockets.emplace_back(m_loop).async_connect(m_address.tcp(), [](const LoopError &) {});
        }
        m_loop.run_for(100ms);
    }

    const Endpoint &address() const
    {
        return m_address;
    }

private:
    boost::asio::io_context m_loop;
    const Endpoint m_address;
    Tcp::acceptor m_acceptor;
    std::list<Tcp::socket> m_sockets;
};

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
    EXPECT_TRUE(m_reader.isGone("t", Incarnation, monotonicNow()));
}

// Guards against a process that refused a connection once, during a cut or because its queue was full, and counts as gone although it sends again (review/7).
TEST_F(RunsReader, RefusalIsTakenBackByASignOfLife)
{
    const auto nobody = ownLoopbackEndpoint();
    ASSERT_EQ(read(nobody)->kind, TargetRuns::Kind::Gone);
    const auto refusedAt = monotonicNow();
    // Bytes from before the refusal, and those of another process of the target, say nothing.
    m_reader.recordAlive("t", Incarnation, refusedAt - 1s);
    m_reader.recordAlive("t", Incarnation + 1, refusedAt);
    EXPECT_TRUE(m_reader.isGone("t", Incarnation, refusedAt));
    m_reader.recordAlive("t", Incarnation, refusedAt);
    EXPECT_FALSE(m_reader.isGone("t", Incarnation, refusedAt));
    const ByteServer back(states("7 a"));
    EXPECT_EQ(read(back.address())->kind, TargetRuns::Kind::Listed);
}

// Guards against a refusal that counts as the end of a process of which nothing is heard, long after its links are whole again (review/7), and against asking
// for a process again that a later one has replaced.
TEST_F(RunsReader, RefusalExpiresAndReplacementDoesNot)
{
    ASSERT_EQ(read(ownLoopbackEndpoint())->kind, TargetRuns::Kind::Gone);
    EXPECT_FALSE(m_reader.isGone("t", Incarnation, monotonicNow() + 2s));
    const ByteServer later(states("8 a"));
    ASSERT_EQ(read(later.address(), Incarnation - 1)->kind, TargetRuns::Kind::Gone);
    m_reader.recordAlive("t", Incarnation - 1, monotonicNow());
    EXPECT_TRUE(m_reader.isGone("t", Incarnation - 1, monotonicNow() + 30s));
}

// Guards against a target that sends on its open connections, accepts no further ones because its queue is full, and counts as out of reach.
TEST_F(RunsReader, TargetThatSendsIsNotOutOfReach)
{
    const FullListener full;
    for (const bool isSending : {false, true}) {
        std::optional<TargetRuns> result;
        m_reader.read(
            {.id = "t", .incarnation = Incarnation, .address = full.address().toText()}, [&](const TargetRuns &runs) { result = runs; }, monotonicNow());
        run([&] {
            if (isSending) {
                m_reader.recordAlive("t", Incarnation, monotonicNow());
            }
            return result.has_value();
        });
        ASSERT_TRUE(result);
        EXPECT_EQ(result->kind, isSending ? TargetRuns::Kind::Unknown : TargetRuns::Kind::Unreachable);
    }
}
