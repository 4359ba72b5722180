#include "PlannedLosses.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace Jujube
{

namespace
{

// The stop of a relay lasts until this time after its grace time.
constexpr std::chrono::milliseconds AfterGrace {1000};
// Requests that were sent until this time after SIGTERM may be cut near the end of the grace time, while their target works on them.
constexpr std::chrono::milliseconds SentEarly {3000};
constexpr int GraceParts = 6;
// Beside a changed document, relays may cut requests this many times as often as otherwise.
constexpr double DocumentFactor = 3;
// A request that has used this share of its time does not count beside a changed document.
constexpr double UsedShare = 0.7;
constexpr size_t FewOnKept = 3;

int64_t milliseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

PlannedLosses::PlannedLosses(Options options)
    : m_options(options)
{
}

void PlannedLosses::onTerm(MonotonicTime now, const std::string &relay)
{
    m_termAt[relay] = now;
}

void PlannedLosses::onReload(MonotonicTime now, const std::string &relay)
{
    m_reloads[relay].push_back(now);
}

void PlannedLosses::onDocument(MonotonicTime sentAt, MonotonicTime confirmedAt)
{
    m_documents.emplace_back(sentAt, confirmedAt);
}

void PlannedLosses::onSent(MonotonicTime now, const std::string &id, Sent sent)
{
    m_requests[id] = {.sent = std::move(sent), .sentAt = now};
}

void PlannedLosses::onRun(MonotonicTime /*now*/, const std::string &id, const std::string &target)
{
    if (const auto found = m_requests.find(id); found != m_requests.end()) {
        found->second.targets.push_back(target);
        found->second.doneAt.reset();
    }
}

void PlannedLosses::onTargetDone(MonotonicTime now, const std::string &id)
{
    if (const auto found = m_requests.find(id); found != m_requests.end()) {
        found->second.doneAt = now;
    }
}

std::optional<MonotonicTime> PlannedLosses::stopOf(const std::string &relay, MonotonicTime now) const
{
    const auto found = m_termAt.find(relay);
    if (found == m_termAt.end() || now > found->second + m_options.grace + AfterGrace) {
        return std::nullopt;
    }
    return found->second;
}

bool PlannedLosses::isBesideReload(const Request &request, MonotonicTime now) const
{
    const auto found = m_reloads.find(request.sent.relay);
    return found != m_reloads.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](auto reload) { return now >= reload && request.sentAt <= reload + m_options.document; });
}

bool PlannedLosses::isBesideDocument(MonotonicTime now) const
{
    return std::any_of(m_documents.begin(), m_documents.end(), [&](const auto &document) {
        return now >= document.first && now <= document.second + m_options.document + AfterGrace;
    });
}

std::string PlannedLosses::describe(const std::string &id, const Request &request, MonotonicTime now, int status, size_t bytes) const
{
    auto text = absl::StrCat(id,
                             " (",
                             request.sent.target,
                             ") by ",
                             request.sent.relay,
                             request.targets.empty() ? " and no target" : " and ",
                             absl::StrJoin(request.targets, ", "),
                             " was cut off with status ",
                             status,
                             " after ",
                             bytes,
                             " bytes and ",
                             milliseconds(now - request.sentAt),
                             " ms");
    if (const auto term = stopOf(request.sent.relay, now)) {
        absl::StrAppend(&text, ", sent ", milliseconds(request.sentAt - *term), " ms and cut ", milliseconds(now - *term), " ms after SIGTERM");
    }
    if (request.doneAt) {
        absl::StrAppend(&text, ", its target was done ", milliseconds(now - *request.doneAt), " ms before");
    }
    return text;
}

std::optional<std::string> PlannedLosses::onEnd(MonotonicTime now, const std::string &id, bool isComplete, int status, size_t bytes)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return std::nullopt;
    }
    const auto request = found->second;
    m_requests.erase(found);
    const auto term = stopOf(request.sent.relay, now);
    const bool isBesideOther = term || isBesideReload(request, now);
    auto &rate = isBesideDocument(now) ? m_besideDocuments : m_otherwise;
    rate.all += isBesideOther ? 0 : 1;
    if (term) {
        ++m_counts.duringStops;
        m_counts.sentAfterTerm += request.sentAt > *term ? 1 : 0;
    }
    if (isComplete) {
        return std::nullopt;
    }
    ++m_counts.cut;
    if (request.targets.empty() && now <= request.sentAt + m_options.slack) {
        ++m_counts.crossed;
        return std::nullopt;
    }
    if (now >= request.sentAt + request.sent.limit) {
        ++m_counts.overTime;
        return std::nullopt;
    }
    if (term) {
        const auto nearEnd = *term + m_options.grace * (GraceParts - 1) / GraceParts;
        const bool wasAtWork = !request.targets.empty() && now >= nearEnd && (!request.doneAt || *request.doneAt >= nearEnd);
        if (wasAtWork && request.sentAt <= *term + SentEarly) {
            ++m_counts.nearGraceEnd;
            return std::nullopt;
        }
    }
    const auto text = describe(id, request, now, status, bytes);
    if (isBesideOther) {
        return text;
    }
    const auto used = std::chrono::duration<double>(now - request.sentAt) / std::chrono::duration<double>(request.sent.limit);
    if (!isBesideDocument(now)) {
        ++rate.cut;
    } else if (used < UsedShare) {
        ++rate.cut;
        m_cutBesideDocuments.push_back(text + ", beside a changed document");
    }
    if (request.sent.isOnKept && !request.targets.empty()) {
        m_cutOnKept.push_back(text + ", without planned work");
    }
    return std::nullopt;
}

std::vector<std::string> PlannedLosses::finish() const
{
    std::vector<std::string> losses;
    const double usual = m_otherwise.all == 0 ? 0 : static_cast<double>(m_otherwise.cut) / static_cast<double>(m_otherwise.all);
    if (static_cast<double>(m_besideDocuments.cut) > DocumentFactor * usual * static_cast<double>(m_besideDocuments.all)) {
        losses = m_cutBesideDocuments;
    }
    if (m_cutOnKept.size() > FewOnKept) {
        losses.insert(losses.end(), m_cutOnKept.begin(), m_cutOnKept.end());
    }
    return losses;
}

} // namespace Jujube
