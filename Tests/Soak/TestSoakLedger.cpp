#include "Harness/SoakLedger.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr int Events = 3;
const MonotonicTime Start = MonotonicTime() + 100s;

// A ledger with one request under way, which a target may get.
struct World {
    SoakLedger ledger {{.events = Events, .retrySlack = 1}};
    std::string id = "c1-1";

    explicit World(SoakKind kind)
    {
        send(kind);
    }

    void send(SoakKind kind, bool proper = true)
    {
        const bool streams = isGeneration(kind);
        ledger.onSent(
            Start, id, {.relay = "n1", .kind = kind, .method = "POST", .target = streams ? "/draft/x" : "/commit/x", .proper = proper, .deadline = 10s});
        service = streams ? "engine" : "desk";
    }

    MessageHead head() const
    {
        MessageHead result {.method = "POST", .target = service == "engine" ? "/draft/x" : "/commit/x"};
        result.set("X-Attempt-Id", id);
        result.set("X-Deadline-Ms", "3000");
        result.set("X-Tenant", "workspace-1");
        result.set("X-Own", "kept");
        result.set("X-Expect-Instance", "i-1");
        return result;
    }

    void arrive(MonotonicTime now = Start, StandInTarget::Arrival arrival = StandInTarget::Arrival::Run)
    {
        ledger.onArrival(now, "i-1", service, head(), arrival);
    }

    SoakLedger::Answer success() const
    {
        return {.status = 200, .echoedId = id, .seal = "i-1.seal", .body = service == "engine" ? soakEvents(Events) : soakBody(id), .complete = true};
    }

    // Whether the only violation is of this promise. An empty name means none.
    bool breaksOnly(const std::string &promise)
    {
        const auto &violations = ledger.violations();
        return promise.empty() ? violations.empty() : violations.size() == 1 && absl::StartsWith(violations[0], promise + ":");
    }

    std::string service;
};

} // namespace

// Guards against a ledger that blames sound relays.
TEST(SoakLedger, ServedRequestsBreakNothing)
{
    for (const auto kind : {SoakKind::OneTime, SoakKind::Repeatable, SoakKind::Generation, SoakKind::ResumableGeneration}) {
        World world(kind);
        world.arrive();
        world.ledger.onAnswer(Start + 1s, world.id, world.success());
        world.ledger.finish();
        EXPECT_TRUE(world.breaksOnly(""));
        EXPECT_EQ(world.ledger.servedBetween(Start, Start + 1s), std::make_pair(size_t(1), size_t(1)));
    }
}

// Guards against requests that run twice and are not noticed.
TEST(SoakLedger, FindsASecondRun)
{
    World once(SoakKind::OneTime);
    once.arrive();
    once.arrive();
    EXPECT_TRUE(once.breaksOnly("twice"));
    World repeatable(SoakKind::Repeatable);
    repeatable.arrive();
    repeatable.arrive();
    EXPECT_TRUE(repeatable.breaksOnly(""));
    repeatable.arrive();
    EXPECT_TRUE(repeatable.breaksOnly("budget"));
}

// Guards against untrue refusals that are not noticed, whichever comes first, the run or the refusal.
TEST(SoakLedger, FindsUntrueRefusals)
{
    World before(SoakKind::OneTime);
    before.arrive();
    before.ledger.onAnswer(Start, before.id, {.status = 503, .complete = true});
    EXPECT_TRUE(before.breaksOnly("refused"));
    World after(SoakKind::Generation);
    after.ledger.onAnswer(Start, after.id, {.status = 429, .complete = true});
    after.arrive();
    EXPECT_TRUE(after.breaksOnly("refused"));
}

