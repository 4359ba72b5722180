#include <LibRelay/RelayAdmission.h>

#include <algorithm>

namespace Jujube
{

namespace
{

RunDemand demandOf(const RequestAdmission &request, const RequestClaims &claims)
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
    // A resumable stream is short, and is repeated where its target is lost.
    demand.isMovable = route.kind == RelayKind::Stream && !route.resumable && engine->canMove;
    demand.promptTokens = claims.promptTokens;
    const bool hintIsSmaller = claims.lengthHint > 0 && (claims.mostTokens == 0 || claims.lengthHint < claims.mostTokens);
    demand.expectedTokens = hintIsSmaller ? claims.lengthHint : claims.mostTokens;
    return demand;
}

} // namespace

RequestAdmission admitRequest(const RouteTable *routes, const RequestClaims &claims, double draw, MonotonicTime now)
{
    RequestAdmission request;
    if (!routes) {
        request.refusal = RelayOutcome::NoDocument;
        return request;
    }
    if (claims.id.empty() || !claims.path.starts_with('/')) {
        request.refusal = RelayOutcome::Malformed;
        return request;
    }
    request.route = routes->findRoute(claims.host, claims.path);
    if (!request.route) {
        request.refusal = RelayOutcome::NoRoute;
        return request;
    }
    request.workspace = claims.key.empty() ? nullptr : routes->findWorkspaceByKey(claims.key);
    if (routes->document().requiresKeys && !request.route->isPublic && !request.workspace) {
        request.refusal = RelayOutcome::UnknownKey;
        return request;
    }
    if (!request.route->shares.empty()) {
        request.service = routes->findService(RouteTable::pickService(*request.route, draw));
    }
    if (!request.service) {
        request.refusal = RelayOutcome::NoTarget;
        return request;
    }
    request.homeRegions = RouteTable::homeRegions(*request.route, request.workspace);
    request.demand = demandOf(request, claims);
    request.deadline = now + std::min(request.route->timeout, claims.timeLeft.value_or(request.route->timeout));
    return request;
}

} // namespace Jujube
