#include "PolicyFixture.h"

#include <gtest/gtest.h>

namespace Jujube
{

namespace
{

// Memory is held by generations of other gateways, which are about to grow.
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
    // Teach that drafts of this workspace are long.
    for (int i = 0; i < 200; ++i) {
        const auto id = "teach" + std::to_string(i);
        const auto target = fixture.ask(fixture.request(id));
        fixture.policy->tokensProduced(id, 1500, fixture.now);
        fixture.policy->generationFinished(id, fixture.now);
        ASSERT_NE(target, "refuse");
    }
    // Generations that have just begun will need 1,600 tokens each; one old one that holds 3,100 is about to end.
    int young = 0;
    for (;; ++young) {
        auto made = fixture.request("young" + std::to_string(young));
        made.excludedTargets = {"t1"};
        if (fixture.ask(made) != "t0") {
            fixture.policy->abandoned(made.id, fixture.now);
            break;
        }
        fixture.policy->tokensProduced(made.id, 10, fixture.now);
    }
    ASSERT_GE(young, 4);
    auto old = fixture.request("old");
    old.promptTokens = 1700;
    old.producedTokens = 1400;
    old.excludedTargets = {"t0"};
    ASSERT_EQ(fixture.ask(old), "t1");
    EXPECT_LT(fixture.policy->fleet().target(0).ownMemory, fixture.policy->fleet().target(1).ownMemory);
    EXPECT_EQ(fixture.ask(fixture.request("new")), "t1");
}

// Guards against filling an engine to the brim: a paying draft waits while every target would probably overflow, and goes when one is free again.
TEST(MemoryForecast, StopsAdmissionBeforeTheEngineFills)
{
    PolicyFixture fixture(2);
    fixture.report(0, busy(9400));
    fixture.report(1, busy(9400));
    EXPECT_EQ(fixture.ask(fixture.request("a")), "wait");
    fixture.report(0, busy(500, 1));
    EXPECT_EQ(fixture.policy->takeReady(fixture.now), std::vector<std::string> {"a"});
    EXPECT_EQ(fixture.ask(fixture.request("a")), "t0");
    EXPECT_EQ(fixture.policy->waitingCount(), 0u);

    PolicyFixture open(2, without(&MemoryForecastOptions::admission));
    open.report(0, busy(9400));
    open.report(1, busy(9400));
    EXPECT_NE(open.ask(open.request("a")), "wait");
}

// Guards against trial work in the memory that paying work used moments ago and is about to use again.
TEST(MemoryForecast, TrialLeavesTheMemoryThatPayingWorkIsForecastToNeed)
{
    for (const bool reserve : {true, false}) {
        PlacementOptions options;
        options.forecast.reserveForPaying = reserve;
        PolicyFixture fixture(2, options);
        fixture.report(0, busy(5000));
        fixture.report(1, busy(5000));
        ASSERT_NE(fixture.ask(fixture.request("payer")), "wait");
        fixture.policy->generationFinished("payer", fixture.now);
        // The survey of the next moment sees the demand; then one target is emptied, for example by a restart.
        fixture.now += 300ms;
        fixture.report(1, busy(5000));
        fixture.report(0, {.incarnation = 2});
        auto trial = fixture.request("trial", WorkspaceTier::Trial, "trial");
        trial.promptTokens = 3500;
        EXPECT_EQ(fixture.ask(trial), reserve ? "wait" : "t0");
        auto paying = fixture.request("paying");
        paying.promptTokens = 3500;
        // A paying draft may go where the trial one may not.
        EXPECT_EQ(fixture.ask(paying), "t0");
    }
}

// Guards against paying drafts that wait, or go far away, because of trial work that would be preempted for them anyway.
TEST(MemoryForecast, TrialWorkDoesNotKeepPayingDraftsOut)
{
    for (const bool nested : {true, false}) {
        PlacementOptions options;
        options.forecast.nestedClasses = nested;
        PolicyFixture fixture(1, options);
        ASSERT_EQ(fixture.ask(fixture.request("payer")), "t0");
        auto trial = fixture.request("trial", WorkspaceTier::Trial, "trial");
        trial.promptTokens = 3000;
        ASSERT_EQ(fixture.ask(trial), "t0");
        fixture.policy->tokensProduced("trial", 6700, fixture.now);
        fixture.report(0, {.running = 2, .memoryUsed = 9800});
        EXPECT_EQ(fixture.ask(fixture.request("draft")), nested ? "t0" : "wait");
    }
}

// Guards against starvation of trial work by paying work that never leaves room for it.
TEST(MemoryForecast, TrialWorkThatHasAgedGoesFirst)
{
    PolicyFixture fixture(1);
    fixture.report(0, busy(9700));
    ASSERT_EQ(fixture.ask(fixture.request("trial", WorkspaceTier::Trial, "t")), "wait");
    for (int i = 0; i < 120; ++i) {
        fixture.now += 100ms;
        fixture.report(0, busy(9700));
        ASSERT_NE(fixture.ask(fixture.request("trial", WorkspaceTier::Trial, "t")), "t0");
    }
    ASSERT_EQ(fixture.ask(fixture.request("payer", WorkspaceTier::Paying, "p")), "wait");
    fixture.report(0, {.running = 0, .memoryUsed = 0});
    const auto ready = fixture.policy->takeReady(fixture.now);
    ASSERT_EQ(ready.size(), 2u);
    EXPECT_EQ(ready.front(), "trial");
    EXPECT_EQ(fixture.ask(fixture.request("payer", WorkspaceTier::Paying, "p")), "wait");
    EXPECT_EQ(fixture.ask(fixture.request("trial", WorkspaceTier::Trial, "t")), "t0");
}

// Guards against a queue without hope: a request that would wait longer than its class allows is refused at once, with a time that follows the queue.
TEST(MemoryForecast, RefusesAtOnceWithATimeToComeBack)
{
    PolicyFixture fixture(1);
    fixture.report(0, busy(9700));
    int refused = 0;
    std::chrono::seconds first {0};
    std::chrono::seconds last {0};
    for (int i = 0; i < 400; ++i) {
        auto made = fixture.request("r" + std::to_string(i));
        const auto decision = fixture.policy->place(made, fixture.now, fixture.random.next());
        if (const auto *refusal = std::get_if<RejectRequest>(&decision)) {
            ++refused;
            EXPECT_EQ(refusal->kind, ErrorKind::Overloaded);
            EXPECT_GE(refusal->retryAfter, 1s);
            last = refusal->retryAfter;
            first = refused == 1 ? last : first;
        }
    }
    EXPECT_GT(refused, 100);
    // The queue is as long as the longest wait allows, so the time to come back is about that wait.
    EXPECT_GE(last, 10s);
    // Those who were refused before are promised their turn first.
    EXPECT_GE(last, 2 * first);
    auto accepted = fixture.request("accepted");
    accepted.accepted = true;
    EXPECT_EQ(fixture.ask(accepted), "wait");
    EXPECT_EQ(fixture.policy->takeReady(fixture.now).front(), "accepted");
}

// Guards against one workspace with a long queue keeping out another of the same class.
TEST(MemoryForecast, WorkspacesOfAClassGetFairShares)
{
    for (const bool fair : {true, false}) {
        PlacementOptions options;
        options.forecast.fairShares = fair;
        PolicyFixture fixture(1, options);
        fixture.report(0, busy(9700));
        for (int i = 0; i < 5; ++i) {
            ASSERT_EQ(fixture.ask(fixture.request("many" + std::to_string(i), WorkspaceTier::Paying, "many")), "wait");
        }
        ASSERT_EQ(fixture.ask(fixture.request("few", WorkspaceTier::Paying, "few")), "wait");
        fixture.report(0, {});
        const auto ready = fixture.policy->takeReady(fixture.now);
        const auto position = std::ranges::find(ready, "few") - ready.begin();
        EXPECT_EQ(position, fair ? 1 : 5);
    }
}

// Guards against traffic between data centres and regions while there is room nearby, and against queueing nearby while there is room elsewhere.
TEST(MemoryForecast, PrefersNearTargetsAndSpillsOver)
{
    PolicyFixture fixture(3);
    EXPECT_EQ(fixture.ask(fixture.request("a")), "t0");
    fixture.report(0, busy(9700));
    EXPECT_EQ(fixture.ask(fixture.request("b")), "t1");
    fixture.report(1, busy(9700));
    EXPECT_EQ(fixture.ask(fixture.request("c")), "t2");
    fixture.report(2, busy(9700));
    EXPECT_EQ(fixture.ask(fixture.request("d")), "wait");
}

// Guards against a prefix hint that overrides memory or cold limits.
TEST(MemoryForecast, PrefixHintOrdersOnlyTargetsThatFit)
{
    PolicyFixture fixture(6);
    auto made = fixture.request("a");
    made.prefixHashes = {11, 22};
    fixture.policy->prefixStored("t3", 22);
    EXPECT_EQ(fixture.ask(made), "t3");
    fixture.report(3, busy(9700));
    made.id = "b";
    EXPECT_EQ(fixture.ask(made), "t0");
    fixture.report(3, {.memoryUsed = 0, .cold = true});
    made.id = "c";
    EXPECT_EQ(fixture.ask(made), "t0");
}

// Guards against a data centre that returns with full load at once.
TEST(MemoryForecast, ReturningDataCentreGetsWorkInSteps)
{
    PolicyFixture fixture(3);
    fixture.policy->fleet().setDataCentreOut("lahore", true, fixture.now);
    EXPECT_EQ(fixture.ask(fixture.request("a")), "t1");
    fixture.policy->fleet().setDataCentreOut("lahore", false, fixture.now);
    auto made = fixture.request("b");
    made.promptTokens = 2000;
    EXPECT_EQ(fixture.ask(made), "t1");
    fixture.now += 60s;
    fixture.report(0, {});
    made.id = "c";
    EXPECT_EQ(fixture.ask(made), "t0");
}

// Guards against waiting for a preemption: work moves off a target that is about to overflow, trial work first, and off targets that leave or turn cold.
TEST(MemoryForecast, AdvisesToMoveTheLeastImportantWorkFirst)
{
    PolicyFixture fixture(4);
    auto draft = fixture.request("draft");
    draft.excludedTargets = {"t1", "t2", "t3"};
    auto trial = fixture.request("trial", WorkspaceTier::Trial);
    trial.excludedTargets = draft.excludedTargets;
    ASSERT_EQ(fixture.ask(draft), "t0");
    ASSERT_EQ(fixture.ask(trial), "t0");
    EXPECT_TRUE(fixture.policy->adviseMoves(fixture.now, 1).empty());
    // 40 young generations grow faster than old ones end.
    fixture.report(0, busy(9800, 40));
    // Each gateway acts with a probability, as others with work there see the same.
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

// Guards against requests that shared a crashed target being run together again, so that the one at fault never shows.
TEST(MemoryForecast, KeepsIsolatedRequestsApart)
{
    PolicyFixture fixture(3);
    std::set<std::string> targets;
    for (const auto *id : {"a", "b", "c"}) {
        auto made = fixture.request(id);
        made.isolated = true;
        made.dataCentre = "other";
        made.region = "other";
        targets.insert(fixture.ask(made));
    }
    EXPECT_EQ(targets.size(), 3u);
}

} // namespace Jujube
