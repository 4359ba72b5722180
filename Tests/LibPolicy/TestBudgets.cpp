#include <gtest/gtest.h>
#include <LibPolicy/Backoff.h>
#include <LibPolicy/CrashSuspects.h>
#include <LibPolicy/FairShare.h>
#include <LibPolicy/HedgePolicy.h>
#include <LibPolicy/SlowStart.h>
#include <LibPolicy/SplitMix.h>
#include <LibPolicy/WorkspaceLimiter.h>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;
using Action = CrashVerdict::Action;

constexpr MonotonicTime Start {1000s};
constexpr auto Settled = 3s;

} // namespace

// Guards against clients that failed at the same time and retry at the same time, and against a delay below the Retry-After.
TEST(Backoff, GrowsWithJitterAndKeepsRetryAfter)
{
    SplitMix random(1);
    int equal = 0;
    for (int attempt = 0; attempt < 40; ++attempt) {
        const auto whole = std::min<std::chrono::milliseconds>(50ms * (int64_t {1} << std::min(attempt, 30)), 5000ms);
        const auto first = backoffDelay({}, attempt, random.next());
        const auto second = backoffDelay({}, attempt, random.next());
        EXPECT_GE(first, whole / 2);
        EXPECT_LE(first, whole);
        equal += first == second ? 1 : 0;
        EXPECT_GE(backoffDelay({}, attempt, random.next(), 3000ms), 3000ms);
    }
    // Short delays have few different values, so some are equal by chance.
    EXPECT_LT(equal, 10);
}

// Guards against sending a call twice that must not be repeated, and against hedging that doubles the load when all calls are slow.
TEST(HedgePolicy, HedgesOnlyRepeatableCallsWithinItsBudget)
{
    HedgePolicy policy;
    EXPECT_FALSE(policy.delay("status", true, Start));
    for (int i = 0; i < 100; ++i) {
        policy.recordDuration("status", i < 98 ? 10ms : 500ms, Start);
    }
    const auto delay = policy.delay("status", true, Start);
    ASSERT_TRUE(delay);
    EXPECT_GE(*delay, 10ms);
    EXPECT_LE(*delay, 20ms);
    EXPECT_FALSE(policy.delay("status", false, Start));
    EXPECT_FALSE(policy.tryHedge(false));
    int hedged = 0;
    while (policy.tryHedge(true)) {
        ++hedged;
    }
    EXPECT_LE(hedged, 5);
    EXPECT_FALSE(policy.delay("status", true, Start + 1h));
}

// Guards against a fleet that grants a workspace its limit once per gateway, and against a wait time after which the units are not available yet.
TEST(WorkspaceLimiter, FleetStaysWithinTheLimitAndWaitTimesAreExact)
{
    constexpr int Gateways = 8;
    std::array<WorkspaceLimiter, Gateways> fleet;
    const WorkspaceLimit limit {.perSecond = 40, .burst = 16};
    int granted = 0;
    for (auto now = Start; now < Start + 10s; now += 10ms) {
        for (auto &gateway : fleet) {
            granted += gateway.take("w", limit, 1, Gateways, now) == 0s ? 1 : 0;
        }
    }
    EXPECT_LE(granted, 40 * 10 + 16);
    EXPECT_GE(granted, 40 * 10 - 16);
    while (fleet[0].take("w", limit, 1, Gateways, Start + 10s) == 0s) { }
    const auto wait = fleet[0].take("w", limit, 1, Gateways, Start + 10s);
    ASSERT_GT(wait, 0s);
    EXPECT_GT(fleet[0].take("w", limit, 1, Gateways, Start + 10s + wait / 2), 0s);
    EXPECT_EQ(fleet[0].take("w", limit, 1, Gateways, Start + 10s + wait), 0s);
    EXPECT_EQ(fleet[0].take("w", {}, 1000, Gateways, Start), 0s);
}

// Guards against a workspace that accumulates credit while it is idle, and against one that gets a larger share by sending more.
TEST(FairShare, ServesWorkspacesAlternatelyHoweverMuchTheySend)
{
    FairShare share;
    std::vector<std::pair<double, std::string>> queue;
    queue.reserve(15);
    for (int i = 0; i < 10; ++i) {
        queue.emplace_back(share.startTag("many", 100), "many");
    }
    for (int i = 0; i < 5; ++i) {
        queue.emplace_back(share.startTag("few", 100), "few");
    }
    std::ranges::sort(queue);
    const auto few = std::ranges::count_if(queue.begin(), queue.begin() + 6, [](const auto &entry) { return entry.second == "few"; });
    EXPECT_EQ(few, 3);
    share.served(queue.back().first);
    EXPECT_GE(share.startTag("idle until now", 100), queue.back().first);
}

