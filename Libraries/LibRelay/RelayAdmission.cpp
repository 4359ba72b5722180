#include <LibRelay/RelayAdmission.h>

#include <algorithm>
#include <iterator>

namespace Jujube
{

namespace
{

RunDemand demandOf(const RequestAdmission &request, const RequestAttributes &attributes)
{
    const auto &route = *request.route;
    RunDemand demand {.service = request.service->name, .priority = route.priority};
    if (request.workspace && request.workspace->priority) {
        demand.priority = *request.workspace->priority;
    }
    const auto &engine = request.service->engine;
    if (!engine) {
        return demand;
    }
    // A resumable stream is short, and is run again if its target fails.
    demand.isMigratable = route.kind == RouteKind::Stream && !route.resumable && engine->canMigrate;
    demand.promptTokens = attributes.promptTokens;
    const bool hintIsSmaller = attributes.lengthHint > 0 && (attributes.maxTokens == 0 || attributes.lengthHint < attributes.maxTokens);
    demand.expectedTokens = hintIsSmaller ? attributes.lengthHint : attributes.maxTokens;
    return demand;
}

} // namespace

RequestAdmission admitRequest(const RouteTable *routes, const RequestAttributes &attributes, double draw, MonotonicTime now)
{
    RequestAdmission request;
    if (!routes) {
        request.rejection = RelayOutcome::NoDocument;
        return request;
    }
    if (attributes.id.empty() || !attributes.path.starts_with('/')) {
        request.rejection = RelayOutcome::Malformed;
        return request;
    }
    request.route = routes->findRoute(attributes.host, attributes.path);
    if (!request.route) {
        request.rejection = RelayOutcome::NoRoute;
        return request;
    }
    request.workspace = attributes.key.empty() ? nullptr : routes->findWorkspaceByKey(attributes.key);
    if (routes->document().requiresKeys && !request.route->isPublic && !request.workspace) {
        request.rejection = RelayOutcome::UnknownKey;
        return request;
    }
    if (!request.route->shares.empty()) {
        request.service = routes->findService(RouteTable::pickService(*request.route, draw));
    }
    if (!request.service) {
        request.rejection = RelayOutcome::NoTarget;
        return request;
    }
    request.homeRegions = RouteTable::homeRegions(*request.route, request.workspace);
    request.demand = demandOf(request, attributes);
    request.deadline = now + std::min(request.route->timeout, attributes.timeLeft.value_or(request.route->timeout));
    return request;
}

std::optional<std::vector<std::string>> homesByDocument(const RouteTable &routes, const RequestAttributes &attributes, const RequestAdmission &admission)
{
    const auto *route = routes.findRoute(attributes.host, attributes.path);
    const auto *workspace = attributes.key.empty() ? nullptr : routes.findWorkspaceByKey(attributes.key);
    if (!route || (admission.workspace && !workspace)) {
        return admission.homeRegions;
    }
    return RouteTable::homeRegions(*route, workspace);
}

std::optional<std::vector<std::string>> homesInForce(const std::optional<std::vector<std::string>> &admitted,
                                                     const std::optional<std::vector<std::string>> &later)
{
    if (!admitted || !later) {
        return later ? later : admitted;
    }
    std::vector<std::string> both;
    std::ranges::copy_if(*later, std::back_inserter(both), [&](const auto &region) { return std::ranges::find(*admitted, region) != admitted->end(); });
    return both.empty() ? later : both;
}

} // namespace Jujube
