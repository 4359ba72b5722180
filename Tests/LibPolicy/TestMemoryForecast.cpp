#include "PolicyFixture.h"

#include <gtest/gtest.h>

namespace Jujube
{

namespace
{

// A report of a target whose memory is held by growing generations of other gateways.
LoadReport busy(int64_t memory, int running = 10)
{
    return {.running = running, .memoryUsed = memory, .memoryLimit = 10000};
}

PlacementOptions without(bool MemoryForecastOptions::*part)
{
    PlacementOptions options;
    options.forecast.*part = false;
    return options;
}

} // namespace

// Guards against a choice by request count or by present memory: the target with less memory in use has work that will grow past its limit.
TEST(MemoryForecast, PrefersTheTargetWhoseWorkWillNotOverflow)
{
    PolicyFixture fixture(2);
    // The estimator learns that drafts of this workspace are long.
    for (int i = 0; i < 200; ++i) {
        const auto id = "teach" + std::to_string(i);
        const auto target = fixture.place(fixture.request(id));
        fixture.policy->tokensProduced(id, 1500, fixture.now);
        fixture.policy->generationFinished(id, fixture.now);
        ASSERT_NE(target, "reject");
    }
    // Generations that have just begun will need 1,600 tokens each; one old one that holds 3,100 is about to end.
    int young = 0;
    for (;; ++young) {
        auto placementRequest = fixture.request("young" + std::to_string(young));
        placementRequest.excludedTargets = {"t1"};
        if (fixture.place(placementRequest) != "t0") {
            fixture.policy->abandoned(placementRequest.id, fixture.now);
            break;
        }
        fixture.policy->tokensProduced(placementRequest.id, 10, fixture.now);
    }
    ASSERT_GE(young, 4);
    auto old = fixture.request("old");
    old.promptTokens = 1700;
    old.producedTokens = 1400;
    old.excludedTargets = {"t0"};
    ASSERT_EQ(fixture.place(old), "t1");
    EXPECT_LT(fixture.policy->fleet().target(0).ownMemory, fixture.policy->fleet().target(1).ownMemory);
    EXPECT_EQ(fixture.place(fixture.request("new")), "t1");
}

// Guards against filling an engine completely: a paying draft waits while every target would probably overflow, and is placed when one has free memory again.
TEST(MemoryForecast, StopsAdmissionBeforeTheEngineFills)
{
    PolicyFixture fixture(2);
    fixture.report(0, busy(9400));
    fixture.report(1, busy(9400));
    EXPECT_EQ(fixture.place(fixture.request("a")), "wait");
    fixture.report(0, busy(500, 1));
    EXPECT_EQ(fixture.policy->takeReady(fixture.now), std::vector<std::string> {"a"});
    EXPECT_EQ(fixture.place(fixture.request("a")), "t0");
    EXPECT_EQ(fixture.policy->waitingCount(), 0u);

    PolicyFixture open(2, without(&MemoryForecastOptions::admission));
    open.report(0, busy(9400));
    open.report(1, busy(9400));
    EXPECT_NE(open.place(open.request("a")), "wait");
}

// Guards against trial work in memory that paying work used shortly before and is forecast to use again.
TEST(MemoryForecast, TrialLeavesTheMemoryThatPayingWorkIsForecastToNeed)
{
    for (const bool reserve : {true, false}) {
        PlacementOptions options;
        options.forecast.reserveForPaying = reserve;
        PolicyFixture fixture(2, options);
        fixture.report(0, busy(5000));
        fixture.report(1, busy(5000));
        ASSERT_NE(fixture.place(fixture.request("payer")), "wait");
        fixture.policy->generationFinished("payer", fixture.now);
        // The survey after the next report includes the demand. Then one target loses its work, for example by a restart.
        fixture.now += 300ms;
        fixture.report(1, busy(5000));
        fixture.report(0, {.incarnation = 2});
        auto trial = fixture.request("trial", WorkspaceTier::Trial, "trial");
        trial.promptTokens = 3500;
        EXPECT_EQ(fixture.place(trial), reserve ? "wait" : "t0");
        auto paying = fixture.request("paying");
        paying.promptTokens = 3500;
        // A paying draft may use the memory that trial work must leave free.
        EXPECT_EQ(fixture.place(paying), "t0");
    }
}

// Guards against paying drafts that wait, or are placed far away, because of trial work that would be preempted for them anyway.
TEST(MemoryForecast, TrialWorkDoesNotKeepPayingDraftsOut)
{
    for (const bool nested : {true, false}) {
        PlacementOptions options;
        options.forecast.nestedClasses = nested;
        PolicyFixture fixture(1, options);
        ASSERT_EQ(fixture.place(fixture.request("payer")), "t0");
        auto trial = fixture.request("trial", WorkspaceTier::Trial, "trial");
        trial.promptTokens = 3000;
        ASSERT_EQ(fixture.place(trial), "t0");
        fixture.policy->tokensProduced("trial", 6700, fixture.now);
        fixture.report(0, {.running = 2, .memoryUsed = 9800});
        EXPECT_EQ(fixture.place(fixture.request("draft")), nested ? "t0" : "wait");
    }
}

// Guards against starvation of trial work by paying work that never leaves it enough memory.
TEST(MemoryForecast, TrialWorkThatHasAgedGoesFirst)
{
    PolicyFixture fixture(1);
    fixture.report(0, busy(9700));
    ASSERT_EQ(fixture.place(fixture.request("trial", WorkspaceTier::Trial, "t")), "wait");
    for (int i = 0; i < 120; ++i) {
        fixture.now += 100ms;
        fixture.report(0, busy(9700));
        ASSERT_NE(fixture.place(fixture.request("trial", WorkspaceTier::Trial, "t")), "t0");
    }
    ASSERT_EQ(fixture.place(fixture.request("payer", WorkspaceTier::Paying, "p")), "wait");
    fixture.report(0, {.running = 0, .memoryUsed = 0});
    const auto ready = fixture.policy->takeReady(fixture.now);
    ASSERT_EQ(ready.size(), 2u);
    EXPECT_EQ(ready.front(), "trial");
    EXPECT_EQ(fixture.place(fixture.request("payer", WorkspaceTier::Paying, "p")), "wait");
    EXPECT_EQ(fixture.place(fixture.request("trial", WorkspaceTier::Trial, "t")), "t0");
}

// Guards against queueing requests that would wait longer than their class allows. They are rejected at once, with a Retry-After that grows with the queue.
TEST(MemoryForecast, RejectsAtOnceWithARetryAfter)
{
    PolicyFixture fixture(1);
    fixture.report(0, busy(9700));
    int rejected = 0;
    std::chrono::seconds first {0};
    std::chrono::seconds last {0};
    for (int i = 0; i < 400; ++i) {
        auto placementRequest = fixture.request("r" + std::to_string(i));
        const auto decision = fixture.policy->place(placementRequest, fixture.now, fixture.random.next());
        if (const auto *rejection = std::get_if<RejectRequest>(&decision)) {
            ++rejected;
            EXPECT_EQ(rejection->kind, ErrorKind::Overloaded);
            EXPECT_GE(rejection->retryAfter, 1s);
            last = rejection->retryAfter;
            first = rejected == 1 ? last : first;
        }
    }
    EXPECT_GT(rejected, 100);
    // The queue is as long as the maximum wait allows, so the Retry-After is about that wait.
    EXPECT_GE(last, 10s);
    // Requests that were rejected earlier are expected to be served first when they retry.
    EXPECT_GE(last, 2 * first);
    auto accepted = fixture.request("accepted");
    accepted.accepted = true;
    EXPECT_EQ(fixture.place(accepted), "wait");
    EXPECT_EQ(fixture.policy->takeReady(fixture.now).front(), "accepted");
}

// Guards against one workspace with a long queue that delays another workspace of the same class.
TEST(MemoryForecast, WorkspacesOfAClassGetFairShares)
{
    for (const bool fair : {true, false}) {
        PlacementOptions options;
        options.forecast.fairShares = fair;
        PolicyFixture fixture(1, options);
        fixture.report(0, busy(9700));
        for (int i = 0; i < 5; ++i) {
            ASSERT_EQ(fixture.place(fixture.request("many" + std::to_string(i), WorkspaceTier::Paying, "many")), "wait");
        }
        ASSERT_EQ(fixture.place(fixture.request("few", WorkspaceTier::Paying, "few")), "wait");
        fixture.report(0, {});
        const auto ready = fixture.policy->takeReady(fixture.now);
        const auto position = std::ranges::find(ready, "few") - ready.begin();
        EXPECT_EQ(position, fair ? 1 : 5);
    }
}

// Guards against traffic between data centres and regions while near targets have free memory, and against queueing while only distant targets have free
// memory.
TEST(MemoryForecast, PrefersNearTargetsAndUsesDistantOnesWhenTheyAreFull)
{
    PolicyFixture fixture(3);
    EXPECT_EQ(fixture.place(fixture.request("a")), "t0");
    fixture.report(0, busy(9700));
    EXPECT_EQ(fixture.place(fixture.request("b")), "t1");
    fixture.report(1, busy(9700));
    EXPECT_EQ(fixture.place(fixture.request("c")), "t2");
    fixture.report(2, busy(9700));
    EXPECT_EQ(fixture.place(fixture.request("d")), "wait");
}

// Guards against a prefix hint that overrides memory or cold limits.
TEST(MemoryForecast, PrefixHintOrdersOnlyTargetsThatFit)
{
    PolicyFixture fixture(6);
    auto placementRequest = fixture.request("a");
    placementRequest.prefixHashes = {11, 22};
    fixture.policy->prefixStored("t3", 22);
    EXPECT_EQ(fixture.place(placementRequest), "t3");
    fixture.report(3, busy(9700));
    placementRequest.id = "b";
    EXPECT_EQ(fixture.place(placementRequest), "t0");
    fixture.report(3, {.memoryUsed = 0, .cold = true});
    placementRequest.id = "c";
    EXPECT_EQ(fixture.place(placementRequest), "t0");
}

// Guards against full load at once for a data centre that returns to service.
TEST(MemoryForecast, ReturningDataCentreGetsWorkInSteps)
{
    PolicyFixture fixture(3);
    fixture.policy->fleet().setDataCentreOut("lahore", true, fixture.now);
    EXPECT_EQ(fixture.place(fixture.request("a")), "t1");
    fixture.policy->fleet().setDataCentreOut("lahore", false, fixture.now);
    auto placementRequest = fixture.request("b");
    placementRequest.promptTokens = 2000;
    EXPECT_EQ(fixture.place(placementRequest), "t1");
    fixture.now += 60s;
    fixture.report(0, {});
    placementRequest.id = "c";
    EXPECT_EQ(fixture.place(placementRequest), "t0");
}

// Guards against waiting for a preemption: work moves off a target that is about to overflow, trial work first, and off a target that is leaving.
TEST(MemoryForecast, AdvisesToMoveTheLeastImportantWorkFirst)
{
    PolicyFixture fixture(4);
    auto draft = fixture.request("draft");
    draft.excludedTargets = {"t1", "t2", "t3"};
    auto trial = fixture.request("trial", WorkspaceTier::Trial);
    trial.excludedTargets = draft.excludedTargets;
    ASSERT_EQ(fixture.place(draft), "t0");
    ASSERT_EQ(fixture.place(trial), "t0");
    EXPECT_TRUE(fixture.policy->adviseMoves(fixture.now, 1).empty());
    // The memory of 40 young generations grows faster than old ones end.
    fixture.report(0, busy(9800, 40));
    // Each gateway acts only with some probability, because other gateways with work on the target detect the same risk.
    std::vector<MoveAdvice> advice;
    for (int i = 0; i < 1000 && advice.empty(); ++i) {
        advice = fixture.policy->adviseMoves(fixture.now, fixture.random.next());
    }
    ASSERT_EQ(advice.size(), 1u);
    EXPECT_EQ(advice[0].id, "trial");
    EXPECT_NE(advice[0].target, "t0");
    fixture.report(0, {.memoryUsed = 100, .leaving = true});
    EXPECT_EQ(fixture.policy->adviseMoves(fixture.now, 1).size(), 2u);
}

// Guards against running suspects of the same crash together again, so that the poison request among them is never identified.
TEST(MemoryForecast, KeepsIsolatedRequestsApart)
{
    PolicyFixture fixture(3);
    std::set<std::string> targets;
    for (const auto *id : {"a", "b", "c"}) {
        auto placementRequest = fixture.request(id);
        placementRequest.isolated = true;
        placementRequest.dataCentre = "other";
        placementRequest.region = "other";
        targets.insert(fixture.place(placementRequest));
    }
    EXPECT_EQ(targets.size(), 3u);
}

} // namespace Jujube