// Guards against a data centre that gets more work although its targets are failing.
TEST(SlowStart, FailureRestartsTheCurrentStep)
{
    SlowStart slowStart({.shares = {0.1, 0.5}, .stepTime = 4000ms});
    EXPECT_EQ(slowStart.share(Start), 1.0);
    slowStart.start(Start);
    EXPECT_EQ(slowStart.share(Start + 3s), 0.1);
    EXPECT_EQ(slowStart.share(Start + 5s), 0.5);
    slowStart.recordFailure(Start + 7s);
    EXPECT_EQ(slowStart.share(Start + 9s), 0.5);
    EXPECT_EQ(slowStart.share(Start + 12s), 1.0);
}

// Guards against a poison request that crashes one target after another, and against rejecting the innocent requests that ran next to it.
TEST(CrashSuspects, RejectsTheRequestThatTwoCrashesHaveInCommon)
{
    CrashSuspects suspects;
    EXPECT_EQ(suspects.verdict(1, Start).action, Action::Run);
    suspects.merge({.target = "a", .incarnation = 1, .members = {1, 2, 3}, .running = 3}, Start);
    EXPECT_EQ(suspects.verdict(1, Start + Settled).action, Action::RunIsolated);
    suspects.merge({.target = "b", .incarnation = 1, .members = {1, 4}, .running = 2}, Start + 10s);
    const auto later = Start + 10s + Settled;
    EXPECT_EQ(suspects.verdict(1, Start + 11s).action, Action::Wait);
    EXPECT_EQ(suspects.verdict(1, later).action, Action::Reject);
    EXPECT_EQ(suspects.verdict(1, later).until, Start + 600s);
    for (const uint64_t innocent : {2, 3, 4}) {
        EXPECT_EQ(suspects.verdict(innocent, later).action, Action::RunIsolated);
    }
    EXPECT_EQ(suspects.verdict(1, Start + 601s).action, Action::RunIsolated);
    suspects.expire(Start + 700s);
    EXPECT_TRUE(suspects.reports(10, Start + 700s).empty());
}

// Guards against rejecting a request for two crashes that another request was part of as well, even if only another gateway knows that request.
TEST(CrashSuspects, RequestKnownToAnotherGatewayClearsASuspect)
{
    CrashSuspects here;
    here.merge({.target = "a", .incarnation = 1, .members = {1}, .running = 2}, Start);
    here.merge({.target = "b", .incarnation = 1, .members = {1}, .running = 2}, Start + 1s);
    EXPECT_EQ(here.verdict(1, Start + 2s).action, Action::Wait);
    CrashSuspects there;
    there.merge({.target = "a", .incarnation = 1, .members = {9}, .running = 2}, Start);
    there.merge({.target = "b", .incarnation = 1, .members = {9}, .running = 2}, Start + 1s);
    for (const auto &report : there.reports(10, Start + 2s)) {
        here.merge(report, Start + 2s);
    }
    EXPECT_EQ(here.verdict(1, Start + 2s + Settled).action, Action::RunIsolated);
    // A crash in which it ran alone identifies the poison request.
    here.merge({.target = "c", .incarnation = 1, .members = {9}, .running = 1}, Start + 10s);
    EXPECT_EQ(here.verdict(9, Start + 10s + Settled).action, Action::Reject);
    EXPECT_EQ(here.verdict(1, Start + 10s + Settled).action, Action::RunIsolated);
}

// Guards against treating requests with different workspaces, models or bodies as the same request.
TEST(CrashSuspects, FingerprintDependsOnEveryPart)
{
    const auto print = CrashSuspects::fingerprint("w", "m", "d");
    EXPECT_NE(print, CrashSuspects::fingerprint("w2", "m", "d"));
    EXPECT_NE(print, CrashSuspects::fingerprint("w", "m2", "d"));
    EXPECT_NE(print, CrashSuspects::fingerprint("w", "m", "d2"));
    EXPECT_NE(CrashSuspects::fingerprint("ab", "c", "d"), CrashSuspects::fingerprint("a", "bc", "d"));
    EXPECT_EQ(print, CrashSuspects::fingerprint("w", "m", "d"));
}

} // namespace Jujube
