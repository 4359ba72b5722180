#include "RolloutTestBed.h"

#include <gtest/gtest.h>
#include <LibRelay/RolloutStatusReport.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> ThreeRelays {"n1", "n2", "n3"};
// A whole rollout of a plain service with the shortest useful duration, and time for the machine to be slow.
constexpr double ShortSeconds = 4;
constexpr auto LongEnough = 15s;

// Three relays, and three old desks that serve requests. The new ones are started with the order.
bool startDesks(RolloutTestBed &testBed, const std::vector<std::string> &relays = ThreeRelays)
{
    testBed.addDesks("v1");
    const bool isReady = testBed.startRelays(relays);
    testBed.startTraffic("/status/x", 8ms);
    return isReady;
}

void orderNewDesks(RolloutTestBed &testBed, double seconds = ShortSeconds)
{
    testBed.order("desk", "v2", seconds);
    testBed.addDesks("v2");
}

// Checks that a version gets nothing any more.
void expectIdle(RolloutTestBed &testBed, const std::string &service, const std::string &version)
{
    const auto before = testBed.arrived(service, version);
    testBed.testBed.runFor(500ms);
    EXPECT_EQ(testBed.arrived(service, version), before);
}

} // namespace

// Guards against a good version that is not completed in time, and against a status that says so while old targets still get requests or run some.
TEST(Rollouts, GoodVersionIsCompletedWhenTheOldOneIsIdle)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.testBed.runFor(1500ms);
    const auto report = RolloutStatusReport::parse(testBed.testBed.rollouts("n1"));
    ASSERT_TRUE(report.ok() && report->size() == 1);
    EXPECT_EQ(report->front().stage, RolloutStage::Trial);
    EXPECT_GT(report->front().requests, report->front().newRequests);
    EXPECT_GT(report->front().responses, 0);
    EXPECT_GT(testBed.arrived("desk", "v2"), 0);
    EXPECT_GT(testBed.arrived("desk", "v1"), 5 * testBed.arrived("desk", "v2"));
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["desk"], 0U);
    expectIdle(testBed, "desk", "v1");
    EXPECT_EQ(testBed.statuses("desk").front(), "in_progress v2");
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against a version that fails and gets more than its share, or any request after it has been rolled back.
TEST(Rollouts, FailingVersionIsRolledBack)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 20);
    testBed.setDefect("desk", "v2", {.part = 0.5, .fails = true});
    ASSERT_TRUE(testBed.waitForStatus("desk", "rolled_back v2", LongEnough));
    EXPECT_LT(testBed.arrived("desk", "v2"), 60);
    expectIdle(testBed, "desk", "v2");
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against a version that only is several times slower and takes over all requests.
TEST(Rollouts, SlowVersionIsRolledBack)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 20);
    testBed.setDefect("desk", "v2", {.slowdown = 16});
    ASSERT_TRUE(testBed.waitForStatus("desk", "rolled_back v2", LongEnough));
    expectIdle(testBed, "desk", "v2");
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against a rollout that stops when the relay that coordinates it dies during the trial.
TEST(Rollouts, TrialGoesOnWithoutItsCoordinator)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 7);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.kill("n1");
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["desk"], 0U);
    expectIdle(testBed, "desk", "v1");
}

// Guards against a new coordinator that completes a rollout while another relay's stream is on an old engine.
TEST(Rollouts, SwitchGoesOnWithoutItsCoordinator)
{
    RolloutTestBed testBed;
    testBed.changeOptions = [](RelayOptions &options) { options.rollouts.migratesRuns = false; };
    testBed.addEngines("v1", 700);
    ASSERT_TRUE(testBed.startRelays(ThreeRelays));
    const auto response = std::make_shared<RelayTestBed::Response>();
    const auto channel = testBed.testBed.begin("n3", {.path = "/draft/x", .fields = {{.name = "X-Deadline-Ms", .value = "20000"}}}, response);
    testBed.order("engine", "v2", 3);
    testBed.addEngines("v2", 10);
    ASSERT_TRUE(testBed.waitForStage("engine", "switching", 6s));
    testBed.kill("n1");
    testBed.testBed.runUntil([&] { return response->end != ChannelEnd::NotSent; }, LongEnough);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
    ASSERT_TRUE(testBed.waitForStatus("engine", "completed v2", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["engine"], 0U);
}

// Guards against a status that stays in progress because the coordinator died after it had begun to roll back.
TEST(Rollouts, ReversalGoesOnWithoutItsCoordinator)
{
    RolloutTestBed testBed;
    // A relay that hears fewer than half of the others ends no rollout.
    ASSERT_TRUE(startDesks(testBed, {"n1", "n2", "n3", "n4"}));
    orderNewDesks(testBed, 20);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    // A relay that does not report keeps the rollout from ending before the coordinator dies.
    testBed.setFrozen("n3", true);
    testBed.setDefect("desk", "v2", {.fails = true});
    ASSERT_TRUE(testBed.waitForStage("desk", "reverting", LongEnough));
    testBed.kill("n1");
    EXPECT_EQ(testBed.status("desk"), "in_progress v2");
    ASSERT_TRUE(testBed.waitForStatus("desk", "rolled_back v2", LongEnough));
    expectIdle(testBed, "desk", "v2");
}

// Guards against relays that take a step twice, or none, because a write got no response or was done seconds later.
TEST(Rollouts, WritesWithoutAResponseAreReadBack)
{
    using Fault = StandInStore::TransactionFault;
    for (const auto delay : {0ms, 1500ms}) {
        RolloutTestBed testBed;
        ASSERT_TRUE(startDesks(testBed));
        testBed.testBed.store->setTransactionFault({.response = Fault::Response::Silent, .delay = delay, .count = 1});
        orderNewDesks(testBed);
        ASSERT_TRUE(testBed.waitForStage("desk", "trial", 4s));
        testBed.testBed.store->setTransactionFault({.response = Fault::Response::Reset, .delay = delay, .count = 1});
        ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough)) << delay.count();
        EXPECT_EQ(testBed.runningAtCompletion["desk"], 0U);
        expectIdle(testBed, "desk", "v1");
        // A late write finds its condition unmet.
        testBed.testBed.runFor(delay);
        EXPECT_EQ(testBed.status("desk"), "completed v2");
        EXPECT_EQ(testBed.failures(), 0);
    }
}