// Guards against wrong, crossed and truncated answers that are not noticed.
TEST(SoakLedger, FindsWrongAnswers)
{
    const auto breaks = [](SoakKind kind, const std::function<void(SoakLedger::Answer &)> &change) {
        World world(kind);
        world.arrive();
        auto answer = world.success();
        change(answer);
        world.ledger.onAnswer(Start, world.id, answer);
        return world.ledger.violations().empty() ? std::string() : world.ledger.violations()[0].substr(0, world.ledger.violations()[0].find(':'));
    };
    EXPECT_EQ(breaks(SoakKind::OneTime, [](auto &answer) { answer.body.pop_back(); }), "mixed");
    EXPECT_EQ(breaks(SoakKind::OneTime, [](auto &answer) { answer.seal.clear(); }), "mixed");
    EXPECT_EQ(breaks(SoakKind::OneTime, [](auto &answer) { answer.echoedId = "c2-1"; }), "mixed");
    EXPECT_EQ(breaks(SoakKind::OneTime, [](auto &answer) { answer.status = 502; }), "mixed");
    EXPECT_EQ(breaks(SoakKind::Generation, [](auto &answer) { answer.body = soakEvents(Events - 1); }), "order");
    EXPECT_EQ(breaks(SoakKind::Generation, [](auto &answer) { answer.body = soakEvents(1) + soakEvents(Events); }), "order");
}

// Guards against requests that reach a target changed, or at a target of another service.
TEST(SoakLedger, FindsChangedRequests)
{
    World world(SoakKind::OneTime);
    auto head = world.head();
    head.set("Authorization", "Bearer key-1");
    world.ledger.onArrival(Start, "i-1", "desk", head, StandInTarget::Arrival::NotRun);
    EXPECT_TRUE(world.breaksOnly("unasked"));
    World elsewhere(SoakKind::OneTime);
    elsewhere.service = "engine";
    auto wrong = elsewhere.head();
    wrong.target = "/commit/x";
    elsewhere.ledger.onArrival(Start, "i-1", "engine", wrong, StandInTarget::Arrival::NotRun);
    EXPECT_TRUE(elsewhere.breaksOnly("route"));
    World longer(SoakKind::OneTime);
    head = longer.head();
    head.set("X-Deadline-Ms", "11000");
    longer.ledger.onArrival(Start, "i-1", "desk", head, StandInTarget::Arrival::NotRun);
    EXPECT_TRUE(longer.breaksOnly("budget"));
}

// Guards against requests at leaving targets that are not noticed, and against blame for relays that are out of touch.
TEST(SoakLedger, FindsRequestsAtForbiddenTargets)
{
    World world(SoakKind::OneTime);
    world.ledger.forbidTarget("i-1", "drain", Start);
    world.ledger.disturb("n1", Start);
    world.arrive(Start + 1s, StandInTarget::Arrival::NotRun);
    EXPECT_TRUE(world.breaksOnly(""));
    world.arrive(Start + 4s, StandInTarget::Arrival::NotRun);
    EXPECT_TRUE(world.breaksOnly("drain"));
    World allowed(SoakKind::OneTime);
    allowed.ledger.forbidTarget("i-1", "drain", Start);
    allowed.ledger.allowTarget("i-1", "drain");
    allowed.arrive(Start + 4s);
    EXPECT_TRUE(allowed.breaksOnly(""));
}

// Guards against cut and late answers that are not noticed.
TEST(SoakLedger, FindsLostAndLateRequests)
{
    World cut(SoakKind::Generation);
    cut.ledger.disturbAsPlanned("n1", Start);
    cut.arrive();
    cut.ledger.onAnswer(Start, cut.id, {.status = 200, .seal = "i-1.seal", .body = soakEvents(1), .complete = false});
    EXPECT_TRUE(cut.breaksOnly("lost"));
    World late(SoakKind::OneTime);
    late.ledger.onAnswer(Start + 4s, late.id, {.status = 504, .complete = true});
    EXPECT_TRUE(late.breaksOnly("timeout"));
    World frozen(SoakKind::OneTime);
    frozen.ledger.disturb("n1", Start + 1s);
    frozen.ledger.onAnswer(Start + 4200ms, frozen.id, {.status = 504, .complete = true});
    EXPECT_TRUE(frozen.breaksOnly(""));
    World left(SoakKind::Repeatable);
    left.ledger.onLeft(Start, left.id);
    left.ledger.onStillRunning(Start + 500ms, left.id, "i-1");
    EXPECT_TRUE(left.breaksOnly("gone"));
}

