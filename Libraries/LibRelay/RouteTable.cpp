#include <LibRelay/RouteTable.h>

#include <algorithm>

namespace Jujube
{

std::string_view nameOf(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Repeatable:
        return "repeatable";
    case RouteKind::OneTime:
        return "one_time";
    case RouteKind::Stream:
        return "stream";
    }
    return "unknown";
}

RouteTable::RouteTable(RelayDocument document)
    : m_document(std::move(document))
{
    for (const auto &route : m_document.routes) {
        m_routes[route.host].push_back(&route);
        for (const auto &share : route.shares) {
            const auto [priority, isFirst] = m_mostUrgentPriorities.try_emplace(share.service, route.priority);
            priority->second = std::min(priority->second, route.priority);
        }
    }
    for (auto &[host, routes] : m_routes) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) { return left->prefix.size() > right->prefix.size(); });
    }
    for (const auto &service : m_document.services) {
        m_services[service.name] = &service;
    }
    for (const auto &workspace : m_document.workspaces) {
        for (const auto &key : workspace.keys) {
            m_workspaces[key] = &workspace;
        }
    }
}

std::optional<int> RouteTable::mostUrgentPriority(std::string_view service) const
{
    const auto found = m_mostUrgentPriorities.find(std::string(service));
    return found == m_mostUrgentPriorities.end() ? std::nullopt : std::optional(found->second);
}

const RelayRoute *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routes.find(std::string(host));
    if (found == m_routes.end()) {
        return nullptr;
    }
    const auto &routes = found->second;
    const auto route = std::find_if(routes.begin(), routes.end(), [&](const auto *candidate) { return path.starts_with(candidate->prefix); });
    return route == routes.end() ? nullptr : *route;
}

const RelayService *RouteTable::findService(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const RelayWorkspace *RouteTable::findWorkspaceByKey(std::string_view key) const
{
    const auto found = m_workspaces.find(std::string(key));
    return found == m_workspaces.end() ? nullptr : found->second;
}

const std::string &RouteTable::pickService(const RelayRoute &route, double draw)
{
    double total = 0;
    for (const auto &share : route.shares) {
        total += share.weight;
    }
    double rest = draw * total;
    for (const auto &share : route.shares) {
        rest -= share.weight;
        if (rest < 0) {
            return share.service;
        }
    }
    return route.shares.back().service;
}

std::optional<std::vector<std::string>> RouteTable::homeRegions(const RelayRoute &route, const RelayWorkspace *workspace)
{
    const bool workspaceHasHomes = workspace && !workspace->homeRegions.empty();
    if (route.homeRegions.empty()) {
        return workspaceHasHomes ? std::optional(workspace->homeRegions) : std::nullopt;
    }
    auto regions = route.homeRegions;
    if (workspaceHasHomes) {
        const auto &own = workspace->homeRegions;
        std::erase_if(regions, [&](const std::string &region) { return std::find(own.begin(), own.end(), region) == own.end(); });
    }
    return regions;
}

} // namespace Jujube
