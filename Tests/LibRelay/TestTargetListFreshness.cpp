#include <gtest/gtest.h>
#include <LibRelay/TargetListFreshness.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

} // namespace

// Guards against losing drafts with engines that leave in the first second of an outage: a reader that is refused notices at once, and one that gets no
// response notices before half of a notice of 1.5 s is over.
TEST(TargetListFreshness, ReaderNoticesAnOutage)
{
    TargetListState state {.isReading = true, .readAt = Start, .readInterval = 160ms, .currentAt = Start};
    EXPECT_FALSE(isTargetListStale(state, Start + 600ms));
    EXPECT_TRUE(isTargetListStale(state, Start + 650ms));
    state.failingSince = Start;
    EXPECT_TRUE(isTargetListStale(state, Start + 10ms));
}

// Guards against querying all engines because no target changes and the store holds each read.
TEST(TargetListFreshness, HeldReadIsNoOutage)
{
    const TargetListState state {.isReading = true, .readAt = Start, .readInterval = 1120ms, .currentAt = Start};
    EXPECT_FALSE(isTargetListStale(state, Start + 1200ms));
}

// Guards against relays that wait for the list to age although the last reader has reported that its reads fail.
TEST(TargetListFreshness, OtherRelaysDependOnTheReaders)
{
    TargetListState state {.hasReadingPeer = true, .currentAt = Start};
    EXPECT_FALSE(isTargetListStale(state, Start + 1000ms));
    state.hasReadingPeer = false;
    EXPECT_TRUE(isTargetListStale(state, Start + 100ms));
}

// Guards against querying all engines because the store refuses one relay and serves the others.
TEST(TargetListFreshness, OneReaderIsEnough)
{
    const TargetListState refused {.isReading = true, .failingSince = Start, .readAt = Start, .hasReadingPeer = true, .currentAt = Start + 900ms};
    EXPECT_FALSE(isTargetListStale(refused, Start + 1000ms));
    EXPECT_FALSE(hasRecentStoreRead(refused, Start + 1000ms));
}

// Guards against relying on a reader without a recent heartbeat, and against a relay that claims to read the store before its first read.
TEST(TargetListFreshness, OldListIsStale)
{
    EXPECT_TRUE(isTargetListStale({.hasReadingPeer = true, .currentAt = Start}, Start + 1500ms));
    EXPECT_FALSE(hasRecentStoreRead({.isReading = true, .currentAt = Start}, Start));
}

// Guards against all relays calling an unavailable store, and against a refused relay that keeps others from trying.
TEST(TargetListFreshness, FailingReaderStopsTryingAfterAWhile)
{
    EXPECT_FALSE(isTryingStore({.currentAt = Start}, Start));
    EXPECT_TRUE(isTryingStore({.isReading = true, .currentAt = Start}, Start));
    const TargetListState failing {.isReading = true, .failingSince = Start, .readAt = Start, .currentAt = Start};
    EXPECT_TRUE(isTryingStore(failing, Start + 900ms));
    EXPECT_FALSE(isTryingStore(failing, Start + 1000ms));
}

// Guards against some hundred relays querying their engines although the list is being read: in a fleet of 195 relays heartbeats are 0.8 s apart, and the store
// holds reads for a second while nothing changes.
TEST(TargetListFreshness, ListIsNotStaleBetweenRareHeartbeats)
{
    TargetListState state {.hasReadingPeer = true, .currentAt = Start, .heartbeatInterval = 800ms};
    EXPECT_FALSE(isTargetListStale(state, Start + 1900ms));
    EXPECT_TRUE(isTargetListStale(state, Start + 2600ms));
    state.heartbeatInterval = 200ms;
    EXPECT_TRUE(isTargetListStale(state, Start + 1500ms));
}
