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
    // The engine closed the stream after its last line, or early.
    Closed,
    // No connection was made.
    Unreachable,
    // The target's machine refused the connection: the process is gone.
    Refused,
    Broken,
    // The silence deadline passed.
    Silent,
    // The engine answered that it does not have the generation.
    NotFound,
    // The engine takes no work now (HTTP 429 or 503).
    Busy,
    // The engine refused the request for good (any other HTTP error).
    Rejected,
};

namespace SessionAction
{

// Ask the policy for a target; answered with onPlaced() or onPlacementRejected().
struct Place {
    std::set<std::string> excludedTargets;
};

// Send the prompt to the target. A continued generation comes with the tokens that exist already.
struct Generate {
    std::string target;
    int32_t attempt;
    std::vector<std::string> tokens;
};

// Read the running generation from the target.
struct Resume {
    std::string target;
    int32_t attempt;
    int32_t from;
};

// Close the stream from the target, if it is open, and tell the target to drop the generation.
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

// The target is gone or does not have the generation any more. For the policy and for crash suspects.
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

// Decides how one generation reaches its caller whole, although targets and connections fail. A pure state machine: the driver carries out the actions and
// reports what happened. At most one upstream stream is current; the driver numbers the streams and drops what arrives from earlier ones.
class GenerationSession
{
public:
    struct Options {
        std::string generation;
        // Whether another engine can continue the generation exactly. Otherwise tokens are held back until the engine has finished.
        bool canContinueExactly = false;
        // Position to go on from, for a caller that came back.
        std::optional<Cursor> cursor;
        // A generation that makes no progress for this time is given up.
        std::chrono::milliseconds progressTimeout {std::chrono::minutes(10)};
        // Tries to reach the same target again before it counts as lost.
        int resumeLimit = 2;
        // Pause before another target is asked for, while a started generation waits.
        std::chrono::milliseconds placementPause {200};
    };

    GenerationSession(Options options, MonotonicTime now);

    GenerationActions start(MonotonicTime now);
    GenerationActions onPlaced(const std::string &target, MonotonicTime now);
    // The policy has no target. A generation of which nothing was delivered fails at once with the problem; a started one waits.
    GenerationActions onPlacementRejected(const Problem &problem, MonotonicTime now);
    // The request must not run again, whether it has started or not.
    GenerationActions giveUp(const Problem &problem);
    // The policy asks to wait for a target.
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

    // Whether the caller has at least one token, so that the generation must not be replaced by another one.
    bool isDelivered() const
    {
        return m_delivered > 0;
    }

private:
    GenerationActions fail(ErrorKind kind, const std::string &detail);
    GenerationActions acceptToken(const EngineLine &line, MonotonicTime now);
    GenerationActions acceptDone(const EngineLine &line);
    GenerationActions loseTarget(EngineStreamEnd end, MonotonicTime now);
    GenerationActions placeAgain(MonotonicTime now);
    GenerationActions resumeSameTarget();
    bool timedOut(MonotonicTime now) const;

    const Options m_options;
    StreamAssembler m_assembler;
    std::string m_target;
    std::set<std::string> m_excluded;
    // Tokens accepted and not yet delivered, while delivery is held back.
    std::vector<SessionAction::Deliver> m_held;
    int32_t m_delivered;
    int m_resumes = 0;
    int m_losses = 0;
    // Whether the last upstream request had the target continue a generation that it already runs.
    bool m_resuming = false;
    bool m_over = false;
    MonotonicTime m_lastProgress;
};

} // namespace Jujube
