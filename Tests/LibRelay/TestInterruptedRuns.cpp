#include "SessionHarness.h"

#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr RequestProperties Draft {.kind = RouteKind::Stream, .resumable = false, .maxAttempts = 1, .hasReportedRuns = true};
constexpr RequestProperties Suggestion {.kind = RouteKind::Stream, .resumable = true, .maxAttempts = 3, .hasReportedRuns = true};
const std::string Id = "r";

// A stream with two events, whose target was sent the request two seconds ago.
void startOldStream(SessionHarness &harness)
{
    harness.statement = nullptr;
    harness.session().start(harness.now());
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(1, 1), harness.now());
    harness.advance(2s);
    harness.session().onBody(SessionHarness::events(2, 2), harness.now());
}

// The target states what it runs, as it was asked for.
void state(SessionHarness &harness, std::vector<std::string> requests, int64_t queued = 0)
{
    harness.session().onRunsRead(SessionHarness::listed(harness.now(), std::move(requests), queued), harness.now());
}

} // namespace

// Guards against a draft that goes on from its backup while the engine that broke its response off goes on with the run (review/1).
TEST(InterruptedRuns, DraftWaitsUntilItsEngineHasEndedTheRun)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    for (int count = 0; count < 8; ++count) {
        ASSERT_EQ(harness.attempts.size(), 1U);
        state(harness, {"other", Id});
        if (harness.session().isInterrupted() && harness.copyOrders.size() > static_cast<size_t>(count)) {
            harness.session().onCopied({.kind = CopyResult::Kind::Unknown}, harness.now());
        }
        harness.advance(1s);
    }
    EXPECT_EQ(harness.cuts, 0);
    state(harness, {"other"});
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].kvCacheSource, "b:1/r");
    EXPECT_EQ(harness.attempts[1].lastEventId, 2);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), (std::vector<int> {1, 2, 3, 4}));
    EXPECT_EQ(harness.finished, 1);
}

// Guards against waiting after a crash: a target that refuses connections, or cannot be reached, runs nothing any more.
TEST(InterruptedRuns, DraftGoesOnAtOnceAfterACrash)
{
    for (const auto kind : {TargetRuns::Kind::Gone, TargetRuns::Kind::Unreachable}) {
        SessionHarness harness(Draft);
        harness.backup = "b";
        startOldStream(harness);
        harness.session().onEnd(ExchangeResult::Broken, harness.now());
        ASSERT_EQ(harness.reads, std::vector<MonotonicTime> {harness.now()});
        harness.session().onRunsRead({.kind = kind, .askedAt = harness.now(), .requests = {}}, harness.now());
        ASSERT_EQ(harness.attempts.size(), 2U);
        EXPECT_EQ(harness.attempts[1].target.id, "b");
        EXPECT_TRUE(harness.copyOrders.empty());
    }
}

// Guards against a draft that is lost with its backup when a run that was broken off ends well: the engine is ordered to stop it and to copy it.
TEST(InterruptedRuns, RunAtWorkIsStoppedAndGoesOnFromItsCopy)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    state(harness, {Id});
    ASSERT_EQ(harness.copyOrders, std::vector<bool> {true});
    EXPECT_EQ(harness.attempts.size(), 1U);
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 5}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].target.id, "b");
    EXPECT_EQ(harness.attempts[1].kvCacheSource, harness.attempts[0].target.address + "/h");
    EXPECT_EQ(harness.attempts[1].lastEventId, 2);
}

// Guards against stopping a run that is then lost, because neither its engine nor an engine with a backup of it may continue it.
TEST(InterruptedRuns, RunIsNotStoppedIfNothingIsCertainToContinueIt)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.cooldowns.insert(harness.attempts[0].target.id);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.cooldowns.insert("b");
    state(harness, {Id});
    EXPECT_TRUE(harness.copyOrders.empty());
    EXPECT_EQ(harness.cuts, 0);
    harness.cooldowns.erase("b");
    state(harness, {Id});
    EXPECT_EQ(harness.copyOrders, std::vector<bool> {true});
}

// Guards against a draft that is cut although a backup of it exists: its engine has stopped it, keeps its KV cache and may not continue it.
TEST(InterruptedRuns, StoppedRunGoesOnFromItsBackupIfItsSourceHasACooldown)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.cooldowns.insert(harness.attempts[0].target.id);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    state(harness, {Id});
    harness.cooldowns.insert("b");
    harness.session().onCopied({.kind = CopyResult::Kind::DestinationUnavailable, .handle = "h"}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].target.id, "b");
    EXPECT_EQ(harness.attempts[1].kvCacheSource, "b:1/r");
    EXPECT_EQ(harness.cuts, 0);
}

