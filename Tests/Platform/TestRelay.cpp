#include "RelayWorld.h"

#include <absl/strings/match.h>
#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Bound within which a change in the store is in force.
constexpr auto InForce = 2500ms;

std::string eventsText(int last)
{
    std::string text;
    for (int id = 1; id <= last; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: text\n\n";
    }
    return text;
}

// More than a few events of a stand-in's stream.
constexpr size_t SomeEventsBytes = 100;

// Begins a stream at the relay "n1" and waits until some events have arrived, or for the time of runUntil().
std::pair<std::shared_ptr<RelayWorld::Answer>, std::shared_ptr<TargetChannel>> startStream(RelayWorld &world, const std::string &path)
{
    const auto answer = std::make_shared<RelayWorld::Answer>();
    const auto channel = world.begin("n1", {.path = path}, answer);
    world.runUntil([&] { return answer->body.size() > SomeEventsBytes; });
    return {answer, channel};
}

} // namespace

// Guards against a path on which anything of a request or an answer is lost or added.
TEST(Relay, RequestsReachTargetsAndAnswersComeBackUnchanged)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &desk = world.addServer("i-desk", "desk");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto answer = world.call("n1",
                                   {.path = "/commit/x%2Fy?z=1",
                                    .id = "r7",
                                    .fields = {{.name = "X-Tenant", .value = "forged"},
                                               {.name = "X-Hold", .value = "forged"},
                                               {.name = "Connection", .value = "X-Private"},
                                               {.name = "X-Private", .value = "1"},
                                               {.name = "X-Own", .value = "kept"}}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "the whole answer");
    EXPECT_EQ(answer.head.value("X-Server-Seal"), "i-desk.seal");
    ASSERT_EQ(desk.heads().size(), 1U);
    const auto &head = desk.heads()[0];
    EXPECT_EQ(head.target, "/commit/x%2Fy?z=1");
    EXPECT_EQ(head.value("X-Attempt-Id"), "r7");
    EXPECT_EQ(head.value("X-Tenant"), "workspace-1");
    EXPECT_EQ(head.value("X-Own"), "kept");
    EXPECT_FALSE(head.has("Authorization"));
    EXPECT_FALSE(head.has("X-Hold"));
    EXPECT_FALSE(head.has("X-Private"));
    EXPECT_LE(std::stoi(std::string(head.value("X-Deadline-Ms"))), 3000);
}

// Guards against requests without a route or a key that reach a target, and against 404 from a node that knows no document yet.
TEST(Relay, UnknownRoutesAndKeysAreRefused)
{
    RelayWorld world;
    auto &desk = world.addServer("i-desk", "desk");
    world.addRelay("n1");
    world.runFor(200ms);
    EXPECT_EQ(world.readiness("n1"), 503);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x"}).status, 503);
    world.writeDocument(1);
    ASSERT_TRUE(world.waitReady("n1"));
    EXPECT_EQ(world.call("n1", {.path = "/nothing/x"}).status, 404);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .key = "wrong"}).status, 401);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .key = ""}).status, 401);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = ""}).status, 400);
    EXPECT_EQ(desk.runCount(), 0);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x"}).status, 200);
}

// Guards against a one-time call that runs twice when its answer is lost, cut or mixed up.
TEST(Relay, OneTimeCallsRunOnce)
{
    for (const auto behaviour : {StandInServer::Behaviour::LoseAnswer, StandInServer::Behaviour::Truncate, StandInServer::Behaviour::WrongAnswer}) {
        RelayWorld world;
        world.writeDocument(1);
        auto &first = world.addServer("i-1", "desk");
        auto &second = world.addServer("i-2", "desk");
        first.setBehaviour(behaviour);
        second.setBehaviour(behaviour);
        world.addRelay("n1");
        ASSERT_TRUE(world.waitReady("n1"));
        const auto answer = world.call("n1", {.path = "/commit/x"});
        EXPECT_EQ(answer.status, 502);
        EXPECT_EQ(first.runCount() + second.runCount(), 1);
    }
}

