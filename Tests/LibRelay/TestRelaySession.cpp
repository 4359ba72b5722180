#include "SessionHarness.h"

#include <gtest/gtest.h>
#include <numeric>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr RequestProperties OneTime {.kind = RouteKind::OneTime, .maxAttempts = 1};
constexpr RequestProperties Repeatable {.kind = RouteKind::Repeatable, .maxAttempts = 2};
constexpr RequestProperties Draft {.kind = RouteKind::Stream, .resumable = false, .maxAttempts = 1};
constexpr RequestProperties Suggestion {.kind = RouteKind::Stream, .resumable = true, .maxAttempts = 2};

std::vector<int> idsUpTo(int last)
{
    std::vector<int> ids(static_cast<size_t>(last));
    std::iota(ids.begin(), ids.end(), 1);
    return ids;
}

} // namespace

// Guards against a one-time call that runs twice because its answer was lost.
TEST(RelaySession, OneTimeCallIsNotSentAgainAfterALostAnswer)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.sends.size(), 1U);
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(relayOutcomeInfo(harness.answers[0]).ran, RanState::Unknown);
}

// Guards against a call that is given up although no target has seen it.
TEST(RelaySession, OneTimeCallGoesElsewhereWhenItWasNotSentOrNotRun)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_FALSE(harness.session().onHead({.status = 503, .notRun = true}, harness.now()));
    ASSERT_EQ(harness.sends.size(), 3U);
    EXPECT_TRUE(harness.session().onHead({.status = 200, .sealed = true, .length = 2}, harness.now()));
    harness.session().onBody("ok", harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.received, "ok");
    EXPECT_EQ(harness.finished, 1);
}

// Load pattern: several engines have crashed while the list of targets is out of reach. Guards against a request that is given up although sound ones are left.
TEST(RelaySession, RequestGoesOnPastUnreachableTargets)
{
    constexpr size_t Dead = 5;
    SessionHarness harness(OneTime);
    harness.retriesLeft = 0;
    harness.session().start(harness.now());
    for (size_t count = 0; count < Dead; ++count) {
        harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    }
    EXPECT_EQ(harness.sends.size(), Dead + 1);
    EXPECT_TRUE(harness.answers.empty());
    for (size_t count = 0; count < Dead; ++count) {
        harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    }
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers[0], RelayOutcome::NoTarget);
}

// Guards against refusals that use up a fleet's retry budget.
TEST(RelaySession, RefusalWithoutBudgetIsAnsweredAsNotRun)
{
    SessionHarness harness(OneTime);
    harness.retriesLeft = 0;
    harness.session().start(harness.now());
    harness.session().onHead({.status = 503, .notRun = true}, harness.now());
    EXPECT_EQ(harness.sends.size(), 1U);
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers[0], RelayOutcome::RetryBudgetSpent);
    EXPECT_EQ(relayOutcomeInfo(harness.answers[0]).ran, RanState::No);
}

// Guards against an error answer that is dropped although no other target can take the request: the caller then waits until its deadline.
TEST(RelaySession, ServerErrorIsPassedOnWhenNoOtherTargetIsLeft)
{
    SessionHarness harness(Repeatable);
    harness.targetsLeft = 1;
    harness.session().start(harness.now());
    EXPECT_TRUE(harness.session().onHead({.status = 500, .sealed = true, .length = 3}, harness.now()));
    harness.session().onBody("bad", harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.aborts, 0);
    EXPECT_EQ(harness.finished, 1);
    EXPECT_EQ(harness.received, "bad");
}

// Guards against a success without the target's mark that reaches the caller.
TEST(RelaySession, UnsealedSuccessIsNotPassedOn)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    EXPECT_FALSE(harness.session().onHead({.status = 200}, harness.now()));
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers[0], RelayOutcome::TargetFailed);
    EXPECT_EQ(harness.begun, 0);
}

// Guards against a truncated answer of which the caller gets a part.
TEST(RelaySession, BrokenAnswerOfARepeatableCallIsReplaced)
{
    SessionHarness harness(Repeatable);
    harness.session().start(harness.now());
    harness.session().onHead({.status = 200, .sealed = true, .length = 8}, harness.now());
    harness.session().onBody("half", harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    harness.session().onHead({.status = 200, .sealed = true, .length = 8}, harness.now());
    harness.session().onBody("whole ok", harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.received, "whole ok");
}

// Guards against more runs than the route allows.
TEST(RelaySession, RepeatableCallKeepsToTheRoutesAttempts)
{
    SessionHarness harness(Repeatable);
    harness.session().start(harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.answers.size(), 1U);
}

// Guards against a request that is held past its deadline, and against a false promise that it has not run.
TEST(RelaySession, DeadlineAfterASendPromisesNothing)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    harness.session().onDeadline(harness.now());
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers[0], RelayOutcome::TimedOut);
    EXPECT_EQ(harness.aborts, 1);
}

