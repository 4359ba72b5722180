#include "SessionHarness.h"

#include <gtest/gtest.h>
#include <numeric>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr RequestProperties OneTime {.kind = RouteKind::OneTime, .maxAttempts = 1};
constexpr RequestProperties Repeatable {.kind = RouteKind::Repeatable, .maxAttempts = 2};
constexpr RequestProperties Draft {.kind = RouteKind::Stream, .resumable = false, .maxAttempts = 1, .hasReportedRuns = true};
constexpr RequestProperties Suggestion {.kind = RouteKind::Stream, .resumable = true, .maxAttempts = 2, .hasReportedRuns = true};

std::vector<int> idsUpTo(int last)
{
    std::vector<int> ids(static_cast<size_t>(last));
    std::iota(ids.begin(), ids.end(), 1);
    return ids;
}

} // namespace

// Guards against a one-time call that runs twice because its response was lost.
TEST(RelaySession, OneTimeCallIsNotRetriedAfterALostResponse)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    ASSERT_EQ(harness.ownResponses.size(), 1U);
    EXPECT_EQ(relayOutcomeInfo(harness.ownResponses[0]).ran, RanState::Unknown);
}

// Guards against giving up a call that no target has run.
TEST(RelaySession, OneTimeCallIsRetriedWhenItWasNotSentOrNotRun)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_FALSE(harness.session().onHead({.status = 503, .notRun = true}, harness.now()));
    ASSERT_EQ(harness.attempts.size(), 3U);
    EXPECT_TRUE(harness.session().onHead({.status = 200, .sealed = true, .length = 2}, harness.now()));
    harness.session().onBody("ok", harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.received, "ok");
    EXPECT_EQ(harness.finished, 1);
}

// Guards against giving up a request although healthy targets are left, when several engines have crashed while the target list is unavailable.
TEST(RelaySession, RequestIsRetriedPastUnreachableTargets)
{
    constexpr size_t Dead = 5;
    SessionHarness harness(OneTime);
    harness.retriesLeft = 0;
    harness.session().start(harness.now());
    for (size_t count = 0; count < Dead; ++count) {
        harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    }
    EXPECT_EQ(harness.attempts.size(), Dead + 1);
    EXPECT_TRUE(harness.ownResponses.empty());
    for (size_t count = 0; count < Dead; ++count) {
        harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    }
    ASSERT_EQ(harness.ownResponses.size(), 1U);
    EXPECT_EQ(harness.ownResponses[0], RelayOutcome::NoTarget);
}

// Guards against rejections that use up the retry budget of a fleet.
TEST(RelaySession, RejectionWithoutBudgetIsReportedAsNotRun)
{
    SessionHarness harness(OneTime);
    harness.retriesLeft = 0;
    harness.session().start(harness.now());
    harness.session().onHead({.status = 503, .notRun = true}, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    ASSERT_EQ(harness.ownResponses.size(), 1U);
    EXPECT_EQ(harness.ownResponses[0], RelayOutcome::RetryBudgetSpent);
    EXPECT_EQ(relayOutcomeInfo(harness.ownResponses[0]).ran, RanState::No);
}

// Guards against discarding an error response although no other target can take the request: the caller would then wait until its deadline.
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

// Guards against passing on a success without the target's seal.
TEST(RelaySession, UnsealedSuccessIsNotPassedOn)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    EXPECT_FALSE(harness.session().onHead({.status = 200}, harness.now()));
    ASSERT_EQ(harness.ownResponses.size(), 1U);
    EXPECT_EQ(harness.ownResponses[0], RelayOutcome::TargetFailed);
    EXPECT_EQ(harness.begun, 0);
}

