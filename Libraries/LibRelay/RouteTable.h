#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibRelay/RelayDocument.h>
#include <memory>
#include <optional>
#include <string_view>

namespace Jujube
{

// A document in force, indexed for lookups. Immutable; a request in progress keeps the table with which it was accepted.
class RouteTable
{
public:
    explicit RouteTable(RelayDocument document);

    // The route of the host with the longest prefix that begins the path. Null if there is none.
    const RelayRoute *findRoute(std::string_view host, std::string_view path) const;
    const RelayService *findService(std::string_view name) const;
    // The workspace that holds a key.
    const RelayWorkspace *findWorkspaceByKey(std::string_view key) const;

    // The service for one request of a route, by the weights of its shares. `draw` is uniform in [0, 1).
    static const std::string &pickService(const RelayRoute &route, double draw);

    // The regions in which a request may be served: those of the route and of the workspace, where they have any. Nothing if it may be served anywhere; an
    // empty list if the two have no region in common.
    static std::optional<std::vector<std::string>> homeRegions(const RelayRoute &route, const RelayWorkspace *workspace);

    // The priority of the most urgent route to a service. Nothing if no route leads there.
    std::optional<int> mostUrgentPriority(std::string_view service) const;

    const RelayDocument &document() const
    {
        return m_document;
    }

private:
    const RelayDocument m_document;
    // Routes of a host, the longest prefix first.
    absl::flat_hash_map<std::string, std::vector<const RelayRoute *>> m_routes;
    absl::flat_hash_map<std::string, const RelayService *> m_services;
    absl::flat_hash_map<std::string, const RelayWorkspace *> m_workspaces;
    absl::flat_hash_map<std::string, int> m_mostUrgentPriorities;
};

} // namespace Jujube
