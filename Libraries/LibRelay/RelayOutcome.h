#pragma once

#include <LibCore/Error.h>
#include <string_view>

namespace Jujube
{

// The closed list of ways in which a request ends without a whole answer of a target.
enum class RelayOutcome {
    // The gateway has no document in force.
    NoDocument,
    NoRoute,
    UnknownKey,
    Malformed,
    // No target may take the request now.
    NoTarget,
    // The gateway shuts down before the request could end.
    Draining,
    // The request crashes the targets that run it.
    PoisonRequest,
    // The retry budget is spent, and the request has not run.
    RetryBudgetSpent,
    // The time is over; nothing was sent, or every target said that it had not run the request.
    TimedOutNotRun,
    // The time is over, and the request may have run.
    TimedOut,
    // The target failed, and the request may have run.
    TargetFailed,
    // The answer broke off after the caller had a part of it.
    ResponseBroken,
};

// What the caller is told for an outcome.
struct RelayOutcomeInfo {
    RelayOutcome outcome;
    std::string_view name;
    // Zero where no answer can be sent any more and the channel is closed.
    int status;
    RanState ran;
    // Whether the answer says when to come back.
    bool hasRetryAfter;
};

const RelayOutcomeInfo &relayOutcomeInfo(RelayOutcome outcome);

} // namespace Jujube
