#include "SoakLedger.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr size_t MostRuns = 2;

// Statuses which say that a request was not run and will not be.
bool isRefusal(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// Statuses of a relay's own that turn a proper request away for good.
bool isDenial(int status)
{
    return status >= 300 && status < 500 && !isRefusal(status);
}

size_t countWithin(const std::vector<MonotonicTime> &times, MonotonicTime from, MonotonicTime to)
{
    return static_cast<size_t>(std::upper_bound(times.begin(), times.end(), to) - std::upper_bound(times.begin(), times.end(), from));
}

} // namespace

std::string soakBody(const std::string &id)
{
    return absl::StrCat("answer to ", id, std::string(600, '.'));
}

std::string soakEvents(int events)
{
    std::string text;
    for (int id = 1; id <= events; ++id) {
        absl::StrAppend(&text, "id: ", id, "\ndata: text\n\n");
    }
    return text;
}

SoakLedger::SoakLedger(Options options)
    : m_options(std::move(options))
    , m_badPart(m_options.bounds.contact)
{
}

void SoakLedger::disturb(const std::string &relay, MonotonicTime until)
{
    disturbAsPlanned(relay, until);
    auto &end = m_unplannedUntil[relay];
    end = std::max(end, until);
}

void SoakLedger::disturbAsPlanned(const std::string &relay, MonotonicTime until)
{
    // Disturbances are reported again and again while they last.
    constexpr std::chrono::milliseconds MaxGap {100};
    auto &end = m_disturbedUntil[relay];
    end = std::max(end, until);
    auto &spans = m_disturbances[relay];
    if (!spans.empty() && until <= spans.back().second + MaxGap) {
        spans.back().second = std::max(spans.back().second, until);
    } else {
        spans.emplace_back(until, until);
    }
}

void SoakLedger::excuseFromLimits(const std::string &relay, MonotonicTime until)
{
    auto &end = m_excusedUntil[relay];
    end = std::max(end, until);
}

void SoakLedger::onLimitNamed(MonotonicTime now, const std::string &target, std::optional<double> limit)
{
    m_limits[target].nameLimit(limit, now);
}

void SoakLedger::onTargetEnded(MonotonicTime now, const std::string &target)
{
    onLimitNamed(now, target, std::nullopt);
    std::erase_if(m_limitPassedOnAt, [&](const auto &entry) { return entry.first.first == target; });
}

void SoakLedger::disturbTarget(const std::string &target, MonotonicTime until)
{
    auto &end = m_targetDisturbedUntil[target];
    end = std::max(end, until);
}

void SoakLedger::harmTargetLink(const std::string &target, MonotonicTime until)
{
    auto &end = m_targetLinkHarmedUntil[target];
    end = std::max(end, until);
}

bool SoakLedger::isCalm(const std::string &relay, MonotonicTime now) const
{
    return isInTouch(relay, now) && std::none_of(m_targetDisturbedUntil.begin(), m_targetDisturbedUntil.end(), [&](const auto &entry) {
               return now < entry.second + m_options.bounds.contact;
           });
}

bool SoakLedger::wasDisturbed(const std::map<std::string, MonotonicTime> &until, const std::string &name, MonotonicTime now) const
{
    const auto found = until.find(name);
    return found != until.end() && now < found->second + m_options.bounds.contact;
}

bool SoakLedger::isInTouch(const std::string &relay, MonotonicTime now) const
{
    return !wasDisturbed(m_disturbedUntil, relay, now);
}

bool SoakLedger::wasInTouch(const std::string &relay, MonotonicTime from, MonotonicTime to) const
{
    const auto found = m_disturbances.find(relay);
    return found == m_disturbances.end() || std::none_of(found->second.begin(), found->second.end(), [&](const auto &span) {
               return span.first <= to && span.second + m_options.bounds.contact > from;
           });
}

void SoakLedger::onDown(MonotonicTime now, const std::string &relay)
{
    m_knownDocuments.erase(relay);
    m_downAt[relay] = now;
}

void SoakLedger::onDocument(MonotonicTime now, DocumentHistory::Document document)
{
    m_documents.confirm(now, std::move(document));
}

