#include <LibRelay/ListFreshness.h>

#include <algorithm>

namespace Jujube
{

bool readsStore(const ListSources &sources, MonotonicTime now)
{
    const auto overdue = std::clamp(IntervalsUntilOverdue * sources.readInterval, EarliestOverdue, LatestOverdue);
    return sources.isReading && !sources.failingSince && sources.readAt && now - *sources.readAt < overdue;
}

bool triesStore(const ListSources &sources, MonotonicTime now)
{
    return sources.isReading && (!sources.failingSince || now - *sources.failingSince < TryingTime);
}

bool isListLost(const ListSources &sources, MonotonicTime now)
{
    if (now - sources.currentAt >= std::max(ListLostAge, LongestHeldRead + BeatsUntilListLost * sources.beatPause)) {
        return true;
    }
    return !sources.peerReads && !readsStore(sources, now);
}

} // namespace Jujube
