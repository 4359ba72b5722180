#include <LibGateway/GenerationHandler.h>

#include <absl/strings/str_cat.h>

namespace Jujube
{

GenerationHandler::GenerationHandler(GatewayParts &parts)
    : m_parts(parts)
{
}

absl::StatusOr<std::optional<Cursor>> GenerationHandler::readCursor(const HttpRequest &request, const Caller &caller) const
{
    const auto text = request.header("last-event-id");
    if (text.empty()) {
        return std::nullopt;
    }
    auto cursor = m_parts.cursors->decode(text);
    if (!cursor.ok()) {
        return cursor.status();
    }
    if (cursor->workspace != caller.workspace || cursor->bodyDigest != bodyDigest(request.body)) {
        return makeError(ErrorKind::InvalidCursor, "the event id belongs to another request");
    }
    // Advances the clock, so that later events of this process sort after those of the gateway that issued the event id.
    m_parts.events->observe(cursor->time, wallMsNow());
    return *std::move(cursor);
}

void GenerationHandler::handle(const HttpRequest &request, const Caller &caller, HttpResponder &responder)
{
    const auto cursor = readCursor(request, caller);
    if (!cursor.ok()) {
        respondWithProblem(m_parts, responder, Problem::fromStatus(cursor.status()), {});
        return;
    }
    const auto body = parseGenerationBody(request.body, caller.document->document);
    if (!body.ok()) {
        respondWithProblem(m_parts, responder, Problem::fromStatus(body.status()), {});
        return;
    }
    const auto generation = *cursor ? (*cursor)->generation : generationIdFor(caller.workspace, request.header("idempotency-key"), request.body);
    const auto detail = absl::StrCat(caller.workspace, " ", body->model, " ", std::string(nameOf(body->kind)));
    m_parts.record({.kind = EventKind::RequestAccepted, .request = generation, .detail = detail});
    GenerationStream stream(
        {.parts = &m_parts, .caller = caller, .body = *body, .generation = generation, .bodyDigest = bodyDigest(request.body), .cursor = *cursor}, responder);
    stream.run();
}

} // namespace Jujube
