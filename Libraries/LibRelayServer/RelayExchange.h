#pragma once

#include <LibLoop/CallerChannel.h>
#include <LibRelay/RelayAdmission.h>
#include <LibRelay/RelaySession.h>
#include <LibRelay/RolloutSampler.h>
#include <LibRelayServer/RelayCore.h>
#include <memory>

namespace Jujube
{

// Handles one request of a caller: admits it, and carries out its session's decisions on the connections to the caller and to the targets.
class RelayExchange : public std::enable_shared_from_this<RelayExchange>
{
public:
    RelayExchange(RelayCore &core, std::shared_ptr<CallerChannel> caller, CallerRequest request);
    ~RelayExchange();
    RelayExchange(const RelayExchange &) = delete;
    RelayExchange &operator=(const RelayExchange &) = delete;

    // Admits the request and forwards it, or responds at once.
    void start();

    // Handles that the request's target is leaving: queues the generation for migration if it is worth that.
    void queueMigration();
    // Handles that a target is leaving that may keep the generation's backup.
    void onBackupLeaving(const std::string &target);
    // Handles a new document, by which the generation's backup may be outside the request's homes.
    void dropBackupOutsideHomes();
    // Queues the generation for migration because all requests of its service go to another version. A backup does not replace that, because the engine stays.
    void leaveSupersededTarget();
    // Starts the migration when it is due. Returns false if no copy was started.
    bool startMigration(MonotonicTime now);
    // Handles a copy that ended without migrating the generation.
    void retryMigrationAfter(CopyResult::Kind kind);
    // Queues the generation again after a delay, because no copy could be started.
    void retryMigrationLater();
    // Queues the generation again if it only waits for a reservation that others had. Returns whether it did.
    bool resumeMigration();

    // The target has restarted with another version. Which one sent the last events is not certain, so that nothing goes on elsewhere.
    void onTargetReplaced(const TargetEntry &entry);

    bool isMigratable() const
    {
        return m_admission.demand.isMigratable && !m_isFinished;
    }

    // Name of the target of the last attempt.
    const std::string &target() const
    {
        return m_target;
    }

    // Name of the service. Empty for a request that was not admitted.
    std::string_view service() const
    {
        return m_admission.service ? std::string_view(m_admission.service->name) : std::string_view();
    }
    // Versions of the targets where the request is under way: that of its target, and that of the engine to which a migrated generation may return.
    std::vector<std::string> versionsInUse() const;
    // Counts an attempt that has had no response for long with the time that it has taken so far.
    void noteLongWait(MonotonicTime now);
    // What the attempt in progress shows does not count, because the process was stopped meanwhile.
    void dropRolloutSample()
    {
        m_rolloutSampler.reset();
    }

    // The process is about to stop: responds to the request if its response has not begun.
    void handleStop(MonotonicTime now);
    // Logs that the request ends unfinished because the process exits.
    void logUnfinished(MonotonicTime now) const;

