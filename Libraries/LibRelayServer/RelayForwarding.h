#pragma once

#include <LibLoop/CallerChannel.h>
#include <LibRelay/RelayAdmission.h>
#include <LibRelay/RelaySession.h>
#include <LibRelayServer/PlatformAdapter.h>

namespace Jujube
{

// Header sections and text of the requests and responses that a relay forwards.

// Claims in the header section of a caller's request.
RequestAttributes parseRequestClaims(const MessageHead &head, const HeaderFieldNames &names);

// The request as forwarded to a target: without fields that concern the caller's connection or that only the relay may set, and with the relay's own fields.
std::string forwardedRequest(const CallerRequest &request, const RequestAdmission &admitted, const RelayAttempt &attempt, const HeaderFieldNames &names);

// A target's response as far as decisions depend on it.
TargetResponse parseTargetResponse(const MessageHead &head, std::optional<uint64_t> length, const HeaderFieldNames &names);

// The header section of a target's response as forwarded to the caller, without fields that concern the target's connection.
MessageHead forwardedResponse(const MessageHead &head);

// The header section of a response that the relay generates itself.
MessageHead ownResponse(const RelayOutcomeInfo &outcome, const std::string &requestId, std::chrono::milliseconds retryAfter, const HeaderFieldNames &names);

// Whether a response has a body (RFC 9110, section 6.4.1).
bool hasBody(std::string_view requestMethod, int status);

} // namespace Jujube
