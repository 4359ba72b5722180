#include <LibControl/Order.h>

#include <algorithm>
#include <array>
#include <map>

namespace Jujube
{

namespace
{

// A report without a version counts as any version: the target cannot be asked for more than it reports.
bool satisfies(const ModelVersion &reported, const ModelVersion &wanted)
{
    return reported.model == wanted.model && (reported.version.empty() || wanted.version.empty() || reported.version == wanted.version);
}

bool contains(const std::vector<ModelVersion> &reported, const ModelVersion &wanted)
{
    return std::any_of(reported.begin(), reported.end(), [&wanted](const auto &item) { return satisfies(item, wanted); });
}

void addOrders(const WantedTarget &wanted, const ReportedTarget &reported, std::vector<Order> &orders)
{
    const auto before = orders.size();
    const Order order {.target = wanted.target, .dataCentre = wanted.dataCentre};
    for (const auto &item : wanted.models) {
        if (!contains(reported.models, item)) {
            orders.push_back(order);
            orders.back().kind = OrderKind::Load;
            orders.back().model = item.model;
            orders.back().version = item.version;
        }
    }
    if (!wanted.role.empty() && reported.role != wanted.role) {
        orders.push_back(order);
        orders.back().kind = OrderKind::Role;
        orders.back().role = wanted.role;
    }
    if (orders.size() > before) {
        return;
    }
    for (const auto &item : reported.models) {
        const bool isWanted = std::any_of(wanted.models.begin(), wanted.models.end(), [&item](const auto &model) { return satisfies(item, model); });
        if (!isWanted) {
            orders.push_back(order);
            orders.back().kind = OrderKind::Unload;
            orders.back().model = item.model;
            orders.back().version = item.version;
        }
    }
}

} // namespace

std::string_view nameOf(OrderKind kind)
{
    constexpr std::array<std::string_view, 3> Names {"load", "unload", "role"};
    return Names.at(static_cast<size_t>(kind));
}

nlohmann::json Order::toJson(uint64_t fencing) const
{
    nlohmann::json json {{"order", nameOf(kind)}, {"model", model}, {"version", version}, {"fencing", fencing}};
    if (kind == OrderKind::Role) {
        json["role"] = role;
    }
    return json;
}

std::vector<Order> missingOrders(const std::vector<WantedTarget> &wanted, const std::vector<ReportedTarget> &reported)
{
    std::map<std::string, const ReportedTarget *> reports;
    for (const auto &item : reported) {
        reports[item.target] = &item;
    }
    std::vector<Order> orders;
    for (const auto &item : wanted) {
        const auto report = reports.find(item.target);
        const bool getsOrders = item.inService && !item.models.empty() && report != reports.end() && !report->second->leaving;
        if (getsOrders) {
            addOrders(item, *report->second, orders);
        }
    }
    return orders;
}

} // namespace Jujube
