#pragma once

#include "../../Support/RequestLimitCheck.h"
#include "BadPartCheck.h"
#include "DocumentHistory.h"

#include <functional>
#include <LibCore/Time.h>
#include <LibLoop/MessageHead.h>
#include <map>
#include <optional>
#include <platform/StandIns/StandInTarget.h>
#include <set>
#include <string>
#include <vector>

namespace Jujube
{

// Bounds that the users state for their deployments, all for nodes that are in touch.
namespace SoakBounds
{
constexpr std::chrono::milliseconds Evacuation {5000};
// A relay that closes a connection this long after a request's last byte has read it.
constexpr std::chrono::milliseconds LossSlack {200};
constexpr std::chrono::milliseconds AfterLeaving {500};
constexpr std::chrono::milliseconds AfterTimeout {500};
// A target may be at work on a generation for so long after it has gone on at another one.
constexpr std::chrono::milliseconds TwoTargets {400};
constexpr std::chrono::milliseconds NotReadyAfterTerm {4000};
constexpr std::chrono::milliseconds Recovery {12000};
// Retries of a service in a window, beside a fifth of its requests.
constexpr std::chrono::milliseconds RetryWindow {10000};
constexpr double RetryRatio = 0.2;
// Requests that may still reach a target after their caller has left.
constexpr size_t FewRequests = 3;
// A relay is bound by a target's limit from this time after it has passed on an answer that names it.
constexpr std::chrono::milliseconds AfterNamedLimit {500};
// A request that has crashed this many targets has to be known to all nodes in touch, and reaches targets in a few more tries at most.
constexpr int CrashesUntilKnown = 3;
constexpr size_t FewFatalRequests = 3;
// Targets that are given more time than is left, and late answers, break a promise in more cases than these.
constexpr size_t FewWithTooMuchTime = 20;
constexpr size_t FewLateAnswers = 8;
// A relay whose requests have shown that it knows a document does not go back to an older one for requests sent this long after.
constexpr std::chrono::milliseconds Rollback {250};
constexpr std::chrono::milliseconds RollbackOutOfTouch {2000};
} // namespace SoakBounds

// Bounds that grow with the size of a deployment.
struct FleetBounds {
    std::chrono::milliseconds contact {3000};
    std::chrono::milliseconds drain {2500};
    std::chrono::milliseconds document {2500};
    // Whether late answers and too much time left are counted as the users state it, as shares of all requests. A large fleet on one machine shares its
    // processors, and requests may wait before their relay reads them.
    bool countsShares = false;
};

constexpr FleetBounds fleetBounds(size_t relays)
{
    constexpr size_t LargeFleet = 60;
    if (relays < LargeFleet) {
        return {};
    }
    return {.contact = std::chrono::milliseconds(5000),
            .drain = std::chrono::milliseconds(4000),
            .document = std::chrono::milliseconds(4000),
            .countsShares = true};
}

enum class SoakKind {
    OneTime,
    Repeatable,
    Generation,
    ResumableGeneration,
};

constexpr bool isGeneration(SoakKind kind)
{
    return kind == SoakKind::Generation || kind == SoakKind::ResumableGeneration;
}

// Whether a request may run again when its outcome is unknown.
constexpr bool isRepeatable(SoakKind kind)
{
    return kind == SoakKind::Repeatable || kind == SoakKind::ResumableGeneration;
}

// The service whose targets run the requests of a kind.
constexpr const char *serviceOf(SoakKind kind)
{
    return isGeneration(kind) ? "engine" : "desk";
}

// The body of a plain target's answer to a request, and of a complete generation.
std::string soakBody(const std::string &id);
std::string soakEvents(int events);

// What callers, targets and the store saw of the relays during a run, and which promises that breaks. Knows nothing of how the relays work.
class SoakLedger
{
public:
    struct Options {
        // Events of each complete generation.
        int events = 0;
        double retrySlack = 0;
        FleetBounds bounds;
        // Whether promises with a time bound are checked. They hold only while the machine keeps up.
        bool timed = true;
        // Whether requests that are cut are left to PlannedLosses.
        bool plannedOnly = false;
    };

