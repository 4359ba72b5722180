#pragma once

#include <LibCore/Error.h>
#include <string_view>

namespace Jujube
{

// All outcomes in which a request ends without a complete response of a target.
enum class RelayOutcome {
    // The relay has no document in force.
    NoDocument,
    // The document does not allow the request, and a newer one may.
    DocumentTooOld,
    // The relay does not know yet which versions of its services may get requests.
    RolloutsUnknown,
    NoRoute,
    UnknownKey,
    Malformed,
    // The caller takes up a stream of which it is not known by which version it began, while several may have served.
    StreamVersionUnknown,
    // No target of the version is left that began the stream.
    StreamVersionGone,
    // No target may get the request now.
    NoTarget,
    // The request limits of all targets that may get the request are used up.
    OverRequestLimit,
    // The engines are overloaded, and the response would begin too late.
    Overloaded,
    // The relay shuts down before the request could end.
    Draining,
    // The request crashes the targets that run it.
    PoisonRequest,
    // The retry budget is spent, and the request has not run.
    RetryBudgetSpent,
    // The deadline has passed; nothing was sent, or every target reported that it had not run the request.
    TimedOutNotRun,
    // The deadline has passed, and the request may have run.
    TimedOut,
    // The target failed, and the request may have run.
    TargetFailed,
    // The response broke off after the caller had received a part of it.
    ResponseBroken,
};

// The response that the caller gets for an outcome.
struct RelayOutcomeInfo {
    RelayOutcome outcome;
    std::string_view name;
    // Zero if no response can be sent any more and the connection is closed.
    int status;
    RanState ran;
    // Whether the response has a Retry-After header field.
    bool hasRetryAfter;
};

const RelayOutcomeInfo &relayOutcomeInfo(RelayOutcome outcome);

} // namespace Jujube
