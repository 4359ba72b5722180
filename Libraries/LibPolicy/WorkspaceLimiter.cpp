#include <LibPolicy/WorkspaceLimiter.h>

#include <LibCore/AbslView.h>

#include <algorithm>

namespace Jujube
{

namespace
{

constexpr size_t MaxBuckets = 4096;

// A bucket that was not used for this long is full again under every sensible limit.
constexpr std::chrono::minutes IdleTime {10};

} // namespace

MonotonicTime::duration WorkspaceLimiter::take(std::string_view workspace, const WorkspaceLimit &limit, double units, int liveGateways, MonotonicTime now)
{
    if (limit.perSecond <= 0) {
        return {};
    }
    evictStale(now);
    const double gateways = std::max(liveGateways, 1);
    const double rate = limit.perSecond / gateways;
    // A bucket that cannot hold the request would never grant it.
    const double capacity = std::max(limit.burst / gateways, units);
    auto &bucket = m_buckets[toAbsl(workspace)];
    if (!bucket.used) {
        bucket = {.available = capacity, .updated = now, .used = true};
    }
    const std::chrono::duration<double> elapsed = now - bucket.updated;
    bucket.available = std::min(bucket.available + std::max(elapsed.count(), 0.0) * rate, capacity);
    bucket.updated = std::max(bucket.updated, now);
    if (bucket.available >= units) {
        bucket.available -= units;
        return {};
    }
    const std::chrono::duration<double> missing((units - bucket.available) / rate);
    return std::chrono::ceil<MonotonicTime::duration>(missing);
}

void WorkspaceLimiter::evictStale(MonotonicTime now)
{
    if (m_buckets.size() < MaxBuckets) {
        return;
    }
    absl::erase_if(m_buckets, [now](const auto &entry) { return now - entry.second.updated > IdleTime; });
}

} // namespace Jujube