// Guards against cut requests that are excused because they ran twice or not at all.
TEST(SoakLedger, FindsLostRequestsWithAnyNumberOfRuns)
{
    const auto lost = [](int runs, std::chrono::milliseconds end, const std::function<void(SoakLedger &)> &disturb, bool wasSent = true) {
        World world(SoakKind::Repeatable);
        for (int run = 0; run < runs; ++run) {
            world.arrive();
        }
        disturb(world.ledger);
        world.ledger.onAnswer(Start + end, world.id, {.complete = false, .wasSent = wasSent});
        return world.breaksOnly("lost");
    };
    const auto nothing = [](SoakLedger &) {};
    EXPECT_TRUE(lost(2, 1s, nothing));
    EXPECT_FALSE(lost(2, 1s, [](SoakLedger &ledger) { ledger.disturbTarget("i-1", Start); }));
    EXPECT_TRUE(lost(0, 201ms, nothing));
    EXPECT_FALSE(lost(0, 200ms, nothing));
    EXPECT_FALSE(lost(0, 201ms, nothing, false));
    EXPECT_FALSE(lost(0, 201ms, [](SoakLedger &ledger) { ledger.disturb("n1", Start); }));
    // The route's timeout.
    EXPECT_TRUE(lost(1, 2999ms, nothing));
    EXPECT_FALSE(lost(1, 3s, nothing));
}

// Guards against a retry bound that is not checked.
TEST(SoakLedger, FindsTooManyRetries)
{
    SoakLedger ledger({.events = Events, .retrySlack = 1});
    World world(SoakKind::Repeatable);
    for (int number = 0; number < 5; ++number) {
        const auto id = "c1-" + std::to_string(number);
        ledger.onSent(Start, id, {.relay = "n1", .kind = SoakKind::Repeatable, .method = "POST", .target = "/commit/x", .deadline = 5s});
        world.id = id;
        for (int turn = 0; turn < 2; ++turn) {
            ledger.onArrival(Start + 1s, "i-1", "desk", world.head(), StandInTarget::Arrival::NotRun);
        }
    }
    ledger.finish();
    ASSERT_EQ(ledger.violations().size(), 1U);
    EXPECT_TRUE(absl::StartsWith(ledger.violations()[0], "budget:"));
}

// Guards against a request that crashes one target after the other and is not noticed, and against blame for the first tries after the third crash.
TEST(SoakLedger, FindsRequestsThatGoOnCrashingTargets)
{
    SoakLedger ledger({.events = Events, .retrySlack = 100});
    World world(SoakKind::Repeatable);
    const auto arrive = [&](int number, MonotonicTime now) {
        world.id = "f-" + std::to_string(number);
        ledger.onSent(now, world.id, {.relay = "n1", .kind = SoakKind::Repeatable, .method = "POST", .target = "/commit/x", .deadline = 5s, .isFatal = true});
        ledger.onArrival(now, "i-1", "desk", world.head(), StandInTarget::Arrival::Run);
    };
    for (int number = 0; number < 5; ++number) {
        arrive(number, Start);
    }
    for (int number = 5; number < 8; ++number) {
        arrive(number, Start + 4s);
    }
    EXPECT_TRUE(ledger.violations().empty());
    arrive(8, Start + 4s);
    ASSERT_EQ(ledger.violations().size(), 1U);
    EXPECT_TRUE(absl::StartsWith(ledger.violations()[0], "crash:"));
}