// Guards against a repeatable call that fails with one target although another one is sound.
TEST(Relay, RepeatableCallsGoElsewhere)
{
    for (const auto behaviour : {StandInServer::Behaviour::LoseAnswer,
                                 StandInServer::Behaviour::Truncate,
                                 StandInServer::Behaviour::WrongAnswer,
                                 StandInServer::Behaviour::Fail,
                                 StandInServer::Behaviour::Full}) {
        RelayWorld world;
        world.writeDocument(1);
        world.addServer("i-1", "desk").setBehaviour(behaviour);
        world.addServer("i-2", "desk");
        world.addRelay("n1");
        ASSERT_TRUE(world.waitReady("n1"));
        for (int count = 0; count < 4; ++count) {
            const auto answer = world.call("n1", {.path = "/status/x", .id = "r" + std::to_string(count), .method = "GET"});
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(answer.body, "the whole answer");
        }
    }
}

// Guards against a refusal that says "not run" although a target may have run the request.
TEST(Relay, FullTargetsMakeATrueRefusal)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &desk = world.addServer("i-1", "desk");
    desk.setBehaviour(StandInServer::Behaviour::Full);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto answer = world.call("n1", {.path = "/commit/x"});
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.head.has("Retry-After"));
    EXPECT_EQ(desk.runCount(), 0);
}

// Guards against requests that are held past their route's timeout.
TEST(Relay, HangingTargetEndsWithTheTimeout)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &desk = world.addServer("i-1", "desk");
    desk.setBehaviour(StandInServer::Behaviour::Hang);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    EXPECT_EQ(world.call("n1", {.path = "/commit/x"}).status, 504);
    EXPECT_TRUE(world.runUntil([&] { return desk.activeCount() == 0; }));
}

// Guards against targets that go on working for a caller who has left.
TEST(Relay, TargetStopsWhenTheCallerLeaves)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &engine = world.addServer("i-1", "engine", 1000);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto [answer, channel] = startStream(world, "/draft/x");
    ASSERT_GT(answer->body.size(), SomeEventsBytes);
    channel->abort();
    EXPECT_TRUE(world.runUntil([&] { return engine.activeCount() == 0; }));
}

// Guards against a draft that is lost, joined with another run or run twice when its engine is taken away.
TEST(Relay, DraftMovesWithItsMemoryWhenItsEngineLeaves)
{
    // Some 2 s; the route allows 3 s.
    constexpr int Events = 180;
    RelayWorld world;
    world.writeDocument(1);
    auto &first = world.addServer("i-1", "engine", Events);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto [answer, channel] = startStream(world, "/draft/x");
    ASSERT_GT(answer->body.size(), SomeEventsBytes);
    auto &second = world.addServer("i-2", "engine", Events);
    world.runFor(700ms);
    world.registerServer("i-1", "draining");
    ASSERT_TRUE(world.runUntil([&] { return answer->end != ChannelEnd::NotSent; }));
    EXPECT_EQ(answer->end, ChannelEnd::Complete);
    EXPECT_TRUE(answer->body == eventsText(Events)) << answer->body.size() << " bytes";
    EXPECT_EQ(answer->head.value("X-Server-Seal"), "i-1.seal");
    EXPECT_EQ(first.runCount(), 1);
    EXPECT_EQ(second.runCount(), 0);
    EXPECT_EQ(second.continuations(), 1);
}

// Guards against a draft that is lost because the link to the destination of its move went silent after the copy.
TEST(Relay, DraftReturnsWhenTheDestinationIsSilent)
{
    constexpr int Events = 120;
    RelayWorld world;
    world.writeDocument(1);
    auto &first = world.addServer("i-1", "engine", Events);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto [answer, channel] = startStream(world, "/draft/x");
    auto &second = world.addServer("i-2", "engine", Events);
    second.setBehaviour(StandInServer::Behaviour::Hang);
    world.runFor(300ms);
    world.registerServer("i-1", "draining");
    ASSERT_TRUE(world.runUntil([&] { return answer->end != ChannelEnd::NotSent; }));
    EXPECT_EQ(answer->end, ChannelEnd::Complete);
    EXPECT_TRUE(answer->body == eventsText(Events)) << answer->body.size() << " bytes";
    EXPECT_EQ(second.continuations(), 1);
    EXPECT_EQ(first.continuations(), 1);
    EXPECT_EQ(second.activeCount(), 0U);
}