size_t SoakLedger::oldestKnownTo(const std::string &relay, MonotonicTime now) const
{
    const auto found = m_knownDocuments.find(relay);
    if (found == m_knownDocuments.end()) {
        return 0;
    }
    const auto &known = found->second;
    const auto after = std::upper_bound(known.begin(), known.end(), now, [](MonotonicTime time, const auto &entry) { return time < entry.first; });
    return after == known.begin() ? 0 : std::prev(after)->second;
}

size_t SoakLedger::oldestInForce(MonotonicTime now) const
{
    // Requests are bound that were sent later than the end of the bound, not at it.
    return m_documents.newestAt(now - m_options.bounds.document - MonotonicTime::duration(1));
}

void SoakLedger::checkDocument(MonotonicTime now, const std::string &id, const Request &request, const DocumentHistory::Outcome &outcome)
{
    const auto &sent = request.sent;
    const auto handled = outcome.kind == DocumentHistory::Outcome::Kind::Run ? absl::StrCat("run by ", outcome.service)
        : outcome.kind == DocumentHistory::Outcome::Kind::NoRoute            ? "turned away without a route"
                                                                             : "turned away without a key";
    const auto text = absl::StrCat(id, " of /", sent.subject->route, " with ", sent.subject->key, " was ", handled, " at ", sent.relay);
    const auto first = m_documents.firstThatExplains(*sent.subject, outcome, 0);
    if (!first) {
        report(outcome.kind == DocumentHistory::Outcome::Kind::Run ? "route" : "denied", text + ", which no document explains");
        return;
    }
    const auto oldest = oldestInForce(request.sentAt);
    if (!m_documents.firstThatExplains(*sent.subject, outcome, oldest) && isInTouch(sent.relay, request.sentAt)) {
        // The last document that explains it was in force until the next one was confirmed.
        size_t last = *first;
        while (const auto next = m_documents.firstThatExplains(*sent.subject, outcome, last + 1)) {
            last = *next;
        }
        const auto late = request.sentAt - m_documents.confirmedAt(last + 1) - m_options.bounds.document;
        reportTimed("config", absl::StrCat(text, ", sent ", std::chrono::duration_cast<std::chrono::milliseconds>(late).count(), " ms too late for that"));
    }
    const bool calm = isInTouch(sent.relay, request.sentAt);
    const auto slack = calm ? SoakBounds::Rollback : SoakBounds::RollbackOutOfTouch;
    const auto downAt = m_downAt.find(sent.relay);
    if (downAt != m_downAt.end() && request.sentAt <= downAt->second) {
        return;
    }
    if (!m_documents.firstThatExplains(*sent.subject, outcome, oldestKnownTo(sent.relay, request.sentAt - slack))) {
        report("config", text + " after it had used a newer document");
    }
    if (outcome.kind != DocumentHistory::Outcome::Kind::Run) {
        return;
    }
    const auto known = m_documents.firstThatExplains(*sent.subject, outcome, oldestKnownTo(sent.relay, request.sentAt));
    auto &documents = m_knownDocuments[sent.relay];
    if (known && (documents.empty() || *known > documents.back().second)) {
        documents.emplace_back(now, *known);
    }
}

void SoakLedger::checkRoute(
    MonotonicTime now, const std::string &id, const Request &request, const std::string &target, const std::string &service, StandInTarget::Arrival arrival)
{
    const DocumentHistory::Outcome outcome {.service = service};
    if (arrival == StandInTarget::Arrival::Run) {
        checkDocument(now, id, request, outcome);
    } else if (!m_documents.firstThatExplains(*request.sent.subject, outcome, 0)) {
        report("route", absl::StrCat(id, " reached ", target, " of the service ", service));
    }
}

void SoakLedger::checkDenial(MonotonicTime now, const std::string &id, const Request &request, int status)
{
    constexpr int StatusUnauthorized = 401;
    constexpr int StatusForbidden = 403;
    constexpr int StatusNotFound = 404;
    if (!request.sent.subject) {
        if (request.sent.proper) {
            report("denied", absl::StrCat(id, " got status ", status, " from ", request.sent.relay));
        }
        return;
    }
    if (status == StatusNotFound) {
        checkDocument(now, id, request, {.kind = DocumentHistory::Outcome::Kind::NoRoute});
    } else if (status == StatusUnauthorized || status == StatusForbidden) {
        checkDocument(now, id, request, {.kind = DocumentHistory::Outcome::Kind::NoKey});
    } else if (m_documents.allAllow(*request.sent.subject, oldestInForce(request.sentAt))) {
        report("denied", absl::StrCat(id, " got status ", status, " from ", request.sent.relay));
    }
}

