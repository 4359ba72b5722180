#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibRelay/EventSplitter.h>
#include <LibRelay/RelayDocument.h>
#include <LibRelay/RelayOutcome.h>
#include <LibRelay/TargetTable.h>
#include <optional>
#include <set>
#include <string>

namespace Jujube
{

// A target that was chosen for a request.
struct RelayTarget {
    std::string id;
    int64_t incarnation = 0;
    // "address:port".
    std::string address;

    static RelayTarget of(const TargetEntry &entry)
    {
        return {.id = entry.id, .incarnation = entry.incarnation, .address = entry.address};
    }
};

// What a session needs to know about its request.
struct RequestProperties {
    // By which engines name a copy of the generation that has grown with it.
    std::string id;
    RouteKind kind = RouteKind::OneTime;
    // Only for streams: another target may continue after the last event, reading everything anew.
    bool resumable = false;
    int maxAttempts = 1;
    // When the caller must have its final answer.
    MonotonicTime deadline;

    // Whether the request may run again when its outcome is unknown.
    bool isRepeatable() const
    {
        return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
    }
};

// One send of the request to a target.
struct RelayAttempt {
    RelayTarget target;
    // First send of the request, or a further one that counts against the retry budget.
    int attempt = 1;
    std::chrono::milliseconds timeLeft {0};
    // A stream goes on after this event.
    std::optional<int64_t> lastEventId;
    // Where the memory of the running generation comes from: the address of an engine and the name of the copy. Empty for a run from the start.
    std::string kvCacheSource;
    // An engine that keeps a copy of the generation as it grows. Nothing for none.
    std::optional<RelayTarget> backup;
};

// The choice of a target, or why there is none.
struct TargetChoice {
    std::optional<RelayTarget> target;
    RelayOutcome rejection = RelayOutcome::NoTarget;
    std::chrono::milliseconds retryAfter {500};
};

// The answer to an order to copy a running generation to another engine.
struct CopyResult {
    enum class Kind {
        // The copy is complete. If the order was to stop the run as well, it has stopped.
        Copied,
        // The engine does not run the generation (yet).
        NotRunning,
        // A copy of the generation is in progress already.
        Busy,
        // The destination has no room or cannot be reached. If the run was to stop, it has stopped, and its memory stays at the source.
        DestinationUnavailable,
        // No answer; the run may have stopped.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    std::string handle;
    int64_t eventsProduced = 0;
};

// The head of a target's answer, as far as decisions depend on it.
struct TargetResponse {
    int status = 0;
    // The target says that it did not run the request.
    bool notRun = false;
    // Another target has the address now.
    bool misdirected = false;
    // The answer bears the mark of a target's own answer.
    bool sealed = false;
    bool isStream = false;
    // The target says that it leaves.
    bool leaving = false;
    // The target turned the request away and wants nothing from this relay for so long.
    std::optional<std::chrono::milliseconds> cooldown;
    // Length of the body, if the target has declared it.
    std::optional<uint64_t> length;
};

// How an exchange with a target ended, for the session.
enum class ExchangeResult {
    Complete,
    NotSent,
    Broken,
};

// Decides how one request of a caller gets its final answer, although targets and connections fail. A state machine without input and output of its own: the
// driver calls its functions and carries out what the hooks are told. At most one exchange with a target is current.
class RelaySession
{
public:
    struct Hooks {
        // Chooses a target. `excluded` are targets that must not be chosen.
        std::function<TargetChoice(const std::set<std::string> &excluded, MonotonicTime now)> choose;
        // Chooses an engine that keeps a copy of the generation as it grows on its target. Nothing if none is worth its memory.
        std::function<std::optional<RelayTarget>(const RelayTarget &target, MonotonicTime now)> chooseBackup;
        // Chooses the destination of a move away from a target that leaves.
        std::function<std::optional<RelayTarget>(const std::set<std::string> &excluded, MonotonicTime now)> chooseDestination;
        // Whether a generation may go on at the target that holds its memory: the target's data centre is in service, the target does not want to be left
        // alone, and the generation does not crash its targets.
        std::function<bool(const RelayTarget &target, MonotonicTime now)> mayContinue;
        // Takes one retry out of the budget of the service.
        std::function<bool(MonotonicTime now)> tryTakeRetry;
        std::function<void(const RelayAttempt &send)> send;
        // Ends the current exchange with a target by closing its connection.
        std::function<void()> abortAttempt;
        // Orders the engine that runs the generation to copy it; answered with onCopied().
        std::function<void(const RelayTarget &source, const RelayTarget &destination, bool stop)> copy;
        // Passes the head of the target's current answer on to the caller. Without a length the body follows in chunks.
        std::function<void(std::optional<uint64_t> length)> beginResponse;
        std::function<void(std::string_view bytes)> write;
        std::function<void()> finishResponse;
        // Ends the request with an answer of the gateway's own.
        std::function<void(RelayOutcome outcome, std::chrono::milliseconds retryAfter)> answer;
        // Closes the caller's channel: the answer has begun and cannot be completed.
        std::function<void(RelayOutcome outcome)> cut;
        // For the log: what was decided and why.
        std::function<void(std::string_view decision, std::string_view reason)> record;
    };

