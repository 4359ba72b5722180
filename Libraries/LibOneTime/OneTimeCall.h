#pragma once

#include <LibCore/Problem.h>
#include <LibCore/Time.h>
#include <LibOneTime/ClaimRecord.h>
#include <variant>
#include <vector>

namespace Jujube
{

// A row of the table service as a claim sees it.
struct ClaimRow {
    std::string value;
    uint64_t revision = 0;
};

// How a conditional write of the claim's row ended.
enum class ClaimWriteEnd {
    Done,
    // Another value is there; the row comes with the answer.
    Conflict,
    // The write provably had no effect.
    NotDone,
    // The answer was lost; the write may have taken effect, now or later.
    Unknown,
};

// How the call to the target ended.
enum class CallEnd {
    Responded,
    // No byte of the call reached the target.
    NotSent,
    // The call was sent and its answer is missing or incomplete.
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

// Write the row if its revision is the given one; 0 means that it must be absent. Responded with onWritten().
struct WriteClaim {
    std::string value;
    uint64_t revision;
};

// Read the row. Responded with onRead().
struct ReadClaim {
};

// Send the call to the target, once, over a new connection. Responded with onCalled().
struct SendCall {
};

// Record the outcome; retried in the background until it is done or another record is there.
struct RecordOutcome {
    std::string value;
    uint64_t revision;
};

// Find out in the background whether the own claim took effect after all, and if so record that the call was not run, so that the key can be used again.
struct ReleaseClaim {
    std::string nonce;
    std::string notRunValue;
};

// Call onTimer() after this pause.
struct Delay {
    std::chrono::milliseconds time;
};

// Respond the caller and end.
struct Respond {
    CallResponse response;
    // Whether the answer was recorded by an earlier request with the same key.
    bool isReplay = false;
};

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

// Runs a call that must not run twice (design, section 9). The call is sent only by the request whose claim is in the table, and by it only once, so that a
// frozen holder that wakes late is harmless: nobody else ever runs an open claim. A pure state machine; the driver carries out the steps in order.
class OneTimeCall
{
public:
    struct Options {
        // Unique for this request.
        std::string nonce;
        std::string bodyDigest;
        std::string gateway;
        int64_t wallMs = 0;
        // The owner sends only within this time after it began; others wait for an open claim for this time.
        std::chrono::milliseconds claimDeadline {15000};
        std::chrono::milliseconds readPause {200};
        // Writes and reads to find out what became of a claim whose answer was lost.
        int resolveLimit = 3;
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
    OneTimeSteps onOwned(uint64_t revision, MonotonicTime now);
    OneTimeSteps resolveOrRefuse();
    OneTimeSteps writeClaim(uint64_t revision);
    std::string outcomeText(ClaimState state, const CallResponse &response) const;
    OneTimeSteps record(ClaimState state, const CallResponse &response) const;
    static OneTimeSteps refuse(ErrorKind kind, const std::string &detail);

    const Options m_options;
    const MonotonicTime m_begin;
    // Revision that the last claim write was conditional on, and the row's revision once the claim is owned.
    uint64_t m_expectedRevision = 0;
    uint64_t m_revision = 0;
    int m_resolves = 0;
    // Whether an own write may have taken effect without an answer.
    bool m_writeUnresolved = false;
    bool m_called = false;
};

} // namespace Jujube
