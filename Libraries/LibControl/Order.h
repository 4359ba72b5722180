#pragma once

#include <LibCore/Time.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Jujube
{

// A model in a version. An empty version means that none is declared or reported.
struct ModelVersion {
    std::string model;
    std::string version;

    auto operator<=>(const ModelVersion &) const = default;
};

// What the environment document wants of one target.
struct WantedTarget {
    // "address:port", which is also the target's name.
    std::string target;
    std::string dataCentre;
    // The target rejects orders with an old fencing number (`fencing: honoured`).
    bool honoursFencing = false;
    // The data centre is in service. A target out of service gets no orders.
    bool inService = true;
    std::vector<ModelVersion> models;
    // Empty if the document does not declare one.
    std::string role;
    int coldLimit = 0;
};

// What a target said of itself in GET /load.
struct ReportedTarget {
    std::string target;
    uint64_t incarnation = 0;
    int running = 0;
    bool cold = false;
    bool leaving = false;
    std::vector<ModelVersion> models;
    // Nothing if the target does not report a role.
    std::optional<std::string> role;
    // When the report arrived.
    MonotonicTime readAt;
};

enum class OrderKind {
    Load,
    Unload,
    Role,
};

// A declarative order: it states the desired result, so that executing it twice or late is harmless.
struct Order {
    std::string target;
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string version;
    std::string role;
    std::string dataCentre;

    // The body of POST /orders.
    nlohmann::json toJson(uint64_t fencing) const;

    bool operator==(const Order &) const = default;
    bool operator<(const Order &other) const
    {
        return std::tie(target, kind, model, version, role) < std::tie(other.target, other.kind, other.model, other.version, other.role);
    }
};

std::string_view nameOf(OrderKind kind);

// The orders that would bring the reported state to the wanted state. Targets without a report, leaving targets and targets out of service get none. Models
// that are not wanted are unloaded only after the target reports all wanted ones.
std::vector<Order> missingOrders(const std::vector<WantedTarget> &wanted, const std::vector<ReportedTarget> &reported);

} // namespace Jujube
