#include "TestCaller.h"
#include "TestFleet.h"

#include <absl/strings/numbers.h>
#include <csignal>
#include <gtest/gtest.h>
#include <LibCore/TokenChecksum.h>
#include <LibGeneration/Cursor.h>
#include <StandIns/Engine/TokenSource.h>

namespace Jujube
{

namespace
{

const CursorCodec Codec({.key = "key", .previousKey = ""});

nlohmann::json draft(int length, const std::string &text = "A wedding inscription")
{
    return {{"model", "naqsh"}, {"prompt", text + " length=" + std::to_string(length)}, {"kind", "draft"}};
}

// Compares what arrived with what any engine produces for the generation named in the caller's last event id.
void expectWhole(const TestCaller &caller, const nlohmann::json &body)
{
    ASSERT_TRUE(caller.done().has_value()) << caller.problem().value_or("no last event").dump();
    const auto cursor = Codec.decode(caller.lastEventId());
    ASSERT_TRUE(cursor.ok());
    uint64_t seed = 0;
    ASSERT_TRUE(absl::SimpleHexAtoi(cursor->generation.substr(0, 16), &seed));
    const TokenSource source("naqsh", body.at("prompt").get<std::string>(), seed);
    const auto length = source.length(50'000);
    const auto tokens = caller.tokens();
    ASSERT_EQ(static_cast<int64_t>(tokens.size()), length);
    TokenChecksum checksum;
    for (int64_t i = 0; i < length; ++i) {
        ASSERT_EQ(tokens[static_cast<size_t>(i)], source.tokenAt(i)) << i;
        checksum.add(tokens[static_cast<size_t>(i)]);
    }
    EXPECT_EQ(caller.done()->at("count"), length);
    EXPECT_EQ(caller.done()->at("checksum"), checksum.hex());
}

std::string targetOf(const TestCaller &caller)
{
    return Codec.decode(caller.lastEventId()).value_or(Cursor {}).target;
}

} // namespace

// Guards against a draft that is lost, doubled or spliced when its engine is killed in the middle.
TEST(Streams, EngineKilledMidDraft)
{
    TestFleet fleet({.engines = 3, .gateways = 1});
    TestCaller caller(fleet.client());
    const auto body = draft(150);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(20)) << (caller.problem() ? caller.problem()->dump() : "no problem object") << " after " << caller.tokens().size();
    fleet.engine(targetOf(caller)).kill();
    caller.waitForEnd();
    expectWhole(caller, body);
}

// Guards against a draft that is lost or doubled when its gateway is killed and the caller comes back at another one.
TEST(Streams, GatewayKilledMidDraft)
{
    TestFleet fleet({.engines = 2, .gateways = 2});
    TestCaller caller(fleet.client());
    const auto body = draft(150);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(20));
    fleet.gateway(0).kill();
    caller.waitForEnd();
    EXPECT_FALSE(caller.done().has_value());
    caller.connect(fleet.gateway(1).address(), body);
    caller.waitForEnd();
    expectWhole(caller, body);
}

// Guards against a lost draft when gateway and engine die together, so that nobody has the tokens that were delivered.
TEST(Streams, GatewayAndEngineKilledMidDraft)
{
    TestFleet fleet({.engines = 2, .gateways = 2});
    TestCaller caller(fleet.client());
    const auto body = draft(150);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(20));
    fleet.gateway(0).kill();
    fleet.engine(targetOf(caller)).kill();
    caller.waitForEnd();
    caller.connect(fleet.gateway(1).address(), body);
    caller.waitForEnd();
    expectWhole(caller, body);
}

// Guards against resuming consuming what it reads: two callers that use the same event id both get the rest.
TEST(Streams, SameEventIdUsedTwice)
{
    TestFleet fleet({.engines = 2, .gateways = 2});
    TestCaller first(fleet.client());
    const auto body = draft(100);
    first.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(first.waitForTokens(10));
    first.disconnect();
    const auto had = first.tokens().size();
    TestCaller second(fleet.client());
    second.setLastEventId(first.lastEventId());
    first.connect(fleet.gateway(1).address(), body);
    // The second caller's indexes begin at the event id, so its tokens are compared by count only.
    HttpCall call {.method = "POST",
                   .url = "http://" + fleet.gateway(0).address() + "/v1/generations",
                   .headers = {{"Authorization", "Bearer paying-key"}, {"Last-Event-ID", second.lastEventId()}},
                   .body = body.dump(),
                   .totalTimeout = std::chrono::minutes(1)};
    const auto answer = fleet.client().call(call);
    first.waitForEnd();
    expectWhole(first, body);
    size_t repeated = 0;
    for (auto at = answer.body.find("event: token"); at != std::string::npos; at = answer.body.find("event: token", at + 1)) {
        ++repeated;
    }
    EXPECT_EQ(repeated, 100 - had);
}

