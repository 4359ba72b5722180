#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibRelay/EventSplitter.h>
#include <LibRelay/RelayDocument.h>
#include <LibRelay/RelayOutcome.h>
#include <LibRelay/TargetRuns.h>
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
    // Version of its software.
    std::string version;

    static RelayTarget of(const TargetEntry &entry)
    {
        return {.id = entry.id, .incarnation = entry.incarnation, .address = entry.address, .version = entry.softwareVersion};
    }
};

// The properties of a request on which the decisions of its session depend.
struct RequestProperties {
    // Engines use this id as the name of the generation's backup.
    std::string id;
    RouteKind kind = RouteKind::OneTime;
    // Only for streams: another target may continue after the last event, by processing the whole prompt again.
    bool resumable = false;
    int maxAttempts = 1;
    // Whether the targets report what they run. The request then goes on elsewhere only when its former run is known to have ended.
    bool hasReportedRuns = false;
    // When the caller must have its final response.
    MonotonicTime deadline;

    // Whether the request may run again when its outcome is unknown.
    bool isRepeatable() const
    {
        return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
    }
};

// One attempt to have a target serve the request.
struct RelayAttempt {
    RelayTarget target;
    // One for the first attempt; further ones may count against the retry budget.
    int attempt = 1;
    std::chrono::milliseconds timeLeft {0};
    // The stream continues after this event.
    std::optional<int64_t> lastEventId;
    // Where the KV cache of the running generation is copied from: the address of an engine and the name of the copy. Empty for a run from the start.
    std::string kvCacheSource;
    // The engine that keeps a backup of the generation. Nothing for none.
    std::optional<RelayTarget> backup;
};

// The choice of a target, or why there is none.
struct TargetChoice {
    std::optional<RelayTarget> target;
    // Without a target: the request waits until then, and a target is chosen again.
    std::optional<MonotonicTime> waitUntil;
    RelayOutcome rejection = RelayOutcome::NoTarget;
    std::chrono::milliseconds retryAfter {500};
};

// The response to an order to copy a running generation to another engine.
struct CopyResult {
    enum class Kind {
        // The copy is complete. If the order was also to stop the run, it has stopped.
        Copied,
        // The engine does not run the generation (yet).
        NotRunning,
        // A copy of the generation is in progress already.
        Busy,
        // The destination has no capacity or cannot be reached. If the run was to stop, it has stopped, and its KV cache stays at the source.
        DestinationUnavailable,
        // No response; the run may have stopped.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    std::string handle;
    int64_t eventsProduced = 0;
};

// The parts of the header section of a target's response on which decisions depend.
struct TargetResponse {
    int status = 0;
    // Whether the target reports that it did not run the request.
    bool notRun = false;
    // Whether another target has the address now.
    bool misdirected = false;
    // Whether the response has the seal that marks it as the target's own.
    bool sealed = false;
    bool isStream = false;
    // Whether the target reports that it is leaving.
    bool leaving = false;
    // The cooldown that the target asked for when it rejected the request.
    std::optional<std::chrono::milliseconds> cooldown;
    // Whether the response has a header field with a request limit, and the limit in requests per second. A field without a usable number has no limit.
    bool hasRequestLimit = false;
    std::optional<double> requestLimit;
    // Length of the body, if the target has declared it.
    std::optional<uint64_t> length;
    // Whether only the end of the connection ends the body. A stream that the target stops for a migration then ends as a whole one does.
    bool endsWithConnection = false;
};

// How an exchange with a target ended.
enum class ExchangeResult {
    Complete,
    NotSent,
    Broken,
};

// Decides how one request of a caller gets its final response despite failures of targets and connections. A state machine without input and output of its own:
// the driver calls its functions and implements the hooks. At most one exchange with a target is active at a time.
class RelaySession
{
public:
    struct Hooks {
        // Chooses a target. `excluded` are targets that must not be chosen. Only a request that was sent to no target yet may be made to wait.
        std::function<TargetChoice(const std::set<std::string> &excluded, MonotonicTime now)> choose;
        // Chooses an engine that keeps a backup of the generation on the target. Nothing if no engine is worth the memory that it takes.
        std::function<std::optional<RelayTarget>(const RelayTarget &target, MonotonicTime now)> chooseBackup;
        // Chooses the destination of a migration from a target that is leaving, and reserves the continuation there.
        std::function<std::optional<RelayTarget>(const std::set<std::string> &excluded, MonotonicTime now)> chooseDestination;
        // Whether a generation may be continued at the target that holds its KV cache: the target's data centre is in service and in a home region of the
        // request, the target has no cooldown, and the generation is not a poison request.
        std::function<bool(const RelayTarget &target, MonotonicTime now)> mayContinue;
        // Reserves the continuation at a target that holds the generation's KV cache or will hold it, so that mayContinue() stays true there for this
        // generation until it is sent there or all reservations are released. Returns false if the target does not allow it now.
        std::function<bool(const RelayTarget &target, MonotonicTime now)> reserveContinuation;
        // Releases the reservations, that of the destination of a migration included.
        std::function<void()> releaseContinuations;
        // Takes one retry from the budget of the service. Returns false if none is left.
        std::function<bool(MonotonicTime now)> tryTakeRetry;
        std::function<void(const RelayAttempt &send)> sendAttempt;
        // Calls onWaitOver() at a time.
        std::function<void(MonotonicTime until)> wait;
        // Ends the current exchange with a target by closing its connection.
        std::function<void()> abortAttempt;
        // Orders the engine that runs the generation to copy it; the result is passed to onCopied().
        std::function<void(const RelayTarget &source, const RelayTarget &destination, bool stop)> startCopy;
        // Asks a target what it runs, at a time or later; the result is passed to onRunsRead().
        std::function<void(const RelayTarget &target, MonotonicTime at)> readRuns;
        // Passes the header section of the target's current response on to the caller. Without a length the body follows in chunks.
        std::function<void(std::optional<uint64_t> length)> beginResponse;
        std::function<void(std::string_view bytes)> write;
        std::function<void()> finishResponse;
        // Ends the request with a response of the relay's own.
        std::function<void(RelayOutcome outcome, std::chrono::milliseconds retryAfter)> respond;
        // Closes the caller's connection, because the response has begun and cannot be completed.
        std::function<void(RelayOutcome outcome)> cutResponse;
        // Logs a decision and its reason.
        std::function<void(std::string_view decision, std::string_view reason)> record;
    };

