#pragma once

#include <LibCore/Time.h>
#include <LibRelay/RelayOutcome.h>
#include <LibRelay/RouteTable.h>
#include <LibRelay/TargetBalancer.h>
#include <optional>
#include <string_view>

namespace Jujube
{

// The attributes of a request, decoded from its header section. The texts point into the header section.
struct RequestAttributes {
    std::string_view id;
    std::string_view host;
    // Without the query.
    std::string_view path;
    std::string_view key;
    // How long the caller waits for the response.
    std::optional<std::chrono::milliseconds> timeLeft;
    int64_t promptTokens = 0;
    // Maximum and probable number of output tokens; zero if unknown.
    int64_t maxTokens = 0;
    int64_t lengthHint = 0;
};

// The result of checking a request against the document, with everything that later decisions need. Points into the route table.
struct RequestAdmission {
    // Why the request is rejected. If set, the fields that are determined after the failed check are not set.
    std::optional<RelayOutcome> rejection;
    const RelayRoute *route = nullptr;
    const RelayService *service = nullptr;
    // Null for public routes without a key.
    const RelayWorkspace *workspace = nullptr;
    std::optional<std::vector<std::string>> homeRegions;
    RunDemand demand;
    // When the caller must have its final response.
    MonotonicTime deadline;
};

// Checks a request against the document in force. `routes` is null while there is none; `draw` is uniform in [0, 1).
RequestAdmission admitRequest(const RouteTable *routes, const RequestAttributes &attributes, double draw, MonotonicTime now);

// The home regions that a later document gives to an admitted request, by its host, path and key: those of its admission if the document does not have its
// route or key any more. Nothing if it may be served anywhere.
std::optional<std::vector<std::string>> homesByDocument(const RouteTable &routes, const RequestAttributes &attributes, const RequestAdmission &admission);

// The home regions of an admitted request while a later document gives it `later`: those that its admission allows as well, or all of `later` if there are
// none.
std::optional<std::vector<std::string>> homesInForce(const std::optional<std::vector<std::string>> &admitted,
                                                     const std::optional<std::vector<std::string>> &later);

} // namespace Jujube