    const std::string &requestId() const
    {
        return m_id;
    }

private:
    void installCallerHooks();
    // Returns how the request must be rejected, or nothing if it is admitted.
    std::optional<RelayOutcome> admit(MonotonicTime now);
    void logAccepted(MonotonicTime now);
    // Until when the request must not run because it, or a part of its prompt, crashes targets. Nothing if it may run.
    std::optional<MonotonicTime> poisonousUntil(MonotonicTime now);
    // The target has responded well for long enough to clear the parts of the prompt.
    void noteSoundResponse(MonotonicTime now);
    std::chrono::milliseconds retryAfterFor(RelayOutcome outcome, MonotonicTime now);
    // Whether the caller takes up a stream of which it has events.
    bool isResumption() const;
    // Finds out by which version the stream began that the caller takes up, and goes on with the request or rejects it.
    void findStreamVersion(MonotonicTime now);
    void startSession(MonotonicTime now);
    // Notes by which version the stream began, so that its caller can take it up at any relay. Two different versions make it unknown.
    void recordStreamVersion(const std::string &version, MonotonicTime now);
    // Whether a target of the version that began the stream takes new requests.
    bool hasTargetOfStreamVersion(MonotonicTime now) const;
    void createSession();
    TargetChoice choose(const std::set<std::string> &excluded, MonotonicTime now);
    // When the caller may come back if the request is rejected because the target and all better ones are overloaded. Nothing if it is not.
    std::optional<std::chrono::milliseconds> overloadRetryAfter(const std::string &target, MonotonicTime now);
    // Chooses among the targets of the versions that the plans of rollouts allow.
    TargetBalancer::Choice chooseByVersion(TargetBalancer::Query query, MonotonicTime now);
    // Whether the plans of rollouts are known.
    bool mayUseTargets(MonotonicTime now);
    // The versions to which an attempt may go.
    VersionFilter allowedVersions(MonotonicTime now);
    // The same without the versions at which a resumable stream must not begin yet, because some relay may not know of them.
    VersionFilter withoutUnsettled(VersionFilter allowed, MonotonicTime now) const;
    // Makes the request wait for the next request that a limit allows, or returns when the caller may come back.
    TargetChoice holdBack(const TargetBalancer::Choice &choice, MonotonicTime now);
    // The target for whose request limit this request has a valid reservation. Empty for none.
    std::string reservedTarget(MonotonicTime now) const;
    // Counts a request that is sent to a target against the target's limit.
    void useRequestLimit(const std::string &target, MonotonicTime now);
    // The version at which a stream that began at `version` may go on: that one only, and only if no rollout excludes it.
    VersionFilter versionsToContinue(const std::string &target, const std::string &version, MonotonicTime now) const;
    // Query for a target that may receive a copy of the generation. Only targets of the source's version and data centre match.
    TargetBalancer::Query copyQuery(const std::string &source, const std::string &version, const std::set<std::string> &excluded, MonotonicTime now);
    std::optional<RelayTarget> chooseDestination(const std::set<std::string> &excluded, MonotonicTime now);
    bool mayContinue(const RelayTarget &holder, MonotonicTime now);
    // Whether requests may be sent to a target at all, by its data centre and the homes of the request.
    bool isServable(const std::string &target);
    bool reserveContinuation(const RelayTarget &holder, MonotonicTime now);
    void releaseContinuations();
    // Stops relying on the generation's backup.
    void dropBackup();
    std::optional<RelayTarget> chooseBackup(const RelayTarget &target, MonotonicTime now);
    void send(const RelayAttempt &attempt);
    void logAttempt(const RelayAttempt &attempt, const TargetLoad &load, MonotonicTime now);
    // Adds what decides in which regions the request may be served: the document, how sure it is that there is no newer one, and the regions.
    void addHomes(LogLine &line, MonotonicTime now);
    // Logs a request that was sent outside the homes that the document in force gives it.
    void checkHomes(const std::string &target, const std::string &dataCentre);
    // The home regions of an admitted request, computed when the document has changed. Nothing for anywhere.
    struct Homes {
        int64_t document = 0;
        // Those that the document gives to the request.
        std::optional<std::vector<std::string>> byDocument;
        // Those by which targets are chosen.
        std::optional<std::vector<std::string>> inForce;
    };
    const Homes &homes();
    // Whether a target is in the homes in force. The region of one that the list does not know is unknown.
    bool isHome(const std::string &target);
    bool onHead(const MessageHead &head, std::optional<uint64_t> length);
    // Applies the state that a response reports in addition to its content: the target is leaving, or asks for a cooldown.
    void noteTargetState(const TargetResponse &response, MonotonicTime now);
    void onBody(std::string_view bytes);
    void noteEvents(MonotonicTime now);
    void beginRolloutSample(const RelayAttempt &attempt, MonotonicTime now);
    // The samples to which the current attempt adds. Null if it does not count.
    RolloutSamples *rolloutSamples();
    void sampleHead(const TargetResponse &response, MonotonicTime now);
    void sampleEnd(ChannelEnd end, MonotonicTime now);
    // The target has failed the current attempt.
    void sampleFailure();
    void sampleDeadline(MonotonicTime now);
    // Whether the request is known to crash targets.
    bool isKnownPoison(MonotonicTime now) const;
    void onEnd(ChannelEnd end, const std::string &error);
    void abortAttempt();
    void copy(const RelayTarget &source, const RelayTarget &destination, bool stop);
    // Orders the copy once the request limit of the source allows it, or gives it up.
    void waitForCopy(const RelayTarget &source, const RelayTarget &destination, bool stop, MonotonicTime now);
    void handleCopied(const CopyResult &result, MonotonicTime now);
    void readRuns(const RelayTarget &target, MonotonicTime at);
    void beginResponse(std::optional<uint64_t> length);
    void answer(RelayOutcome outcome, std::chrono::milliseconds retryAfter);
    void finishResponse();
    void cut(RelayOutcome outcome);
    void record(std::string_view decision, std::string_view reason);
    void armDeadlineTimer();
    void armWaitTimer(MonotonicTime until);
    // Maximum time for which a healthy target would be silent. Nothing where only the deadline applies.
    std::optional<std::chrono::milliseconds> silenceTimeout() const;
    void armSilenceTimer();
    // Ends the request. `end` is its result for the statistics of its target.
    void finishRequest(RunEnd end);