// Guards against a truncated response of which the caller gets a part.
TEST(RelaySession, BrokenResponseOfARepeatableCallIsReplaced)
{
    SessionHarness harness(Repeatable);
    harness.session().start(harness.now());
    harness.session().onHead({.status = 200, .sealed = true, .length = 8}, harness.now());
    harness.session().onBody("half", harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    harness.session().onHead({.status = 200, .sealed = true, .length = 8}, harness.now());
    harness.session().onBody("whole ok", harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.received, "whole ok");
}

// Guards against more runs than the route allows.
TEST(RelaySession, RepeatableCallKeepsTheMaxAttemptsOfItsRoute)
{
    SessionHarness harness(Repeatable);
    harness.session().start(harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.ownResponses.size(), 1U);
}

// Guards against a request that is kept past its deadline, and against the false statement that it has not run.
TEST(RelaySession, DeadlineAfterAnAttemptReportsUnknownOutcome)
{
    SessionHarness harness(OneTime);
    harness.session().start(harness.now());
    harness.session().onDeadline(harness.now());
    ASSERT_EQ(harness.ownResponses.size(), 1U);
    EXPECT_EQ(harness.ownResponses[0], RelayOutcome::TimedOut);
    EXPECT_EQ(harness.aborts, 1);
}

// Guards against a target that keeps working after the caller has disconnected.
TEST(RelaySession, CallerDisconnectAbortsTheAttempt)
{
    SessionHarness harness(Draft);
    harness.session().start(harness.now());
    harness.session().onCallerDisconnected();
    EXPECT_EQ(harness.aborts, 1);
    EXPECT_TRUE(harness.ownResponses.empty());
    EXPECT_TRUE(harness.session().isOver());
}

// Guards against joining a partial event with the bytes of the next run.
TEST(RelaySession, ResumableStreamContinuesAfterTheLastCompleteEvent)
{
    SessionHarness harness(Suggestion);
    harness.startStream(SessionHarness::events(1, 2) + "id: 3\nda");
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].lastEventId, 2);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.begun, 1);
    EXPECT_EQ(harness.finished, 1);
}

// Guards against a stream that ends inside an event and counts as complete.
TEST(RelaySession, StreamThatEndsInsideAnEventIsNotComplete)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2) + "id: 3\n");
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.finished, 0);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against events that are missing or repeated.
TEST(RelaySession, EventsOutOfOrderCutTheStream)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2) + SessionHarness::events(4, 4));
    EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against losing a draft with an engine whose leaving was announced.
TEST(RelaySession, DraftMigratesFromALeavingEngine)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 3));
    harness.session().onTargetLeaving(harness.now());
    ASSERT_EQ(harness.copyOrders, std::vector<bool> {false});
    harness.session().onBody(SessionHarness::events(4, 5), harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 5}, harness.now());
    ASSERT_EQ(harness.copyOrders, (std::vector<bool> {false, true}));
    // The stream ends before the response to the stop order arrives.
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 6}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].target.id, "d");
    EXPECT_EQ(harness.attempts[1].kvCacheSource, harness.attempts[0].target.address + "/h");
    EXPECT_EQ(harness.attempts[1].lastEventId, 5);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(6, 8), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(8));
    EXPECT_EQ(harness.finished, 1);
}

// Guards against a generation that continues at the destination while the source is still sending: the last events of the source must arrive first.
TEST(RelaySession, MigratedDraftWaitsForTheEndOfTheSourceStream)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 1));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 3}, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    harness.session().onBody(SessionHarness::events(2, 3), harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].lastEventId, 3);
}

namespace
{

// A draft that its leaving engine was ordered to stop, in a response that ends with its connection. The engine has sent two events.
void stopDraft(SessionHarness &harness)
{
    auto head = SessionHarness::streamHead();
    head.endsWithConnection = true;
    harness.session().start(harness.now());
    harness.session().onHead(head, harness.now());
    harness.session().onBody(SessionHarness::events(1, 2), harness.now());
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    ASSERT_EQ(harness.copyOrders, (std::vector<bool> {false, true}));
}

} // namespace

// Guards against a draft that was stopped for its migration and looks complete, because the end of its connection may also be the end of a whole response.
TEST(RelaySession, StoppedDraftIsNotCompleteByTheEndOfItsConnection)
{
    SessionHarness harness(Draft);
    stopDraft(harness);
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.finished, 0);
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 2}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].lastEventId, 2);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.finished, 1);
}

