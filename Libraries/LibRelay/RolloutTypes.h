#pragma once

#include <absl/container/flat_hash_set.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// An operator's order to move the traffic of a service to the targets of another version.
struct RolloutOrder {
    std::string service;
    // The version to move to.
    std::string to;
    // Time from the order until the roll-out should have ended.
    std::chrono::milliseconds duration {0};
    // The store's version of the order's row. A later order of the same service has a higher one.
    int64_t version = 0;
};

// The stages of a roll-out. docs/design/rollout.md, section 3.
enum class RolloutStage : uint8_t {
    // A part of the requests goes to the new version.
    Trial,
    // All requests go to the new version, and what is under way elsewhere ends.
    Switching,
    Completed,
    // No request goes to the new version, and not all relays have confirmed that yet.
    Reverting,
    RolledBack,
};

std::string_view nameOf(RolloutStage stage);
std::optional<RolloutStage> rolloutStageOf(std::string_view name);

// Whether only a new order changes the stage.
constexpr bool isFinal(RolloutStage stage)
{
    return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
}

// Whether requests may go to the new version only.
constexpr bool isOnNewVersion(RolloutStage stage)
{
    return stage == RolloutStage::Switching || stage == RolloutStage::Completed;
}

// The plan of a service's roll-out, as it is stored in the row of the service.
struct RolloutPlan {
    std::string service;
    std::string to;
    // Version of the order's row that the plan carries out.
    int64_t order = 0;
    RolloutStage stage = RolloutStage::Trial;
    // Part of the requests that goes to the new version during the trial, from 0 to 1. Zero in a plan without a trial, because the version serves already.
    double share = 0;
    // Begin of the roll-out and the time by which it should have ended, in milliseconds of the store's steady clock.
    int64_t startedMs = 0;
    int64_t dueMs = 0;
    // Why the plan has its stage, and the relay that wrote it.
    std::string reason;
    std::string by;
    // Further versions that must get nothing, because a roll-out to them was taken back or the service has moved away from them.
    std::vector<std::string> rejected;
    // The store's version of the plan's row. Zero for a plan that is not stored yet. The highest one is in force.
    int64_t version = 0;

    bool hasTrial() const
    {
        return share > 0;
    }
    bool operator==(const RolloutPlan &) const = default;
};

// A plan as relays report it to each other in heartbeats.
struct RolloutNotice {
    RolloutPlan plan;
    // Whether the coordinator asks for sending nothing to the new version for now, because it is about to take the roll-out back.
    bool hold = false;
    // Time since the plan was last known to be the store's.
    std::chrono::milliseconds age {0};
};

// Counts of times on a logarithmic scale from one millisecond: bucket n holds the times below 2^((n + 1) / 2) ms that no lower bucket holds, the last one all
// longer times.
class RolloutHistogram
{
public:
    static constexpr size_t Buckets = 24;

    void add(std::chrono::microseconds time);
    void add(const RolloutHistogram &other);
    int64_t total() const;
    // Number of times in buckets above this one.
    int64_t countAbove(size_t bucket) const;
    // The bucket in which the given part (0 to 1) of all times is reached. Nothing without times.
    std::optional<size_t> quantileBucket(double part) const;
    // The bucket whose upper bound is the upper bound of `bucket` times the factor, rounded down, at most the last one.
    static size_t scaledBucket(size_t bucket, double factor);

    std::array<uint32_t, Buckets> counts {};

    bool operator==(const RolloutHistogram &) const = default;
};

// What responses of one target on one route have shown since the order. All numbers are sums, so that a repeated report changes nothing.
struct RolloutSamples {
    int64_t responses = 0;
    // Server errors of the target's own, broken responses, and requests that had no response within their time.
    int64_t bad = 0;
    // Time from sending the request to the header section, of a stream to its first event.
    RolloutHistogram delay;
    // Mean time between two of the first events of a stream.
    RolloutHistogram pace;

    void add(const RolloutSamples &other);

    bool operator==(const RolloutSamples &) const = default;
};

// Identifies samples: by route, target, and whether the target is of the new version.
struct RolloutSampleKey {
    std::string route;
    std::string target;
    bool isNew = false;

    auto operator<=>(const RolloutSampleKey &) const = default;
};

// What one relay reports of the roll-out of one service. All counts are sums since the order became known to the relay's process.
struct RolloutReport {
    std::string node;
    // Start of the relay's process, in milliseconds since 1970. Counts of an earlier process are kept beside those of the current one.
    int64_t incarnation = 0;
    std::string service;
    int64_t order = 0;
    // Version of the plan that the relay follows. Zero before it knows one.
    int64_t plan = 0;
    // First attempts of requests of the service, and those of them that went to the new version.
    int64_t requests = 0;
    int64_t newRequests = 0;
    // Requests under way at targets of the new version, and at all others.
    int64_t runningOnNew = 0;
    int64_t runningOnOld = 0;
    std::map<RolloutSampleKey, RolloutSamples> samples;

    bool operator==(const RolloutReport &) const = default;
};

// Which targets of a service a request may be sent to, by their version.
struct VersionFilter {
    enum class Kind : uint8_t {
        Any,
        Only,
        Except,
    };
    Kind kind = Kind::Any;
    std::vector<std::string> versions;
    // With Only: the targets among those of the versions. Nothing for all.
    std::shared_ptr<const absl::flat_hash_set<std::string>> targets;

    bool allows(std::string_view target, std::string_view version) const;

    // The same filter for some versions only: those of them that this filter allows.
    VersionFilter restrictedTo(const std::set<std::string> &allowed) const;
};

} // namespace Jujube
