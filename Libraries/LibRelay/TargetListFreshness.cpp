#include <LibRelay/TargetListFreshness.h>

#include <algorithm>

namespace Jujube
{

bool hasRecentStoreRead(const TargetListState &state, MonotonicTime now)
{
    const auto overdue = std::clamp(IntervalsUntilOverdue * state.readInterval, MinOverdueTime, MaxOverdueTime);
    return state.isReading && !state.failingSince && state.readAt && now - *state.readAt < overdue;
}

bool isTryingStore(const TargetListState &state, MonotonicTime now)
{
    return state.isReading && (!state.failingSince || now - *state.failingSince < MaxFailingReaderTime);
}

bool isTargetListStale(const TargetListState &state, MonotonicTime now)
{
    if (now - state.currentAt >= std::max(MinStaleAge, MaxHeldReadTime + HeartbeatsUntilStale * state.heartbeatInterval)) {
        return true;
    }
    return !state.hasReadingPeer && !hasRecentStoreRead(state, now);
}

} // namespace Jujube
