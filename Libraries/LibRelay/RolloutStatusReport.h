#pragma once

#include <absl/status/statusor.h>
#include <LibRelay/RolloutTypes.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// What a relay knows of one service's rollout, for operators. Relays serve a list of these as JSON, and jujubectl prints it. Counts are sums of all relays that
// report to the relay, else only its own ones.
struct RolloutStatusReport {
    std::string service;
    std::string to;
    RolloutStage stage = RolloutStage::Trial;
    // Part of the requests that goes to the new version in the trial.
    double share = 0;
    // The store's versions of the rows of order and plan.
    int64_t order = 0;
    int64_t plan = 0;
    // Time until the rollout should have ended, below zero after it. Nothing if the store's clock is not known.
    std::optional<std::chrono::milliseconds> due;
    // Whether nothing is sent to the new version for now.
    bool hold = false;
    // First attempts of requests since the order, and those of them to the new version.
    int64_t requests = 0;
    int64_t newRequests = 0;
    // Responses of the new version, and bad ones among them.
    int64_t responses = 0;
    int64_t bad = 0;
    // Requests under way at targets of other versions, and of the new one.
    int64_t underWayOld = 0;
    int64_t underWayNew = 0;
    // Name of the relay that coordinates. Empty if the relay knows none.
    std::string coordinator;
    // The relay that stored the plan, and its reason.
    std::string by;
    std::string reason;

    bool operator==(const RolloutStatusReport &) const = default;

    // A list of objects, one for each service.
    static std::string toJson(const std::vector<RolloutStatusReport> &reports);

    // Ignores unknown fields. Errors: ErrorKind::MalformedJson, ErrorKind::InvalidUtf8, and ErrorKind::InvalidValue for a list without the required fields.
    static absl::StatusOr<std::vector<RolloutStatusReport>> parse(std::string_view text);
};

} // namespace Jujube