void SoakLedger::report(const std::string &promise, const std::string &detail)
{
    m_violations.push_back(absl::StrCat(promise, ": ", detail));
}

void SoakLedger::reportTimed(const std::string &promise, const std::string &detail)
{
    if (m_options.timed) {
        report(promise, detail);
    }
}

void SoakLedger::onSent(MonotonicTime now, const std::string &id, Sent sent)
{
    const auto service = sent.subject ? m_documents.serviceOf(sent.subject->route) : std::string();
    m_offered[service.empty() ? serviceOf(sent.kind) : service].push_back(now);
    if (sent.hasBadPart) {
        m_badPart.onSent(now);
    }
    const bool inTouch = isInTouch(sent.relay, now);
    const bool calm = isCalm(sent.relay, now);
    m_requests[id] = {.sent = std::move(sent), .sentAt = now, .wasSentInTouch = inTouch, .wasCalm = calm};
}

void SoakLedger::onBadPartCrash(MonotonicTime now)
{
    m_badPart.onCrash(now);
}

void SoakLedger::onArrival(MonotonicTime now, const std::string &target, const std::string &service, const MessageHead &head, StandInTarget::Arrival arrival)
{
    const std::string id(head.value("X-Attempt-Id"));
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        report("unasked", absl::StrCat(target, " got a request that no caller sent: ", id));
        return;
    }
    auto &request = found->second;
    checkForwarded(now, id, request, target, head);
    if (request.sent.subject) {
        checkRoute(now, id, request, target, service, arrival);
    } else if (service != serviceOf(request.sent.kind)) {
        report("route", absl::StrCat(id, " reached ", target, " of the service ", service));
    }
    if (head.value("X-Expect-Instance") == target) {
        checkForbidden(now, id, request, target);
    }
    if (int64_t left = 0; !request.firstArrivedAt && absl::SimpleAtoi(toAbsl(head.value("X-Deadline-Ms")), &left)) {
        request.firstArrivedAt = now;
        request.firstEnd = now + std::chrono::milliseconds(left);
    }
    const auto passedOn = m_limitPassedOnAt.find({target, request.sent.relay});
    if (passedOn != m_limitPassedOnAt.end() && now >= passedOn->second + SoakBounds::AfterNamedLimit
        && !wasDisturbed(m_excusedUntil, request.sent.relay, now)) {
        m_limits[target].recordArrival(now);
    }
    if (request.leftAt && now > *request.leftAt + SoakBounds::AfterLeaving && isInTouch(request.sent.relay, now)) {
        m_passedAfterLeaving.push_back(id);
    }
    if (arrival != StandInTarget::Arrival::Continued && ++request.arrivals > 1) {
        m_retried[service].push_back(now);
    }
    if (request.sent.isFatal) {
        checkFatal(now, request, arrival);
    }
    if (request.sent.hasBadPart && isInTouch(request.sent.relay, now) && !wasDisturbed(m_targetLinkHarmedUntil, target, now)) {
        m_badPart.onArrival(now, id);
    }
    if (arrival != StandInTarget::Arrival::NotRun) {
        request.lastTarget = target;
        request.targets.insert(target);
    }
    if (arrival != StandInTarget::Arrival::Run) {
        return;
    }
    ++request.runs;
    const bool repeatable = isRepeatable(request.sent.kind);
    if (request.runs > (repeatable ? MostRuns : 1)) {
        report(repeatable ? "budget" : "twice", absl::StrCat(id, " ran ", request.runs, " times, last at ", target));
    }
    if (!repeatable && request.answered && isRefusal(*request.answered)) {
        report("refused", absl::StrCat(id, " was answered ", *request.answered, " and ran later at ", target));
    }
}