// Guards against a draft that had ended when the order to stop it arrived, and is cut or continued although it is whole.
TEST(RelaySession, DraftThatEndedBeforeItsStopIsWhole)
{
    for (const auto kind : {CopyResult::Kind::NotRunning, CopyResult::Kind::Busy}) {
        SessionHarness harness(Draft);
        stopDraft(harness);
        harness.session().onEnd(ExchangeResult::Complete, harness.now());
        harness.session().onCopied({.kind = kind}, harness.now());
        EXPECT_EQ(harness.finished, 1);
        EXPECT_EQ(harness.cuts, 0);
        EXPECT_EQ(harness.attempts.size(), 1U);
        EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
    }
    // The end of the response arrives behind the response to the order.
    SessionHarness harness(Draft);
    stopDraft(harness);
    harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.finished, 1);
    EXPECT_EQ(harness.cuts, 0);
}

// Guards against a draft that looks complete although the order to stop it may have been carried out: the response to the order is lost.
TEST(RelaySession, DraftThatMayHaveBeenStoppedIsNotComplete)
{
    for (const bool isEndFirst : {false, true}) {
        SessionHarness harness(Draft);
        stopDraft(harness);
        if (isEndFirst) {
            harness.session().onEnd(ExchangeResult::Complete, harness.now());
        }
        harness.session().onCopied({.kind = CopyResult::Kind::Unknown}, harness.now());
        if (!isEndFirst) {
            harness.session().onEnd(ExchangeResult::Complete, harness.now());
        }
        EXPECT_EQ(harness.finished, 0) << isEndFirst;
        EXPECT_EQ(harness.cuts, 1) << isEndFirst;
    }
    // A second order finds no run at the engine, because the first one has stopped it.
    SessionHarness harness(Draft);
    stopDraft(harness);
    harness.session().onCopied({.kind = CopyResult::Kind::Unknown}, harness.now());
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.finished, 0);
    EXPECT_EQ(harness.cuts, 1);
}

namespace
{

// A draft whose copy is complete and which has been sent to its destination.
void migrateToDestination(SessionHarness &harness)
{
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h", .eventsProduced = 2}, harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
}

} // namespace

// Guards against losing a draft with the destination of its migration although the source still has its KV cache. The destination crashed between the copy and
// the attempt, and its entry was still listed.
TEST(RelaySession, DraftReturnsToItsSourceWhenTheDestinationFails)
{
    const auto fail = [](SessionHarness &harness, ExchangeResult result) { harness.session().onEnd(result, harness.now()); };
    const auto reject = [](SessionHarness &harness, ExchangeResult) { EXPECT_FALSE(harness.session().onHead({.status = 503, .notRun = true}, harness.now())); };
    for (const auto &[failure, result] : {std::pair<std::function<void(SessionHarness &, ExchangeResult)>, ExchangeResult> {fail, ExchangeResult::NotSent},
                                          {fail, ExchangeResult::Broken},
                                          {reject, ExchangeResult::Broken}}) {
        SessionHarness harness(Draft);
        migrateToDestination(harness);
        ASSERT_EQ(harness.attempts.size(), 2U);
        failure(harness, result);
        ASSERT_EQ(harness.attempts.size(), 3U);
        EXPECT_EQ(harness.attempts[2].target.id, harness.attempts[0].target.id);
        EXPECT_EQ(harness.attempts[2].kvCacheSource, harness.attempts[1].kvCacheSource);
        EXPECT_EQ(harness.attempts[2].lastEventId, 2);
        harness.session().onHead(SessionHarness::streamHead(), harness.now());
        harness.session().onBody(SessionHarness::events(3, 4), harness.now());
        harness.session().onEnd(ExchangeResult::Complete, harness.now());
        EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
        EXPECT_EQ(harness.finished, 1);
    }
}