    RelaySession(RequestProperties request, Hooks hooks);

    void start(MonotonicTime now);
    // The time for which the request had to wait is over.
    void onWaitOver(MonotonicTime now);

    // The header section of a response to the current attempt. Returns false if the response is not to be read any further; the driver then closes the
    // connection.
    bool onHead(const TargetResponse &response, MonotonicTime now);
    void onBody(std::string_view bytes, MonotonicTime now);
    void onEnd(ExchangeResult result, MonotonicTime now);

    // The target that runs the request is leaving, and the request may be migrated to another one now. May be called again after a failed copy.
    void onTargetLeaving(MonotonicTime now);
    void onCopied(const CopyResult &result, MonotonicTime now);
    void onRunsRead(const TargetRuns &runs, MonotonicTime now);
    // The backup must not be relied on any more.
    void onBackupLost();
    const std::optional<RelayTarget> &backup() const
    {
        return m_backup;
    }

    void onDeadline(MonotonicTime now);
    // The process is about to stop. A request whose response has not begun gets a response of the relay's own. One that has begun goes on, and may end in time.
    void onStop(MonotonicTime now);
    void onCallerDisconnected();
    // The stream has had no event for longer than that of a healthy target would. It goes on elsewhere if it can, and otherwise stays with its target. May be
    // called again while the target stays silent.
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

    // Whether a migration is in progress.
    bool isMigrating() const
    {
        return m_migration != Migration::None;
    }

    // Whether the response broke off or went silent, and it is not known yet whether the run has ended.
    bool isInterrupted() const
    {
        return m_interruption.has_value();
    }

    // Whether a migrated generation has been sent to its destination, and the destination has not responded.
    bool isAwaitingMigratedRun() const;

    // The source of such a generation, to which it may return. Nothing for others.
    std::optional<RelayTarget> migrationSource() const
    {
        return isAwaitingMigratedRun() ? std::optional(m_source) : std::nullopt;
    }

    int attemptCount() const
    {
        return m_attempts;
    }

private:
    enum class Migration {
        None,
        // The run continues while its KV cache is copied.
        Copying,
        // The run was ordered to stop, and the rest of its KV cache is copied.
        Stopping,
        // The copy is complete; the source's stream is read to its end.
        Draining,
    };

    // A run whose response broke off or went silent, until it is known whether the run has ended.
    struct Interruption {
        MonotonicTime since;
        // Whether the connection is open, so that the response may go on.
        bool isOpen = true;
        // Whether a response had been accepted when the connection ended.
        bool hadResponse = false;
        // Whether the retry that follows has been taken from the budget.
        bool hasRetry = false;
        std::chrono::milliseconds readInterval {0};
        // Whether the last statement does not list the run, and the target's queue is not empty.
        bool mayBeQueued = false;
        // Orders to stop the run. The last one is in progress if it has a destination.
        int stopOrders = 0;
        std::optional<RelayTarget> stopDestination;
        // From this time on the target's statements take the last order into account.
        MonotonicTime nextStopAt;
    };

