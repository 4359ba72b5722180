#include <gtest/gtest.h>
#include <LibRelay/TargetListFreshness.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

} // namespace

// Guards against drafts lost with engines that leave in the first second of an outage: a reader that is refused knows at once, and one that gets no answer
// before a notice of 1.5 s is half over.
TEST(ListFreshness, ReaderNoticesAnOutage)
{
    TargetListState state {.isReading = true, .readAt = Start, .readInterval = 160ms, .currentAt = Start};
    EXPECT_FALSE(isTargetListStale(state, Start + 600ms));
    EXPECT_TRUE(isTargetListStale(state, Start + 650ms));
    state.failingSince = Start;
    EXPECT_TRUE(isTargetListStale(state, Start + 10ms));
}

// Guards against questions to all engines because no target changes and the store holds each read.
TEST(ListFreshness, HeldReadsAreNoOutage)
{
    const TargetListState state {.isReading = true, .readAt = Start, .readInterval = 1120ms, .currentAt = Start};
    EXPECT_FALSE(isTargetListStale(state, Start + 1200ms));
}

// Guards against relays that wait for the list to age although the last reader has told them that it fails.
TEST(ListFreshness, OthersGoByTheReaders)
{
    TargetListState state {.hasReadingPeer = true, .currentAt = Start};
    EXPECT_FALSE(isTargetListStale(state, Start + 1000ms));
    state.hasReadingPeer = false;
    EXPECT_TRUE(isTargetListStale(state, Start + 100ms));
}

// Guards against questions to all engines because the store refuses one relay and serves the others.
TEST(ListFreshness, OneReaderIsEnough)
{
    const TargetListState refused {.isReading = true, .failingSince = Start, .readAt = Start, .hasReadingPeer = true, .currentAt = Start + 900ms};
    EXPECT_FALSE(isTargetListStale(refused, Start + 1000ms));
    EXPECT_FALSE(hasRecentStoreRead(refused, Start + 1000ms));
}

// Guards against a relay that believes a reader it has not heard for long, and against one that says it reads before it has.
TEST(ListFreshness, OldListsAreLost)
{
    EXPECT_TRUE(isTargetListStale({.hasReadingPeer = true, .currentAt = Start}, Start + 1500ms));
    EXPECT_FALSE(hasRecentStoreRead({.isReading = true, .currentAt = Start}, Start));
}

// Guards against a store that all relays call while it is away, and against a relay that is refused and keeps others from trying.
TEST(ListFreshness, FailingReadersLeaveTheTryingToOthersAfterAWhile)
{
    EXPECT_FALSE(isTryingStore({.currentAt = Start}, Start));
    EXPECT_TRUE(isTryingStore({.isReading = true, .currentAt = Start}, Start));
    const TargetListState failing {.isReading = true, .failingSince = Start, .readAt = Start, .currentAt = Start};
    EXPECT_TRUE(isTryingStore(failing, Start + 900ms));
    EXPECT_FALSE(isTryingStore(failing, Start + 1000ms));
}

// Load pattern: in a fleet of 195 relays heartbeats are 0.8 s apart, and the store holds reads for a second while nothing changes. Guards against some hundred
// relays that ask their engines for their state although the list is read.
TEST(ListFreshness, ListIsNotLostBetweenRareHeartbeats)
{
    TargetListState state {.hasReadingPeer = true, .currentAt = Start, .heartbeatInterval = 800ms};
    EXPECT_FALSE(isTargetListStale(state, Start + 1900ms));
    EXPECT_TRUE(isTargetListStale(state, Start + 2600ms));
    state.heartbeatInterval = 200ms;
    EXPECT_TRUE(isTargetListStale(state, Start + 1500ms));
}