// Guards against a draft that is cut although its engine has stopped it and keeps its KV cache.
TEST(InterruptedRuns, StoppedRunGoesOnAtItsSourceIfItCouldNotBeCopied)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    state(harness, {Id});
    harness.session().onCopied({.kind = CopyResult::Kind::DestinationUnavailable, .handle = "h"}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].target.id, harness.attempts[0].target.id);
    EXPECT_EQ(harness.attempts[1].kvCacheSource, harness.attempts[0].target.address + "/h");
}

// Guards against an engine that says that it does not run a draft, which waits in its queue after a preemption (review/8), and against waiting on when its
// queue is empty.
TEST(InterruptedRuns, RunThatCannotBeCopiedMayWaitInTheQueue)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    state(harness, {Id});
    harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {}, 1);
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {});
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].kvCacheSource, "b:1/r");
}

// Guards against a draft that goes on elsewhere while its engine, which has preempted it, will read it in again (review/8): before the response was lost,
// between two questions, after an order that failed, and after it had been continued from a copy.
TEST(InterruptedRuns, PreemptedRunIsAwaitedAndStopped)
{
    for (const bool isContinued : {false, true}) {
        SessionHarness harness(Draft);
        harness.backup = "b";
        startOldStream(harness);
        harness.session().onEnd(ExchangeResult::Broken, harness.now());
        if (isContinued) {
            harness.backup = "c";
            state(harness, {});
            harness.session().onHead(SessionHarness::streamHead(), harness.now());
            harness.session().onBody(SessionHarness::events(3, 3), harness.now());
            harness.advance(2s);
            harness.session().onEnd(ExchangeResult::Broken, harness.now());
        }
        const size_t attempts = harness.attempts.size();
        // It was put back into the queue just before, and cannot be stopped there. Once it runs again, it is preempted before the order comes, each time.
        constexpr int Preemptions = 5;
        for (int count = 0; count < Preemptions; ++count) {
            auto orders = harness.copyOrders.size();
            state(harness, {"other"}, 1);
            if (harness.copyOrders.size() > orders) {
                harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
            }
            harness.advance(1s);
            orders = harness.copyOrders.size();
            state(harness, {"other", Id}, 0);
            ASSERT_EQ(harness.copyOrders.size(), orders + 1);
            harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
            ASSERT_EQ(harness.attempts.size(), attempts);
            harness.advance(1s);
        }
        state(harness, {Id}, 3);
        ASSERT_TRUE(harness.copyOrders.back());
        harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
        EXPECT_EQ(harness.attempts.size(), attempts + 1);
    }
}

// Guards against a silent draft that stays with an engine which lists it and does not find it, until the draft's deadline.
TEST(InterruptedRuns, SilentDraftIsClosedIfItsEngineDoesNotFindIt)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.advance(2s);
    harness.session().onStreamTimeout(harness.now());
    state(harness, {Id});
    ASSERT_EQ(harness.copyOrders, std::vector<bool> {true});
    EXPECT_EQ(harness.aborts, 0);
    harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
    EXPECT_EQ(harness.aborts, 1);
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {});
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].kvCacheSource, "b:1/r");
}

// Guards against a statement that is older than the run and frees it, and against one of a run that waits in the queue.
TEST(InterruptedRuns, StatementThatCannotKnowTheRunDoesNotFreeIt)
{
    SessionHarness harness(Suggestion);
    harness.statement = nullptr;
    harness.session().start(harness.now());
    harness.advance(100ms);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    state(harness, {});
    EXPECT_EQ(harness.attempts.size(), 1U);
    harness.advance(1500ms);
    state(harness, {}, 1);
    EXPECT_EQ(harness.attempts.size(), 1U);
    EXPECT_TRUE(harness.copyOrders.empty());
    harness.advance(500ms);
    state(harness, {});
    EXPECT_EQ(harness.attempts.size(), 2U);
}