// Guards against a target that gets more requests than the limit that it names, which is not noticed.
TEST(SoakLedger, FindsRequestsOverALimit)
{
    const auto run = [](std::chrono::milliseconds interval, bool isTold, bool isExcused) {
        World world(SoakKind::Repeatable);
        world.ledger.onLimitNamed(Start, "i-1", 2.0);
        world.arrive();
        auto answer = world.success();
        answer.namesLimit = isTold;
        world.ledger.onAnswer(Start, world.id, answer);
        for (auto now = Start; now < Start + 7s; now += interval) {
            world.id = "c1-" + std::to_string(now.time_since_epoch().count());
            world.send(SoakKind::Repeatable);
            if (isExcused) {
                world.ledger.excuseFromLimits("n1", now);
            }
            world.arrive(now);
        }
        EXPECT_TRUE(world.breaksOnly(""));
        world.ledger.finish();
        return world.breaksOnly("limit");
    };
    // 17 requests in 4 s are allowed.
    EXPECT_FALSE(run(250ms, true, false));
    EXPECT_TRUE(run(200ms, true, false));
    EXPECT_FALSE(run(200ms, false, false));
    EXPECT_FALSE(run(200ms, true, true));
}

// Documents: the first with the route "old" on "desk", the second with "old" on "annex" and "new", the third without "old".
namespace
{

struct DocumentWorld {
    SoakLedger ledger {{.events = Events, .retrySlack = 100}};
    MonotonicTime second = Start + 1s;
    MonotonicTime third = Start + 20s;
    int sent = 0;

    DocumentWorld()
    {
        ledger.onDocument(Start, {.routes = {{"old", "desk"}}, .keys = {"key-1", "key-2"}});
        ledger.onDocument(second, {.routes = {{"old", "annex"}, {"new", "desk"}}, .keys = {"key-1"}});
        ledger.onDocument(third, {.routes = {{"new", "desk"}}, .keys = {"key-1"}});
    }

    std::string send(MonotonicTime now, const std::string &route, const std::string &key = "key-1")
    {
        const auto id = absl::StrCat("p-", ++sent);
        ledger.onSent(now,
                      id,
                      {.relay = "n1",
                       .kind = SoakKind::Repeatable,
                       .method = "GET",
                       .target = "/" + route + "/x",
                       .proper = false,
                       .subject = DocumentHistory::Subject {.route = route, .key = key},
                       .deadline = 3s});
        return id;
    }

    void run(MonotonicTime sentAt, MonotonicTime now, const std::string &route, const std::string &service, const std::string &key = "key-1")
    {
        MessageHead head {.method = "GET", .target = "/" + route + "/x"};
        head.set("X-Attempt-Id", send(sentAt, route, key));
        head.set("X-Deadline-Ms", "1000");
        head.set("X-Tenant", "workspace-1");
        head.set("X-Own", "kept");
        ledger.onArrival(now, "i-1", service, head, StandInTarget::Arrival::Run);
    }

    void turnAway(MonotonicTime sentAt, MonotonicTime now, const std::string &route, int status, const std::string &key = "key-1")
    {
        ledger.onAnswer(now, send(sentAt, route, key), {.status = status, .complete = true});
    }

    // The promises that are broken, without repetitions.
    std::set<std::string> broken() const
    {
        std::set<std::string> names;
        for (const auto &violation : ledger.violations()) {
            names.insert(violation.substr(0, violation.find(':')));
        }
        return names;
    }
};

using Broken = std::set<std::string>;

} // namespace

// Guards against blame for requests that were sent within the bound, whenever their answers come, and against requests sent later that are not noticed.
TEST(SoakLedger, JudgesRequestsByTheTimeOfSending)
{
    constexpr auto Bound = fleetBounds(1).document;
    DocumentWorld within;
    within.turnAway(within.second + Bound, within.second + Bound + 2s, "new", 404);
    within.run(within.second + Bound, within.second + Bound + 2s, "old", "desk");
    within.run(within.second + Bound, within.second + Bound + 2s, "old", "desk", "key-2");
    EXPECT_EQ(within.broken(), Broken());
    const auto late = within.second + Bound + 1ms;
    DocumentWorld absent;
    absent.turnAway(late, late, "new", 404);
    EXPECT_EQ(absent.broken(), Broken {"config"});
    DocumentWorld moved;
    moved.run(late, late, "old", "desk");
    EXPECT_EQ(moved.broken(), Broken {"config"});
    DocumentWorld key;
    key.run(late, late, "old", "desk", "key-2");
    EXPECT_EQ(key.broken(), Broken {"config"});
    DocumentWorld dropped;
    dropped.run(dropped.third + Bound + 1ms, dropped.third + Bound + 1ms, "old", "annex");
    EXPECT_EQ(dropped.broken(), Broken {"config"});
    DocumentWorld outOfTouch;
    outOfTouch.ledger.disturb("n1", late + 1s);
    outOfTouch.turnAway(late, late + 2s, "new", 404);
    EXPECT_EQ(outOfTouch.broken(), Broken());
}

