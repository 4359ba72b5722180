#pragma once

#include <LibCore/Problem.h>
#include <LibCore/Time.h>
#include <LibGeneration/Cursor.h>
#include <LibGeneration/StreamAssembler.h>
#include <optional>
#include <set>
#include <variant>

namespace Jujube
{

// How an engine's stream ended.
enum class EngineStreamEnd {
    // The engine closed the stream, after its last line or before it.
    Closed,
    // No connection could be established.
    Unreachable,
    // The target's host refused the connection, so the engine process is not running.
    Refused,
    // The connection failed, or the engine sent an invalid line or skipped tokens.
    Broken,
    // The engine sent nothing until the timeout for missing data.
    Silent,
    // The engine responded that it does not have the generation.
    NotFound,
    // The engine accepts no work at the moment (HTTP 429 or 503).
    Busy,
    // The engine rejected the request permanently (any other HTTP error).
    Rejected,
};

namespace SessionAction
{

// Ask the policy for a target. The driver then calls onPlaced(), onPlacementRejected() or onPlacementDelayed().
struct Place {
    std::set<std::string> excludedTargets;
};

// Send the prompt to the target, followed by the existing tokens if the generation is continued.
struct Generate {
    std::string target;
    int32_t attempt;
    std::vector<std::string> tokens;
};

// Reopen the stream of the running generation on the target, beginning with the token at index `from`.
struct Resume {
    std::string target;
    int32_t attempt;
    int32_t from;
};

// Close the stream from the target, if it is open, and request that the target drops the generation.
struct Abandon {
    std::string target;
};

// Send a token to the caller.
struct Deliver {
    int32_t index;
    std::string text;
    // Checksum of the tokens up to and including this one.
    uint64_t checksum;
};

// Send the last event to the caller.
struct Complete {
    int32_t count;
    std::string checksum;
};

// Send an error to the caller and end.
struct Fail {
    Problem problem;
};

// Call onTimer() at this time.
struct Wait {
    MonotonicTime until;
};

// Report to the policy and to the tracking of crash suspects that the target is gone or no longer has the generation.
struct ReportLost {
    std::string target;
    EngineStreamEnd end;
};

} // namespace SessionAction

using GenerationAction = std::variant<SessionAction::Place,
                                      SessionAction::Generate,
                                      SessionAction::Resume,
                                      SessionAction::Abandon,
                                      SessionAction::Deliver,
                                      SessionAction::Complete,
                                      SessionAction::Fail,
                                      SessionAction::Wait,
                                      SessionAction::ReportLost>;
using GenerationActions = std::vector<GenerationAction>;

// Delivers one generation completely to its caller despite failures of targets and connections. This is a pure state machine: the driver performs the
// returned actions and reports their results. At most one engine stream is current; the driver numbers the streams and drops input from earlier ones.
class GenerationSession
{
public:
    struct Options {
        std::string generation;
        // Whether another engine can continue the generation exactly. Otherwise tokens are buffered until the engine has finished.
        bool canContinueExactly = false;
        // Position to resume from, if the caller has reconnected.
        std::optional<Cursor> cursor;
        // A generation that makes no progress for this time fails.
        std::chrono::milliseconds progressTimeout {std::chrono::minutes(10)};
        // Maximum number of consecutive attempts to resume the stream from the same target before the target counts as lost.
        int maxResumes = 2;
        // Delay before the next placement of a started generation that found no target.
        std::chrono::milliseconds placementDelay {200};
    };

    GenerationSession(Options options, MonotonicTime now);

    GenerationActions start(MonotonicTime now);
    GenerationActions onPlaced(const std::string &target, MonotonicTime now);
    // The policy has no target. If no token was delivered, the generation fails at once with the problem; otherwise it waits.
    GenerationActions onPlacementRejected(const Problem &problem, MonotonicTime now);
    // Fails the generation with the problem, whether it has started or not, because the request must not run again.
    GenerationActions giveUp(const Problem &problem);
    // The policy has no target yet. Placement is repeated at the given time.
    GenerationActions onPlacementDelayed(MonotonicTime until, MonotonicTime now);
    GenerationActions onLine(const EngineLine &line, MonotonicTime now);
    GenerationActions onEngineStreamEnd(EngineStreamEnd end, MonotonicTime now);
    GenerationActions onTimer(MonotonicTime now);

    bool isOver() const
    {
        return m_over;
    }

    const std::string &target() const
    {
        return m_target;
    }

    int32_t attempt() const
    {
        return m_assembler.attempt();
    }

    int32_t producedTokens() const
    {
        return m_assembler.nextOffset();
    }

    // Whether the caller has received at least one token. From then on, the generation must not be replaced by a different one.
    bool hasDeliveredTokens() const
    {
        return m_deliveredTokens > 0;
    }

private:
    GenerationActions fail(ErrorKind kind, const std::string &detail);
    GenerationActions acceptToken(const EngineLine &line, MonotonicTime now);
    GenerationActions acceptDone(const EngineLine &line);
    GenerationActions handleTargetLoss(EngineStreamEnd end, MonotonicTime now);
    GenerationActions retryPlacement(MonotonicTime now);
    GenerationActions resumeSameTarget();
    bool isTimedOut(MonotonicTime now) const;

    const Options m_options;
    StreamAssembler m_assembler;
    std::string m_target;
    std::set<std::string> m_excluded;
    // Accepted tokens that are not delivered before the engine has finished.
    std::vector<SessionAction::Deliver> m_undelivered;
    int32_t m_deliveredTokens;
    int m_resumes = 0;
    int m_lostTargets = 0;
    // Whether the last request to the engine resumed the stream of a running generation.
    bool m_resuming = false;
    bool m_over = false;
    MonotonicTime m_lastProgress;
};

} // namespace Jujube