// Guards against a target whose state nobody can read: no answer is no proof of an end.
TEST(InterruptedRuns, TargetWithoutAStatementKeepsTheRun)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    startOldStream(harness);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    for (int count = 0; count < 5; ++count) {
        harness.session().onRunsRead({.kind = TargetRuns::Kind::Unknown, .askedAt = harness.now(), .requests = {}}, harness.now());
        harness.advance(1s);
    }
    EXPECT_EQ(harness.attempts.size(), 1U);
    EXPECT_EQ(harness.reads.size(), 6U);
    harness.session().onDeadline(harness.now());
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against a caller that waits for a draft that nobody can continue.
TEST(InterruptedRuns, DraftThatNobodyCanContinueEndsAtOnce)
{
    SessionHarness harness(Draft);
    startOldStream(harness);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.cuts, 1);
    EXPECT_TRUE(harness.reads.empty());
}

// Guards against leaving a silent target that still makes events: its stream goes on, or is stopped there before it goes on elsewhere.
TEST(InterruptedRuns, SilentTargetIsLeftOnlyWhenItsRunHasEnded)
{
    for (const bool resumes : {false, true}) {
        SessionHarness harness(Suggestion);
        startOldStream(harness);
        harness.advance(2s);
        harness.session().onStreamTimeout(harness.now());
        EXPECT_EQ(harness.aborts, 0);
        if (resumes) {
            harness.session().onBody(SessionHarness::events(3, 3), harness.now());
            EXPECT_FALSE(harness.session().isInterrupted());
            state(harness, {Id});
            EXPECT_TRUE(harness.copyOrders.empty());
            continue;
        }
        state(harness, {Id});
        ASSERT_EQ(harness.copyOrders, std::vector<bool> {true});
        // The engine closes the stream when it stops the run.
        harness.session().onEnd(ExchangeResult::Broken, harness.now());
        EXPECT_EQ(harness.attempts.size(), 1U);
        harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
        ASSERT_EQ(harness.attempts.size(), 2U);
        EXPECT_EQ(harness.attempts[1].target.id, "d");
    }
}

// Guards against leaving a silent run at an engine that cannot copy it: its connection is closed, and it is awaited.
TEST(InterruptedRuns, SilentRunThatCannotBeCopiedIsClosedAndAwaited)
{
    SessionHarness harness(Suggestion);
    harness.hasDestination = false;
    startOldStream(harness);
    harness.advance(2s);
    harness.session().onStreamTimeout(harness.now());
    state(harness, {Id});
    EXPECT_EQ(harness.aborts, 1);
    EXPECT_EQ(harness.retriesLeft, 99);
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {Id});
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {});
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].lastEventId, 2);
    EXPECT_TRUE(harness.lastTargetsExcluded.contains(harness.attempts[0].target.id));
    // The retry was taken when the connection was closed.
    EXPECT_EQ(harness.retriesLeft, 99);
}

// Guards against an order to copy, in progress when the response breaks off, whose result counts as that of an order to stop.
TEST(InterruptedRuns, CopyInProgressIsNoStop)
{
    SessionHarness harness(Suggestion);
    startOldStream(harness);
    harness.session().onTargetLeaving(harness.now());
    ASSERT_EQ(harness.copyOrders, std::vector<bool> {false});
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    state(harness, {Id});
    EXPECT_EQ(harness.copyOrders.size(), 1U);
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {Id});
    EXPECT_EQ(harness.copyOrders, (std::vector<bool> {false, true}));
}

// Guards against a migration whose order to stop has no answer, and that goes on elsewhere although its source goes on with the run.
TEST(InterruptedRuns, UnansweredStopIsNoEnd)
{
    SessionHarness harness(Suggestion);
    startOldStream(harness);
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Unknown}, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    state(harness, {});
    EXPECT_EQ(harness.attempts.size(), 2U);
}

// Guards against a migrated draft that returns to its source while its destination, which was silent or broke off, runs it.
TEST(InterruptedRuns, MigratedDraftReturnsOnlyWhenItsDestinationDoesNotRunIt)
{
    for (const bool isSilent : {true, false}) {
        SessionHarness harness(Draft);
        startOldStream(harness);
        harness.session().onTargetLeaving(harness.now());
        harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
        harness.session().onEnd(ExchangeResult::Broken, harness.now());
        harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
        ASSERT_EQ(harness.attempts.size(), 2U);
        harness.advance(1s);
        if (isSilent) {
            harness.session().onStreamTimeout(harness.now());
        } else {
            harness.session().onEnd(ExchangeResult::Broken, harness.now());
        }
        state(harness, {Id});
        ASSERT_EQ(harness.copyOrders.size(), 3U);
        EXPECT_EQ(harness.attempts.size(), 2U);
        harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
        state(harness, {}, 1);
        EXPECT_EQ(harness.attempts.size(), 2U);
        state(harness, {});
        ASSERT_EQ(harness.attempts.size(), 3U);
        EXPECT_EQ(harness.attempts[2].target.id, harness.attempts[0].target.id);
    }
}

