#include <LibRelay/ColdRate.h>

#include <algorithm>
#include <cmath>
#include <LibPolicy/SplitMix.h>
#include <LibRelay/GatewayShare.h>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// Part of the rate that is given out; above one, because not all gateways choose the same target at once.
constexpr double UsedShare = 1.2;

} // namespace

int ColdRate::share(double coldPerSecond, int liveGateways)
{
    return std::max(1, static_cast<int>(std::floor(UsedShare * gatewayShare(coldPerSecond, liveGateways))));
}

int ColdRate::coldShare(double coldPerSecond, const ColdSharers &sharers, std::string_view target)
{
    if (!sharers.isSettled) {
        return 0;
    }
    const auto starts = std::max<size_t>(1, static_cast<size_t>(std::floor(UsedShare * coldPerSecond)));
    const auto gateways = sharers.others.size() + 1;
    if (gateways < starts) {
        return share(coldPerSecond, static_cast<int>(gateways));
    }
    const auto salt = XXH3_64bits(target.data(), target.size());
    const auto order = [salt](uint64_t gateway) { return SplitMix(gateway ^ salt).next(); };
    const auto own = order(sharers.self);
    const auto before = std::count_if(sharers.others.begin(), sharers.others.end(), [&](uint64_t other) { return order(other) < own; });
    return static_cast<size_t>(before) < starts ? 1 : 0;
}

bool ColdRate::mayTake(const std::string &target, int share, MonotonicTime now) const
{
    const auto found = m_taken.find(target);
    if (found == m_taken.end()) {
        return share > 0;
    }
    const auto recent = std::count_if(found->second.begin(), found->second.end(), [&](MonotonicTime time) { return now - time < Window; });
    return recent < share;
}

void ColdRate::noteTaken(const std::string &target, MonotonicTime now)
{
    auto &times = m_taken[target];
    times.push_back(now);
    while (now - times.front() >= Window) {
        times.pop_front();
    }
}

void ColdRate::expire(MonotonicTime now)
{
    absl::erase_if(m_taken, [&](const auto &entry) { return now - entry.second.back() >= Window; });
}

} // namespace Jujube