    void startRun(MonotonicTime now);
    void send(const RelayTarget &target, const std::string &kvCacheSource, MonotonicTime now);
    // Handles an exchange that produced no usable response.
    void onFailure(ExchangeResult result, bool notRun, MonotonicTime now);
    // Goes on elsewhere after an exchange that produced no usable response, or gives up.
    void leaveTarget(bool hadResponse, ExchangeResult result, bool notRun, MonotonicTime now);
    // Whether another target may continue the request, or run it again, once its run has ended.
    bool mayGoOn(bool hadResponse, MonotonicTime now) const;
    bool mayRunAgain() const;
    bool mayContinueFromBackup(MonotonicTime now) const;
    bool mayContinueAtSource(MonotonicTime now) const;
    void awaitRunEnd(MonotonicTime now);
    // The connection of the interrupted run has ended or is of no use any more.
    void closeInterruptedRun(bool hadResponse);
    bool hasInterruptedRunResponded() const;
    void readRuns(MonotonicTime at);
    // What a target's statement tells about the interrupted run.
    RunState stateOf(const TargetRuns &runs) const;
    // When the target has listed the run at the latest.
    MonotonicTime runBegunAt() const;
    // Whether the run probably was not waiting in its target's queue when it was interrupted, so that an order to stop it is worth its call.
    bool wasRunning() const;
    void onInterruptedRunEnded(std::string_view reason, MonotonicTime now);
    // Makes the target stop the interrupted run, by an order to copy it or by closing its connection. Returns false if it can only be waited for.
    bool stopInterruptedRun(MonotonicTime now);
    // Closes the connection of a silent run that may run again. Most targets drop a request with its connection.
    void dropInterruptedRun(MonotonicTime now);
    // The same for a run that its target did not find when it was to be stopped, also if only a copy of it can be continued.
    void dropUnknownRun(MonotonicTime now);
    // Where the KV cache of the interrupted run would be copied. Nothing also if it is not certain that the run could continue afterwards.
    std::optional<RelayTarget> chooseStopDestination(MonotonicTime now) const;
    // An engine that has a copy of the interrupted run from before its interruption.
    std::optional<RelayTarget> copyHolder(MonotonicTime now) const;
    void onInterruptedRunCopied(const CopyResult &result, MonotonicTime now);
    // The response of the interrupted run goes on.
    void resumeInterruptedRun();
    void startCopy(const RelayTarget &source, const RelayTarget &destination, bool stop);
    // Sends the request to another target if there is enough time and, with `countsAgainstBudget`, if the budget allows it.
    bool tryRetry(std::string_view reason, bool countsAgainstBudget, MonotonicTime now);
    bool continueFromBackup(MonotonicTime now);
    // Makes a request whose target is silent go on elsewhere, at once or when its run has ended. Returns false if it stays there.
    bool tryLeaveSilentTarget(MonotonicTime now);
    // The same for a run that has ended or need not end first.
    bool tryGoOnElsewhere(MonotonicTime now);
    // Continues at the source of a migration whose destination has not begun: the source keeps the KV cache of a generation that it stopped, until its copy is
    // used.
    bool continueAtSource(MonotonicTime now);
    void continueAt(const RelayTarget &target, const std::string &kvCacheSource, MonotonicTime now);
    // Continues a run that was ordered to stop, at its destination, or at its source if the destination is not allowed any more.
    void continueStoppedRun(MonotonicTime now);
    void startMigration(MonotonicTime now);
    // Gives up a migration whose run has not been stopped.
    void abandonMigration();
    // Ends the request with a response of the relay's own, or cuts the response if it has begun.
    void fail(RelayOutcome outcome, std::chrono::milliseconds retryAfter);
    void ensureResponseBegun(std::optional<uint64_t> length);
    void writeEvents(std::string_view bytes);
    // Whether an exchange that ended so has delivered a whole response.
    bool isWhole(ExchangeResult result) const;
    void complete();

    const RequestProperties m_request;
    const Hooks m_hooks;
    std::optional<RelayTarget> m_target;
    std::optional<RelayTarget> m_backup;
    std::set<std::string> m_excluded;
    EventSplitter m_events;
    // Body bytes of a response that is not a stream, buffered until the response is complete.
    std::string m_bufferedBody;
    TargetResponse m_response;
    // Whether the engine may have stopped the run: it was ordered to, and its response to the order has been lost.
    bool m_mayBeStopped = false;
    // Whether the stream of the run that was ordered to stop has ended as a whole one does.
    bool m_hasWholeEnd = false;
    // Whether a response to the current attempt has been accepted.
    bool m_isResponseAccepted = false;
    // Whether the caller has received the header section of a response.
    bool m_hasBegun = false;
    // The response whose header section the caller has received.
    TargetResponse m_begunResponse;
    // Retry-After time of a rejection, from the last choice that found no target.
    std::chrono::milliseconds m_retryAfter {300};
    // Whether a byte of the request may have reached a target that did not report that it had not run it.
    bool m_mayHaveRun = false;
    bool m_isOver = false;
    // Whether the exchange continues a generation, and the caller has already received the header section of its response.
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
    std::optional<Interruption> m_interruption;
    bool m_isReadingRuns = false;
    // Orders to copy that have no result yet.
    int m_copyOrders = 0;
    // Of the current attempt.
    MonotonicTime m_sentAt;
    std::optional<MonotonicTime> m_firstEventAt;
    MonotonicTime m_lastEventAt;
};

} // namespace Jujube
