#include <LibGateway/RequestContext.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Digest.h>

namespace Jujube
{

absl::StatusOr<Caller> authenticate(const HttpRequest &request, const DocumentUpdater &documents)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto document = documents.current();
    if (!document) {
        return makeError(ErrorKind::PlatformUnavailable, "no environment document has been read yet");
    }
    const auto header = request.header("authorization");
    if (!header.starts_with(Scheme)) {
        return makeError(ErrorKind::Unauthorized, "an Authorization header with a bearer key is required");
    }
    const auto found = document->workspaceByKeyHash.find(sha256Hex(header.substr(Scheme.size())));
    if (found == document->workspaceByKeyHash.end()) {
        return makeError(ErrorKind::Unauthorized, "the bearer key is unknown");
    }
    return Caller {.workspace = found->second, .document = document};
}

void respondWithProblem(const GatewayParts &parts, HttpResponder &responder, const Problem &problem, const std::string &request)
{
    const std::string name(errorKindInfo(problem.kind).name);
    parts.metrics->count("jujube_refusals_total", absl::StrCat("kind=\"", name, "\""));
    parts.record({.kind = EventKind::RequestRefused, .request = request, .detail = absl::StrCat(name, ": ", problem.detail)});
    responder.sendProblem(problem);
}

} // namespace Jujube