void SoakLedger::checkForwarded(MonotonicTime now, const std::string &id, const Request &request, const std::string &target, const MessageHead &head)
{
    if (head.method != request.sent.method || head.target != request.sent.target) {
        report("unasked", absl::StrCat(id, " reached a target as ", head.method, " ", head.target));
    }
    if (!request.sent.proper && !request.sent.subject) {
        report("route", absl::StrCat(id, " reached a target although no document allows it"));
    }
    if (head.value("X-Tenant") != "workspace-1" || head.has("Authorization") || head.has("X-Hold") || head.value("X-Own") != "kept") {
        report("unasked", absl::StrCat(id, " reached a target with wrong fields"));
    }
    if (head.value("X-Prefix-Hash") != request.sent.prompt) {
        report("unasked", absl::StrCat(id, " reached a target with the prompt ", toAbsl(head.value("X-Prefix-Hash")), " instead of ", request.sent.prompt));
    }
    checkTimeLeft(now, id, request, target, head);
}

void SoakLedger::checkTimeLeft(MonotonicTime now, const std::string &id, const Request &request, const std::string &target, const MessageHead &head)
{
    int64_t left = 0;
    constexpr std::chrono::milliseconds Slack {500};
    if (!absl::SimpleAtoi(toAbsl(head.value("X-Deadline-Ms")), &left)) {
        report("budget", absl::StrCat(id, " reached a target without its time left"));
        return;
    }
    if (!isInTouch(request.sent.relay, now) || wasDisturbed(m_targetDisturbedUntil, target, now)) {
        return;
    }
    const auto ownEnd = request.sentAt + request.sent.deadline;
    auto latestEnd = ownEnd;
    if (m_options.bounds.countsShares) {
        // A first attempt may have waited unread. A later one may end with the first one.
        const bool isLater = request.firstArrivedAt && now > *request.firstArrivedAt + Slack;
        latestEnd = isLater ? std::max(ownEnd, request.firstEnd) : now + request.sent.deadline;
    }
    ++m_passedOn;
    const auto allowed = std::chrono::duration_cast<std::chrono::milliseconds>(latestEnd - now) + Slack;
    if (left <= allowed.count()) {
        return;
    }
    ++m_givenTooMuchTime;
    if (!m_options.bounds.countsShares) {
        reportTimed("budget", absl::StrCat(id, " reached a target with ", left, " ms, allowed are ", allowed.count()));
    }
}

void SoakLedger::checkFatal(MonotonicTime now, const Request &request, StandInTarget::Arrival arrival)
{
    if (m_fatalKnownAt && now > *m_fatalKnownAt + m_options.bounds.contact && isInTouch(request.sent.relay, now)
        && ++m_fatalPassed == SoakBounds::FewFatalRequests + 1) {
        reportTimed("crash", absl::StrCat(request.sent.relay, " passed on a request that has crashed ", m_crashes, " targets"));
    }
    if (arrival == StandInTarget::Arrival::Run && ++m_crashes == SoakBounds::CrashesUntilKnown) {
        m_fatalKnownAt = now;
    }
}

void SoakLedger::checkForbidden(MonotonicTime now, const std::string &id, const Request &request, const std::string &target)
{
    for (auto entry = m_forbiddenFrom.lower_bound({target, ""}); entry != m_forbiddenFrom.end() && entry->first.first == target; ++entry) {
        if (now > entry->second && isInTouch(request.sent.relay, now) && !wasDisturbed(m_targetDisturbedUntil, target, now)) {
            const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry->second);
            reportTimed(entry->first.second, absl::StrCat(id, " by ", request.sent.relay, " reached ", target, " ", late.count(), " ms too late"));
        }
    }
}