// Guards against drafts that are lost because their engine's leaving cannot be learnt from the store while it is away.
TEST(Relay, EngineTellsThatItLeavesWhileTheStoreIsAway)
{
    constexpr int Events = 400;
    RelayWorld world;
    world.writeDocument(1);
    auto &first = world.addServer("i-1", "engine", Events);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto [answer, channel] = startStream(world, "/draft/x");
    ASSERT_GT(answer->body.size(), SomeEventsBytes);
    auto &second = world.addServer("i-2", "engine", Events);
    world.runFor(300ms);
    world.store->setFault(StandInStore::Fault::Silent);
    first.setLeaving();
    EXPECT_TRUE(world.runUntil([&] { return second.continuations() == 1; }));
    EXPECT_EQ(second.runCount(), 0);
}

// Guards against a request that crashes one engine after the other.
TEST(Relay, RequestThatCrashesTargetsIsRefused)
{
    RelayWorld world;
    world.writeDocument(1);
    std::vector<StandInServer *> engines;
    for (int index = 0; index < 5; ++index) {
        engines.push_back(&world.addServer("i-" + std::to_string(index), "engine", 1000));
    }
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    int status = 0;
    int crashes = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto answer = std::make_shared<RelayWorld::Answer>();
        const auto channel = world.begin("n1", {.path = "/draft/poison", .id = "r" + std::to_string(attempt)}, answer);
        world.runUntil([&] { return !answer->body.empty() || answer->status >= 400; });
        status = answer->status;
        for (auto *engine : engines) {
            if (engine->activeCount() > 0) {
                engine->crash();
                ++crashes;
            }
        }
        world.runFor(700ms);
    }
    EXPECT_EQ(status, 503);
    EXPECT_LE(crashes, 3);
}

// Guards against a short stream that is lost with its engine although it may be resumed.
TEST(Relay, ResumableStreamGoesOnAfterACrash)
{
    // Some 2 s; the route allows 3 s.
    constexpr int Events = 180;
    RelayWorld world;
    world.writeDocument(1);
    auto &first = world.addServer("i-1", "engine", Events);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto [answer, channel] = startStream(world, "/hint/x");
    ASSERT_GT(answer->body.size(), SomeEventsBytes);
    world.addServer("i-2", "engine", Events);
    world.runFor(700ms);
    first.crash();
    ASSERT_TRUE(world.runUntil([&] { return answer->end != ChannelEnd::NotSent; }));
    EXPECT_EQ(answer->end, ChannelEnd::Complete);
    EXPECT_TRUE(answer->body == eventsText(Events)) << answer->body.size() << " bytes";
}

// Guards against a stream that cannot be resumed and looks complete after its engine has crashed.
TEST(Relay, DraftOfACrashedEngineIsCut)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &engine = world.addServer("i-1", "engine", 1000);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto [answer, channel] = startStream(world, "/draft/x");
    ASSERT_GT(answer->body.size(), SomeEventsBytes);
    engine.crash();
    ASSERT_TRUE(world.runUntil([&] { return answer->end != ChannelEnd::NotSent; }));
    EXPECT_EQ(answer->end, ChannelEnd::Broken);
}

// Guards against new work for targets that leave, also where the entry only disappears.
TEST(Relay, LeavingTargetsGetNoNewWork)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &leaving = world.addServer("i-1", "desk");
    auto &removed = world.addServer("i-2", "desk");
    world.addServer("i-3", "desk");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    world.registerServer("i-1", "draining");
    world.unregisterServer("i-2");
    world.runFor(InForce);
    const int before = leaving.runCount() + removed.runCount();
    for (int count = 0; count < 10; ++count) {
        EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(count)}).status, 200);
    }
    EXPECT_EQ(leaving.runCount() + removed.runCount(), before);
}

// Guards against new work for a data centre that operators have taken out, and against one that never comes back.
TEST(Relay, DataCentreOutGetsNoNewWork)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &near = world.addServer("i-1", "desk");
    world.addServer("i-2", "desk", 0, "karachi");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    world.store->put("op", "evacuate/lahore", "{}");
    world.runFor(InForce);
    for (int count = 0; count < 5; ++count) {
        EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "a" + std::to_string(count)}).status, 200);
    }
    EXPECT_EQ(near.runCount(), 0);
    world.store->remove("op", "evacuate/lahore");
    world.runFor(InForce);
    for (int count = 0; count < 5; ++count) {
        world.call("n1", {.path = "/commit/x", .id = "b" + std::to_string(count)});
    }
    EXPECT_GT(near.runCount(), 0);
}

