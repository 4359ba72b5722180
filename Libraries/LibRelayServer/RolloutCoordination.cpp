#include <LibRelayServer/RolloutAgent.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <LibCore/AbslView.h>
#include <LibRelay/RolloutReportCodec.h>
#include <LibRelayServer/RelayExchange.h>

// Reports of rollouts to the relays that read the store, and what the first of these does with them.
namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds ReportInterval {300};
// Relays that get the reports.
constexpr size_t MaxReceivers = 2;
// A new coordinator decides when it has got the reports of all relays.
constexpr std::chrono::milliseconds CollectTime {2 * ReportInterval + std::chrono::milliseconds(100)};
// A step rests on an own read of the plans that is no older than this.
constexpr std::chrono::milliseconds MaxReadAge {3000};
constexpr std::chrono::milliseconds MinRereadInterval {300};
// Delay after a step that the store has rejected. It doubles with each further one, up to the maximum.
constexpr std::chrono::milliseconds MinWriteDelay {200};
constexpr std::chrono::milliseconds MaxWriteDelay {1000};
// A hold is announced for this time after each decision on it.
constexpr std::chrono::milliseconds HoldAnnouncementTime {500};
constexpr std::chrono::milliseconds MigrationInterval {1000};
// Relays that have been silent for longer do not take part in a rollout.
constexpr std::chrono::seconds ParticipantRetention {10};
// Of the relays heard within this time, a coordinator has to hear half to end a rollout.
constexpr std::chrono::seconds QuorumTime {15};
constexpr std::chrono::milliseconds SilenceTimeout {2500};

std::chrono::milliseconds wholeMilliseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

std::string_view nameOf(RolloutStore::WriteResult result)
{
    constexpr std::array<std::string_view, 4> Names {"done", "conflict", "rejected", "unknown"};
    return Names.at(static_cast<size_t>(result));
}

} // namespace

void RolloutAgent::onReport(const RolloutReport &report, MonotonicTime now)
{
    const auto found = m_services.find(report.service);
    if (found == m_services.end() || !isInProgress(report.service, found->second) || !m_core.peers.isKnown(report.node)) {
        return;
    }
    m_reportedAt[report.node] = now;
    coordinatorOf(found->second).record(report, now);
}

RolloutCoordinator &RolloutAgent::coordinatorOf(Service &service)
{
    if (!service.coordinator) {
        service.coordinator = std::make_unique<RolloutCoordinator>(
            RolloutCoordinator::Options {.exposureShare = m_core.options.rollouts.exposureShare, .exposureSlack = m_core.options.rollouts.exposureSlack});
    }
    return *service.coordinator;
}

RolloutReport RolloutAgent::buildReport(const std::string &name, const Service &service, MonotonicTime now) const
{
    auto report = service.counts.report();
    report.node = m_core.options.node;
    report.incarnation = m_incarnation;
    report.service = name;
    report.plan = m_routing.followedPlan(name, now);
    for (const auto *exchange : m_core.running) {
        if (exchange->service() != name) {
            continue;
        }
        for (const auto &version : exchange->versionsInUse()) {
            ++(m_routing.isNewVersion(name, version) ? report.runningOnNew : report.runningOnOld);
        }
    }
    return report;
}

void RolloutAgent::sendReportIfDue(const std::string &name, Service &service, MonotonicTime now)
{
    if (now < service.nextReportAt) {
        return;
    }
    service.nextReportAt = now + ReportInterval;
    noteLongWaits(name, now);
    const auto report = buildReport(name, service, now);
    coordinatorOf(service).record(report, now);
    const auto datagrams = encodeRolloutReport(report);
    for (const auto *peer : m_core.peers.livePeers(now)) {
        if (std::ranges::find(m_receivers, peer->latestHeartbeat.node) != m_receivers.end()) {
            for (const auto &datagram : datagrams) {
                m_hooks.sendDatagram(peer->latestHeartbeat.peers, datagram);
            }
        }
    }
}

