#include <LibOneTime/OneTimeCall.h>

namespace Jujube
{

using namespace OneTimeAction;

OneTimeCall::OneTimeCall(Options options, MonotonicTime now)
    : m_options(std::move(options))
    , m_startedAt(now)
{
}

OneTimeSteps OneTimeCall::start()
{
    return writeClaim(0);
}

OneTimeSteps OneTimeCall::writeClaim(uint64_t revision)
{
    m_expectedRevision = revision;
    const ClaimRecord claim {
        .state = ClaimState::Claimed,
        .nonce = m_options.nonce,
        .bodyDigest = m_options.bodyDigest,
        .gateway = m_options.gateway,
        .wallMs = m_options.wallMs,
    };
    return {WriteClaim {.value = claim.toText(), .revision = revision}};
}

OneTimeSteps OneTimeCall::onWritten(ClaimWriteEnd end, const ClaimRow &row, MonotonicTime now)
{
    switch (end) {
    case ClaimWriteEnd::Done:
        return onClaimOwned(row.revision, now);
    case ClaimWriteEnd::Conflict:
        return onRow(row, now);
    case ClaimWriteEnd::NotDone:
        if (m_isWriteUnresolved) {
            return resolveOrReject();
        }
        return reject(ErrorKind::PlatformUnavailable, "the table service is unavailable; the call was not sent");
    case ClaimWriteEnd::Unknown:
        m_isWriteUnresolved = true;
        return resolveOrReject();
    }
    return {};
}

OneTimeSteps OneTimeCall::resolveOrReject()
{
    if (m_resolveAttempts >= m_options.maxResolveAttempts) {
        // Even if the claim takes effect later, its call is never sent, so "not run" stays true.
        OneTimeSteps steps {ReleaseClaim {.nonce = m_options.nonce, .notRunValue = outcomeText(ClaimState::NotRun, {})}};
        auto rejection = reject(ErrorKind::PlatformUnavailable, "the claim could not be confirmed; the call was not sent");
        steps.insert(steps.end(), rejection.begin(), rejection.end());
        return steps;
    }
    ++m_resolveAttempts;
    return {Delay {m_options.readInterval}};
}

OneTimeSteps OneTimeCall::onTimer()
{
    return {ReadClaim {}};
}

OneTimeSteps OneTimeCall::onReadFailed(MonotonicTime now)
{
    if (m_isWriteUnresolved) {
        return resolveOrReject();
    }
    if (now - m_startedAt > m_options.claimDeadline) {
        return reject(ErrorKind::OutcomeUnknown, "another request with this idempotency key has not finished");
    }
    return {Delay {m_options.readInterval}};
}

OneTimeSteps OneTimeCall::onRead(const std::optional<ClaimRow> &row, MonotonicTime now)
{
    if (row) {
        return onRow(*row, now);
    }
    // The write whose response was lost has not taken effect. Writing the same claim again is safe: whichever write takes effect first, the row contains the
    // same nonce.
    return writeClaim(0);
}

OneTimeSteps OneTimeCall::onRow(const ClaimRow &row, MonotonicTime now)
{
    const auto record = ClaimRecord::fromText(row.value);
    if (!record) {
        return reject(ErrorKind::Internal, "the record of this idempotency key is damaged");
    }
    if (record->nonce == m_options.nonce && record->state == ClaimState::Claimed) {
        return onClaimOwned(row.revision, now);
    }
    return onClaimOfOther(*record, row, now);
}

OneTimeSteps OneTimeCall::onClaimOfOther(const ClaimRecord &record, const ClaimRow &row, MonotonicTime now)
{
    if (record.bodyDigest != m_options.bodyDigest) {
        return reject(ErrorKind::IdempotencyKeyReused, "this idempotency key was used with another body");
    }
    switch (record.state) {
    case ClaimState::Done:
        return {Respond {
            .response = {.end = CallEnd::Responded, .status = record.status, .contentType = record.contentType, .body = record.body},
            .isReplay = true,
        }};
    case ClaimState::NotRun:
        if (m_resolveAttempts >= m_options.maxResolveAttempts) {
            return reject(ErrorKind::PlatformUnavailable, "the call was not sent; several requests with this key compete");
        }
        ++m_resolveAttempts;
        return writeClaim(row.revision);
    case ClaimState::Unknown:
        return reject(ErrorKind::OutcomeUnknown, "an earlier request with this key was sent and its outcome is not known");
    case ClaimState::Claimed:
        break;
    }
    m_isWriteUnresolved = false;
    if (now - m_startedAt > m_options.claimDeadline) {
        return reject(ErrorKind::OutcomeUnknown, "another request with this idempotency key has not finished");
    }
    return {Delay {m_options.readInterval}};
}

OneTimeSteps OneTimeCall::onClaimOwned(uint64_t revision, MonotonicTime now)
{
    m_revision = revision;
    if (m_isCallSent) {
        return reject(ErrorKind::Internal, "the call was claimed twice by the same request");
    }
    if (now - m_startedAt > m_options.claimDeadline) {
        // The process was frozen. The caller has given up, and other requests with this key were rejected because the outcome is unknown.
        auto steps = record(ClaimState::NotRun, {});
        auto rejection = reject(ErrorKind::PlatformUnavailable, "the claim took too long; the call was not sent");
        steps.insert(steps.end(), rejection.begin(), rejection.end());
        return steps;
    }
    m_isCallSent = true;
    return {SendCall {}};
}

OneTimeSteps OneTimeCall::onCalled(const CallResponse &response)
{
    OneTimeSteps steps;
    OneTimeSteps lastSteps;
    switch (response.end) {
    case CallEnd::Responded:
        steps = record(ClaimState::Done, response);
        lastSteps = {Respond {.response = response}};
        break;
    case CallEnd::NotSent:
        steps = record(ClaimState::NotRun, {});
        lastSteps = reject(ErrorKind::TargetUnavailable, "no connection to the target; the call was not sent");
        break;
    case CallEnd::Unknown:
        steps = record(ClaimState::Unknown, {});
        lastSteps = reject(ErrorKind::OutcomeUnknown, "the call was sent and its response was lost");
        break;
    }
    steps.insert(steps.end(), lastSteps.begin(), lastSteps.end());
    return steps;
}

std::string OneTimeCall::outcomeText(ClaimState state, const CallResponse &response) const
{
    const ClaimRecord outcome {
        .state = state,
        .nonce = m_options.nonce,
        .bodyDigest = m_options.bodyDigest,
        .gateway = m_options.gateway,
        .wallMs = m_options.wallMs,
        .status = response.status,
        .contentType = response.contentType,
        .body = response.body,
    };
    return outcome.toText();
}

OneTimeSteps OneTimeCall::record(ClaimState state, const CallResponse &response) const
{
    return {RecordOutcome {.value = outcomeText(state, response), .revision = m_revision}};
}

OneTimeSteps OneTimeCall::reject(ErrorKind kind, const std::string &detail)
{
    return {Reject {{.kind = kind, .detail = detail, .retryAfter = errorKindInfo(kind).retryAfter}}};
}

} // namespace Jujube