// Guards against requests that no document of the run explains, which are wrong at any time.
TEST(SoakLedger, FindsWhatNoDocumentAllows)
{
    DocumentWorld service;
    service.run(Start, Start, "new", "annex");
    EXPECT_EQ(service.broken(), Broken {"route"});
    DocumentWorld key;
    key.turnAway(Start, Start, "old", 401);
    EXPECT_EQ(key.broken(), Broken {"denied"});
    DocumentWorld status;
    status.turnAway(status.third + 5s, status.third + 5s, "new", 400);
    EXPECT_EQ(status.broken(), Broken {"denied"});
}

// Guards against a relay that goes back to an older document, which is wrong also out of touch and within the bound.
TEST(SoakLedger, FindsAReturnToAnOlderDocument)
{
    DocumentWorld returned;
    returned.run(returned.second + 100ms, returned.second + 200ms, "new", "desk");
    returned.run(returned.second + 300ms, returned.second + 400ms, "old", "desk");
    EXPECT_EQ(returned.broken(), Broken());
    returned.run(returned.second + 500ms, returned.second + 600ms, "old", "desk");
    EXPECT_EQ(returned.broken(), Broken {"config"});
    DocumentWorld restarted;
    restarted.run(restarted.second + 100ms, restarted.second + 200ms, "new", "desk");
    restarted.ledger.onDown(restarted.second + 300ms, "n1");
    restarted.run(restarted.second + 900ms, restarted.second + 1s, "old", "desk");
    EXPECT_EQ(restarted.broken(), Broken());
}

// Guards against blame for requests that waited unread in a large fleet on one machine, and against targets that are given more time than the caller has.
TEST(SoakLedger, CountsTimeLeftAndLateAnswersOfLargeFleetsInShares)
{
    constexpr size_t LargeFleet = 195;
    constexpr int Requests = 30;
    const auto broken = [](const std::string &timeLeft, std::chrono::milliseconds answeredAfter) {
        SoakLedger ledger({.events = Events, .retrySlack = 100, .bounds = fleetBounds(LargeFleet)});
        for (int number = 0; number < Requests; ++number) {
            const auto id = absl::StrCat("c1-", number);
            ledger.onSent(Start, id, {.relay = "n1", .kind = SoakKind::Repeatable, .method = "GET", .target = "/status/x", .deadline = 3s});
            MessageHead head {.method = "GET", .target = "/status/x"};
            head.set("X-Attempt-Id", id);
            head.set("X-Deadline-Ms", timeLeft);
            head.set("X-Tenant", "workspace-1");
            head.set("X-Own", "kept");
            ledger.onArrival(Start + 1s, "i-1", "desk", head, StandInTarget::Arrival::Run);
            ledger.onAnswer(Start + answeredAfter, id, {.status = 504, .complete = true});
        }
        ledger.finish();
        return ledger.violations().empty() ? std::string() : ledger.violations()[0].substr(0, ledger.violations()[0].find(':'));
    };
    EXPECT_EQ(broken("2990", 2s), "");
    EXPECT_EQ(broken("3600", 2s), "budget");
    EXPECT_EQ(broken("2990", 3400ms), "");
    EXPECT_EQ(broken("2990", 3600ms), "timeout");
}

namespace
{

// Engines that crash on one part of prompts, and sound requests beside it.
struct BadPartWorld {
    SoakLedger ledger {{.events = Events, .retrySlack = 1000}};
    int sent = 0;