// Guards against a configuration that is not in force soon, and against a damaged or an older one that replaces it.
TEST(Relay, NewestReadableDocumentIsInForce)
{
    RelayWorld world;
    world.writeDocument(5, "key-1");
    world.addServer("i-1", "desk");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    world.writeDocument(6, "key-2");
    world.runFor(InForce);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .key = "key-1"}).status, 401);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .key = "key-2"}).status, 200);
    world.store->put("op", "config", "{damaged");
    world.runFor(InForce);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "r2", .key = "key-2"}).status, 200);
    world.writeDocument(4, "key-1");
    world.runFor(InForce);
    EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "r3", .key = "key-1"}).status, 401);
}

// Guards against a node that stops serving with the store, or forgets targets whose entries are still there when the store has lost its history.
TEST(Relay, ServesWhileTheStoreIsAway)
{
    for (const auto fault : {StandInStore::Fault::Silent, StandInStore::Fault::Busy, StandInStore::Fault::Reset}) {
        RelayWorld world;
        world.writeDocument(1);
        world.addServer("i-1", "desk");
        world.addRelay("n1");
        ASSERT_TRUE(world.waitReady("n1"));
        world.store->setFault(fault);
        world.runFor(1500ms);
        EXPECT_EQ(world.call("n1", {.path = "/commit/x"}).status, 200);
        world.store->setFault(StandInStore::Fault::None);
        world.store->forgetHistory();
        world.runFor(2500ms);
        EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "r2"}).status, 200);
    }
}

// Guards against a node that starts while the store is away and knows nothing although its peers do.
TEST(Relay, StartsFromItsPeersWhileTheStoreIsAway)
{
    RelayWorld world;
    world.writeDocument(3);
    world.addServer("i-1", "desk");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    world.store->setFault(StandInStore::Fault::Busy);
    world.addRelay("n2");
    ASSERT_TRUE(world.waitReady("n2"));
    EXPECT_TRUE(world.runUntil([&] { return world.call("n2", {.path = "/commit/x", .id = "r9"}).status == 200; }));
}

// Guards against every node paying for the same reads, and against nodes that do not learn of changes by the readers.
TEST(Relay, FewRelaysReadAndAllKnow)
{
    RelayWorld world;
    world.writeDocument(1);
    world.addServer("i-1", "desk");
    for (const auto *node : {"n1", "n2", "n3", "n4", "n5"}) {
        world.addRelay(node);
    }
    ASSERT_TRUE(world.waitReady("n5"));
    world.runFor(3000ms);
    const int before = world.store->calls();
    world.runFor(3000ms);
    // Two readers with a held read of 1 s and one of 3 s each make about eight calls in 3 s.
    EXPECT_LE(world.store->calls() - before, 12);
    auto &added = world.addServer("i-2", "desk");
    world.registerServer("i-1", "draining");
    world.writeDocument(2, "key-2");
    world.runFor(InForce);
    for (const auto *node : {"n1", "n2", "n3", "n4", "n5"}) {
        EXPECT_EQ(world.call(node, {.path = "/commit/x", .id = node, .key = "key-2"}).status, 200) << node;
    }
    EXPECT_EQ(added.runCount(), 5);
}

// Guards against callers that are sent to a node that shuts down, and against requests that are cut by the shutdown.
TEST(Relay, GracefulShutdownEndsWhatItHasBegun)
{
    constexpr int Events = 50;
    RelayWorld world;
    world.writeDocument(1);
    world.addServer("i-1", "engine", Events);
    world.addServer("i-2", "desk");
    auto &relay = world.addRelay("n1");
    world.addRelay("n2");
    ASSERT_TRUE(world.waitReady("n1"));
    ASSERT_TRUE(world.waitReady("n2"));
    world.runFor(1000ms);
    const auto both = world.directory("n2");
    const auto [answer, channel] = startStream(world, "/draft/x");
    ASSERT_GT(answer->body.size(), SomeEventsBytes);
    relay.drain();
    EXPECT_EQ(world.readiness("n1"), 503);
    // A short call is still served, on a channel that ends with it.
    const auto late = world.call("n1", {.path = "/commit/x", .id = "late"});
    EXPECT_EQ(late.status, 200);
    EXPECT_EQ(late.head.value("Connection"), "close");
    world.runFor(500ms);
    EXPECT_LT(world.directory("n2").size(), both.size());
    ASSERT_TRUE(world.runUntil([&] { return answer->end != ChannelEnd::NotSent; }));
    EXPECT_EQ(answer->end, ChannelEnd::Complete);
    EXPECT_TRUE(answer->body == eventsText(Events)) << answer->body.size() << " bytes";
}

