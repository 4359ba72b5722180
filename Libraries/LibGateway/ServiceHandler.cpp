#include <LibGateway/ServiceHandler.h>

#include <LibCore/AbslView.h>
#include <LibCore/Digest.h>
#include <LibCore/Identifier.h>
#include <LibCore/Json.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr std::string_view Prefix = "/v1/services/";
constexpr auto ConnectTimeout = 1000ms;
constexpr int MaxTargetsTried = 3;
constexpr size_t MaxIdempotencyKeyBytes = 255;
constexpr size_t MaxIdBytes = 200;
constexpr int FirstServerErrorStatus = 500;

// Ids become part of the request path on the target, so only characters that cannot change the path are allowed.
bool isPathSafeId(std::string_view id)
{
    const auto plain = [](char c) { return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == ':'; };
    return id.size() <= MaxIdBytes && id != "." && id != ".." && std::all_of(id.begin(), id.end(), plain);
}

std::string contentTypeOf(const HttpAnswer &response)
{
    const auto found = response.headers.find("content-type");
    return found == response.headers.end() ? "application/octet-stream" : found->second;
}

} // namespace

ServiceHandler::ServiceHandler(GatewayParts &parts)
    : m_parts(parts)
    , m_table({.address = parts.options.platform, .transport = [&parts](HttpCall call) { return parts.http->call(std::move(call)); }})
    , m_recorder(m_table, *parts.events)
{
}

absl::StatusOr<ServiceHandler::Route> ServiceHandler::findRoute(const HttpRequest &request, const EnvironmentDocument &document)
{
    const std::vector<std::string> parts = absl::StrSplit(toAbsl(std::string_view(request.path).substr(Prefix.size())), '/');
    constexpr size_t PartsWithId = 3;
    if (parts.size() < 2 || parts.size() > PartsWithId) {
        return makeError(ErrorKind::NotFound, "expected /v1/services/{service}/{call} or /v1/services/{service}/{call}/{id}");
    }
    const auto service = document.services.find(parts[0]);
    if (service == document.services.end()) {
        return makeError(ErrorKind::UnknownService, absl::StrCat("service \"", parts[0], "\" is not in the environment"));
    }
    const auto call = service->second.calls.find(parts[1]);
    if (call == service->second.calls.end()) {
        return makeError(ErrorKind::UnknownService, absl::StrCat("service \"", parts[0], "\" has no call \"", parts[1], "\""));
    }
    Route route {.service = parts[0], .call = parts[1], .id = parts.size() == PartsWithId ? parts[2] : "", .definition = call->second};
    if (!isPathSafeId(route.id)) {
        return makeError(ErrorKind::InvalidValue, "the id may contain letters, digits, '-', '_', '.' and ':' only");
    }
    if (request.method != (route.definition.method == CallMethod::Get ? "GET" : "POST")) {
        return makeError(ErrorKind::MethodNotAllowed, absl::StrCat("this call uses ", std::string(nameOf(route.definition.method))));
    }
    return route;
}

void ServiceHandler::handle(const HttpRequest &request, const Caller &caller, HttpResponder &responder)
{
    const auto route = findRoute(request, caller.document->document);
    if (!route.ok()) {
        respondWithProblem(m_parts, responder, Problem::fromStatus(route.status()), {});
        return;
    }
    if (!request.body.empty()) {
        if (const auto json = parseJson(request.body); !json.ok()) {
            respondWithProblem(m_parts, responder, Problem::fromStatus(json.status()), {});
            return;
        }
    }
    if (route->definition.repeatable || route->definition.method == CallMethod::Get) {
        handleRepeatable(request, caller, *route, responder);
    } else {
        handleOneTime(request, caller, *route, responder);
    }
}

HttpCall ServiceHandler::makeCall(const HttpRequest &request, const Caller &caller, const Route &route, const std::string &address)
{
    const auto path = route.definition.path.empty() ? absl::StrCat("/", route.call) : route.definition.path;
    HttpCall call {
        .method = request.method,
        .url = absl::StrCat("http://", address, path, route.id.empty() ? "" : "/", route.id),
        .headers = {{"Content-Type", "application/json"}, {"Jujube-Workspace", caller.workspace}},
        .body = request.body,
        .connectTimeout = ConnectTimeout,
        .totalTimeout = route.definition.timeout,
        // A copy of an earlier response on a kept connection cannot be told from the response to this call.
        .freshConnection = true,
    };
    if (const auto key = request.header("idempotency-key"); !key.empty()) {
        call.headers["Idempotency-Key"] = key;
    }
    return call;
}