// Guards against a generation that runs on two engines: a copy that was used cannot be used again.
TEST(RelaySession, DraftDoesNotReturnOnceTheDestinationHasBegun)
{
    SessionHarness harness(Draft);
    migrateToDestination(harness);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against events that are followed by bytes of another format, when the target that should continue the stream sends a response that is not a stream.
TEST(RelaySession, StreamIsContinuedByAStreamOnly)
{
    SessionHarness harness(Suggestion);
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_FALSE(harness.session().onHead({.status = 200, .sealed = true, .length = 100}, harness.now()));
    harness.session().onBody(SessionHarness::events(1, 1), harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
}

// Guards against events behind the bytes of a response that is no stream, when that response has begun and breaks off.
TEST(RelaySession, OnlyAStreamIsContinued)
{
    constexpr size_t MoreThanIsBuffered = 100 * 1024;
    for (const int status : {200, 400, 500}) {
        for (const bool hasBackup : {false, true}) {
            SessionHarness harness({.id = "r1", .kind = RouteKind::Stream, .resumable = true, .maxAttempts = 3});
            harness.backup = hasBackup ? "t9" : "";
            harness.retriesLeft = status == 500 ? 0 : 100;
            harness.session().start(harness.now());
            EXPECT_TRUE(harness.session().onHead({.status = status, .sealed = true, .length = 2 * MoreThanIsBuffered}, harness.now()));
            harness.session().onBody(std::string(MoreThanIsBuffered, 'x'), harness.now());
            ASSERT_EQ(harness.begun, 1);
            harness.session().onEnd(ExchangeResult::Broken, harness.now());
            EXPECT_EQ(harness.attempts.size(), 1U) << status << " " << hasBackup;
            EXPECT_EQ(harness.cuts, 1) << status << " " << hasBackup;
        }
    }
}

// Guards against a draft that alternates between two engines: a source that has failed to continue it is not tried again.
TEST(RelaySession, DraftReturnsToItsSourceOnce)
{
    SessionHarness harness(Draft);
    migrateToDestination(harness);
    harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    harness.session().onEnd(ExchangeResult::NotSent, harness.now());
    EXPECT_EQ(harness.attempts.size(), 3U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against a failed migration that ends a generation although its engine still runs it.
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

// Guards against ordering a copy again and again to the same full or dead engine until the source is gone.
TEST(RelaySession, UnavailableDestinationIsNotTriedAgain)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 1));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::DestinationUnavailable}, harness.now());
    harness.session().onTargetLeaving(harness.now());
    EXPECT_TRUE(harness.lastExcluded.contains("d"));
    EXPECT_TRUE(harness.lastExcluded.contains(harness.attempts[0].target.id));
}

// Guards against losing a draft with an engine that crashes while another one holds its backup.
TEST(RelaySession, DraftContinuesFromItsBackup)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    harness.session().start(harness.now());
    ASSERT_TRUE(harness.attempts[0].backup);
    EXPECT_EQ(harness.attempts[0].backup->address, "b:1");
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(1, 2) + "id: 3", harness.now());
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].target.id, "b");
    EXPECT_EQ(harness.attempts[1].lastEventId, 2);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.finished, 1);
}