    struct Sent {
        std::string relay;
        SoakKind kind = SoakKind::OneTime;
        std::string method;
        std::string target;
        // Whether every document of the run allows the request, or else none does.
        bool proper = true;
        // Set if some documents of the run allow it: what it needs of the document.
        std::optional<DocumentHistory::Subject> subject;
        std::chrono::milliseconds deadline {0};
        // Longest wait of its route.
        std::chrono::milliseconds routeTimeout {3000};
        // Whether it crashes each target that runs it.
        bool isFatal = false;
        // Parts of a generation's prompt as the caller names them, and whether one of them crashes each engine that begins to write on it.
        std::string prompt;
        bool hasBadPart = false;
    };

    struct Answer {
        // Zero if no whole head arrived.
        int status = 0;
        std::string echoedId;
        std::string seal;
        std::string body;
        bool complete = false;
        // Whether the connection was made.
        bool wasSent = true;
        // Whether the caller closed its connection because the answer took too long.
        bool gaveUp = false;
        // Whether the answer names the target's limit.
        bool namesLimit = false;
    };

    explicit SoakLedger(Options options);

    // A disturbance of a node, its links or the store. A node is in touch again some time after its end.
    void disturb(const std::string &relay, MonotonicTime until);
    // A graceful shutdown, which must not cut any request.
    void disturbAsPlanned(const std::string &relay, MonotonicTime until);
    // A restart or freeze of a relay, for which the limits of targets do not bind it.
    void excuseFromLimits(const std::string &relay, MonotonicTime until);
    // The same for a target and its link.
    void disturbTarget(const std::string &target, MonotonicTime until);
    // A fault of a target's link, which may hold requests up on their way.
    void harmTargetLink(const std::string &target, MonotonicTime until);
    bool isInTouch(const std::string &relay, MonotonicTime now) const;
    // Whether a relay was in touch all the while.
    bool wasInTouch(const std::string &relay, MonotonicTime from, MonotonicTime to) const;
    // The process of a relay does not run. Its next lifetime may begin with an older document.
    void onDown(MonotonicTime now, const std::string &relay);

    // The store has confirmed a document.
    void onDocument(MonotonicTime now, DocumentHistory::Document document);
    void onSent(MonotonicTime now, const std::string &id, Sent sent);
    void onArrival(MonotonicTime now, const std::string &target, const std::string &service, const MessageHead &head, StandInTarget::Arrival arrival);
    void onAnswer(MonotonicTime now, const std::string &id, const Answer &answer);
    // A request with the bad part has crashed an engine.
    void onBadPartCrash(MonotonicTime now);
    // A target names a limit in its answers from now on, or none.
    void onLimitNamed(MonotonicTime now, const std::string &target, std::optional<double> limit);
    // The lifetime of a target has ended. A new one begins without a limit.
    void onTargetEnded(MonotonicTime now, const std::string &target);
    // The caller has closed its connection before the end.
    void onLeft(MonotonicTime now, const std::string &id);
    // Checks some time after a caller left that no target works on its request.
    void onStillRunning(MonotonicTime now, const std::string &id, const std::string &target);

    // A generation has gone on at a target some time ago, and another one is still at work on it.
    void onRunElsewhere(MonotonicTime now, const std::string &id, const std::string &target, const std::string &current);

    // From a time on, until it is allowed again, requests that reach a target break a promise.
    void forbidTarget(const std::string &target, const std::string &promise, MonotonicTime from);
    void allowTarget(const std::string &target, const std::string &promise);

    void report(const std::string &promise, const std::string &detail);
    // For a promise with a bound in time.
    void reportTimed(const std::string &promise, const std::string &detail);
    // Checks over the whole run.
    void finish();

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    const BadPartCheck &badPart() const
    {
        return m_badPart;
    }
    size_t sentCount() const
    {
        return m_requests.size();
    }
    // Requests that were answered with success, sent in a span of time.
    std::pair<size_t, size_t> servedBetween(MonotonicTime from, MonotonicTime to) const;
    // How many requests ended with each status.
    const std::map<int, size_t> &statuses() const
    {
        return m_statuses;
    }

private:
    struct Request {
        Sent sent;
        MonotonicTime sentAt;
        size_t runs = 0;
        size_t arrivals = 0;
        // Which target ran it last, or went on with it.
        std::string lastTarget;
        std::set<std::string> targets;
        std::optional<MonotonicTime> leftAt;
        std::optional<int> answered;
        bool served = false;
        // When the time that the first target was given ends.
        std::optional<MonotonicTime> firstArrivedAt;
        MonotonicTime firstEnd;
        // Whether its relay was in touch when it was sent, and nothing at all was disturbed shortly before, or until its answer.
        bool wasSentInTouch = false;
        bool wasCalm = false;
    };