// Guards against characters that are damaged when an engine's bytes are split within them.
TEST(Streams, BytesSplitWithinCharacters)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    fleet.setFaults(fleet.engine("engine-1").address(), {{"split_lines", true}});
    TestCaller caller(fleet.client());
    const auto body = draft(60);
    caller.connect(fleet.gateway(0).address(), body);
    caller.waitForEnd();
    expectWhole(caller, body);
}

// Guards against a connection that went silent for good: it is noticed by its deadline and resumed at the same target, without giving the target up.
TEST(Streams, SilentConnection)
{
    TestFleet fleet({.engines = 2, .gateways = 1, .gatewayArguments = {"--silence-timeout-ms", "1500"}});
    TestCaller caller(fleet.client());
    const auto body = draft(150);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(10));
    const auto target = targetOf(caller);
    fleet.setFaults(fleet.engine(target).address(), {{"silence", true}});
    caller.waitForEnd();
    expectWhole(caller, body);
    EXPECT_EQ(targetOf(caller), target);
    const auto names = fleet.eventNames(0);
    EXPECT_NE(std::find(names.begin(), names.end(), "target_silent"), names.end());
    EXPECT_EQ(std::find(names.begin(), names.end(), "target_lost"), names.end());
}

// Guards against a draft that is lost when an engine is frozen and wakes after its successor has taken over: its late lines must not be delivered.
TEST(Streams, FrozenEngineWakesBesideItsSuccessor)
{
    TestFleet fleet({.engines = 2, .gateways = 1, .gatewayArguments = {"--silence-timeout-ms", "300"}});
    TestCaller caller(fleet.client());
    const auto body = draft(300);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(10));
    const auto first = targetOf(caller);
    fleet.engine(first).signal(SIGSTOP);
    ASSERT_TRUE(caller.waitForTokens(100));
    fleet.engine(first).signal(SIGCONT);
    caller.waitForEnd();
    expectWhole(caller, body);
    EXPECT_NE(targetOf(caller), first);
}

// Guards against a draft that is lost when an engine is reclaimed at short notice, and against new work on an engine that has given notice (I7).
TEST(Streams, EngineReclaimedAtShortNotice)
{
    TestFleet fleet({.engines = 2, .gateways = 1});
    TestCaller caller(fleet.client());
    const auto body = draft(200);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(10));
    const auto first = targetOf(caller);
    fleet.setFaults(fleet.engine(first).address(), {{"leave", true}, {"notice_ms", 1500}});
    ASSERT_TRUE(TestFleet::waitFor([&] {
        const auto names = fleet.eventNames(0);
        return std::find(names.begin(), names.end(), "target_leaving") != names.end();
    }));
    TestCaller second(fleet.client());
    second.connect(fleet.gateway(0).address(), draft(20));
    second.waitForEnd();
    expectWhole(second, draft(20));
    EXPECT_NE(targetOf(second), first);
    caller.waitForEnd();
    expectWhole(caller, body);
}

// Guards against tokens lost or doubled when an engine runs out of memory and preempts and recomputes generations.
TEST(Streams, EngineOutOfMemoryMidway)
{
    TestFleet fleet(
        {.engines = 1, .gateways = 1, .engineArguments = {"--memory-tokens", "700", "--step-ms", "5"}, .gatewayArguments = {"--policy", "round-robin"}});
    std::vector<std::unique_ptr<TestCaller>> callers;
    const auto body = draft(250);
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<TestCaller>(fleet.client()));
        callers.back()->connect(fleet.gateway(0).address(), body);
    }
    for (const auto &caller : callers) {
        caller->waitForEnd();
        expectWhole(*caller, body);
    }
    EXPECT_GT(fleet.getJson(fleet.engine("engine-1").address(), "/load").at("preemptions"), 0);
}