    static constexpr auto Contact = fleetBounds(1).contact;
    // Within the time in which the part comes and is known.
    static constexpr auto Known = Start + 2 * Contact + 2s;

    std::string send(MonotonicTime now, const std::string &prompt, bool hasBadPart, const std::string &relay = "n1")
    {
        const auto id = absl::StrCat("g-", ++sent);
        ledger.onSent(
            now,
            id,
            {.relay = relay, .kind = SoakKind::Generation, .method = "POST", .target = "/draft/x", .deadline = 5s, .prompt = prompt, .hasBadPart = hasBadPart});
        return id;
    }

    void arrive(MonotonicTime now, const std::string &id, const std::string &prompt, StandInTarget::Arrival arrival = StandInTarget::Arrival::Run)
    {
        MessageHead head {.method = "POST", .target = "/draft/x"};
        head.set("X-Attempt-Id", id);
        head.set("X-Deadline-Ms", "3000");
        head.set("X-Tenant", "workspace-1");
        head.set("X-Own", "kept");
        head.set("X-Prefix-Hash", prompt);
        ledger.onArrival(now, "i-1", "engine", head, arrival);
    }

    void sendBad(MonotonicTime now, const std::string &relay = "n1")
    {
        const std::string prompt = "a1:500,bad:120,e1:380";
        arrive(now, send(now, prompt, true, relay), prompt);
    }

    void crash(int times)
    {
        for (int number = 0; number < times; ++number) {
            sendBad(Start);
            ledger.onBadPartCrash(Start);
        }
    }

    // Sound requests of which some begin.
    void sendSound(MonotonicTime now, int count, int begin, const std::string &firstPart = "a1", const std::string &relay = "n1")
    {
        for (int number = 0; number < count; ++number) {
            const auto prompt = firstPart + ":500,e2:500";
            const auto id = send(now, prompt, false, relay);
            if (number < begin) {
                arrive(now, id, prompt);
            }
        }
    }

    size_t count(const std::string &promise)
    {
        ledger.finish();
        const auto &all = ledger.violations();
        return static_cast<size_t>(std::count_if(all.begin(), all.end(), [&](const auto &text) { return absl::StartsWith(text, promise + ":"); }));
    }
};

} // namespace

// Guards against requests with a part that crashes engines which go on to reach them and are not noticed, and against blame for what is not counted: the
// first three, what arrives within the bound, comes from relays out of touch, or after fewer crashes.
TEST(SoakLedger, FindsABadPartThatGoesOnCrashingEngines)
{
    const auto broken = [](int crashes, std::chrono::milliseconds afterCrash, int requests, const std::function<void(SoakLedger &)> &disturb) {
        BadPartWorld world;
        world.crash(crashes);
        disturb(world.ledger);
        for (int number = 0; number < requests; ++number) {
            world.sendBad(Start + afterCrash);
        }
        return world.count("crash") == 1;
    };
    const auto nothing = [](SoakLedger &) {};
    constexpr auto Contact = BadPartWorld::Contact;
    EXPECT_TRUE(broken(5, Contact + 1ms, 4, nothing));
    EXPECT_FALSE(broken(5, Contact + 1ms, 3, nothing));
    EXPECT_FALSE(broken(5, Contact, 50, nothing));
    EXPECT_FALSE(broken(4, Contact + 1ms, 50, nothing));
    EXPECT_FALSE(broken(5, Contact + 1ms, 50, [](SoakLedger &ledger) { ledger.disturb("n1", Start + 10ms); }));
    EXPECT_FALSE(broken(5, Contact + 1ms, 50, [](SoakLedger &ledger) { ledger.harmTargetLink("i-1", Start + 10ms); }));
    // A target that has just crashed excuses nothing.
    EXPECT_TRUE(broken(5, Contact + 1ms, 4, [](SoakLedger &ledger) { ledger.disturbTarget("i-1", Start + 10ms); }));
}