// Guards against requests that go on to a version on trial when its plan cannot be confirmed any more, and against a rollout that does not recover.
TEST(Rollouts, TrialIsSuspendedWhileTheStoreIsAway)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 9);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.testBed.store->setFault(StandInStore::Fault::Silent);
    testBed.testBed.runFor(3s);
    expectIdle(testBed, "desk", "v2");
    testBed.testBed.store->setFault(StandInStore::Fault::None);
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["desk"], 0U);
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against a relay that was stopped while the others completed a rollout, and goes on to send requests to the old version.
TEST(Rollouts, RelayThatWasStoppedDoesNotReturnToTheOldVersion)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.setFrozen("n3", true);
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    const auto before = testBed.arrived("desk", "v1");
    testBed.setFrozen("n3", false);
    testBed.testBed.runFor(1s);
    EXPECT_EQ(testBed.arrived("desk", "v1"), before);
    EXPECT_EQ(testBed.testBed.call("n3", {.path = "/status/x", .method = "GET"}).status, 200);
}

// Guards against a version whose streams only are slower from event to event, or one whose faults on one route are lost among the others.
TEST(Rollouts, VersionThatIsBadOnOneRouteIsRolledBack)
{
    RolloutTestBed testBed;
    testBed.addEngines("v1", 12);
    ASSERT_TRUE(testBed.startRelays(ThreeRelays));
    testBed.startTraffic("/draft/x", 20ms);
    testBed.startTraffic("/hint/x", 20ms);
    testBed.order("engine", "v2", 20);
    testBed.addEngines("v2", 12);
    testBed.setDefect("engine", "v2", {.slowdown = 6, .pathPrefix = "/draft/"});
    ASSERT_TRUE(testBed.waitForStatus("engine", "rolled_back v2", LongEnough));
    expectIdle(testBed, "engine", "v2");
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against rollouts of two services that affect each other.
TEST(Rollouts, TwoServicesMoveIndependently)
{
    RolloutTestBed testBed;
    testBed.addEngines("v1", 5);
    ASSERT_TRUE(startDesks(testBed));
    testBed.startTraffic("/draft/x", 30ms);
    orderNewDesks(testBed, 20);
    testBed.order("engine", "v2", ShortSeconds);
    testBed.addEngines("v2", 5);
    testBed.setDefect("desk", "v2", {.fails = true});
    EXPECT_TRUE(testBed.waitForStatus("desk", "rolled_back v2", LongEnough));
    EXPECT_TRUE(testBed.waitForStatus("engine", "completed v2", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["engine"], 0U);
    expectIdle(testBed, "desk", "v2");
    expectIdle(testBed, "engine", "v1");
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against a rollout that is completed while a long generation is on an old engine, and against one that moves the generation to the new version, whose
// events do not fit.
TEST(Rollouts, LongGenerationEndsAtItsVersionBeforeTheCompletion)
{
    constexpr int Events = 600;
    RolloutTestBed testBed;
    testBed.addEngines("v1", Events, 1);
    ASSERT_TRUE(testBed.startRelays(ThreeRelays));
    const auto response = std::make_shared<RelayTestBed::Response>();
    const auto channel = testBed.testBed.begin("n2", {.path = "/draft/x", .fields = {{.name = "X-Deadline-Ms", .value = "30000"}}}, response);
    testBed.order("engine", "v2", 3);
    testBed.addEngines("v2", Events, 1);
    ASSERT_TRUE(testBed.waitForStatus("engine", "completed v2", 15s));
    EXPECT_EQ(testBed.runningAtCompletion["engine"], 0U);
    EXPECT_EQ(testBed.targets("engine", "v2").front()->continuations(), 0);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
}

// Guards against a relay that starts during a rollout and sends requests before it knows the plan, or to the new version only.
TEST(Rollouts, RelayThatStartsDuringATrialTakesPart)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 8);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.addRelay("n0");
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["desk"], 0U);
    expectIdle(testBed, "desk", "v1");
    // Until it was ready, the relay rejected requests as not run.
    EXPECT_EQ(testBed.failures(), testBed.responses(503));
}

