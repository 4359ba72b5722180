#pragma once

#include <LibGateway/GenerationStream.h>

namespace Jujube
{

// Serves POST /v1/generations: validates the request and its event id, and runs a GenerationStream for it.
class GenerationHandler
{
public:
    explicit GenerationHandler(GatewayParts &parts);

    void handle(const HttpRequest &request, const Caller &caller, HttpResponder &responder);

private:
    // Reads the cursor from the Last-Event-ID header field. Returns nothing if the field is absent. Errors: ErrorKind::InvalidCursor if the cursor is forged,
    // or was issued for another workspace or another body.
    absl::StatusOr<std::optional<Cursor>> readCursor(const HttpRequest &request, const Caller &caller) const;

    GatewayParts &m_parts;
};

} // namespace Jujube