// Guards against delivering part of a draft that no other engine can continue: delivery waits for the end, and a loss before it stays unseen.
TEST(Streams, HeldBackDraftSurvivesItsEngine)
{
    TestFleet fleet({.engines = 2, .gateways = 1, .continuation = "none"});
    TestCaller caller(fleet.client());
    const auto body = draft(100);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(TestFleet::waitFor([&] { return !caller.lastEventId().empty(); }));
    const auto first = targetOf(caller);
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet.getJson(fleet.engine(first).address(), "/load").value("memory_used", 0) > 20; }));
    EXPECT_TRUE(caller.tokens().empty());
    fleet.engine(first).kill();
    caller.waitForEnd();
    expectWhole(caller, body);
}

// Guards against reading another workspace's draft with its event id, and against event ids that were made up.
TEST(Streams, ForeignAndForgedEventIds)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    TestCaller owner(fleet.client());
    const auto body = draft(30);
    owner.connect(fleet.gateway(0).address(), body);
    owner.waitForEnd();
    expectWhole(owner, body);
    for (const auto &id : {owner.lastEventId(), std::string("made-up"), std::string("AAAA")}) {
        TestCaller thief(fleet.client());
        thief.setLastEventId(id);
        thief.connect(fleet.gateway(0).address(), body, "other-key");
        thief.waitForEnd();
        EXPECT_TRUE(thief.tokens().empty());
        ASSERT_TRUE(thief.problem().has_value());
        EXPECT_EQ(thief.problem()->at("kind"), "invalid_cursor");
    }
}

// Guards against a graceful shutdown that cuts a draft, and against a gateway that goes on taking work: callers that keep its address are truly refused (I8).
TEST(Streams, GracefulShutdownCutsNoDraft)
{
    TestFleet fleet({.engines = 2, .gateways = 2});
    TestCaller caller(fleet.client());
    const auto body = draft(200);
    caller.connect(fleet.gateway(0).address(), body);
    ASSERT_TRUE(caller.waitForTokens(10));
    fleet.gateway(0).signal(SIGTERM);
    ASSERT_TRUE(TestFleet::waitFor([&] { return fleet.client().call({.url = "http://" + fleet.gateway(0).address() + "/readyz"}).status == 503; }));
    TestCaller late(fleet.client());
    late.connect(fleet.gateway(0).address(), draft(5));
    late.waitForEnd();
    ASSERT_TRUE(late.problem().has_value());
    EXPECT_EQ(late.problem()->at("kind"), "draining");
    EXPECT_EQ(late.problem()->at("ran"), "no");
    caller.waitForEnd();
    expectWhole(caller, body);
    EXPECT_EQ(fleet.gateway(0).wait(), 0);
}

// Guards against a request that crashes one target after the other while its caller sends it again under new keys at several gateways, and against innocent
// requests that shared a crashed engine and are not served.
TEST(Streams, RequestThatCrashesTargets)
{
    TestFleet fleet({.engines = 4, .gateways = 2});
    for (int i = 1; i <= 4; ++i) {
        fleet.setFaults(fleet.engine("engine-" + std::to_string(i)).address(), {{"crash_on_prompt", "poison"}});
    }
    std::vector<std::unique_ptr<TestCaller>> innocent;
    std::vector<nlohmann::json> bodies;
    for (int i = 0; i < 4; ++i) {
        bodies.push_back(draft(200, "innocent " + std::to_string(i)));
        innocent.push_back(std::make_unique<TestCaller>(fleet.client()));
        innocent.back()->connect(fleet.gateway(static_cast<size_t>(i) % 2).address(), bodies.back());
        ASSERT_TRUE(innocent.back()->waitForTokens(5));
    }
    const auto poison = draft(50, "poison");
    int crashes = 0;
    for (size_t i = 0; i < 4; ++i) {
        TestCaller caller(fleet.client());
        caller.connect(fleet.gateway(i % 2).address(), poison, "paying-key", {{"Idempotency-Key", "key-" + std::to_string(i)}});
        caller.waitForEnd();
        EXPECT_FALSE(caller.done().has_value());
        ASSERT_TRUE(caller.problem().has_value());
        if (i >= 1) {
            EXPECT_EQ(caller.problem()->at("kind"), "request_crashes_targets");
            EXPECT_GT(caller.problem()->value("retry_after_s", 0), 0);
        }
    }
    for (int i = 1; i <= 4; ++i) {
        const auto answer = fleet.client().call({.url = "http://" + fleet.engine("engine-" + std::to_string(i)).address() + "/load"});
        crashes += answer.isSuccess() ? 0 : 1;
    }
    EXPECT_LE(crashes, 3);
    for (size_t i = 0; i < innocent.size(); ++i) {
        innocent[i]->waitForEnd();
        expectWhole(*innocent[i], bodies[i]);
    }
}
} // namespace Jujube