void RolloutAgent::noteLongWaits(const std::string &name, MonotonicTime now)
{
    for (auto *exchange : m_core.running) {
        if (exchange->service() == name) {
            exchange->noteLongWait(now);
        }
    }
}

void RolloutAgent::updateReceivers(MonotonicTime now)
{
    const auto &own = m_core.options.node;
    std::vector<std::string> reading;
    std::vector<std::string> live {own};
    if (m_hooks.isReading(now)) {
        reading.push_back(own);
    }
    for (const auto *peer : m_core.peers.livePeers(now)) {
        live.push_back(peer->latestHeartbeat.node);
        if (peer->latestHeartbeat.reading) {
            reading.push_back(peer->latestHeartbeat.node);
        }
    }
    if (reading.empty()) {
        // While the store is unavailable, those that have the evidence go on, because they can still announce a hold.
        std::ranges::copy_if(m_receivers, std::back_inserter(reading), [&](const std::string &node) { return std::ranges::find(live, node) != live.end(); });
    }
    m_receivers = reading.empty() ? std::move(live) : std::move(reading);
    std::ranges::sort(m_receivers);
    m_receivers.resize(std::min(m_receivers.size(), MaxReceivers));
}

void RolloutAgent::updateCoordination(MonotonicTime now)
{
    updateReceivers(now);
    if (m_receivers.front() != m_core.options.node) {
        m_coordinatesSince.reset();
    } else if (!m_coordinatesSince) {
        m_coordinatesSince = now;
    }
    absl::erase_if(m_reportedAt, [&](const auto &entry) { return now - entry.second > ParticipantRetention; });
}

std::vector<RolloutCoordinator::Participant> RolloutAgent::participants(MonotonicTime now) const
{
    std::vector<RolloutCoordinator::Participant> result {{.node = m_core.options.node, .incarnation = m_incarnation}};
    const auto heard = m_core.peers.heardWithin(QuorumTime, now);
    const auto silent = std::ranges::count_if(heard, [](const PeerSilence &peer) { return peer.time > SilenceTimeout; });
    // This relay may be cut off from relays that are running. They count as live then, so that no rollout ends without them.
    const bool isCutOff = 2 * static_cast<size_t>(silent) > heard.size() + 1;
    for (const auto &peer : heard) {
        auto silence = peer.time;
        if (const auto reported = m_reportedAt.find(peer.node); reported != m_reportedAt.end()) {
            silence = std::min(silence, wholeMilliseconds(now - reported->second));
        }
        if (isCutOff || silence <= ParticipantRetention) {
            result.push_back({.node = peer.node, .incarnation = peer.incarnation, .silence = isCutOff ? std::chrono::milliseconds(0) : silence});
        }
    }
    return result;
}

RolloutCoordinator::View RolloutAgent::buildView(const std::string &name, const Service &service, MonotonicTime now) const
{
    RolloutCoordinator::View view {
        .order = orderOf(service), .plan = service.stored, .storeNowMs = storeTime(now), .participants = participants(now), .node = m_core.options.node};
    const auto to = view.order ? view.order->to : view.plan ? view.plan->to : std::string();
    const auto capacity = m_routing.capacity(name, to, m_core.targets, now);
    view.warmNewSlots = capacity.warmNew;
    view.usableNewSlots = capacity.usableNew;
    view.usableOldSlots = capacity.usableOld;
    view.isServing = m_routing.isServing(name, to, m_core.targets, now);
    absl::flat_hash_set<std::string> versions;
    for (const auto *target : m_core.targets.ofService(name)) {
        versions.insert(target->entry.softwareVersion);
    }
    view.versions.assign(versions.begin(), versions.end());
    const auto *known = m_core.routes ? m_core.routes->findService(name) : nullptr;
    view.isEngineService = known && known->engine;
    return view;
}

void RolloutAgent::coordinate(const std::string &name, Service &service, MonotonicTime now)
{
    if (!m_coordinatesSince || m_storeNowMs == 0) {
        return;
    }
    const auto step = coordinatorOf(service).step(buildView(name, service, now), now);
    excludeTargets(name, service, step.verdict.faultyTargets);
    if (step.hold) {
        hold(name, service, step.verdict, now);
    }
    if (step.plan && mayWrite(name, service, step.hold || step.plan->stage == RolloutStage::Reverting, now)) {
        write(service, *step.plan, now);
    }
}