// Guards against work that goes on at a target after the caller has left.
TEST(RelaySession, CallerWhoLeavesEndsTheSend)
{
    SessionHarness harness(Draft);
    harness.session().start(harness.now());
    harness.session().onCallerDisconnected();
    EXPECT_EQ(harness.aborts, 1);
    EXPECT_TRUE(harness.answers.empty());
    EXPECT_TRUE(harness.session().isOver());
}

// Guards against an event that was cut in the middle and is joined with the next run's bytes.
TEST(RelaySession, ResumableStreamGoesOnAfterTheLastWholeEvent)
{
    SessionHarness harness(Suggestion);
    harness.startStream(SessionHarness::events(1, 2) + "id: 3\nda");
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.sends[1].lastEventId, 2);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.begun, 1);
    EXPECT_EQ(harness.finished, 1);
}

// Guards against a stream that ends in the middle of an event and looks complete.
TEST(RelaySession, StreamThatEndsInsideAnEventIsNotComplete)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2) + "id: 3\n");
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.finished, 0);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against pieces that are missing or come twice.
TEST(RelaySession, EventsOutOfOrderCutTheStream)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2) + SessionHarness::events(4, 4));
    EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against a draft that is lost with an engine that was announced to leave.
TEST(RelaySession, DraftMovesAwayFromALeavingEngine)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 3));
    harness.session().onTargetLeaving(harness.now());
    ASSERT_EQ(harness.copies, std::vector<bool> {false});
    harness.session().onBody(SessionHarness::events(4, 5), harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 5}, harness.now());
    ASSERT_EQ(harness.copies, (std::vector<bool> {false, true}));
    // The stream ends before the order to stop is answered.
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.sends.size(), 1U);
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 6}, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.sends[1].target.id, "d");
    EXPECT_EQ(harness.sends[1].kvCacheSource, harness.sends[0].target.address + "/h");
    EXPECT_EQ(harness.sends[1].lastEventId, 5);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(6, 8), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(8));
    EXPECT_EQ(harness.finished, 1);
}

// Guards against a generation that goes on at the destination while the source still sends: the last events of the source must arrive first.
TEST(RelaySession, MovedDraftWaitsForTheEndOfTheSourcesStream)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 1));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 3}, harness.now());
    EXPECT_EQ(harness.sends.size(), 1U);
    harness.session().onBody(SessionHarness::events(2, 3), harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.sends[1].lastEventId, 3);
}

namespace
{

// A draft whose copy is complete, and which was sent on to its destination.
void migrateToDestination(SessionHarness &harness)
{
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 2}, harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
}

} // namespace

// Guards against a draft that is lost with the destination of its move, although the engine that it left still has its memory. The destination crashed between
// the copy and the send, and its entry was still listed.
TEST(RelaySession, DraftReturnsToItsSourceWhenTheDestinationFails)
{
    const auto fail = [](SessionHarness &harness, ExchangeResult result) { harness.session().onEnd(result, harness.now()); };
    const auto reject = [](SessionHarness &harness, ExchangeResult) { EXPECT_FALSE(harness.session().onHead({.status = 503, .notRun = true}, harness.now())); };
    for (const auto &[failure, result] : {std::pair<std::function<void(SessionHarness &, ExchangeResult)>, ExchangeResult> {fail, ExchangeResult::NotSent},
                                          {fail, ExchangeResult::Broken},
                                          {reject, ExchangeResult::Broken}}) {
        SessionHarness harness(Draft);
        migrateToDestination(harness);
        ASSERT_EQ(harness.sends.size(), 2U);
        failure(harness, result);
        ASSERT_EQ(harness.sends.size(), 3U);
        EXPECT_EQ(harness.sends[2].target.id, harness.sends[0].target.id);
        EXPECT_EQ(harness.sends[2].kvCacheSource, harness.sends[1].kvCacheSource);
        EXPECT_EQ(harness.sends[2].lastEventId, 2);
        harness.session().onHead(SessionHarness::streamHead(), harness.now());
        harness.session().onBody(SessionHarness::events(3, 4), harness.now());
        harness.session().onEnd(ExchangeResult::Complete, harness.now());
        EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
        EXPECT_EQ(harness.finished, 1);
    }
}