// Guards against the same where the requests reach targets by repeats only.
TEST(SoakLedger, CountsRepeatsOfRequestsWithABadPart)
{
    BadPartWorld world;
    world.crash(5);
    const auto now = Start + BadPartWorld::Contact + 1ms;
    const std::string prompt = "bad:500,e1:500";
    const auto id = world.send(now, prompt, true);
    for (int number = 0; number < 4; ++number) {
        world.arrive(now, id, prompt, StandInTarget::Arrival::NotRun);
    }
    EXPECT_EQ(world.count("crash"), 1U);
}

// Guards against sound requests that are turned away for what they share with those that crash engines, by route or by first part, which is not noticed.
TEST(SoakLedger, FindsSoundRequestsThatSufferForABadPart)
{
    const auto lost = [](int calmBegun, int knownBegun, int count, std::chrono::milliseconds before) {
        BadPartWorld world;
        world.sendSound(Start - 1s, count, calmBegun);
        world.ledger.disturbTarget("i-1", Start);
        world.crash(5);
        world.sendSound(BadPartWorld::Known - before, count, knownBegun);
        world.sendBad(BadPartWorld::Known);
        return world.count("lost");
    };
    // By route, and by its only first part.
    EXPECT_EQ(lost(20, 9, 20, 0s), 2U);
    EXPECT_EQ(lost(20, 10, 20, 0s), 0U);
    EXPECT_EQ(lost(10, 4, 20, 0s), 2U);
    EXPECT_EQ(lost(10, 5, 20, 0s), 0U);
    // Too few, or too early.
    EXPECT_EQ(lost(19, 0, 19, 0s), 0U);
    EXPECT_EQ(lost(20, 0, 20, 2001ms), 0U);
}

// Guards against a first part whose sound requests are turned away among others that are served, against blame for requests at relays out of touch, for those
// sent after the last one with the bad part, and for calm times in which as little was served.
TEST(SoakLedger, ComparesSoundRequestsByFirstPart)
{
    const auto lost = [](const std::function<void(BadPartWorld &)> &sendKnown) {
        BadPartWorld world;
        world.sendSound(Start - 1s, 40, 40, "a1");
        world.sendSound(Start - 1s, 100, 100, "a2");
        world.ledger.disturbTarget("i-1", Start);
        // Fewer than five crashes: the last one counts.
        world.crash(2);
        world.sendBad(BadPartWorld::Known);
        sendKnown(world);
        return world.count("lost");
    };
    EXPECT_EQ(lost([](BadPartWorld &world) {
                  world.sendSound(BadPartWorld::Known, 20, 0, "a1");
                  world.sendSound(BadPartWorld::Known, 100, 100, "a2");
              }),
              1U);
    EXPECT_EQ(lost([](BadPartWorld &world) {
                  world.ledger.disturb("n1", BadPartWorld::Known);
                  world.sendSound(BadPartWorld::Known, 50, 0, "a1");
              }),
              0U);
    EXPECT_EQ(lost([](BadPartWorld &world) { world.sendSound(BadPartWorld::Known + 1ms, 50, 0, "a1"); }), 0U);
    BadPartWorld disturbed;
    disturbed.ledger.disturbTarget("i-1", Start - 2s);
    disturbed.sendSound(Start - 1s, 40, 40);
    disturbed.crash(5);
    disturbed.sendSound(BadPartWorld::Known, 40, 0);
    disturbed.sendBad(BadPartWorld::Known);
    EXPECT_EQ(disturbed.count("lost"), 0U);
}

// Guards against a prompt that reaches a target with other parts than the caller's.
TEST(SoakLedger, FindsChangedPrompts)
{
    BadPartWorld world;
    world.arrive(Start, world.send(Start, "a1:500,e1:500", false), "a1:500,e1:500");
    EXPECT_EQ(world.ledger.violations().size(), 0U);
    world.arrive(Start, world.send(Start, "a1:500,e1:500", false), "a1:500");
    EXPECT_EQ(world.count("unasked"), 1U);
}
