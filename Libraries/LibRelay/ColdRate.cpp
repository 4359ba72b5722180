#include <LibRelay/ColdRate.h>

#include <algorithm>
#include <cmath>
#include <LibRelay/GatewayShare.h>

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

bool ColdRate::mayTake(const std::string &target, int share, MonotonicTime now) const
{
    const auto found = m_taken.find(target);
    if (found == m_taken.end()) {
        return true;
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
