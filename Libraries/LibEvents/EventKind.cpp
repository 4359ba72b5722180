#include <LibEvents/EventKind.h>

#include <algorithm>
#include <array>

namespace Jujube
{

namespace
{

constexpr std::array Kinds {
    EventKindInfo {EventKind::ProcessStarted, "process_started", "A process has started and serves its address."},
    EventKindInfo {EventKind::ProcessDraining, "process_draining", "A graceful shutdown has begun: no new work, running work goes on."},
    EventKindInfo {EventKind::ProcessStopped, "process_stopped", "The process has finished its work and exits."},
    EventKindInfo {EventKind::SettingsReloaded, "settings_reloaded", "The settings file has changed and was taken in, or was refused."},
    EventKindInfo {EventKind::ProcessWasFrozen, "process_was_frozen", "The process did not run for a while; what it believes is read anew."},
    EventKindInfo {EventKind::RequestAccepted, "request_accepted", "A caller's request has passed authentication and validation."},
    EventKindInfo {EventKind::RequestRefused, "request_refused", "A request was answered with an error kind."},
    EventKindInfo {EventKind::RequestFinished, "request_finished", "A request was answered completely."},
    EventKindInfo {EventKind::TargetChosen, "target_chosen", "The policy has placed a request on a target."},
    EventKindInfo {EventKind::TargetAnswered, "target_answered", "A target has answered a service call."},
    EventKindInfo {EventKind::TargetLost, "target_lost", "The connection to a target failed or ended early."},
    EventKindInfo {EventKind::TargetSilent, "target_silent", "A stream's silence deadline passed; it is resumed over a new connection."},
    EventKindInfo {EventKind::StreamStarted, "stream_started", "The first token of a generation was sent to the caller."},
    EventKindInfo {EventKind::StreamResumed, "stream_resumed", "A caller came back with an event id and the generation goes on from there."},
    EventKindInfo {EventKind::StreamContinued, "stream_continued", "A generation goes on with a new attempt on another target."},
    EventKindInfo {EventKind::StreamFinished, "stream_finished", "The last token and the final count and checksum were sent to the caller."},
    EventKindInfo {EventKind::StreamCallerLost, "stream_caller_lost", "The caller's connection failed during a stream."},
    EventKindInfo {EventKind::StreamFailed, "stream_failed", "A stream ended with an error event."},
    EventKindInfo {EventKind::ClaimWritten, "claim_written", "The claim of a one-time call was written; this gateway may send the call."},
    EventKindInfo {EventKind::ClaimFound, "claim_found", "A claim of another request exists; the call is not sent."},
    EventKindInfo {EventKind::ClaimReadBack, "claim_read_back", "The answer to a claim's write was lost; the claim was read back."},
    EventKindInfo {EventKind::CallSent, "call_sent", "A one-time call was sent to its target."},
    EventKindInfo {EventKind::OutcomeRecorded, "outcome_recorded", "The outcome of a one-time call was recorded."},
    EventKindInfo {EventKind::OutcomeUnrecorded, "outcome_unrecorded", "The outcome of a one-time call could not be recorded yet and is retried."},
    EventKindInfo {EventKind::CallNotRun, "call_not_run", "A claimed call provably did not reach its target."},
    EventKindInfo {EventKind::DocumentInForce, "document_in_force", "A newer environment document is in force on this node."},
    EventKindInfo {EventKind::DocumentRefused, "document_refused", "An offered environment document was older, damaged or invalid."},
    EventKindInfo {EventKind::DataCentreOut, "data_centre_out", "A data centre was taken out of service; it gets no new work."},
    EventKindInfo {EventKind::DataCentreIn, "data_centre_in", "A data centre is back in service."},
    EventKindInfo {EventKind::DataCentreUnlisted,
                   "data_centre_unlisted",
                   "The store, restored from an older copy, lacks a data centre that is out of service; it stays so for some seconds."},
    EventKindInfo {EventKind::PlatformLost, "platform_lost", "The table service does not answer."},
    EventKindInfo {EventKind::PlatformRegained, "platform_regained", "The table service answers again."},
    EventKindInfo {EventKind::GatewayIsolated, "gateway_isolated", "Neither the platform nor enough peers answer; no new work is started."},
    EventKindInfo {EventKind::GatewayReconnected, "gateway_reconnected", "The gateway is no longer isolated."},
    EventKindInfo {EventKind::PeerJoined, "peer_joined", "A gateway was heard of for the first time, or under a new incarnation."},
    EventKindInfo {EventKind::PeerLost, "peer_lost", "A gateway's heartbeats stopped."},
    EventKindInfo {EventKind::TargetLeaving, "target_leaving", "A target is leaving; it gets no new work."},
    EventKindInfo {EventKind::TargetReturned, "target_returned", "A target is back under a new incarnation."},
    EventKindInfo {EventKind::TargetCold, "target_cold", "A target reports a cold start; new work needs a permit."},
    EventKindInfo {EventKind::TargetWarm, "target_warm", "A target reports that it is warm."},
    EventKindInfo {EventKind::PermitGranted, "permit_granted", "A cold-target permit was granted to a gateway."},
    EventKindInfo {EventKind::PermitReturned, "permit_returned", "A cold-target permit was returned."},
    EventKindInfo {EventKind::LeaseAcquired, "lease_acquired", "A controller holds the lease, with a new fencing number."},
    EventKindInfo {EventKind::LeaseLost, "lease_lost", "A controller has lost its lease or stopped using it."},
    EventKindInfo {EventKind::OrderSent, "order_sent", "An order was sent to an engine."},
    EventKindInfo {EventKind::OrderRefused, "order_refused", "An engine refused an order because of its fencing number."},
    EventKindInfo {EventKind::CrashSuspected, "crash_suspected", "A target died while it ran this request."},
    EventKindInfo {EventKind::CrashRefused, "crash_refused", "A request was refused because targets crashed while they ran it."},
    EventKindInfo {
        EventKind::PromptPartRejected, "prompt_part_rejected", "A part of prompts is rejected, because targets crashed when they began to respond to it."},
    EventKindInfo {
        EventKind::PromptPartAllowed, "prompt_part_allowed", "A part of prompts is not rejected any more: a target has responded to it, or its time is over."},
    EventKindInfo {EventKind::RolloutOrdered, "rollout_ordered", "An operator has ordered a rollout of a service, changed its order or removed it."},
    EventKindInfo {EventKind::RolloutStageChanged,
                   "rollout_stage_changed",
                   "A rollout has another stage or another version: who decided that, why, and on which evidence."},
    EventKindInfo {
        EventKind::RolloutOrderRefused, "rollout_order_refused", "An order of a rollout cannot be read and is ignored; the rollout in progress continues."},
    EventKindInfo {EventKind::RolloutTargetExcluded,
                   "rollout_target_excluded",
                   "A target alone shows a fault that others of its version do not have; it gets no requests of the trial."},
    EventKindInfo {EventKind::RolloutWriteFailed,
                   "rollout_write_failed",
                   "A step of a rollout was not stored: another relay was first, or the store has rejected it or not responded."},
    EventKindInfo {EventKind::RelayAccepted, "relay_accepted", "A request on a relayed route was admitted."},
    EventKindInfo {EventKind::RelayRejected, "relay_rejected", "A relayed request ended with an answer of the gateway's own."},
    EventKindInfo {EventKind::RelayFinished, "relay_finished", "A target's whole answer was passed on."},
    EventKindInfo {EventKind::RelayCut, "relay_cut", "The caller's channel was closed because an answer that had begun could not be completed."},
    EventKindInfo {EventKind::RelaySent, "relay_sent", "A relayed request was sent to a target."},
    EventKindInfo {EventKind::RelayTargetFailed, "relay_target_failed", "A target refused a relayed request, failed it, or its answer broke."},
    EventKindInfo {EventKind::RelayDecision, "relay_decision", "A decision about a relayed request after its first send: a retry, a copy, a continuation."},
    EventKindInfo {EventKind::RelayCallerGone, "relay_caller_gone", "The caller closed its channel before the answer was complete."},
    EventKindInfo {EventKind::RelayCopied, "relay_copied", "An engine has answered an order to copy a running generation."},
    EventKindInfo {EventKind::RelayUnfinished, "relay_unfinished", "The process exits while the request is running at its target."},
    EventKindInfo {EventKind::RelaySentOutsideHomes,
                   "relay_sent_outside_homes",
                   "A request was sent to a target outside the home regions that the document in force gives it, or to one of an unknown region."},
    EventKindInfo {EventKind::TargetListed, "target_listed", "A target has appeared in the list of targets, or under a new incarnation."},
    EventKindInfo {EventKind::TargetLeft, "target_left", "A target is leaving: the list, the target itself or another gateway says so."},
    EventKindInfo {EventKind::RowUnreadable, "row_unreadable", "A row of the store could not be read; what was known before stays in force."},
    EventKindInfo {EventKind::TableReplaced, "table_replaced", "A table was read as a whole, because its history was not available or the store was away."},
    EventKindInfo {EventKind::StoreReaderChanged, "store_reader_changed", "This relay reads the store for others from now on, or leaves that to others."},
    EventKindInfo {EventKind::TargetLimitChanged, "target_limit_changed", "A target has named a limit on the requests of all relays, or a different one."},
    EventKindInfo {EventKind::TargetLimitEnded, "target_limit_ended", "A target no longer names a limit."},
    EventKindInfo {EventKind::TableBehind, "table_behind", "Peers have had newer rows of a table for a while, and this relay has not."},
    EventKindInfo {EventKind::PeerReadFailed, "peer_read_failed", "A peer that was asked for the rows of a table did not deliver them."},
    EventKindInfo {EventKind::StoreRestored, "store_restored", "The store has come back from an older copy of itself; the table is read as a whole."},
};

}

std::span<const EventKindInfo> eventKinds()
{
    return Kinds;
}

std::string_view nameOf(EventKind kind)
{
    const auto *found = std::find_if(Kinds.begin(), Kinds.end(), [kind](const auto &info) { return info.kind == kind; });
    return found == Kinds.end() ? std::string_view("unknown") : found->name;
}

} // namespace Jujube