// Guards against a relay that starts while the store is unavailable and rejects all requests although its peers know the plans.
TEST(Rollouts, RelayThatStartsWithoutTheStoreLearnsThePlansFromPeers)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed);
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    testBed.testBed.store->setFault(StandInStore::Fault::Reset);
    testBed.addRelay("n4");
    ASSERT_TRUE(testBed.testBed.waitUntilReady("n4"));
    EXPECT_EQ(testBed.testBed.call("n4", {.path = "/status/x", .method = "GET"}).status, 200);
    expectIdle(testBed, "desk", "v1");
}

// Guards against an order for a version that nobody runs, which affects the old one or never ends.
TEST(Rollouts, OrderForAnUnknownVersionIsRolledBackAtItsEnd)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    testBed.order("desk", "v9", 3);
    ASSERT_TRUE(testBed.waitForStatus("desk", "in_progress v9", 2s));
    testBed.testBed.runFor(2s);
    EXPECT_EQ(testBed.status("desk"), "in_progress v9");
    ASSERT_TRUE(testBed.waitForStatus("desk", "rolled_back v9", 4s));
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against a malformed order that ends the rollout in progress, or begins one.
TEST(Rollouts, MalformedOrdersAreIgnored)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    testBed.putOrder("desk", "{\"to\":7,\"duration_s\":3}");
    testBed.testBed.runFor(800ms);
    EXPECT_EQ(testBed.status("desk"), "");
    orderNewDesks(testBed);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.putOrder("desk", "[]");
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    expectIdle(testBed, "desk", "v1");
}

// Guards against a second order for the version that serves already, which is never answered.
TEST(Rollouts, SameOrderAgainIsCompletedAgain)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed);
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v2", LongEnough));
    const auto before = testBed.statuses("desk").size();
    testBed.order("desk", "v2", ShortSeconds);
    ASSERT_TRUE(testBed.testBed.runUntil([&] { return testBed.statuses("desk").size() > before && testBed.status("desk") == "completed v2"; }));
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against an order back to the old version during a trial, which leaves requests on the new one or never ends.
TEST(Rollouts, OrderBackToTheOldVersionEndsATrial)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 20);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.testBed.runFor(500ms);
    testBed.order("desk", "v1", ShortSeconds);
    ASSERT_TRUE(testBed.waitForStatus("desk", "completed v1", LongEnough));
    EXPECT_EQ(testBed.runningAtCompletion["desk"], 0U);
    expectIdle(testBed, "desk", "v2");
    EXPECT_EQ(testBed.failures(), 0);
}

// Guards against an order that is removed and whose version goes on getting requests.
TEST(Rollouts, RemovedOrderIsTakenBack)
{
    RolloutTestBed testBed;
    ASSERT_TRUE(startDesks(testBed));
    orderNewDesks(testBed, 20);
    ASSERT_TRUE(testBed.waitForStage("desk", "trial", 2s));
    testBed.testBed.store->remove("op", "rollout/desk");
    ASSERT_TRUE(testBed.waitForStatus("desk", "rolled_back v2", LongEnough));
    expectIdle(testBed, "desk", "v2");
}

// Guards against versions that matter, or calls to the store that are made, where rollouts are not in use.
TEST(Rollouts, NothingChangesWithoutTheFeature)
{
    RolloutTestBed testBed;
    testBed.changeOptions = [](RelayOptions &options) { options.features.clear(); };
    testBed.addDesks("v1");
    testBed.addDesks("v2");
    ASSERT_TRUE(testBed.startRelays({"n1", "n2"}));
    testBed.startTraffic("/status/x", 10ms);
    testBed.order("desk", "v2", ShortSeconds);
    testBed.testBed.runFor(1500ms);
    EXPECT_GT(testBed.arrived("desk", "v1"), 0);
    EXPECT_GT(testBed.arrived("desk", "v2"), 0);
    EXPECT_EQ(testBed.testBed.store->transactions(), 0);
    EXPECT_EQ(testBed.testBed.store->readsOf("jujube_rollouts"), 0);
    EXPECT_EQ(testBed.failures(), 0);
}