    RelayCore &m_core;
    const std::shared_ptr<CallerChannel> m_caller;
    CallerRequest m_request;
    std::shared_ptr<const RouteTable> m_routes;
    RequestAdmission m_admission;
    std::optional<Homes> m_homes;
    const std::string m_id;
    std::string m_target;
    int64_t m_targetIncarnation = 0;
    std::string m_targetVersion;
    // Version of the target that sent the first event of the stream. Nothing before that event.
    std::optional<std::string> m_streamVersion;
    // Whether the target may have been of another version when it sent events.
    bool m_isStreamVersionUncertain = false;
    // The caller has left before the request was sent.
    bool m_isCallerGone = false;
    // Digest of workspace, request target and body, by which a poison request is recognized when it is sent again.
    uint64_t m_digest = 0;
    // Whether the target crashed when it had just begun to respond, so that the request may be the cause.
    bool m_mayHaveCrashedTarget = false;
    // Whether the response has cleared the parts of the prompt.
    bool m_isSound = false;
    // A part of the prompt that this request tries again.
    std::optional<uint64_t> m_triedPart;
    // Parts of the prompt that other requests may share, in order.
    std::vector<uint64_t> m_promptParts;
    std::unique_ptr<RelaySession> m_session;
    std::shared_ptr<TargetChannel> m_targetConnection;
    // Number of the current attempt. Events of earlier attempts are ignored.
    uint64_t m_attemptNumber = 0;
    // Whether the connection of the current attempt has carried other requests.
    bool m_isConnectionKept = false;
    // Whether the connection of the current attempt has been paused, so that its bytes may have waited here since before the target's end.
    bool m_hasPausedTarget = false;
    // Whether the response to the current attempt has the id of the request.
    bool m_isResponseNamed = false;
    MessageHead m_responseHead;
    MonotonicTime m_sentAt;
    // Time of the current attempt, of the last complete event of its stream, or of the last look at its silence.
    MonotonicTime m_silentSince;
    // The last attempt got no usable response.
    bool m_attemptFailed = false;
    int64_t m_eventsCounted = 0;
    MonotonicTime m_firstEventAt;
    MonotonicTime m_lastEventAt;
    std::chrono::milliseconds m_firstEventAfter {0};
    std::chrono::milliseconds m_maxGap {0};
    // Attempts to migrate the generation, and those of them that ordered a copy.
    int m_migrationAttempts = 0;
    int m_copyAttempts = 0;
    // Whether the generation could not be migrated because others had the reservations at its target.
    bool m_awaitsReservation = false;
    // The targets at which the generation may have reserved its continuation.
    std::set<std::string> m_reservedAt;
    // Interrupted responses of targets that were not known to be leaving.
    int m_unexpectedFailures = 0;
    bool m_isFinished = false;
    // Decides whether the request goes to a version on trial.
    std::optional<double> m_versionDraw;
    // Whether the targets of the trial had no room for the request.
    bool m_isTurnedAwayFromTrial = false;
    std::optional<RolloutSampler> m_rolloutSampler;
    // Events that had arrived before the current attempt.
    int64_t m_eventsBefore = 0;
    std::optional<TargetRequestLimits::Reservation> m_reservation;
    boost::asio::steady_timer m_waitTimer;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;
    boost::asio::steady_timer m_migrationTimer;
    boost::asio::steady_timer m_copyTimer;
    boost::asio::steady_timer m_runsTimer;
};

} // namespace Jujube