bool RolloutAgent::mayWrite(const std::string &name, const Service &service, bool isReversal, MonotonicTime now)
{
    if (m_store.isWriting(name) || m_store.isInDoubt(name) || now < service.nextWriteAt) {
        return false;
    }
    const auto *plan = m_routing.plan(name);
    const bool hasRead = m_readAt && *m_readAt >= *m_coordinatesSince && now - *m_readAt < MaxReadAge;
    // A peer has reported a plan that this relay has not read, unless a later read has shown that the store does not have it.
    const bool isBehind = plan && (!service.stored || plan->version > service.stored->version) && (!m_readAt || *m_readAt < service.changedAt);
    if (!hasRead || isBehind) {
        if (now - m_readSentAt >= MinRereadInterval && now >= m_nextReadAt) {
            read(now);
        }
        return false;
    }
    // Of an order that this relay does not know, it cannot tell whether it was removed.
    if (service.stored && service.stored->order > m_hooks.ordersKnownTo()) {
        return false;
    }
    return isReversal || (m_hooks.isReading(now) && now - *m_coordinatesSince >= CollectTime && m_core.peers.hasDiscoveredPeers(now));
}

void RolloutAgent::write(Service &service, const RolloutPlan &plan, MonotonicTime now)
{
    service.nextWriteAt = now + MinWriteDelay;
    m_store.write(plan, [this, written = plan, sentAt = now](RolloutStore::WriteResult result, const RolloutPlan &current, int64_t storeNowMs) {
        onWritten(written, result, current, storeNowMs, sentAt);
    });
}

void RolloutAgent::onWritten(const RolloutPlan &written, RolloutStore::WriteResult result, const RolloutPlan &current, int64_t storeNowMs, MonotonicTime sentAt)
{
    const auto now = monotonicNow();
    auto &service = m_services[written.service];
    m_core.metrics.count("relay_rollout_writes_total", absl::StrCat("result=\"", toAbsl(nameOf(result)), "\""));
    setStoreTime(storeNowMs, now);
    switch (result) {
    case RolloutStore::WriteResult::Done:
        service.writeDelay = {};
        storePlan(current, sentAt, now);
        return;
    case RolloutStore::WriteResult::Conflict:
        service.writeDelay = {};
        if (current.version > 0) {
            storePlan(current, sentAt, now);
        } else {
            service.stored.reset();
        }
        break;
    case RolloutStore::WriteResult::Rejected:
        service.writeDelay = std::clamp(2 * service.writeDelay, MinWriteDelay, MaxWriteDelay);
        service.nextWriteAt = now + service.writeDelay;
        break;
    case RolloutStore::WriteResult::Unknown:
        break;
    }
    auto line = m_core.line(EventKind::RolloutWriteFailed);
    line.add("service", written.service)
        .add("to", written.to)
        .add("stage", nameOf(written.stage))
        .add("row_version", written.version)
        .add("result", nameOf(result))
        .add("reason", std::exchange(service.writeError, {}))
        .add("after_ms", wholeMilliseconds(now - sentAt).count());
    m_core.log(line);
}

void RolloutAgent::hold(const std::string &name, Service &service, const RolloutJudge::Verdict &verdict, MonotonicTime now)
{
    const auto *plan = m_routing.plan(name);
    if (!plan) {
        return;
    }
    m_routing.setHold(name, plan->version, now);
    const bool isNew = now >= service.holdsUntil;
    service.holdsUntil = now + HoldAnnouncementTime;
    if (!isNew) {
        return;
    }
    auto line = m_core.line(EventKind::RolloutStageChanged);
    line.add("service", name)
        .add("to", plan->to)
        .add("from", nameOf(plan->stage))
        .add("stage", "hold")
        .add("by", m_core.options.node)
        .add("reason", verdict.reason)
        .add("responses", verdict.responses)
        .add("bad", verdict.bad)
        .add("row_version", plan->version);
    m_core.log(line);
    m_hooks.notifyPeers();
}

