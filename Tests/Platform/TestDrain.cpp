#include "RelayTestBed.h"

#include <absl/strings/numbers.h>
#include <gtest/gtest.h>
#include <thread>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Time of a route for long generations, far longer than the grace period.
constexpr auto LongTimeout = 39s;

// Whether a request got its final response: the target's whole response, or one of the relay's own.
bool isAnswered(const RelayTestBed::Response &response)
{
    return response.end == ChannelEnd::Complete && response.status > 0;
}

// The time that callers usually give.
const HeaderField ShortDeadline {.name = "X-Deadline-Ms", .value = "3000"};
const HeaderField LongDeadline {.name = "X-Deadline-Ms", .value = "39000"};

// Keeps a relay from exiting early because it is idle, with a generation that lasts longer than the grace period.
class RunningGeneration
{
public:
    explicit RunningGeneration(RelayTestBed &testBed)
        : m_testBed(testBed)
    {
        constexpr int Events = 2000;
        m_testBed.addTarget("i-running", "engine", Events);
    }

    void begin()
    {
        m_channel = m_testBed.begin("n1", {.path = "/draft/running", .id = "running", .fields = {LongDeadline}}, m_response);
        m_testBed.runUntil([this] { return !m_response->body.empty(); });
    }

private:
    RelayTestBed &m_testBed;
    const std::shared_ptr<RelayTestBed::Response> m_response = std::make_shared<RelayTestBed::Response>();
    std::shared_ptr<TargetChannel> m_channel;
};

// Begins a request and runs the loop until it has ended.
RelayTestBed::Response callUntilEnd(RelayTestBed &testBed, const RelayTestBed::Request &request)
{
    return testBed.call("n1", request, 15s);
}

bool isRejectedAsNotRun(const RelayTestBed::Response &response)
{
    double retryAfter = 0;
    return response.status == 503 && absl::SimpleAtod(std::string(response.head.value("Retry-After")), &retryAfter);
}

} // namespace

// Guards against a generation that is taken during a graceful shutdown because of its estimated length, takes longer, and is cut at the end of the grace
// period.
TEST(Drain, GenerationThatTakesLongerThanEstimatedIsNotCut)
{
    RelayTestBed testBed;
    testBed.writeDocument(1, "key-1", LongTimeout);
    RunningGeneration running(testBed);
    auto &relay = testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    running.begin();
    relay.drain();
    testBed.runFor(3100ms);
    const auto response = callUntilEnd(testBed, {.path = "/draft/x", .fields = {LongDeadline}});
    EXPECT_TRUE(isAnswered(response)) << response.status << " and " << response.body.size() << " bytes";
    EXPECT_TRUE(isRejectedAsNotRun(response));
}

// Guards against a one-time request that is taken late in the grace period, outlasts it, and ends without a response although it may have run.
TEST(Drain, OneTimeRequestTakenLateIsNotCut)
{
    RelayTestBed testBed;
    testBed.writeDocument(1, "key-1", LongTimeout);
    RunningGeneration running(testBed);
    auto &desk = testBed.addTarget("i-1", "desk", 0, "lahore", 2500ms);
    auto &relay = testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    running.begin();
    relay.drain();
    testBed.runFor(5500ms);
    const auto response = callUntilEnd(testBed, {.path = "/commit/x", .fields = {ShortDeadline}});
    EXPECT_TRUE(isAnswered(response)) << response.status;
    EXPECT_TRUE(isRejectedAsNotRun(response));
    EXPECT_EQ(desk.runCount(), 0);
}

// Guards against graceful shutdowns that turn away what can end in time.
TEST(Drain, RequestThatEndsBeforeTheStopIsServed)
{
    RelayTestBed testBed;
    testBed.writeDocument(1, "key-1", LongTimeout);
    RunningGeneration running(testBed);
    testBed.addTarget("i-1", "desk", 0, "lahore", 1000ms);
    auto &relay = testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    running.begin();
    relay.drain();
    testBed.runFor(3500ms);
    EXPECT_EQ(callUntilEnd(testBed, {.path = "/commit/x", .fields = {ShortDeadline}}).status, 200);
}

// Guards against requests that end without any response because the process stops while their target is still at work.
TEST(Drain, RequestsThatOutlastTheGracePeriodGetAResponse)
{
    RelayTestBed testBed;
    testBed.writeDocument(1, "key-1", LongTimeout);
    testBed.addTarget("i-1", "desk").setBehaviour(StandInTarget::Behaviour::Hang);
    auto &relay = testBed.addRelay("n1", 4s);
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    const auto oneTime = std::make_shared<RelayTestBed::Response>();
    const auto repeatable = std::make_shared<RelayTestBed::Response>();
    const auto first = testBed.begin("n1", {.path = "/commit/x", .id = "r1", .fields = {LongDeadline}}, oneTime);
    const auto second = testBed.begin("n1", {.path = "/status/x", .id = "r2", .method = "GET", .fields = {LongDeadline}}, repeatable);
    testBed.runFor(300ms);
    relay.drain();
    testBed.runFor(4s);
    // The target may have run both, so that no promise is possible.
    EXPECT_TRUE(isAnswered(*oneTime)) << oneTime->status;
    EXPECT_EQ(oneTime->status, 504);
    EXPECT_TRUE(isAnswered(*repeatable)) << repeatable->status;
    EXPECT_EQ(repeatable->status, 504);
}

// Guards against last responses that are made in the moment of the exit and never written, because the loop was held up until then.
TEST(Drain, ResponsesAtTheStopAreWrittenBeforeTheExit)
{
    RelayTestBed testBed;
    testBed.writeDocument(1, "key-1", LongTimeout);
    testBed.addTarget("i-1", "desk").setBehaviour(StandInTarget::Behaviour::Hang);
    auto &relay = testBed.addRelay("n1", 2s);
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    const auto response = std::make_shared<RelayTestBed::Response>();
    const auto channel = testBed.begin("n1", {.path = "/commit/x", .fields = {LongDeadline}}, response);
    testBed.runFor(300ms);
    relay.drain();
    testBed.runFor(1200ms);
    std::this_thread::sleep_for(700ms);
    // Ends when the relay stops the loop.
    testBed.runFor(2s);
    EXPECT_EQ(response->status, 504);
}

// Guards against a shorter grace period in reloaded settings that cuts what was taken before it.
TEST(Drain, ReloadedSettingsDoNotShortenTheGracePeriod)
{
    RelayTestBed testBed;
    testBed.writeDocument(1);
    testBed.addTarget("i-1", "desk", 0, "lahore", 2500ms);
    auto &relay = testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    relay.drain();
    const auto response = std::make_shared<RelayTestBed::Response>();
    const auto channel = testBed.begin("n1", {.path = "/commit/x"}, response);
    testBed.runFor(500ms);
    testBed.changedSettings("n1").grace = 2s;
    relay.reloadSettings();
    testBed.runFor(3s);
    EXPECT_TRUE(isAnswered(*response)) << response->status;
    EXPECT_EQ(response->status, 200);
}
