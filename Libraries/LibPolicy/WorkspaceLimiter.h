#pragma once

#include <LibCore/Time.h>

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>

namespace Jujube
{

// A limit of a workspace for the whole fleet.
struct WorkspaceLimit {
    // Units per second, for example requests. Zero means that there is no limit.
    double perSecond = 0;
    // Units that can be used at once after an idle time.
    double burst = 0;
};

// Token buckets that enforce the limits of workspaces. Each gateway grants an equal part of the limit, so the fleet as a whole never grants more than the
// limit, without any communication between gateways. The drawback is that a workspace whose requests all go to one gateway gets only that gateway's part.
class WorkspaceLimiter
{
public:
    // Zero if the units are granted. Otherwise nothing is taken, and the result is the time until they will be available.
    MonotonicTime::duration take(std::string_view workspace, const WorkspaceLimit &limit, double units, int liveGateways, MonotonicTime now);

private:
    struct Bucket {
        double available = 0;
        MonotonicTime updated;
        bool used = false;
    };

    void evictStale(MonotonicTime now);

    absl::flat_hash_map<std::string, Bucket> m_buckets;
};

} // namespace Jujube