namespace
{

// One engine's view of the run, which is preempted at times, with statements that are up to half a second old.
struct ModelRun {
    MonotonicTime begins;
    // When it ends, whatever becomes of its connection.
    MonotonicTime ends;
    bool isGone = false;
    // It waits in the queue again for a part of each period.
    std::chrono::milliseconds period {1000};
    std::chrono::milliseconds preemptedFor {0};

    bool isThere(MonotonicTime at) const
    {
        return !isGone && at >= begins && at < ends;
    }
    bool isQueued(MonotonicTime at) const
    {
        return isThere(at) && (at - begins) % period >= period - preemptedFor;
    }
    bool isAtWork(MonotonicTime at) const
    {
        return isThere(at) && !isQueued(at);
    }
};

// Interrupts a run at random and lets the engine answer truthfully, late or not at all. No attempt may begin elsewhere while the run is at work.
void interruptAtRandom(const RequestProperties &facts, unsigned seed)
{
    std::mt19937 random(seed);
    const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
    const auto upTo = [&](int most) { return std::chrono::milliseconds(random() % static_cast<unsigned>(most)); };
    SessionHarness harness(facts);
    harness.statement = nullptr;
    harness.backup = chance(50) ? "b" : "";
    harness.hasDestination = chance(70);
    auto &session = harness.session();
    session.start(harness.now());
    ModelRun run {.begins = harness.now(), .ends = harness.now() + 500ms + upTo(9000)};
    if (chance(50)) {
        run.period = 200ms + upTo(3000);
        run.preemptedFor = upTo(static_cast<int>(run.period.count()));
    }
    const bool hasEvents = chance(80);
    if (hasEvents) {
        session.onHead(SessionHarness::streamHead(), harness.now());
        session.onBody(SessionHarness::events(1, 1), harness.now());
    }
    harness.advance(upTo(3000));
    const bool isSilent = facts.resumable && chance(40);
    if (isSilent) {
        session.onStreamTimeout(harness.now());
    } else {
        // Some engines drop a run with its connection.
        run.ends = chance(30) ? harness.now() : run.ends;
        run.isGone = chance(20);
        session.onEnd(ExchangeResult::Broken, harness.now());
    }
    size_t readsAnswered = 0;
    size_t ordersAnswered = 0;
    for (int step = 0; step < 60 && !session.isOver() && harness.attempts.size() == 1; ++step) {
        harness.advance(20ms + upTo(300));
        const auto now = harness.now();
        if (harness.copyOrders.size() > ordersAnswered) {
            ordersAnswered = harness.copyOrders.size();
            const bool isAtWork = run.isAtWork(now);
            const bool stops = isAtWork && chance(50);
            run.ends = stops ? now : run.ends;
            const bool isLost = chance(40) || (isAtWork && !stops);
            const auto answer = isAtWork ? CopyResult::Kind::Copied : CopyResult::Kind::NotRunning;
            session.onCopied({.kind = isLost ? CopyResult::Kind::Unknown : answer, .handle = "h"}, now);
        } else if (harness.reads.size() > readsAnswered && now >= harness.reads.back()) {
            readsAnswered = harness.reads.size();
            const auto asOf = now - upTo(500);
            TargetRuns runs {.kind = TargetRuns::Kind::Listed, .askedAt = now, .requests = {}};
            if (run.isGone) {
                runs.kind = TargetRuns::Kind::Gone;
            } else if (chance(20)) {
                runs.kind = TargetRuns::Kind::Unknown;
            } else if (run.isAtWork(asOf)) {
                runs.requests.push_back(Id);
            }
            runs.queued = (run.isQueued(asOf) ? 1 : 0) + (chance(20) ? 1 : 0);
            session.onRunsRead(runs, now);
        }
        if (harness.attempts.size() > 1) {
            ASSERT_FALSE(run.isThere(now)) << seed;
        }
    }
}

} // namespace

// Guards against two targets at work on one request, in any order of breaks, statements, orders and crashes.
TEST(InterruptedRuns, NoTargetBeginsWhileAnotherIsAtWork)
{
    constexpr unsigned Sequences = 20000;
    for (const auto &facts : {Draft, Suggestion}) {
        for (unsigned seed = 0; seed < Sequences; ++seed) {
            interruptAtRandom(facts, seed);
            if (testing::Test::HasFatalFailure()) {
                return;
            }
        }
    }
}
