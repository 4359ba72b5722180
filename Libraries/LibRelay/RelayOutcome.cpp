#include <LibRelay/RelayOutcome.h>

#include <array>

namespace Jujube
{

namespace
{

// The statuses 408, 421, 429 and 503 say that the request has not run and never will, so no outcome after a possible run has one of them.
constexpr std::array OutcomeTable {
    RelayOutcomeInfo {RelayOutcome::NoDocument, "no_document", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::DocumentTooOld, "document_too_old", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::RolloutsUnknown, "rollouts_unknown", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::NoRoute, "no_route", 404, RanState::No, false},
    RelayOutcomeInfo {RelayOutcome::UnknownKey, "unknown_key", 401, RanState::No, false},
    RelayOutcomeInfo {RelayOutcome::Malformed, "malformed", 400, RanState::No, false},
    RelayOutcomeInfo {RelayOutcome::StreamVersionUnknown, "stream_version_unknown", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::StreamVersionGone, "stream_version_gone", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::NoTarget, "no_target", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::OverRequestLimit, "over_request_limit", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::Overloaded, "overloaded", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::Draining, "draining", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::PoisonRequest, "crashes_targets", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::RetryBudgetSpent, "retry_budget_spent", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::TimedOutNotRun, "timed_out_not_run", 503, RanState::No, true},
    RelayOutcomeInfo {RelayOutcome::TimedOut, "timed_out", 504, RanState::Unknown, false},
    RelayOutcomeInfo {RelayOutcome::TargetFailed, "target_failed", 502, RanState::Unknown, false},
    RelayOutcomeInfo {RelayOutcome::ResponseBroken, "answer_broken", 0, RanState::Yes, false},
};

} // namespace

const RelayOutcomeInfo &relayOutcomeInfo(RelayOutcome outcome)
{
    return OutcomeTable.at(static_cast<size_t>(outcome));
}

} // namespace Jujube
