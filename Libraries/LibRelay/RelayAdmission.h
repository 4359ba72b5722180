#pragma once

#include <LibCore/Time.h>
#include <LibRelay/RelayOutcome.h>
#include <LibRelay/RouteTable.h>
#include <LibRelay/TargetBalancer.h>
#include <optional>
#include <string_view>

namespace Jujube
{

// What a request says of itself, decoded from its head. The texts point into the head.
struct RequestAttributes {
    std::string_view id;
    std::string_view host;
    // Without the query.
    std::string_view path;
    std::string_view key;
    // How long the caller waits.
    std::optional<std::chrono::milliseconds> timeLeft;
    int64_t promptTokens = 0;
    // Largest and probable number of output tokens; zero if unknown.
    int64_t maxTokens = 0;
    int64_t lengthHint = 0;
};

// A request as judged by the document, and what that means for the decisions that follow. Points into the route table.
struct RequestAdmission {
    // Why the request is refused. What comes after the reason is not filled in then.
    std::optional<RelayOutcome> rejection;
    const RelayRoute *route = nullptr;
    const RelayService *service = nullptr;
    // Null for public routes without a key.
    const RelayWorkspace *workspace = nullptr;
    std::optional<std::vector<std::string>> homeRegions;
    RunDemand demand;
    // When the caller must have its final answer.
    MonotonicTime deadline;
};

// Judges a request by the document in force. `routes` is null while there is none; `draw` is uniform in [0, 1).
RequestAdmission admitRequest(const RouteTable *routes, const RequestAttributes &attributes, double draw, MonotonicTime now);

} // namespace Jujube
