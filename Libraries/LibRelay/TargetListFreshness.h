#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Jujube
{

// What a relay knows about how fresh a table of the store is, most of all its target list.
struct TargetListState {
    // Whether this relay is one of those that read the store.
    bool isReading = false;
    // Since when its reads have failed. Nothing if the last one succeeded.
    std::optional<MonotonicTime> failingSince;
    // When its last read succeeded.
    std::optional<MonotonicTime> readAt;
    // Usual time between two reads: short while targets change often, up to the time for which the store may hold a read while no target changes.
    std::chrono::milliseconds readInterval {0};
    // Whether a live peer reads the store.
    bool hasReadingPeer = false;
    // The list was current at this time, according to this relay's reads or to those of its peers.
    MonotonicTime currentAt;
    // Interval between the heartbeats in which peers report the age of their list.
    std::chrono::milliseconds heartbeatInterval {0};
};

// A read that takes this many times the usual interval, within these bounds, means that the store does not respond. The upper bound is the delay between reads,
// the longest time for which the store holds a read, and a margin for the network.
constexpr int IntervalsUntilOverdue = 4;
constexpr std::chrono::milliseconds MinOverdueTime {500};
constexpr std::chrono::milliseconds MaxOverdueTime {1320};
// The list counts as stale if no reader has confirmed it for this time, as the relay may be disconnected from its peers. Large fleets send heartbeats less
// often, so there the list may be as old as the longest held read plus some heartbeat intervals.
constexpr std::chrono::milliseconds MinStaleAge {1500};
constexpr std::chrono::milliseconds MaxHeldReadTime {1000};
constexpr int HeartbeatsUntilStale = 2;

// A relay whose reads fail stops counting as a reader after this time, so that others try: the store may refuse just this relay.
constexpr std::chrono::milliseconds MaxFailingReaderTime {1000};

// Whether the relay reads the store successfully, so that others can rely on it.
bool hasRecentStoreRead(const TargetListState &state, MonotonicTime now);

// Whether the relay tries to read the store, so that others need not. While the store is unavailable, calls to it fail but still have a cost, and dozens of
// relays would make them.
bool isTryingStore(const TargetListState &state, MonotonicTime now);

// Whether changes of the target list would go unnoticed now. Engines are terminated within some two seconds also while the store is unavailable, and then
// nobody reads that they are leaving: relays with generations on them have to query the engines themselves at once.
bool isTargetListStale(const TargetListState &state, MonotonicTime now);

} // namespace Jujube