// Guards against a server of another service that gets a request at a reused address.
TEST(Relay, TargetsAreNamedInEachRequest)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &desk = world.addServer("i-1", "desk");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    world.call("n1", {.path = "/commit/x"});
    ASSERT_EQ(desk.heads().size(), 1U);
    EXPECT_EQ(desk.heads()[0].value("X-Expect-Instance"), "i-1");
}

// Guards against entries of other writers that take the sound ones with them.
TEST(Relay, UnreadableEntriesHarmNothing)
{
    RelayWorld world;
    world.writeDocument(1);
    world.addServer("i-1", "desk");
    world.store->put("servers", "broken", "\xff\xfe");
    world.store->put("servers", "odd", R"({"service":"desk","address":"nowhere","zone":"lahore","slots":1,"state":"ready"})");
    world.store->put("servers", "typed", R"({"service":"desk","address":7,"zone":"lahore","slots":1,"state":"ready"})");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    for (int count = 0; count < 5; ++count) {
        EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(count)}).status, 200);
    }
}

// Guards against requests that go on reaching a target which has said in an answer that it leaves, although the list calls it ready.
TEST(Relay, TargetThatSaysItLeavesGetsNothingMore)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &leaving = world.addServer("i-1", "desk");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    leaving.setSaysLeaving();
    EXPECT_EQ(world.call("n1", {.path = "/commit/x"}).status, 200);
    auto &other = world.addServer("i-2", "desk");
    world.registerServer("i-1", "ready");
    ASSERT_TRUE(world.runUntil([&] { return other.runCount() > 0 || world.call("n1", {.path = "/commit/x", .id = "probe"}).status == 200; }, InForce));
    for (int count = 0; count < 10; ++count) {
        world.registerServer("i-1", "ready");
        EXPECT_EQ(world.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(count)}).status, 200);
    }
    EXPECT_EQ(leaving.runCount(), 1);
    EXPECT_EQ(other.runCount(), 11);
}

// Guards against a target that asked to be left alone and is asked all the same, and against refusals that send callers back too early.
TEST(Relay, TargetThatAsksForItIsLeftAlone)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &desk = world.addServer("i-1", "desk");
    desk.setBehaviour(StandInServer::Behaviour::Full);
    desk.setRetryAfter("1.5");
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    for (int count = 0; count < 5; ++count) {
        const auto answer = world.call("n1", {.path = "/status/x", .id = "r" + std::to_string(count), .method = "GET", .body = ""});
        EXPECT_EQ(answer.status, 503);
        EXPECT_GE(std::stod(std::string(answer.head.value("Retry-After"))), 1.0);
    }
    EXPECT_EQ(desk.heads().size(), 1U);
    desk.setBehaviour(StandInServer::Behaviour::Answer);
    world.runFor(1600ms);
    EXPECT_EQ(world.call("n1", {.path = "/status/x", .id = "later", .method = "GET", .body = ""}).status, 200);
}

// Guards against a stream that sends a byte now and then and is kept open although it makes no progress.
TEST(Relay, StreamWithoutProgressGoesOnElsewhere)
{
    RelayWorld world;
    world.writeDocument(1);
    auto &stalled = world.addServer("i-1", "engine", 5);
    stalled.setBehaviour(StandInServer::Behaviour::Drip);
    world.addRelay("n1");
    ASSERT_TRUE(world.waitReady("n1"));
    const auto answer = std::make_shared<RelayWorld::Answer>();
    const auto channel = world.begin("n1", {.path = "/hint/x"}, answer);
    ASSERT_TRUE(world.runUntil([&] { return !answer->body.empty(); }));
    world.addServer("i-2", "engine", 5);
    ASSERT_TRUE(world.runUntil([&] { return answer->end == ChannelEnd::Complete; }));
    EXPECT_EQ(answer->body, eventsText(5));
}
