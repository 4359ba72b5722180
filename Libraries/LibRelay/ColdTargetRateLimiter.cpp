#include <LibRelay/ColdTargetRateLimiter.h>

#include <algorithm>
#include <cmath>
#include <LibPolicy/SplitMix.h>
#include <LibRelay/RelayShare.h>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// Factor on this relay's share of the rate; above one, because not all relays choose the same target at once.
constexpr double OvercommitFactor = 1.2;

} // namespace

int ColdTargetRateLimiter::share(double coldPerSecond, int liveRelays)
{
    return std::max(1, static_cast<int>(std::floor(OvercommitFactor * relayShare(coldPerSecond, liveRelays))));
}

int ColdTargetRateLimiter::coldShare(double coldPerSecond, const ColdRateParticipants &participants, std::string_view target)
{
    if (!participants.hasDiscoveredPeers) {
        return 0;
    }
    const auto starts = std::max<size_t>(1, static_cast<size_t>(std::floor(OvercommitFactor * coldPerSecond)));
    const auto gateways = participants.others.size() + 1;
    if (gateways < starts) {
        return share(coldPerSecond, static_cast<int>(gateways));
    }
    const auto salt = XXH3_64bits(target.data(), target.size());
    const auto order = [salt](uint64_t gateway) { return SplitMix(gateway ^ salt).next(); };
    const auto own = order(participants.self);
    const auto before = std::count_if(participants.others.begin(), participants.others.end(), [&](uint64_t other) { return order(other) < own; });
    return static_cast<size_t>(before) < starts ? 1 : 0;
}

bool ColdTargetRateLimiter::isWithinShare(const std::string &target, int share, MonotonicTime now) const
{
    const auto found = m_starts.find(target);
    if (found == m_starts.end()) {
        return share > 0;
    }
    const auto recent = std::count_if(found->second.begin(), found->second.end(), [&](MonotonicTime time) { return now - time < Window; });
    return recent < share;
}

void ColdTargetRateLimiter::recordStart(const std::string &target, MonotonicTime now)
{
    auto &times = m_starts[target];
    times.push_back(now);
    while (now - times.front() >= Window) {
        times.pop_front();
    }
}

void ColdTargetRateLimiter::expire(MonotonicTime now)
{
    absl::erase_if(m_starts, [&](const auto &entry) { return now - entry.second.back() >= Window; });
}

} // namespace Jujube
