#pragma once

#include <LibGateway/GenerationStream.h>

namespace Jujube
{

// Serves POST /v1/generations: validates the request and its event id, and hands it to a GenerationStream.
class GenerationHandler
{
public:
    explicit GenerationHandler(GatewayParts &parts);

    void handle(const HttpRequest &request, const Caller &caller, HttpResponder &responder);

private:
    // The cursor of the Last-Event-ID header, or nothing without one. Errors: ErrorKind::InvalidCursor if it is forged, or belongs to another workspace or
    // another body.
    absl::StatusOr<std::optional<Cursor>> readCursor(const HttpRequest &request, const Caller &caller) const;

    GatewayParts &m_parts;
};

} // namespace Jujube