void RolloutAgent::excludeTargets(const std::string &name, Service &service, const std::vector<std::string> &targets)
{
    for (const auto &target : targets) {
        if (!service.excludedTargets.insert(target).second) {
            continue;
        }
        m_routing.excludeFromTrial(target);
        auto line = m_core.line(EventKind::RolloutTargetExcluded);
        line.add("service", name).add("target", target);
        m_core.log(line);
        m_core.metrics.count("relay_rollout_targets_excluded_total");
    }
}

void RolloutAgent::migrateSuperseded(const std::string &name, Service &service, MonotonicTime now)
{
    if (now < service.nextMigrationAt) {
        return;
    }
    service.nextMigrationAt = now + MigrationInterval;
    absl::flat_hash_set<std::string> targets;
    for (const auto *exchange : m_core.running) {
        if (exchange->service() == name && exchange->isMigratable() && isSuperseded(exchange->target())) {
            targets.insert(exchange->target());
        }
    }
    for (const auto &target : targets) {
        m_core.migrateSuperseded(target, now);
    }
}

std::vector<RolloutStatusReport> RolloutAgent::statusReports(MonotonicTime now) const
{
    std::vector<RolloutStatusReport> result;
    for (const auto &[name, service] : m_services) {
        const auto *plan = m_routing.plan(name);
        if (!plan) {
            continue;
        }
        RolloutStatusReport status {.service = name,
                                    .to = plan->to,
                                    .stage = plan->stage,
                                    .share = plan->share,
                                    .order = plan->order,
                                    .plan = plan->version,
                                    .hold = m_routing.isHeld(name, now),
                                    .coordinator = m_receivers.empty() ? std::string() : m_receivers.front(),
                                    .by = plan->by,
                                    .reason = plan->reason};
        if (m_storeNowMs > 0 && plan->dueMs > 0) {
            status.due = std::chrono::milliseconds(plan->dueMs - storeTime(now));
        }
        addCounts(status, name, service, now);
        result.push_back(std::move(status));
    }
    return result;
}

void RolloutAgent::addCounts(RolloutStatusReport &status, const std::string &name, const Service &service, MonotonicTime now) const
{
    const auto own = buildReport(name, service, now);
    status.underWayOld = own.runningOnOld;
    status.underWayNew = own.runningOnNew;
    if (!service.coordinator) {
        return;
    }
    const auto &evidence = service.coordinator->evidence();
    status.requests = evidence.requests();
    status.newRequests = evidence.newRequests();
    for (const auto &[key, samples] : evidence.samples()) {
        status.responses += key.isNew ? samples.responses : 0;
        status.bad += key.isNew ? samples.bad : 0;
    }
}

void RolloutAgent::exportMetrics(MonotonicTime now)
{
    for (const std::string_view name : {"relay_rollout_stage", "relay_rollout_share", "relay_rollout_under_way", "relay_rollout_plan_age_seconds"}) {
        m_core.metrics.removeGauges(std::string(name));
    }
    for (const auto &[name, service] : m_services) {
        const auto *plan = m_routing.plan(name);
        const auto label = absl::StrCat("service=\"", name, "\"");
        if (!plan) {
            continue;
        }
        m_core.metrics.set("relay_rollout_stage", static_cast<double>(plan->stage), label);
        m_core.metrics.set("relay_rollout_share", plan->share, label);
        if (isInProgress(name, service)) {
            const auto report = buildReport(name, service, now);
            m_core.metrics.set("relay_rollout_under_way", static_cast<double>(report.runningOnNew), absl::StrCat(label, ",version=\"new\""));
            m_core.metrics.set("relay_rollout_under_way", static_cast<double>(report.runningOnOld), absl::StrCat(label, ",version=\"old\""));
            m_core.metrics.set("relay_rollout_plan_age_seconds", std::chrono::duration<double>(m_routing.planAge(name, now)).count(), label);
        }
    }
}

} // namespace Jujube
