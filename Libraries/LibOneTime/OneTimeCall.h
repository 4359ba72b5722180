#pragma once

#include <LibCore/Problem.h>
#include <LibCore/Time.h>
#include <LibOneTime/ClaimRecord.h>
#include <variant>
#include <vector>

namespace Jujube
{

// The row of the table service that holds a claim.
struct ClaimRow {
    std::string value;
    uint64_t revision = 0;
};

// How a conditional write of the claim's row ended.
enum class ClaimWriteEnd {
    Done,
    // The row has another revision than expected; the current row is passed to onWritten().
    Conflict,
    // The write provably had no effect.
    NotDone,
    // The response was lost; the write may have taken effect, or may still do so later.
    Unknown,
};

// How the call to the target ended.
enum class CallEnd {
    Responded,
    // No byte of the call reached the target.
    NotSent,
    // The call was sent and its response is missing or incomplete.
    Unknown,
};

struct CallResponse {
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    std::string contentType;
    std::string body;
};

namespace OneTimeAction
{

// Write the row if its revision is the given one; 0 means that it must be absent. The driver then calls onWritten().
struct WriteClaim {
    std::string value;
    uint64_t revision;
};

// Read the row. The driver then calls onRead() or onReadFailed().
struct ReadClaim {
};

// Send the call to the target, once, over a new connection. The driver then calls onCalled().
struct SendCall {
};

// Record the outcome. Retried in the background until it succeeds or the row holds another record.
struct RecordOutcome {
    std::string value;
    uint64_t revision;
};

// Determine in the background whether this request's claim took effect after all. If so, record that the call was not run, so that the key can be used again.
struct ReleaseClaim {
    std::string nonce;
    std::string notRunValue;
};

// Call onTimer() after this delay.
struct Delay {
    std::chrono::milliseconds time;
};

// Send the response to the caller and end.
struct Respond {
    CallResponse response;
    // Whether the response was recorded by an earlier request with the same key.
    bool isReplay = false;
};

// Reject the caller's request with a problem and end.
struct Reject {
    Problem problem;
};

} // namespace OneTimeAction

using OneTimeStep = std::variant<OneTimeAction::WriteClaim,
                                 OneTimeAction::ReadClaim,
                                 OneTimeAction::SendCall,
                                 OneTimeAction::RecordOutcome,
                                 OneTimeAction::ReleaseClaim,
                                 OneTimeAction::Delay,
                                 OneTimeAction::Respond,
                                 OneTimeAction::Reject>;
using OneTimeSteps = std::vector<OneTimeStep>;

// Runs a call at most once (docs/design.md, section 9). Only the request whose claim is in the table sends the call, and it does so only once. No other
// request ever runs an open claim, so a holder that was frozen and continues late does no harm. This is a pure state machine; the driver performs the steps in
// order.
class OneTimeCall
{
public:
    struct Options {
        // Unique for this request.
        std::string nonce;
        std::string bodyDigest;
        std::string gateway;
        int64_t wallMs = 0;
        // The owner of the claim sends the call only within this time after its start. Other requests wait this long for an open claim.
        std::chrono::milliseconds claimDeadline {15000};
        std::chrono::milliseconds readInterval {200};
        // Maximum number of attempts to determine the state of a claim whose response was lost, or to claim a call that was not run.
        int maxResolveAttempts = 3;
    };

    OneTimeCall(Options options, MonotonicTime now);

    OneTimeSteps start();
    // The row is given for ClaimWriteEnd::Conflict, the new revision for ClaimWriteEnd::Done.
    OneTimeSteps onWritten(ClaimWriteEnd end, const ClaimRow &row, MonotonicTime now);
    OneTimeSteps onReadFailed(MonotonicTime now);
    // No row means that the key is absent.
    OneTimeSteps onRead(const std::optional<ClaimRow> &row, MonotonicTime now);
    OneTimeSteps onCalled(const CallResponse &response);
    OneTimeSteps onTimer();

private:
    OneTimeSteps onRow(const ClaimRow &row, MonotonicTime now);
    OneTimeSteps onClaimOfOther(const ClaimRecord &record, const ClaimRow &row, MonotonicTime now);
    OneTimeSteps onClaimOwned(uint64_t revision, MonotonicTime now);
    OneTimeSteps resolveOrReject();
    OneTimeSteps writeClaim(uint64_t revision);
    std::string outcomeText(ClaimState state, const CallResponse &response) const;
    OneTimeSteps record(ClaimState state, const CallResponse &response) const;
    static OneTimeSteps reject(ErrorKind kind, const std::string &detail);

    const Options m_options;
    const MonotonicTime m_startedAt;
    // Revision that the last claim write was conditional on, and the row's revision once the claim is owned.
    uint64_t m_expectedRevision = 0;
    uint64_t m_revision = 0;
    int m_resolveAttempts = 0;
    // Whether a write of this request may have taken effect although its response was lost.
    bool m_isWriteUnresolved = false;
    bool m_isCallSent = false;
};

} // namespace Jujube