// Guards against a generation that runs at two engines: a copy that was used cannot be used again.
TEST(RelaySession, DraftDoesNotReturnOnceTheDestinationHasBegun)
{
    SessionHarness harness(Draft);
    migrateToDestination(harness);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against events that are followed by bytes of another format: the target that should continue the stream sent an answer that is none.
TEST(RelaySession, StreamGoesOnWithAStreamOnly)
{
    SessionHarness harness(Suggestion);
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_FALSE(harness.session().onHead({.status = 200, .sealed = true, .length = 100}, harness.now()));
    harness.session().onBody(SessionHarness::events(1, 1), harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
}

// Guards against a draft that goes back and forth: the source that has refused is not asked again.
TEST(RelaySession, DraftReturnsToItsSourceOnce)
{
    SessionHarness harness(Draft);
    migrateToDestination(harness);
    harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    EXPECT_EQ(harness.sends.size(), 3U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against a move that fails and takes the generation with it, although its engine still runs it.
TEST(RelaySession, DraftStaysWhenNoCopyCanBeMade)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 1));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::DestinationUnavailable}, harness.now());
    EXPECT_FALSE(harness.session().isMigrating());
    harness.session().onBody(SessionHarness::events(2, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.finished, 1);
}

// Guards against a copy that is ordered again and again to the same full or dead engine until its source is gone.
TEST(RelaySession, RefusedDestinationIsNotAskedAgain)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 1));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::DestinationUnavailable}, harness.now());
    harness.session().onTargetLeaving(harness.now());
    EXPECT_TRUE(harness.lastExcluded.contains("d"));
    EXPECT_TRUE(harness.lastExcluded.contains(harness.sends[0].target.id));
}

// Guards against a draft that is lost with an engine that crashes while another one holds its memory.
TEST(RelaySession, DraftGoesOnFromItsBackup)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    harness.session().start(harness.now());
    ASSERT_TRUE(harness.sends[0].backup);
    EXPECT_EQ(harness.sends[0].backup->address, "b:1");
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(1, 2) + "id: 3", harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.sends[1].target.id, "b");
    EXPECT_EQ(harness.sends[1].lastEventId, 2);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.finished, 1);
}

namespace
{

// Plays one random course of a session and checks what must hold for every course.
void runRandomSequence(const RequestProperties &facts, unsigned seed)
{
    constexpr int MaxSteps = 60;
    std::mt19937 random(seed);
    const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
    SessionHarness harness(facts);
    harness.retriesLeft = static_cast<int>(random() % 4);
    harness.targetsLeft = 1 + static_cast<int>(random() % 5);
    harness.hasDestination = chance(80);
    if (chance(40)) {
        harness.backup = "b";
    }
    auto &session = harness.session();
    const int lastEvent = 1 + static_cast<int>(random() % 6);
    bool callerGone = false;
    int runs = 0;
    bool reached = false;
    size_t seenSends = 0;
    bool headSeen = false;
    int nextEvent = 1;
    bool stopped = false;
    size_t answeredCopies = 0;
    session.start(harness.now());
    for (int step = 0; step < MaxSteps && !session.isOver(); ++step) {
        if (harness.sends.size() > seenSends) {
            seenSends = harness.sends.size();
            headSeen = false;
            stopped = false;
            nextEvent = static_cast<int>(harness.sends.back().lastEventId.value_or(0)) + 1;
            if (harness.sends.back().kvCacheSource.empty()) {
                // A new run, unless the target says otherwise below.
                ASSERT_FALSE(reached && !facts.isRepeatable()) << seed;
            }
        }
        // A continuation from a copy of the memory is the same run.
        const bool isNewRun = harness.sends.back().kvCacheSource.empty();
        if (chance(3)) {
            session.onCallerDisconnected();
            callerGone = true;
        } else if (chance(3)) {
            session.onDeadline(harness.now());
        } else if (chance(10)) {
            session.onTargetLeaving(harness.now());
        } else if (harness.copies.size() > answeredCopies && chance(60)) {
            answeredCopies = harness.copies.size();
            const bool stop = harness.copies.back();
            const auto kind = static_cast<CopyResult::Kind>(random() % 5);
            stopped = stop && (kind == CopyResult::Kind::Copied || kind == CopyResult::Kind::DestinationUnavailable || kind == CopyResult::Kind::Unknown);
            session.onCopied({.kind = kind, .handle = chance(80) ? "h" : ""}, harness.now());
        } else if (!session.target()) {
            continue;
        } else if (!headSeen) {
            if (chance(15)) {
                session.onEnd(ExchangeResult::NotSent, harness.now());
            } else if (chance(15)) {
                session.onHead({.status = 503, .notRun = true}, harness.now());
            } else if (chance(20)) {
                reached = true;
                runs += isNewRun ? 1 : 0;
                session.onEnd(ExchangeResult::Broken, harness.now());
            } else if (chance(15)) {
                reached = true;
                runs += isNewRun ? 1 : 0;
                headSeen = session.onHead({.status = 500, .sealed = true, .length = 0}, harness.now());
            } else {
                reached = true;
                runs += isNewRun ? 1 : 0;
                const bool isStream = facts.kind == RouteKind::Stream;
                headSeen = session.onHead({.status = 200, .sealed = chance(95), .isStream = isStream, .length = std::nullopt}, harness.now());
            }
        } else if (stopped || chance(15)) {
            session.onEnd(ExchangeResult::Broken, harness.now());
            headSeen = false;
        } else if (nextEvent <= lastEvent) {
            const auto event = SessionHarness::events(nextEvent, nextEvent);
            if (chance(20)) {
                session.onBody(std::string_view(event).substr(0, 1 + random() % (event.size() - 1)), harness.now());
                session.onEnd(ExchangeResult::Broken, harness.now());
                headSeen = false;
            } else {
                session.onBody(event, harness.now());
                ++nextEvent;
            }
        } else {
            session.onEnd(ExchangeResult::Complete, harness.now());
        }
    }
    const auto ends = harness.answers.size() + static_cast<size_t>(harness.finished + harness.cuts) + (callerGone ? 1U : 0U);
    ASSERT_LE(ends, 1U) << seed;
    ASSERT_EQ(session.isOver(), ends == 1U) << seed;
    ASSERT_LE(harness.begun, 1) << seed;
    if (!harness.answers.empty()) {
        ASSERT_EQ(harness.begun, 0) << seed;
        ASSERT_TRUE(relayOutcomeInfo(harness.answers[0]).ran != RanState::No || !reached) << seed;
    }
    if (facts.kind == RouteKind::Stream) {
        const auto ids = harness.receivedIds();
        ASSERT_EQ(ids, idsUpTo(static_cast<int>(ids.size()))) << seed;
    }
    if (facts.kind == RouteKind::Repeatable) {
        ASSERT_LE(runs, facts.maxAttempts) << seed;
    }
}

} // namespace