namespace
{

// Runs one random sequence of events and checks the invariants of a session.
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
    bool isCallerDisconnected = false;
    int runs = 0;
    bool wasReached = false;
    size_t seenAttempts = 0;
    bool hasHead = false;
    int nextEvent = 1;
    bool stopped = false;
    size_t answeredCopyOrders = 0;
    session.start(harness.now());
    for (int step = 0; step < MaxSteps && !session.isOver(); ++step) {
        if (harness.attempts.size() > seenAttempts) {
            seenAttempts = harness.attempts.size();
            hasHead = false;
            stopped = false;
            nextEvent = static_cast<int>(harness.attempts.back().lastEventId.value_or(0)) + 1;
            if (harness.attempts.back().kvCacheSource.empty()) {
                // A new run, unless the target reports otherwise below.
                ASSERT_FALSE(wasReached && !facts.isRepeatable()) << seed;
            }
        }
        // A continuation from a copy of the KV cache is the same run.
        const bool isNewRun = harness.attempts.back().kvCacheSource.empty();
        if (chance(3)) {
            session.onCallerDisconnected();
            isCallerDisconnected = true;
        } else if (chance(3)) {
            session.onDeadline(harness.now());
        } else if (chance(10)) {
            session.onTargetLeaving(harness.now());
        } else if (harness.copyOrders.size() > answeredCopyOrders && chance(60)) {
            answeredCopyOrders = harness.copyOrders.size();
            const bool stop = harness.copyOrders.back();
            const auto kind = static_cast<CopyResult::Kind>(random() % 5);
            stopped = stop && (kind == CopyResult::Kind::Copied || kind == CopyResult::Kind::DestinationUnavailable || kind == CopyResult::Kind::Unknown);
            session.onCopied({.kind = kind, .handle = chance(80) ? "h" : ""}, harness.now());
        } else if (!session.target()) {
            continue;
        } else if (!hasHead) {
            if (chance(15)) {
                session.onEnd(ExchangeResult::NotSent, harness.now());
            } else if (chance(15)) {
                session.onHead({.status = 503, .notRun = true}, harness.now());
            } else if (chance(20)) {
                wasReached = true;
                runs += isNewRun ? 1 : 0;
                session.onEnd(ExchangeResult::Broken, harness.now());
            } else if (chance(15)) {
                wasReached = true;
                runs += isNewRun ? 1 : 0;
                hasHead = session.onHead({.status = 500, .sealed = true, .length = 0}, harness.now());
            } else {
                wasReached = true;
                runs += isNewRun ? 1 : 0;
                const bool isStream = facts.kind == RouteKind::Stream;
                hasHead = session.onHead({.status = 200, .sealed = chance(95), .isStream = isStream, .length = std::nullopt}, harness.now());
            }
        } else if (stopped || chance(15)) {
            session.onEnd(ExchangeResult::Broken, harness.now());
            hasHead = false;
        } else if (nextEvent <= lastEvent) {
            const auto event = SessionHarness::events(nextEvent, nextEvent);
            if (chance(20)) {
                session.onBody(std::string_view(event).substr(0, 1 + random() % (event.size() - 1)), harness.now());
                session.onEnd(ExchangeResult::Broken, harness.now());
                hasHead = false;
            } else {
                session.onBody(event, harness.now());
                ++nextEvent;
            }
        } else {
            session.onEnd(ExchangeResult::Complete, harness.now());
        }
    }
    const auto ends = harness.ownResponses.size() + static_cast<size_t>(harness.finished + harness.cuts) + (isCallerDisconnected ? 1U : 0U);
    ASSERT_LE(ends, 1U) << seed;
    ASSERT_EQ(session.isOver(), ends == 1U) << seed;
    ASSERT_LE(harness.begun, 1) << seed;
    if (!harness.ownResponses.empty()) {
        ASSERT_EQ(harness.begun, 0) << seed;
        ASSERT_TRUE(relayOutcomeInfo(harness.ownResponses[0]).ran != RanState::No || !wasReached) << seed;
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

// Guards against a second run, a false statement that a request has not run, a second response or a stream with gaps in any order of failures.
TEST(RelaySession, RandomFailuresKeepTheInvariants)
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

// Guards against reading a stream that never completes an event until the caller disconnects: a suggestion continues on another target, a draft ends.
TEST(RelaySession, EventAboveSizeLimitAbortsTheAttempt)
{
    for (const auto &facts : {Suggestion, Draft}) {
        SessionHarness harness(facts);
        harness.startStream(SessionHarness::events(1, 2));
        for (int count = 0; count < 100; ++count) {
            harness.session().onBody(std::string(1024, 'x'), harness.now());
        }
        EXPECT_EQ(harness.attempts.size(), facts.resumable ? 2U : 1U);
        EXPECT_EQ(harness.cuts, facts.resumable ? 0 : 1);
        EXPECT_EQ(harness.receivedIds(), idsUpTo(2));
    }
}

// Guards against sending a generation to a target that has a cooldown although its KV cache is still at the source.
TEST(RelaySession, MigrationReturnsToTheSourceIfTheDestinationHasACooldown)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.continuationExcluded.insert("d");
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].target.id, harness.attempts[0].target.id);
}

// Guards against continuing a draft where it must not run, such as in a data centre that was taken out of service after the copy was ordered.
TEST(RelaySession, DraftEndsWhereItMustNotContinue)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    harness.startStream(SessionHarness::events(1, 2));
    harness.continuationExcluded.insert("b");
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    EXPECT_EQ(harness.attempts.size(), 1U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against sending a draft to an engine that cannot have a copy of it after the engine that has one rejected it.
TEST(RelaySession, RejectedContinuationIsNotTriedWithoutACopy)
{
    SessionHarness harness(Draft);
    harness.backup = "b";
    harness.startStream(SessionHarness::events(1, 2));
    harness.backup = "c";
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.attempts[1].kvCacheSource, "b:1/r");
    harness.session().onHead({.status = 503, .notRun = true}, harness.now());
    EXPECT_EQ(harness.attempts.size(), 2U);
    EXPECT_EQ(harness.cuts, 1);
}

