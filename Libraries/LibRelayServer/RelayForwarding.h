#pragma once

#include <LibLoop/CallerChannel.h>
#include <LibRelay/RelayAdmission.h>
#include <LibRelay/RelaySession.h>
#include <LibRelayServer/RelayDialect.h>

namespace Jujube
{

// Heads and texts of requests and answers on their way through a relay.

// What a caller's request says of itself.
RequestAttributes claimsOf(const MessageHead &head, const RelayFieldNames &names);

// The request as a target gets it: without what concerns the caller's channel and what only the gateway may set, and with the gateway's own fields.
std::string forwardedRequest(const CallerRequest &request, const RequestAdmission &admitted, const RelayAttempt &order, const RelayFieldNames &names);

// A target's answer as far as decisions depend on it.
TargetResponse targetAnswerOf(const MessageHead &head, std::optional<uint64_t> length, const RelayFieldNames &names);

// The head of a target's answer as the caller gets it, without what concerns the target's channel.
MessageHead forwardedAnswer(const MessageHead &head);

// The head of an answer of the gateway's own.
MessageHead ownAnswer(const RelayOutcomeInfo &outcome, const std::string &requestId, std::chrono::milliseconds retryAfter, const RelayFieldNames &names);

// Whether an answer has a body (RFC 9110, section 6.4.1).
bool hasBody(std::string_view requestMethod, int status);

} // namespace Jujube
