#include "Harness/PlannedLosses.h"

#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

const MonotonicTime Term = MonotonicTime() + 100s;

// One request at a relay that gets SIGTERM at Term.
struct World {
    PlannedLosses losses {{}};

    World()
    {
        losses.onTerm(Term, "n1");
    }

    void send(MonotonicTime at, std::chrono::milliseconds limit = 39s)
    {
        losses.onSent(at, "c1-1", {.relay = "n1", .target = "/draft/x", .limit = limit, .isOnKept = true});
    }

    void run(MonotonicTime at)
    {
        losses.onRun(at, "c1-1", "i-1");
    }

    bool isLost(MonotonicTime at)
    {
        return losses.onEnd(at, "c1-1", false, 200, 10).has_value();
    }
};

} // namespace

// Guards against requests that were sent late after SIGTERM, were cut at the end of the grace time and pass unseen.
TEST(PlannedLosses, RequestSentLateAndCutAtTheEndIsLost)
{
    World world;
    world.send(Term + 3001ms);
    world.run(Term + 3050ms);
    EXPECT_TRUE(world.isLost(Term + 7400ms));
}

// Guards against a check that blames relays for requests that no relay can end in time.
TEST(PlannedLosses, RequestSentEarlyWhoseTargetWorksNearTheEndIsNotLost)
{
    World world;
    world.send(Term + 3s);
    world.run(Term + 3050ms);
    EXPECT_FALSE(world.isLost(Term + 7400ms));
    EXPECT_EQ(world.losses.counts().nearGraceEnd, 1U);
}

// Guards against early requests that are excused although the relay cut them before the last sixth of the grace time.
TEST(PlannedLosses, RequestCutBeforeTheLastSixthIsLost)
{
    World world;
    world.send(Term - 1s);
    world.run(Term - 990ms);
    EXPECT_TRUE(world.isLost(Term + 6600ms));
}

// Guards against early requests that are excused although their target was done long before the cut.
TEST(PlannedLosses, RequestWhoseTargetWasDoneBeforeTheLastSixthIsLost)
{
    World world;
    world.send(Term);
    world.run(Term + 10ms);
    world.losses.onTargetDone(Term + 6600ms, "c1-1");
    EXPECT_TRUE(world.isLost(Term + 7400ms));
}

// Guards against an excuse that outlives the run to which it belongs.
TEST(PlannedLosses, RequestThatRanAgainIsAtWorkAgain)
{
    World world;
    world.send(Term);
    world.run(Term + 10ms);
    world.losses.onTargetDone(Term + 20ms, "c1-1");
    world.run(Term + 30ms);
    EXPECT_FALSE(world.isLost(Term + 7400ms));
}

TEST(PlannedLosses, RequestWhoseTimeIsOverIsNotLost)
{
    World world;
    world.send(Term, 2s);
    world.run(Term + 10ms);
    EXPECT_FALSE(world.isLost(Term + 2s));
    world.send(Term, 2s);
    world.run(Term + 10ms);
    EXPECT_TRUE(world.isLost(Term + 1999ms));
}

// Guards against requests that were read, were passed on to no target, and pass unseen.
TEST(PlannedLosses, RequestThatNoTargetGotIsLostSomeTimeAfterItsLastByte)
{
    World world;
    world.send(Term + 1s);
    EXPECT_FALSE(world.isLost(Term + 1200ms));
    world.send(Term + 1s);
    EXPECT_TRUE(world.isLost(Term + 1201ms));
    // At the end of the grace time as well: no target was at work.
    world.send(Term + 1s);
    EXPECT_TRUE(world.isLost(Term + 7400ms));
}

TEST(PlannedLosses, RequestPassedOnIsLostAtOnce)
{
    World world;
    world.send(Term + 1s);
    world.run(Term + 1010ms);
    EXPECT_TRUE(world.isLost(Term + 1020ms));
}

// Guards against requests that a process loses which does not end in its grace time.
TEST(PlannedLosses, StopLastsOneSecondLongerThanTheGraceTime)
{
    World world;
    world.send(Term + 4s);
    world.run(Term + 4010ms);
    EXPECT_TRUE(world.isLost(Term + 9s));
    world.send(Term + 4s);
    world.run(Term + 4010ms);
    EXPECT_FALSE(world.isLost(Term + 9001ms));
}

TEST(PlannedLosses, RequestsSentUntilSomeTimeAfterReloadAreLost)
{
    PlannedLosses losses({});
    losses.onReload(Term, "n1");
    for (const auto &[sentAt, isLost] : {std::pair(Term - 5s, true), std::pair(Term + 2500ms, true), std::pair(Term + 2501ms, false)}) {
        losses.onSent(sentAt, "c1-1", {.relay = "n1", .limit = 39s});
        losses.onRun(sentAt, "c1-1", "i-1");
        EXPECT_EQ(losses.onEnd(Term + 20s, "c1-1", false, 200, 10).has_value(), isLost);
    }
}

// Guards against requests that are cut beside changed documents and pass unseen.
TEST(PlannedLosses, CutsBesideDocumentsCountIfTheyAreMoreFrequent)
{
    for (const bool isFrequent : {true, false}) {
        PlannedLosses losses({});
        losses.onDocument(Term, Term + 10ms);
        const auto end = [&](MonotonicTime at, bool isComplete) {
            losses.onSent(at - 1s, "c1-1", {.relay = "n1", .limit = 39s});
            losses.onRun(at - 990ms, "c1-1", "i-1");
            EXPECT_FALSE(losses.onEnd(at, "c1-1", isComplete, 200, 10).has_value());
        };
        for (int number = 0; number < 20; ++number) {
            end(Term + 1s, number > 3);
            end(Term + 20s, number > (isFrequent ? 0 : 1));
        }
        EXPECT_EQ(losses.finish().size(), isFrequent ? 4U : 0U);
    }
}

// Guards against relays that cut kept connections without any planned work.
TEST(PlannedLosses, CutsOfKeptConnectionsCountIfThereAreMoreThanThree)
{
    for (const size_t cuts : {3U, 4U}) {
        PlannedLosses losses({});
        for (size_t number = 0; number < cuts; ++number) {
            losses.onSent(Term, "c1-1", {.relay = "n1", .limit = 39s, .isOnKept = true});
            losses.onRun(Term + 10ms, "c1-1", "i-1");
            EXPECT_FALSE(losses.onEnd(Term + 1s, "c1-1", false, 200, 10).has_value());
        }
        EXPECT_EQ(losses.finish().size(), cuts > 3 ? cuts : 0U);
    }
}
