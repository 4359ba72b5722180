#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Jujube
{

// What a relay knows about how fresh its list of targets is.
struct TargetListState {
    // Whether this relay is one of those that read the store.
    bool isReading = false;
    // Since when its reads fail. Nothing if the last one succeeded.
    std::optional<MonotonicTime> failingSince;
    // When its last read succeeded.
    std::optional<MonotonicTime> readAt;
    // Usual time between two reads: short while targets change often, up to the time that the store may hold a read while none does.
    std::chrono::milliseconds readInterval {0};
    // Whether a live peer reads the store.
    bool hasReadingPeer = false;
    // The list holds as of this time, by this relay's reads or by those of peers.
    MonotonicTime currentAt;
    // Pause between the heartbeats by which peers tell how old their list is.
    std::chrono::milliseconds heartbeatInterval {0};
};

// A read that takes this many times the usual interval means that the store is silent, within these bounds. The upper one is the pause between reads, the
// longest time that the store holds one, and a margin for the network.
constexpr int IntervalsUntilOverdue = 4;
constexpr std::chrono::milliseconds MinOverdueTime {500};
constexpr std::chrono::milliseconds MaxOverdueTime {1320};
// Without word of any reader for this time, the list is taken as lost: a relay may be cut off from its peers. In large fleets heartbeats are rarer: the list
// may then be as old as the longest held read and some heartbeats.
constexpr std::chrono::milliseconds MinStaleAge {1500};
constexpr std::chrono::milliseconds MaxHeldReadTime {1000};
constexpr int HeartbeatsUntilStale = 2;

// A relay whose reads fail leaves the trying to others after this time, because the store may refuse just this one.
constexpr std::chrono::milliseconds MaxFailingReaderTime {1000};

// Whether the relay reads the store with success, so that others can rely on it.
bool hasRecentStoreRead(const TargetListState &state, MonotonicTime now);

// Whether other relays need not read the store themselves. Load pattern: while the store is away, each call to it is in vain and has its price, and dozens of
// relays would make them.
bool isTryingStore(const TargetListState &state, MonotonicTime now);

// Whether changes of the list would go unnoticed at present. Load pattern: engines are taken away within some two seconds while the store is away, so that
// nobody reads that they leave; relays with generations on them have to ask the engines themselves, and at once.
bool isTargetListStale(const TargetListState &state, MonotonicTime now);

} // namespace Jujube