void ServiceHandler::handleOneTime(const HttpRequest &request, const Caller &caller, const Route &route, HttpResponder &responder)
{
    const auto key = request.header("idempotency-key");
    const auto requestId = randomIdentifier();
    if (key.empty() || key.size() > MaxIdempotencyKeyBytes) {
        const auto detail = absl::StrCat("a key of 1 to ", MaxIdempotencyKeyBytes, " bytes is required");
        respondWithProblem(m_parts, responder, {.kind = ErrorKind::IdempotencyKeyMissing, .detail = detail}, requestId);
        return;
    }
    const auto detail = absl::StrCat(caller.workspace, " ", route.service, "/", route.call);
    m_parts.record({.kind = EventKind::RequestAccepted, .request = requestId, .detail = detail});
    OneTimeRunner runner({
        .parts = &m_parts,
        .table = &m_table,
        .recorder = &m_recorder,
        .tableKey = absl::StrCat("once/", caller.workspace, "/", route.service, "/", route.call, "/", sha256Hex(key)),
        .bodyDigest = sha256Hex(absl::StrCat(route.id, "\n", request.body)),
        .request = requestId,
        .send = [&] { return sendOnce(request, caller, route, requestId); },
    });
    const auto result = runner.run();
    if (const auto *problem = std::get_if<Problem>(&result)) {
        respondWithProblem(m_parts, responder, *problem, requestId);
        return;
    }
    const auto &response = std::get<OneTimeAction::Respond>(result);
    HttpHeaders headers;
    if (response.isReplay) {
        headers["Idempotent-Replayed"] = "true";
    }
    responder.send(response.response.status, response.response.contentType, response.response.body, headers);
    m_parts.record({.kind = EventKind::RequestFinished, .request = requestId});
}

CallResponse ServiceHandler::sendOnce(const HttpRequest &request, const Caller &caller, const Route &route, const std::string &requestId)
{
    std::set<std::string> triedTargets;
    for (int i = 0; i < MaxTargetsTried; ++i) {
        const auto target = m_parts.fleet->chooseServiceTarget(route.service, triedTargets);
        const auto address = target ? m_parts.fleet->addressOf(*target) : std::nullopt;
        if (!address) {
            break;
        }
        m_parts.record({.kind = EventKind::TargetChosen, .request = requestId, .target = *target});
        const auto response = m_parts.http->call(makeCall(request, caller, route, *address));
        if (response.end == HttpEnd::Complete) {
            return {.end = CallEnd::Responded, .status = response.status, .contentType = contentTypeOf(response), .body = response.body};
        }
        m_parts.record({.kind = EventKind::TargetLost, .request = requestId, .target = *target, .detail = response.error});
        if (response.end != HttpEnd::NotSent) {
            return {.end = CallEnd::Unknown};
        }
        // No byte was sent to this target, so another one may be tried.
        triedTargets.insert(*target);
    }
    return {.end = CallEnd::NotSent};
}

void ServiceHandler::handleRepeatable(const HttpRequest &request, const Caller &caller, const Route &route, HttpResponder &responder)
{
    const ResponseCache::Key key {.workspace = caller.workspace, .service = route.service, .call = route.call, .id = route.id};
    const auto maxCacheAge = route.definition.maxCacheAge;
    const bool cacheable = request.method == "GET" && maxCacheAge.count() > 0;
    const auto requestedAt = monotonicNow();
    if (cacheable) {
        if (const auto cached = m_cache.find(key, maxCacheAge, requestedAt)) {
            m_parts.metrics->count("jujube_status_cache_hits_total");
            responder.send(cached->status, cached->contentType, cached->body, {{"Jujube-Cache", "hit"}});
            return;
        }
    }
    const auto result = sendRepeatable(request, caller, route);
    if (const auto *problem = std::get_if<Problem>(&result)) {
        respondWithProblem(m_parts, responder, *problem, {});
        return;
    }
    const auto &response = std::get<HttpAnswer>(result);
    if (cacheable && response.isSuccess()) {
        m_cache.store(key, {.status = response.status, .contentType = contentTypeOf(response), .body = response.body}, requestedAt);
    }
    responder.send(response.status, contentTypeOf(response), response.body);
}

std::variant<HttpAnswer, Problem> ServiceHandler::sendRepeatable(const HttpRequest &request, const Caller &caller, const Route &route)
{
    std::set<std::string> triedTargets;
    for (int i = 0; i < MaxTargetsTried; ++i) {
        const auto target = m_parts.fleet->chooseServiceTarget(route.service, triedTargets);
        const auto address = target ? m_parts.fleet->addressOf(*target) : std::nullopt;
        if (!address) {
            break;
        }
        triedTargets.insert(*target);
        auto response = m_parts.http->call(makeCall(request, caller, route, *address));
        if (response.end == HttpEnd::Complete && response.status < FirstServerErrorStatus) {
            return response;
        }
        m_parts.metrics->count("jujube_service_retries_total");
    }
    const auto kind = ErrorKind::TargetUnavailable;
    return Problem {.kind = kind, .detail = "no target of the service answered", .retryAfter = errorKindInfo(kind).retryAfter};
}

} // namespace Jujube
