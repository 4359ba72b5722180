#include <LibRelay/RolloutTypes.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <LibCore/AbslView.h>
#include <limits>
#include <numeric>

namespace Jujube
{

namespace
{

constexpr std::array<std::string_view, 5> StageNames {"trial", "switching", "completed", "reverting", "rolled_back"};

// The bounds of all buckets but the last one, in microseconds.
std::array<int64_t, RolloutHistogram::Buckets - 1> makeUpperBounds()
{
    std::array<int64_t, RolloutHistogram::Buckets - 1> bounds {};
    for (size_t bucket = 0; bucket < bounds.size(); ++bucket) {
        bounds.at(bucket) = std::llround(1000 * std::exp2(static_cast<double>(bucket + 1) / 2));
    }
    return bounds;
}

} // namespace

std::string_view nameOf(RolloutStage stage)
{
    return StageNames.at(static_cast<size_t>(stage));
}

std::optional<RolloutStage> rolloutStageOf(std::string_view name)
{
    const auto *const found = std::find(StageNames.begin(), StageNames.end(), name);
    if (found == StageNames.end()) {
        return std::nullopt;
    }
    return static_cast<RolloutStage>(found - StageNames.begin());
}

void RolloutHistogram::add(std::chrono::microseconds time)
{
    static const auto upperBounds = makeUpperBounds();
    const auto *const bound = std::upper_bound(upperBounds.begin(), upperBounds.end(), time.count());
    auto &count = counts.at(static_cast<size_t>(bound - upperBounds.begin()));
    count += count < std::numeric_limits<uint32_t>::max() ? 1 : 0;
}

void RolloutHistogram::add(const RolloutHistogram &other)
{
    for (size_t bucket = 0; bucket < Buckets; ++bucket) {
        const uint64_t sum = uint64_t {counts.at(bucket)} + other.counts.at(bucket);
        counts.at(bucket) = static_cast<uint32_t>(std::min<uint64_t>(sum, std::numeric_limits<uint32_t>::max()));
    }
}

int64_t RolloutHistogram::total() const
{
    return std::accumulate(counts.begin(), counts.end(), int64_t {0});
}

int64_t RolloutHistogram::countAbove(size_t bucket) const
{
    const auto first = std::min(bucket, Buckets - 1) + 1;
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first), counts.end(), int64_t {0});
}

std::optional<size_t> RolloutHistogram::quantileBucket(double part) const
{
    const auto all = total();
    if (all == 0) {
        return std::nullopt;
    }
    const auto wanted = std::clamp(part, 0.0, 1.0) * static_cast<double>(all);
    int64_t sum = 0;
    size_t last = 0;
    for (size_t bucket = 0; bucket < Buckets; ++bucket) {
        if (counts.at(bucket) == 0) {
            continue;
        }
        sum += counts.at(bucket);
        last = bucket;
        if (static_cast<double>(sum) >= wanted) {
            break;
        }
    }
    return last;
}

size_t RolloutHistogram::scaledBucket(size_t bucket, double factor)
{
    // Two buckets are a factor of 2. The small addend keeps the rounding errors of powers of sqrt(2) from costing a bucket.
    const auto shift = std::floor(2 * std::log2(factor) + 1e-9);
    const auto scaled = static_cast<double>(bucket) + shift;
    return static_cast<size_t>(std::clamp(scaled, 0.0, static_cast<double>(Buckets - 1)));
}

void RolloutSamples::add(const RolloutSamples &other)
{
    responses += other.responses;
    bad += other.bad;
    delay.add(other.delay);
    pace.add(other.pace);
}

bool VersionFilter::allows(std::string_view target, std::string_view version) const
{
    if (kind == Kind::Any) {
        return true;
    }
    const bool isListed = std::find(versions.begin(), versions.end(), version) != versions.end();
    if (kind == Kind::Except) {
        return !isListed;
    }
    return isListed && (!targets || targets->contains(toAbsl(target)));
}

VersionFilter VersionFilter::restrictedTo(const std::set<std::string> &allowed) const
{
    VersionFilter result {.kind = Kind::Only, .versions = {}, .targets = targets};
    std::ranges::copy_if(allowed, std::back_inserter(result.versions), [&](const std::string &version) {
        const bool isNamed = std::ranges::find(versions, version) != versions.end();
        return kind == Kind::Any || isNamed == (kind == Kind::Only);
    });
    return result;
}

} // namespace Jujube