    bool wasDisturbed(const std::map<std::string, MonotonicTime> &until, const std::string &name, MonotonicTime now) const;
    // A request that was passed on and whose channel ended without its whole answer, for no reason outside the relay.
    void checkLost(MonotonicTime now, const std::string &id, const Request &request, const Answer &answer);
    void checkSuccess(const std::string &id, const Request &request, const Answer &answer);
    void checkTimeLeft(MonotonicTime now, const std::string &id, const Request &request, const std::string &target, const MessageHead &head);
    void checkForwarded(MonotonicTime now, const std::string &id, const Request &request, const std::string &target, const MessageHead &head);
    // The document explains how a request was handled, and is not too old.
    void checkDocument(MonotonicTime now, const std::string &id, const Request &request, const DocumentHistory::Outcome &outcome);
    // The same for an arrival at a target.
    void checkRoute(MonotonicTime now,
                    const std::string &id,
                    const Request &request,
                    const std::string &target,
                    const std::string &service,
                    StandInTarget::Arrival arrival);
    // The same for an answer of the relay's own.
    void checkDenial(MonotonicTime now, const std::string &id, const Request &request, int status);
    // The oldest document that may be in force at a relay when it gets a request, as far as its earlier requests have shown.
    size_t oldestKnownTo(const std::string &relay, MonotonicTime now) const;
    // The oldest document that may be in force at relays in touch.
    size_t oldestInForce(MonotonicTime now) const;
    // Whether a request is at a relay in touch while no target has been disturbed for a while.
    bool isCalm(const std::string &relay, MonotonicTime now) const;
    void checkBadPart();
    void checkForbidden(MonotonicTime now, const std::string &id, const Request &request, const std::string &target);
    // A request that crashes targets, which has reached one more.
    void checkFatal(MonotonicTime now, const Request &request, StandInTarget::Arrival arrival);
    void checkShares();
    void checkRetries();
    void checkLimits();

    const Options m_options;
    std::map<std::string, Request> m_requests;
    std::map<std::string, MonotonicTime> m_disturbedUntil;
    // Spans without touch, without the time after each.
    std::map<std::string, std::vector<std::pair<MonotonicTime, MonotonicTime>>> m_disturbances;
    DocumentHistory m_documents;
    // By relay, since when its requests have shown that it knows a document.
    std::map<std::string, std::vector<std::pair<MonotonicTime, size_t>>> m_knownDocuments;
    std::map<std::string, MonotonicTime> m_downAt;
    // Without planned shutdowns.
    std::map<std::string, MonotonicTime> m_unplannedUntil;
    std::map<std::string, MonotonicTime> m_targetDisturbedUntil;
    std::map<std::string, MonotonicTime> m_targetLinkHarmedUntil;
    // For limits of targets: excused relays, and when a relay first passed on an answer of a target that names its limit.
    std::map<std::string, MonotonicTime> m_excusedUntil;
    std::map<std::pair<std::string, std::string>, MonotonicTime> m_limitPassedOnAt;
    std::map<std::string, RequestLimitCheck> m_limits;
    // By target and promise.
    std::map<std::pair<std::string, std::string>, MonotonicTime> m_forbiddenFrom;
    // By service, in the order of time.
    std::map<std::string, std::vector<MonotonicTime>> m_offered;
    std::map<std::string, std::vector<MonotonicTime>> m_retried;
    std::map<int, size_t> m_statuses;
    std::vector<std::string> m_passedAfterLeaving;
    int m_crashes = 0;
    // When the request that crashes targets had done so often enough to be known.
    std::optional<MonotonicTime> m_fatalKnownAt;
    size_t m_fatalPassed = 0;
    BadPartCheck m_badPart;
    // Requests that were unanswered at the timeout of their route, and of these the ones without an answer some time later.
    size_t m_unanswered = 0;
    size_t m_answeredLate = 0;
    // Requests passed on by relays in touch, and those with more time than was left.
    size_t m_passedOn = 0;
    size_t m_givenTooMuchTime = 0;
    std::vector<std::string> m_violations;
};

} // namespace Jujube
