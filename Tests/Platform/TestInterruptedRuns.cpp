#include "RelayTestBed.h"

#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// A second of work.
constexpr int Events = 100;
// The users allow a target to be at work on a request for so long after it has gone on at another one.
constexpr auto MaxOverlap = 400ms;

std::string eventsText(int count)
{
    std::string text;
    for (int id = 1; id <= count; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: text\n\n";
    }
    return text;
}

// A relay and three engines, and how long two of them were at work on a request at the same time.
class InterruptedRequests : public testing::Test
{
protected:
    InterruptedRequests()
    {
        m_testBed.writeDocument(1, "key-1", 8s);
        for (const auto *id : {"i-1", "i-2", "i-3"}) {
            m_engines.push_back(&m_testBed.addTarget(id, "engine", Events));
        }
        m_testBed.addRelay("n1");
    }

    void setBehaviour(StandInTarget::Behaviour behaviour)
    {
        for (auto *engine : m_engines) {
            engine->setBehaviour(behaviour);
        }
    }

    // Sends a request that is long enough for a backup, calls `onEvents` once the caller has some events, and waits until the response has ended.
    std::shared_ptr<RelayTestBed::Response> send(const std::string &path, const std::function<void()> &onEvents = {})
    {
        const auto response = std::make_shared<RelayTestBed::Response>();
        const std::vector<HeaderField> fields {{.name = "X-Token-Usage", .value = "1000,400"}, {.name = "X-Deadline-Ms", .value = "8000"}};
        const auto channel = m_testBed.begin("n1", {.path = path, .fields = fields}, response);
        auto last = monotonicNow();
        m_testBed.runUntil([&] {
            const auto now = monotonicNow();
            m_overlap += atWork() > 1 ? now - last : MonotonicTime::duration::zero();
            last = now;
            if (onEvents && !m_hasEvents && response->body.size() >= eventsText(2).size()) {
                m_hasEvents = true;
                onEvents();
            }
            return response->end != ChannelEnd::NotSent;
        });
        return response;
    }

    long atWork() const
    {
        return std::ranges::count_if(m_engines, [](const auto *engine) { return engine->isRunning("r1"); });
    }

    RelayTestBed m_testBed;
    std::vector<StandInTarget *> m_engines;
    MonotonicTime::duration m_overlap {0};
    bool m_hasEvents = false;
};

} // namespace

// Guards against a draft that goes on from its backup while the engine that reset its connection goes on with the run (review/1), whether or not the engine can
// be ordered to stop it.
TEST_F(InterruptedRequests, DraftIsAtOneEngineAtATime)
{
    ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    for (const auto behaviour : {StandInTarget::Behaviour::Detach, StandInTarget::Behaviour::DetachAndIgnoreOrders}) {
        setBehaviour(behaviour);
        const auto response = send("/draft/x");
        EXPECT_LT(m_overlap, MaxOverlap);
        EXPECT_EQ(response->end, ChannelEnd::Complete);
        EXPECT_EQ(response->body, eventsText(Events));
        m_overlap = {};
    }
}

// Guards against the same for a suggestion that is resumed.
TEST_F(InterruptedRequests, SuggestionIsAtOneEngineAtATime)
{
    ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    setBehaviour(StandInTarget::Behaviour::DetachAndIgnoreOrders);
    const auto response = send("/hint/x");
    EXPECT_LT(m_overlap, MaxOverlap);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
    EXPECT_EQ(response->body, eventsText(Events));
}

// Guards against a draft that goes on from its backup while its engine, which was short of memory when it lost the response, has the run in its queue
// (review/8).
TEST_F(InterruptedRequests, PreemptedDraftIsAtOneEngineAtATime)
{
    constexpr auto PreemptedTime = 700ms;
    ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    setBehaviour(StandInTarget::Behaviour::Detach);
    boost::asio::steady_timer resume(m_testBed.loop);
    const auto response = send("/draft/x", [&] {
        auto *engine = *std::ranges::find_if(m_engines, [](const auto *candidate) { return candidate->isRunning("r1"); });
        engine->setPreemptsStreams(true);
        resume.expires_after(PreemptedTime);
        resume.async_wait([engine](const LoopError &) { engine->setPreemptsStreams(false); });
    });
    EXPECT_LT(m_overlap, MaxOverlap);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
    EXPECT_EQ(response->body, eventsText(Events));
}

// Guards against a draft that is lost, or goes on late, after a real crash: its engine refuses connections, so that it goes on at once.
TEST_F(InterruptedRequests, DraftGoesOnAtOnceAfterACrash)
{
    ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    std::optional<MonotonicTime> crashedAt;
    const auto response = send("/draft/x", [&] {
        const auto engine = std::ranges::find_if(m_engines, [](const auto *candidate) { return candidate->isRunning("r1"); });
        ASSERT_NE(engine, m_engines.end());
        (*engine)->crash();
        crashedAt = monotonicNow();
        m_testBed.runUntil([&] { return atWork() > 0; });
    });
    ASSERT_TRUE(crashedAt);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
    EXPECT_EQ(response->body, eventsText(Events));
    EXPECT_EQ(m_engines[0]->copyOrders() + m_engines[1]->copyOrders() + m_engines[2]->copyOrders(), 0);
}

// Guards against an engine that refused connections during a cut, is reached again, and is not asked when it loses another response (review/7).
TEST_F(InterruptedRequests, EngineThatRefusedConnectionsIsAskedAgain)
{
    constexpr int MaxRequests = 16;
    ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    setBehaviour(StandInTarget::Behaviour::Detach);
    StandInTarget *refusing = nullptr;
    send("/draft/x", [&] {
        refusing = *std::ranges::find_if(m_engines, [](const auto *candidate) { return candidate->isRunning("r1"); });
        refusing->setRefusesConnections(true);
    });
    ASSERT_TRUE(refusing);
    ASSERT_TRUE(m_testBed.runUntil([&] { return atWork() == 0; }));
    refusing->setRefusesConnections(false);
    m_overlap = {};
    for (int count = 0; count < MaxRequests && refusing->runCount() < 2; ++count) {
        const auto response = send("/draft/x");
        EXPECT_EQ(response->body, eventsText(Events));
    }
    EXPECT_EQ(refusing->runCount(), 2);
    EXPECT_LT(m_overlap, MaxOverlap);
}
