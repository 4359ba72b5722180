#pragma once

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <LibCore/Time.h>
#include <string>

namespace Jujube
{

// Bounds the requests per second at one target to this gateway's share of what a cold target bears. It applies to warm targets as well, because a target may
// turn cold unseen, and the share is far above what a warm target gets from one gateway.
class ColdRate
{
public:
    // Most sends of this gateway within a second.
    static int share(double coldPerSecond, int liveGateways);

    bool mayTake(const std::string &target, int share, MonotonicTime now) const;
    void noteTaken(const std::string &target, MonotonicTime now);
    void expire(MonotonicTime now);

private:
    static constexpr std::chrono::milliseconds Window {1100};

    absl::flat_hash_map<std::string, std::deque<MonotonicTime>> m_taken;
};

} // namespace Jujube