void SoakLedger::onAnswer(MonotonicTime now, const std::string &id, const Answer &answer)
{
    auto &request = m_requests.at(id);
    request.answered = answer.status;
    request.wasCalm = request.wasCalm && isCalm(request.sent.relay, now);
    ++m_statuses[answer.status];
    const auto timeout = request.sentAt + std::min(request.sent.deadline, request.sent.routeTimeout);
    const auto latest = timeout + SoakBounds::AfterTimeout;
    // The bound holds for nodes that are in touch when it is reached.
    if (now > timeout && isInTouch(request.sent.relay, latest)) {
        ++m_unanswered;
        m_answeredLate += now > latest ? 1 : 0;
        if (now > latest && !m_options.bounds.countsShares) {
            reportTimed("timeout", absl::StrCat(id, " ended ", std::chrono::duration_cast<std::chrono::milliseconds>(now - latest).count(), " ms too late"));
        }
    }
    if (!m_options.plannedOnly) {
        checkLost(now, id, request, answer);
    }
    if (answer.status == 0) {
        return;
    }
    if (answer.namesLimit) {
        m_limitPassedOnAt.try_emplace({request.lastTarget, request.sent.relay}, now);
    }
    if (!answer.echoedId.empty() && answer.echoedId != id) {
        report("mixed", absl::StrCat(id, " got the answer to ", answer.echoedId));
    }
    if (answer.status / 100 == 2) {
        checkSuccess(id, request, answer);
        request.served = answer.complete;
        return;
    }
    // Targets fail with this status only.
    constexpr int FailedTarget = 500;
    if (!answer.seal.empty() && answer.status != FailedTarget) {
        report("mixed", absl::StrCat(id, " got status ", answer.status, " with a target's seal"));
    }
    if (answer.seal.empty() && isDenial(answer.status)) {
        checkDenial(now, id, request, answer.status);
    }
    const bool repeatable = isRepeatable(request.sent.kind);
    if (isRefusal(answer.status) && !repeatable && request.runs > 0) {
        report("refused", absl::StrCat(id, " was answered ", answer.status, " and has run"));
    }
}

void SoakLedger::checkLost(MonotonicTime now, const std::string &id, const Request &request, const Answer &answer)
{
    // A request that ran more than once may have lost any of its targets.
    const auto wasHarmed = [&](const std::string &target) { return wasDisturbed(m_targetDisturbedUntil, target, now); };
    const bool targetIsSound = request.runs > 1 ? std::none_of(request.targets.begin(), request.targets.end(), wasHarmed) : !wasHarmed(request.lastTarget);
    const bool isUndisturbed = !wasDisturbed(m_unplannedUntil, request.sent.relay, now) && targetIsSound;
    const bool isOverTime = now >= request.sentAt + std::min(request.sent.deadline, request.sent.routeTimeout);
    // A request that no target got may have crossed the relay's close.
    const bool wasRead = request.runs > 0 || (answer.wasSent && now > request.sentAt + SoakBounds::LossSlack);
    if (!answer.complete && !answer.gaveUp && !isOverTime && wasRead && isUndisturbed) {
        reportTimed("lost",
                    absl::StrCat(id,
                                 " by ",
                                 request.sent.relay,
                                 " and ",
                                 request.lastTarget,
                                 " was cut off with status ",
                                 answer.status,
                                 " after ",
                                 answer.body.size(),
                                 " bytes"));
    }
}

void SoakLedger::checkSuccess(const std::string &id, const Request &request, const Answer &answer)
{
    if (!request.sent.proper && !request.sent.subject) {
        report("route", absl::StrCat(id, " was served although no document allows it"));
    }
    if (answer.seal.empty()) {
        report("mixed", absl::StrCat(id, " got a success without a seal"));
    }
    const auto whole = isGeneration(request.sent.kind) ? soakEvents(m_options.events) : soakBody(id);
    if (answer.complete ? answer.body != whole : !absl::StartsWith(whole, answer.body)) {
        report(isGeneration(request.sent.kind) ? "order" : "mixed",
               absl::StrCat(id, " got ", answer.body.size(), " bytes of another body than its target's, ", answer.complete ? "complete" : "incomplete"));
    }
}

void SoakLedger::onLeft(MonotonicTime now, const std::string &id)
{
    m_requests.at(id).leftAt = now;
}

void SoakLedger::onStillRunning(MonotonicTime now, const std::string &id, const std::string &target)
{
    const auto &request = m_requests.at(id);
    if (request.sent.kind != SoakKind::OneTime && isInTouch(request.sent.relay, now) && !wasDisturbed(m_targetDisturbedUntil, target, now)) {
        reportTimed("gone", absl::StrCat(target, " still works on ", id, " whose caller has left"));
    }
}