// Guards against cutting a stream whose target is silent but still at work when no other target may take it: the service has no retry left, the route allows no
// further run, or there is no other target.
TEST(RelaySession, SilentTargetKeepsAStreamThatCannotGoElsewhere)
{
    for (const auto &[retries, targets, attempts] : {std::tuple {0, 100, 2}, {100, 1, 2}, {100, 100, 1}}) {
        auto facts = Suggestion;
        facts.maxAttempts = attempts;
        SessionHarness harness(facts);
        harness.retriesLeft = retries;
        harness.targetsLeft = targets;
        harness.startStream(SessionHarness::events(1, 2));
        harness.session().onStreamTimeout(harness.now());
        EXPECT_EQ(harness.cuts, 0);
        EXPECT_EQ(harness.aborts, 0);
        harness.session().onBody(SessionHarness::events(3, 5), harness.now());
        harness.session().onEnd(ExchangeResult::Complete, harness.now());
        EXPECT_EQ(harness.receivedIds(), idsUpTo(5));
        EXPECT_EQ(harness.finished, 1);
    }
}

// Guards against cutting a migrated generation whose destination is slow to respond when the source cannot continue it.
TEST(RelaySession, SlowDestinationKeepsAMigratedDraftThatCannotReturn)
{
    SessionHarness harness(Draft);
    migrateToDestination(harness);
    ASSERT_EQ(harness.attempts.size(), 2U);
    harness.continuationExcluded.insert(harness.attempts.front().target.id);
    harness.session().onStreamTimeout(harness.now());
    EXPECT_EQ(harness.cuts, 0);
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.finished, 1);
}

// Guards against stopping a healthy generation for a migration that neither its destination nor its source may continue.
TEST(RelaySession, DraftIsNotStoppedIfNobodyMayContinueIt)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2));
    harness.session().onTargetLeaving(harness.now());
    harness.continuationExcluded = {harness.attempts.front().target.id, "d"};
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    EXPECT_EQ(harness.copyOrders, std::vector<bool>({false}));
    EXPECT_FALSE(harness.session().isMigrating());
    harness.session().onBody(SessionHarness::events(3, 4), harness.now());
    harness.session().onEnd(ExchangeResult::Complete, harness.now());
    EXPECT_EQ(harness.receivedIds(), idsUpTo(4));
    EXPECT_EQ(harness.cuts, 0);
}

// Guards against stopping a draft whose source is the only place to which it could return and has no turn left for it.
TEST(RelaySession, DraftIsNotStoppedWithoutAReservationAtItsSource)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2));
    const auto source = harness.attempts.front().target.id;
    harness.cooldowns.insert(source);
    harness.session().onTargetLeaving(harness.now());
    EXPECT_TRUE(harness.copyOrders.empty());
    EXPECT_FALSE(harness.session().isMigrating());
    harness.cooldowns.clear();
    harness.session().onTargetLeaving(harness.now());
    EXPECT_EQ(harness.copyOrders, std::vector<bool> {false});
    EXPECT_TRUE(harness.reserved.contains(source));
}