    RelaySession(RequestProperties request, Hooks hooks);

    void start(MonotonicTime now);

    // The head of an answer to the current send. Returns false if the answer is not to be read any further; the driver then closes the connection.
    bool onHead(const TargetResponse &answer, MonotonicTime now);
    void onBody(std::string_view bytes, MonotonicTime now);
    void onEnd(ExchangeResult result, MonotonicTime now);

    // The target that runs the request leaves, and the request may be copied to another one now. May be called again after a copy that failed.
    void onTargetLeaving(MonotonicTime now);
    void onCopied(const CopyResult &result, MonotonicTime now);
    // The engine that keeps a copy as the generation grows is not to be relied on any more.
    void onBackupLost();
    const std::optional<RelayTarget> &backup() const
    {
        return m_backup;
    }

    void onDeadline(MonotonicTime now);
    void onCallerDisconnected();
    // The stream has been silent for longer than a healthy target's would be.
    void onStreamTimeout(MonotonicTime now);

    bool isOver() const
    {
        return m_isOver;
    }

    const std::optional<RelayTarget> &target() const
    {
        return m_target;
    }

    int64_t eventCount() const
    {
        return m_events.count();
    }

    // Whether a copy of the generation is being made.
    bool isMigrating() const
    {
        return m_migration != Migration::None;
    }

    // Whether a generation that was moved has been sent to its destination, and the destination has not answered.
    bool isAwaitingMigratedRun() const;

    int attemptCount() const
    {
        return m_attempts;
    }

private:
    enum class Migration {
        None,
        // The run goes on while its memory is copied.
        Copying,
        // The run has been told to stop, and the rest of its memory is copied.
        Stopping,
        // The copy is complete; the source's stream is read to its end.
        Draining,
    };

    void startRun(MonotonicTime now);
    void send(const RelayTarget &target, const std::string &kvCacheSource, MonotonicTime now);
    // Handles an exchange that produced no usable answer.
    void onFailure(ExchangeResult result, bool notRun, MonotonicTime now);
    // Sends the request to another target if time and, unless the last one was never reached, the budget allow it.
    bool tryRetry(std::string_view reason, bool countsAgainstBudget, MonotonicTime now);
    bool continueFromBackup(MonotonicTime now);
    // After a move whose destination has not begun: the source keeps the memory of a generation that it stopped, until its copy is used.
    bool continueAtSource(MonotonicTime now);
    void continueAt(const RelayTarget &target, const std::string &kvCacheSource, MonotonicTime now);
    void startMigration(MonotonicTime now);
    // Ends the request with an answer of the gateway's own, or cuts the answer if it has begun.
    void fail(RelayOutcome outcome, std::chrono::milliseconds retryAfter);
    void ensureResponseBegun(std::optional<uint64_t> length);
    void writeEvents(std::string_view bytes);
    void complete();

    const RequestProperties m_request;
    const Hooks m_hooks;
    std::optional<RelayTarget> m_target;
    std::optional<RelayTarget> m_backup;
    std::set<std::string> m_excluded;
    EventSplitter m_events;
    // Body bytes of an answer that is not a stream, held back until the answer is whole.
    std::string m_bufferedBody;
    TargetResponse m_response;
    // An answer to the current send has been accepted.
    bool m_isResponseAccepted = false;
    // The caller has the head of an answer.
    bool m_hasBegun = false;
    // When a refused request may come back, by the last choice that found no target.
    std::chrono::milliseconds m_retryAfter {300};
    // A byte of the request may have reached a target that did not deny having run it.
    bool m_mayHaveRun = false;
    bool m_isOver = false;
    // The exchange continues a generation whose head the caller has already.
    bool m_isContinuation = false;
    int m_attempts = 0;
    int m_runs = 0;
    int m_rejections = 0;
    int m_unreachable = 0;
    Migration m_migration = Migration::None;
    bool m_isTargetLeaving = false;
    RelayTarget m_source;
    RelayTarget m_destination;
    std::string m_copyHandle;
};

} // namespace Jujube