void SoakLedger::onRunElsewhere(MonotonicTime now, const std::string &id, const std::string &target, const std::string &current)
{
    const auto request = m_requests.find(id);
    if (request != m_requests.end() && request->second.lastTarget == current && isInTouch(request->second.sent.relay, now)
        && !wasDisturbed(m_targetLinkHarmedUntil, target, now)) {
        report("twice", absl::StrCat(id, " went on at ", current, ", and ", target, " still works on it"));
    }
}

void SoakLedger::forbidTarget(const std::string &target, const std::string &promise, MonotonicTime from)
{
    m_forbiddenFrom.try_emplace({target, promise}, from);
}

void SoakLedger::allowTarget(const std::string &target, const std::string &promise)
{
    m_forbiddenFrom.erase({target, promise});
}

void SoakLedger::finish()
{
    if (m_passedAfterLeaving.size() > SoakBounds::FewRequests) {
        reportTimed("gone",
                    absl::StrCat(m_passedAfterLeaving.size(), " requests reached a target after their callers had left, first ", m_passedAfterLeaving[0]));
    }
    checkShares();
    checkRetries();
    checkLimits();
    checkBadPart();
}

void SoakLedger::checkBadPart()
{
    for (const auto &[id, request] : m_requests) {
        if (request.sent.proper && isGeneration(request.sent.kind) && !request.sent.hasBadPart && request.wasSentInTouch) {
            m_badPart.addSound({.sentAt = request.sentAt,
                                .route = request.sent.target,
                                .prompt = request.sent.prompt,
                                .hasBegun = request.runs > 0,
                                .wasCalm = request.wasCalm});
        }
    }
    if (const auto text = m_badPart.excess()) {
        report("crash", *text);
    }
    for (const auto &text : m_badPart.shutOut()) {
        report("lost", text);
    }
}

void SoakLedger::checkShares()
{
    if (!m_options.bounds.countsShares) {
        return;
    }
    constexpr size_t TooMuchTimeShare = 5;
    if (m_givenTooMuchTime > SoakBounds::FewWithTooMuchTime && m_givenTooMuchTime * TooMuchTimeShare > m_passedOn) {
        reportTimed("budget", absl::StrCat(m_givenTooMuchTime, " of ", m_passedOn, " requests reached a target with more time than was left"));
    }
    if (m_answeredLate > SoakBounds::FewLateAnswers && m_answeredLate * 2 > m_unanswered) {
        reportTimed("timeout", absl::StrCat(m_answeredLate, " of ", m_unanswered, " requests that were unanswered at their timeout ended too late"));
    }
}

void SoakLedger::checkLimits()
{
    for (const auto &[target, check] : m_limits) {
        if (const auto worst = check.worst(); worst && worst->isBroken()) {
            report("limit",
                   absl::StrCat(target, " got ", worst->requests, " requests in 4 s from relays that it had told its limit, allowed are ", worst->allowed));
        }
    }
}

void SoakLedger::checkRetries()
{
    constexpr auto Window = SoakBounds::RetryWindow;
    for (const auto &[service, times] : m_retried) {
        const auto &offered = m_offered[service];
        for (const auto end : times) {
            const auto most = std::max({countWithin(offered, end - Window, end),
                                        countWithin(offered, end - Window * 2, end - Window),
                                        countWithin(offered, end - Window * 3 / 2, end - Window / 2)});
            const auto retries = countWithin(times, end - Window, end);
            const auto bound = SoakBounds::RetryRatio * static_cast<double>(most) + m_options.retrySlack;
            if (static_cast<double>(retries) > bound) {
                report("budget", absl::StrCat(service, " got ", retries, " retries in a window, allowed are ", bound));
                break;
            }
        }
    }
}

std::pair<size_t, size_t> SoakLedger::servedBetween(MonotonicTime from, MonotonicTime to) const
{
    size_t served = 0;
    size_t all = 0;
    for (const auto &[id, request] : m_requests) {
        if (request.sent.proper && !request.leftAt && request.sentAt >= from && request.sentAt < to) {
            ++all;
            served += request.served ? 1 : 0;
        }
    }
    return {served, all};
}

} // namespace Jujube