// Guards against a stopped draft that is cut because a cooldown of its source began after the order to stop it.
TEST(RelaySession, StoppedDraftKeepsItsReservationUntilTheDestinationResponds)
{
    SessionHarness harness(Draft);
    harness.startStream(SessionHarness::events(1, 2));
    const auto source = harness.attempts.front().target.id;
    harness.session().onTargetLeaving(harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    harness.cooldowns.insert(source);
    harness.session().onEnd(ExchangeResult::Broken, harness.now());
    harness.session().onCopied({.kind = CopyResult::Kind::Copied, .handle = "h"}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 2U);
    EXPECT_TRUE(harness.reserved.contains(source));
    harness.session().onHead({.status = 503, .notRun = true}, harness.now());
    ASSERT_EQ(harness.attempts.size(), 3U);
    EXPECT_EQ(harness.attempts[2].target.id, source);
    EXPECT_EQ(harness.cuts, 0);
}

// Guards against reservations that are kept when the migration has ended, so that other drafts miss them.
TEST(RelaySession, ReservationsEndWithTheMigration)
{
    for (const auto kind : {CopyResult::Kind::Busy, CopyResult::Kind::NotRunning, CopyResult::Kind::DestinationUnavailable, CopyResult::Kind::Unknown}) {
        SessionHarness harness(Draft);
        harness.startStream(SessionHarness::events(1, 2));
        harness.session().onTargetLeaving(harness.now());
        EXPECT_FALSE(harness.reserved.empty());
        harness.session().onCopied({.kind = kind}, harness.now());
        EXPECT_TRUE(harness.reserved.empty());
    }
    SessionHarness harness(Draft);
    migrateToDestination(harness);
    EXPECT_FALSE(harness.reserved.empty());
    harness.session().onHead(SessionHarness::streamHead(), harness.now());
    EXPECT_TRUE(harness.reserved.empty());
}

// Guards against a draft that is cut by its migration, whatever cooldowns begin and end meanwhile and whether or not the destination takes it: its engine is
// sound and keeps the KV cache of a run that it has stopped.
TEST(RelaySession, MigrationsLoseNoDraftInRandomCooldowns)
{
    constexpr unsigned Sequences = 20000;
    constexpr int Steps = 80;
    constexpr int LastEvent = 20;
    for (unsigned seed = 0; seed < Sequences; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
        SessionHarness harness(Draft);
        auto &session = harness.session();
        harness.startStream(SessionHarness::events(1, 1));
        const auto source = harness.attempts.front().target.id;
        int nextEvent = 2;
        bool hasHead = true;
        // Whether the engine has stopped the run, and its stream has ended.
        bool isStopped = false;
        bool hasEnded = false;
        size_t attempts = 1;
        size_t answeredOrders = 0;
        for (int step = 0; step < Steps && !session.isOver(); ++step) {
            if (harness.attempts.size() > attempts) {
                attempts = harness.attempts.size();
                hasHead = false;
                isStopped = false;
                hasEnded = false;
            }
            const bool isAtSource = harness.attempts.back().target.id == source;
            if (chance(25)) {
                const auto target = chance(50) ? source : std::string("d");
                harness.cooldowns.erase(target) > 0 || harness.cooldowns.insert(target).second;
            } else if (harness.copyOrders.size() > answeredOrders && chance(60)) {
                answeredOrders = harness.copyOrders.size();
                if (!harness.copyOrders.back()) {
                    session.onCopied({.kind = chance(70) ? CopyResult::Kind::Copied : CopyResult::Kind::Busy, .handle = "h"}, harness.now());
                } else if (isStopped || chance(80)) {
                    isStopped = true;
                    session.onCopied({.kind = chance(50) ? CopyResult::Kind::Copied : CopyResult::Kind::DestinationUnavailable, .handle = "h"}, harness.now());
                } else {
                    session.onCopied({.kind = CopyResult::Kind::NotRunning}, harness.now());
                }
            } else if (!hasHead) {
                const bool isRejected = !isAtSource && chance(40);
                hasHead = session.onHead(isRejected ? TargetResponse {.status = 503, .notRun = true} : SessionHarness::streamHead(), harness.now());
            } else if (session.isMigrating() && harness.copyOrders.back() && harness.copyOrders.size() > answeredOrders && !isStopped) {
                isStopped = chance(50);
            } else if (isStopped && !hasEnded) {
                hasEnded = true;
                session.onEnd(ExchangeResult::Broken, harness.now());
            } else if (!isStopped && chance(60)) {
                nextEvent <= LastEvent ? session.onBody(SessionHarness::events(nextEvent, nextEvent), harness.now())
                                       : session.onEnd(ExchangeResult::Complete, harness.now());
                ++nextEvent;
            } else if (isAtSource && !session.isMigrating() && !isStopped) {
                session.onTargetLeaving(harness.now());
            }
        }
        ASSERT_EQ(harness.cuts, 0) << seed;
        ASSERT_EQ(harness.receivedIds(), idsUpTo(std::min(nextEvent - 1, LastEvent))) << seed;
    }
}