// Guards against a second run, a false promise, a second answer or a stream with gaps in any order of failures.
TEST(RelaySession, RandomFailuresKeepThePromises)
{
    constexpr unsigned Sequences = 20000;
    for (const auto &facts : {OneTime, Repeatable, Draft, Suggestion}) {
        for (unsigned seed = 0; seed < Sequences; ++seed) {
            runRandomSequence(facts, seed);
            if (testing::Test::HasFatalFailure()) {
                return;
            }
        }
    }
}

// Guards against a stream of bytes that never completes an event and is read until the caller leaves: a suggestion goes on elsewhere, a draft ends.
TEST(RelaySession, EventWithoutEndEndsTheSend)
{
    for (const auto &facts : {Suggestion, Draft}) {
        SessionHarness harness(facts);
        harness.startStream(SessionHarness::events(1, 2));
        for (int count = 0; count < 100; ++count) {
            harness.session().onBody(std::string(1024, 'x'), harness.now());
        }
        EXPECT_EQ(harness.sends.size(), facts.resumable ? 2U : 1U);
        EXPECT_EQ(harness.cuts, facts.resumable ? 0 : 1);
        EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
    }
}

// Guards against a generation that is sent to a target that wants nothing from this relay, although its memory is still at the source.
TEST(RelaySession, MoveGoesBackToTheSourceIfTheDestinationWantsNothing)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.refusesContinuation.insert("d");
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.sends[1].target.id, harness.sends[0].target.id);
}

// Guards against a draft that goes on where it must not, such as in a data centre that was taken out of service after the copy was ordered.
TEST(RelaySession, DraftEndsWhereItMayNotGoOn)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    harness.startStream(SessionHarness::events(1, 2));
    harness.refusesContinuation.insert("b");
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.sends.size(), 1U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against a draft that is sent to an engine which cannot have a copy of it, after the engine that has one refused it.
TEST(RelaySession, RefusedContinuationIsNotTriedWhereNoCopyCanBe)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    harness.startStream(SessionHarness::events(1, 2));
    harness.backup = "c";
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.sends[1].kvCacheSource, "b:1/r");
    harness.session().onHead({.status = 503, .notRun = true}, harness.now());
    EXPECT_EQ(harness.sends.size(), 2U);
    EXPECT_EQ(harness.cuts, 1);
}
