#include <LibRelay/RolloutCoordinator.h>

#include <algorithm>
#include <tuple>

namespace Jujube
{

namespace
{

// Reports of relays that have been gone for this time are dropped.
constexpr std::chrono::minutes ReportRetention {1};

bool contains(const std::vector<std::string> &values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

std::chrono::milliseconds durationOf(const RolloutPlan &plan)
{
    return std::chrono::milliseconds(plan.dueMs - plan.startedMs);
}

RolloutPlan withStage(RolloutPlan plan, RolloutStage stage, std::string reason)
{
    plan.stage = stage;
    plan.reason = std::move(reason);
    return plan;
}

// Whether the version of the plan serves already.
bool isSettled(const RolloutPlan &plan)
{
    return plan.stage == RolloutStage::Completed || (plan.stage == RolloutStage::Switching && !plan.hasTrial());
}

bool isValid(const RolloutOrder &order)
{
    return !order.to.empty() && order.duration.count() > 0;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(Options options)
    : m_options(options)
    , m_judge(options.judge)
{
}

double RolloutCoordinator::trialShare(const Options &options, double expectedRequests)
{
    const auto share = options.usedShare * options.exposureShare;
    if (expectedRequests <= 0) {
        return share;
    }
    return std::min(1.0, share + options.usedSlack * options.exposureSlack / expectedRequests);
}

void RolloutCoordinator::record(const RolloutReport &report, MonotonicTime now)
{
    // A relay that does not coordinate yet learns of a new order by the reports of others.
    if (report.order > m_evidence.order()) {
        reset(report.order);
    }
    m_evidence.record(report);
    // Datagrams arrive late: the counts show which report was sent before.
    auto &latest = m_latest[report.node];
    if (std::tie(report.incarnation, report.order, report.requests) >= std::tie(latest.incarnation, latest.order, latest.requests)) {
        latest = {.incarnation = report.incarnation,
                  .order = report.order,
                  .requests = report.requests,
                  .plan = report.plan,
                  .runningOnOld = report.runningOnOld,
                  .receivedAt = now};
    }
}

void RolloutCoordinator::reset(int64_t order)
{
    m_evidence.reset(order);
    m_judge.reset();
    m_verdict = {};
    m_rateStart.reset();
}

RolloutCoordinator::Step RolloutCoordinator::step(const View &view, MonotonicTime now)
{
    std::erase_if(m_latest, [&](const auto &item) { return now - item.second.receivedAt > ReportRetention; });
    Step result;
    if (isPlanOutdated(view, now)) {
        if (now - *m_outdatedSince >= m_options.silenceTime) {
            result.plan = withStage(*m_newestPlan, m_newestPlan->stage, "the store had an older plan");
        }
    } else if (view.order && isValid(*view.order) && (!view.plan || view.order->version > view.plan->order)) {
        result.plan = begin(view);
    } else if (view.plan && !isFinal(view.plan->stage) && (!view.order || view.order->version == view.plan->order)) {
        result = advance(view, now);
    }
    if (result.plan) {
        result.plan->version = view.plan ? view.plan->version : 0;
        result.plan->by = view.node;
    }
    return result;
}

bool RolloutCoordinator::isPlanOutdated(const View &view, MonotonicTime now)
{
    const auto version = view.plan ? view.plan->version : 0;
    if (m_newestPlan && version < m_newestPlan->version) {
        m_outdatedSince = m_outdatedSince.value_or(now);
        return true;
    }
    m_outdatedSince.reset();
    if (view.plan) {
        followPlan(*view.plan);
    }
    return false;
}

void RolloutCoordinator::followPlan(const RolloutPlan &plan)
{
    if (plan.order != m_evidence.order()) {
        reset(plan.order);
    }
    if (!m_newestPlan || plan.version > m_newestPlan->version) {
        m_newestPlan = plan;
        m_rateStart.reset();
    }
}

RolloutPlan RolloutCoordinator::begin(const View &view) const
{
    const auto &order = *view.order;
    RolloutPlan plan {.service = order.service, .to = order.to, .order = order.version, .reason = "ordered"};
    plan.startedMs = view.storeNowMs;
    plan.dueMs = view.storeNowMs + order.duration.count();
    plan.rejected = rejectedAfter(view);
    const bool isSameVersion = view.plan && view.plan->to == order.to;
    const bool isRejected = view.plan && contains(view.plan->rejected, order.to);
    if (isSameVersion ? isSettled(*view.plan) : view.isServing && !isRejected) {
        plan.stage = RolloutStage::Switching;
        plan.reason = "ordered, and the version serves already";
        return plan;
    }
    // The share of an earlier order does not fit the duration of this one.
    plan.share = trialShare(m_options, 0);
    if (isSameVersion && view.plan->stage == RolloutStage::Switching) {
        plan.stage = RolloutStage::Switching;
    }
    return plan;
}

std::vector<std::string> RolloutCoordinator::rejectedAfter(const View &view) const
{
    if (!view.plan) {
        return {};
    }
    auto result = view.plan->rejected;
    auto added = isSettled(*view.plan) ? view.versions : std::vector {view.plan->to};
    std::erase_if(added, [&](const auto &version) { return contains(result, version) || (isSettled(*view.plan) && version == view.plan->to); });
    result.insert(result.end(), added.begin(), added.end());
    std::erase(result, view.order->to);
    if (result.size() > m_options.maxRejected) {
        result.erase(result.begin(), result.end() - static_cast<std::ptrdiff_t>(m_options.maxRejected));
    }
    return result;
}

RolloutCoordinator::Step RolloutCoordinator::advance(const View &view, MonotonicTime now)
{
    switch (view.plan->stage) {
    case RolloutStage::Trial:
        return advanceTrial(view, now);
    case RolloutStage::Switching:
        return advanceSwitching(view, now);
    case RolloutStage::Reverting:
        return advanceReverting(view, now);
    case RolloutStage::Completed:
    case RolloutStage::RolledBack:
        break;
    }
    return {};
}

RolloutCoordinator::Step RolloutCoordinator::advanceTrial(const View &view, MonotonicTime now)
{
    judge(now);
    if (const auto reason = reversalReason(view)) {
        return {.plan = withStage(*view.plan, RolloutStage::Reverting, *reason), .hold = true, .verdict = m_verdict};
    }
    if (isTimeToSwitch(view, now)) {
        return {.plan = withStage(*view.plan, RolloutStage::Switching, "no evidence against the version"), .verdict = m_verdict};
    }
    Step result {.verdict = m_verdict};
    if (const auto share = betterShare(view, now)) {
        result.plan = withStage(*view.plan, RolloutStage::Trial, "share from the rate of requests");
        result.plan->share = *share;
    }
    return result;
}

RolloutCoordinator::Step RolloutCoordinator::advanceSwitching(const View &view, MonotonicTime now)
{
    // A version that serves already is neither judged nor taken back: there is none to return to.
    if (view.plan->hasTrial()) {
        judge(now);
        if (const auto reason = reversalReason(view)) {
            return {.plan = withStage(*view.plan, RolloutStage::Reverting, *reason), .hold = true, .verdict = m_verdict};
        }
    }
    Step result {.verdict = m_verdict};
    if (isConfirmed(view, true, now)) {
        result.plan = withStage(*view.plan, RolloutStage::Completed, "nothing is under way on other versions");
    }
    return result;
}

RolloutCoordinator::Step RolloutCoordinator::advanceReverting(const View &view, MonotonicTime now)
{
    Step result {.verdict = m_verdict};
    if (isConfirmed(view, false, now)) {
        result.plan = withStage(*view.plan, RolloutStage::RolledBack, view.plan->reason);
    }
    return result;
}

void RolloutCoordinator::judge(MonotonicTime now)
{
    if (!m_verdict.isBad) {
        m_verdict = m_judge.judge(m_evidence, now);
    }
}

std::optional<std::string> RolloutCoordinator::reversalReason(const View &view) const
{
    if (!view.order) {
        return "the order was removed";
    }
    if (m_verdict.isBad) {
        return m_verdict.reason;
    }
    if (view.usableNewSlots > 0) {
        return std::nullopt;
    }
    if (view.storeNowMs >= view.plan->dueMs) {
        return "no target of the version at the due time";
    }
    if (view.plan->stage == RolloutStage::Switching && view.usableOldSlots > 0) {
        return "no usable target of the version any more";
    }
    return std::nullopt;
}

bool RolloutCoordinator::isTimeToSwitch(const View &view, MonotonicTime now) const
{
    if (view.usableOldSlots == 0) {
        return view.usableNewSlots > 0;
    }
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Milliseconds duration = durationOf(*view.plan);
    const Milliseconds minLead = view.isEngineService ? m_options.minEngineLead : m_options.minLead;
    const auto lead = std::min(duration / 2, std::max(minLead, duration * (view.isEngineService ? m_options.engineLeadPart : m_options.leadPart)));
    const auto minSlots = m_options.minCapacity * static_cast<double>(view.usableOldSlots);
    const Milliseconds timeLeft(static_cast<double>(view.plan->dueMs - view.storeNowMs));
    if (timeLeft > lead || static_cast<double>(view.warmNewSlots) < minSlots) {
        return false;
    }
    // A relay that coordinates since a moment ago has to know the evidence of all relays first.
    return allOfLive(view, now, [](const LatestReport *latest) { return latest != nullptr; });
}

std::optional<double> RolloutCoordinator::betterShare(const View &view, MonotonicTime now)
{
    const auto base = trialShare(m_options, 0);
    const auto requests = static_cast<double>(m_evidence.requests());
    const auto newRequests = static_cast<double>(m_evidence.newRequests());
    // Half of the minimum change allows for the rounding of shares in heartbeats.
    if (view.plan->share > base * (1 + m_options.minShareChange) / 2) {
        // More requests have come than the measured rate promised.
        const bool isTooMuch = newRequests > m_options.exposureShare * requests + m_options.exposureSlack / 2;
        return isTooMuch ? std::optional(base) : std::nullopt;
    }
    const auto rate = measuredRate(view, now);
    if (!rate || newRequests > base * requests + m_options.usedSlack * m_options.exposureSlack) {
        return std::nullopt;
    }
    const auto seconds = std::chrono::duration<double>(durationOf(*view.plan)).count();
    const auto share = trialShare(m_options, std::max(*rate * seconds, requests));
    return share >= m_options.minShareChange * base ? std::optional(share) : std::nullopt;
}

std::optional<double> RolloutCoordinator::measuredRate(const View &view, MonotonicTime now)
{
    // A relay whose requests are not known would make the rate too low, and the share too high.
    const bool isAnyLost = std::any_of(
        view.participants.begin(), view.participants.end(), [&](const Participant &participant) { return participant.silence >= m_options.silenceTime; });
    const bool isComplete = allOfLive(view, now, [&](const LatestReport *latest) { return latest && now - latest->receivedAt <= m_options.maxReportAge; });
    if (isAnyLost || !isComplete) {
        return std::nullopt;
    }
    if (!m_rateStart) {
        m_rateStart = {.at = now, .requests = m_evidence.requests()};
    }
    const auto requests = m_evidence.requests() - m_rateStart->requests;
    const auto elapsed = now - m_rateStart->at;
    if (elapsed < m_options.rateWindow || requests < m_options.minRateRequests) {
        return std::nullopt;
    }
    return static_cast<double>(requests) / std::chrono::duration<double>(elapsed).count();
}

bool RolloutCoordinator::allOfLive(const View &view, MonotonicTime now, const std::function<bool(const LatestReport *)> &check) const
{
    // Relays that are known by their reports only count as well, and reports show that a relay is alive.
    std::map<std::string, Participant> relays;
    for (const auto &[node, latest] : m_latest) {
        relays[node] = {.node = node, .silence = m_options.silenceTime};
    }
    for (const auto &participant : view.participants) {
        relays[participant.node] = participant;
    }
    return !relays.empty() && std::all_of(relays.begin(), relays.end(), [&](const auto &item) {
        const auto found = m_latest.find(item.first);
        const bool isLost = item.second.silence >= m_options.silenceTime;
        if (isLost && (found == m_latest.end() || now - found->second.receivedAt >= m_options.silenceTime)) {
            return true;
        }
        const bool isCurrent = found != m_latest.end() && found->second.order == view.plan->order && found->second.incarnation >= item.second.incarnation;
        return check(isCurrent ? &found->second : nullptr);
    });
}

bool RolloutCoordinator::isConfirmed(const View &view, bool isOldIdle, MonotonicTime now) const
{
    return allOfLive(view, now, [&](const LatestReport *latest) {
        return latest && latest->plan == view.plan->version && now - latest->receivedAt <= m_options.maxReportAge && (!isOldIdle || latest->runningOnOld == 0);
    });
}

} // namespace Jujube
