#include <LibRelayServer/RolloutAgent.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibRelayServer/RelayExchange.h>

namespace Jujube
{

namespace
{

// Maximum number of services of which rollouts are known.
constexpr size_t MaxServices = 200;
// Interval between the reads of the plans by the relays that read the store, while a rollout is in progress.
constexpr std::chrono::milliseconds ReadInterval {1000};
// Other relays read the plans when they have had no confirmation for this time.
constexpr std::chrono::milliseconds MaxTimeUnconfirmed {2000};
// Delay after a failed read. It doubles with each further failure, up to the maximum.
constexpr std::chrono::milliseconds MinReadDelay {200};
constexpr std::chrono::milliseconds MaxReadDelay {2000};
// After a stop of this length, other relays may have ended a rollout without this one.
constexpr std::chrono::milliseconds MinStopToConfirm {2000};
// Requests wait for a confirmation of the plans no longer than this, because the store may be unavailable.
constexpr std::chrono::milliseconds MaxConfirmTime {1000};
// Heartbeats that arrive within this time after a stop may be older than they seem.
constexpr std::chrono::milliseconds StaleHeartbeatTime {300};
// Age of a plan that this relay has never read itself.
constexpr std::chrono::hours AgeOfUnreadPlan {1};
// Plans that have ended are reported for this time.
constexpr std::chrono::seconds FinalNoticeTime {10};
constexpr uint64_t TicksPerExport = 10;

std::chrono::milliseconds wholeMilliseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

RolloutAgent::RolloutAgent(RelayCore &core, int64_t incarnation, Hooks hooks)
    : m_core(core)
    , m_hooks(std::move(hooks))
    , m_store(core.loop,
              core.client,
              core.adapter,
              core.options.store,
              {},
              {.onPlans = [this](const std::vector<RolloutPlan> &plans, int64_t storeNowMs, MonotonicTime sentAt) { onPlans(plans, storeNowMs, sentAt); },
               .onReadFailed = [this](const std::string &) { onReadFailed(); },
               .onUnreadable = [this](const std::string &service, const std::string &error) { onUnreadablePlan(service, error); },
               .onWriteFailed = [this](const std::string &service, const std::string &error) { m_services[service].writeError = error; }})
    , m_routing({})
    , m_incarnation(incarnation)
{
}

void RolloutAgent::start()
{
    read(monotonicNow());
}

void RolloutAgent::tick(MonotonicTime now)
{
    ++m_ticks;
    readIfDue(now);
    takeFirstTargets();
    checkWithheld();
    updateCoordination(now);
    for (auto &[name, service] : m_services) {
        if (isInProgress(name, service)) {
            sendReportIfDue(name, service, now);
            migrateSuperseded(name, service, now);
            coordinate(name, service, now);
        } else if (service.coordinator) {
            service.coordinator.reset();
            service.counts.reset(service.counts.order());
        }
    }
    if (m_ticks % TicksPerExport == 0) {
        forgetIdleServices();
        exportMetrics(now);
    }
}

void RolloutAgent::forgetIdleServices()
{
    std::erase_if(m_services, [this](const auto &entry) {
        return !entry.second.order && !entry.second.isRowMalformed && !entry.second.stored && !m_routing.plan(entry.first);
    });
}

void RolloutAgent::onStopped(std::chrono::nanoseconds suspended, MonotonicTime::duration stopped, MonotonicTime now)
{
    m_routing.onFrozen(std::max(suspended, std::chrono::nanoseconds {0}));
    m_stoppedAt = now;
    m_readAt.reset();
    for (auto *exchange : m_core.running) {
        exchange->dropRolloutSample();
    }
    if (!m_isAnyInProgress) {
        return;
    }
    if (suspended >= MinStopToConfirm || stopped >= MinStopToConfirm) {
        m_confirmsUntil = now + MaxConfirmTime;
    }
    read(now);
}

void RolloutAgent::onOrderRow(const std::string &name, const StoreRow &row, MonotonicTime now)
{
    if (!m_services.contains(name) && (row.removed || m_services.size() >= MaxServices)) {
        return;
    }
    auto &service = m_services[name];
    if (row.version <= service.rowVersion) {
        return;
    }
    service.rowVersion = row.version;
    service.isRowMalformed = false;
    service.changedAt = now;
    if (row.removed) {
        service.order.reset();
        m_routing.removeOrder(name);
        logOrder(name, row, nullptr);
    } else if (auto order = m_core.adapter.decodeRolloutOrder(name, row.value); order.ok()) {
        order->version = row.version;
        m_routing.setOrder(*order);
        logOrder(name, row, &*order);
        service.order = *std::move(order);
    } else {
        service.isRowMalformed = true;
        auto line = m_core.line(EventKind::RolloutOrderRefused);
        line.add("service", name).add("row_version", row.version).add("reason", std::string(order.status().message()));
        m_core.log(line);
        m_core.metrics.count("relay_rollout_orders_refused_total");
    }
    onChanged(name, service);
}

void RolloutAgent::logOrder(const std::string &service, const StoreRow &row, const RolloutOrder *order)
{
    auto line = m_core.line(EventKind::RolloutOrdered);
    line.add("service", service).add("row_version", row.version).add("removed", order ? 0 : 1);
    if (order) {
        line.add("to", order->to).add("duration_ms", order->duration.count());
    }
    m_core.log(line);
}

std::optional<RolloutOrder> RolloutAgent::orderOf(const Service &service) const
{
    if (service.order || !service.isRowMalformed || !service.stored) {
        return service.order;
    }
    // The order that the plan carries out was replaced by a row that cannot be read while this relay was not running.
    const auto &plan = *service.stored;
    return RolloutOrder {.service = plan.service, .to = plan.to, .duration = std::chrono::milliseconds(plan.dueMs - plan.startedMs), .version = plan.order};
}

bool RolloutAgent::isInProgress(const std::string &name, const Service &service) const
{
    const auto *plan = m_routing.plan(name);
    if (plan && !isFinal(plan->stage)) {
        return true;
    }
    return service.order && (!plan || service.order->version > plan->order);
}

void RolloutAgent::onChanged(const std::string &name, Service &service)
{
    const auto *plan = m_routing.plan(name);
    const auto order = std::max(service.order ? service.order->version : 0, plan ? plan->order : 0);
    if (order != service.counts.order()) {
        service.counts.reset(order);
    }
    service.nextReportAt = {};
    m_isAnyInProgress = std::ranges::any_of(m_services, [this](const auto &entry) { return isInProgress(entry.first, entry.second); });
}

void RolloutAgent::takeFirstTargets()
{
    const auto knownTo = m_hooks.ordersKnownTo();
    if (m_hasFirstTargets || !m_knowsPlans || knownTo == 0 || !m_hooks.hasTargets()) {
        return;
    }
    m_hasFirstTargets = true;
    std::vector<TargetEntry> entries;
    for (const auto &[id, target] : m_core.targets.targets()) {
        m_withheld.insert(id);
        // An order for a later one may not be known yet.
        if (target.entry.version <= knownTo) {
            entries.push_back(target.entry);
        }
    }
    m_routing.recordFirstTargets(entries);
}

void RolloutAgent::onTargetApplied(const std::string &target)
{
    const auto *known = m_core.targets.find(target);
    if (!m_hasFirstTargets) {
        return;
    }
    if (!known || m_routing.mayUse(known->entry, m_hooks.ordersKnownTo())) {
        m_withheld.erase(target);
    } else {
        m_withheld.insert(target);
    }
}

void RolloutAgent::checkWithheld()
{
    const auto withheld = std::vector<std::string>(m_withheld.begin(), m_withheld.end());
    for (const auto &target : withheld) {
        onTargetApplied(target);
    }
}

const absl::flat_hash_set<std::string> *RolloutAgent::withheldTargets() const
{
    return m_withheld.empty() ? nullptr : &m_withheld;
}

void RolloutAgent::readIfDue(MonotonicTime now)
{
    if (now < m_nextReadAt) {
        return;
    }
    const bool isDue = now - m_readSentAt >= ReadInterval;
    if (!m_knowsPlans || (m_isAnyInProgress && isDue && (m_hooks.isReader() || timeUnconfirmed(now) >= MaxTimeUnconfirmed))) {
        read(now);
    }
}

void RolloutAgent::read(MonotonicTime now)
{
    m_readSentAt = now;
    m_store.read();
}

std::chrono::milliseconds RolloutAgent::timeUnconfirmed(MonotonicTime now) const
{
    std::chrono::milliseconds longest {0};
    for (const auto &[name, service] : m_services) {
        if (!isInProgress(name, service)) {
            continue;
        }
        if (m_routing.plan(name)) {
            longest = std::max(longest, m_routing.planAge(name, now));
        } else {
            longest = std::max(longest, wholeMilliseconds(now - std::max(service.changedAt, m_readAt.value_or(service.changedAt))));
        }
    }
    return longest;
}

void RolloutAgent::onPlans(const std::vector<RolloutPlan> &plans, int64_t storeNowMs, MonotonicTime sentAt)
{
    const auto now = monotonicNow();
    m_readAt = std::max(m_readAt.value_or(sentAt), sentAt);
    m_readDelay = {};
    m_knowsPlans = true;
    if (sentAt >= m_stoppedAt) {
        m_confirmsUntil.reset();
    }
    setStoreTime(storeNowMs, now);
    absl::flat_hash_set<std::string> listed;
    for (const auto &plan : plans) {
        listed.insert(plan.service);
        storePlan(plan, sentAt, now);
    }
    for (auto &[name, service] : m_services) {
        if (service.stored && service.learntAt < sentAt && !listed.contains(name)) {
            service.stored.reset();
        }
    }
}

void RolloutAgent::setStoreTime(int64_t storeNowMs, MonotonicTime now)
{
    if (storeNowMs > 0) {
        m_storeNowMs = storeNowMs;
        m_storeNowAt = now;
    }
}

int64_t RolloutAgent::storeTime(MonotonicTime now) const
{
    return m_storeNowMs + wholeMilliseconds(now - m_storeNowAt).count();
}

void RolloutAgent::onReadFailed()
{
    m_readDelay = std::clamp(2 * m_readDelay, MinReadDelay, MaxReadDelay);
    // At a random moment of the second half of the delay, because all relays retry.
    const auto half = m_readDelay / 2;
    m_nextReadAt = monotonicNow() + half + std::chrono::milliseconds(static_cast<int64_t>(m_core.random() % static_cast<uint64_t>(half.count() + 1)));
    m_core.metrics.count("relay_rollout_read_failures_total");
}

void RolloutAgent::onUnreadablePlan(const std::string &service, const std::string &error)
{
    auto line = m_core.line(EventKind::RowUnreadable);
    line.add("table", m_core.adapter.rolloutTable).add("key", service).add("reason", error);
    m_core.log(line);
    m_core.metrics.count("relay_rows_unreadable_total");
}

void RolloutAgent::storePlan(const RolloutPlan &plan, MonotonicTime knownAt, MonotonicTime now)
{
    if (!m_services.contains(plan.service) && m_services.size() >= MaxServices) {
        return;
    }
    auto &service = m_services[plan.service];
    // A later call may show an older plan, if the store has lost the newer one.
    if (service.stored && plan.version < service.stored->version && knownAt <= service.learntAt) {
        return;
    }
    service.stored = plan;
    service.storedAt = std::max(service.storedAt, knownAt);
    service.learntAt = now;
    applyPlan(plan, wholeMilliseconds(now - knownAt), false, now);
}

void RolloutAgent::applyPlan(const RolloutPlan &plan, std::chrono::milliseconds age, bool isFromPeer, MonotonicTime now)
{
    const auto *known = m_routing.plan(plan.service);
    const auto previous = known ? std::optional(*known) : std::nullopt;
    if (!m_routing.setPlan(plan, age, now)) {
        return;
    }
    auto &service = m_services[plan.service];
    service.changedAt = now;
    service.holdsUntil = {};
    service.nextMigrationAt = {};
    onChanged(plan.service, service);
    m_core.metrics.count("relay_rollout_plan_changes_total");
    if (!previous || previous->stage != plan.stage || previous->to != plan.to || previous->order != plan.order) {
        logStage(previous, plan, isFromPeer);
    }
    if (!isFromPeer) {
        m_hooks.notifyPeers();
    }
}

void RolloutAgent::logStage(const std::optional<RolloutPlan> &previous, const RolloutPlan &plan, bool isFromPeer)
{
    auto line = m_core.line(EventKind::RolloutStageChanged);
    line.add("service", plan.service)
        .add("to", plan.to)
        .add("from", previous ? nameOf(previous->stage) : std::string_view())
        .add("stage", nameOf(plan.stage))
        .addReal("share", plan.share)
        .add("by", plan.by)
        .add("reason", plan.reason)
        .add("order", plan.order)
        .add("row_version", plan.version)
        .add("source", isFromPeer ? "peer" : "store");
    m_core.log(line);
}

void RolloutAgent::addNotices(PeerHeartbeat &heartbeat, bool withAll, MonotonicTime now) const
{
    if (!m_knowsPlans) {
        return;
    }
    std::vector<RolloutNotice> notices;
    for (const auto &[name, plan] : m_routing.plans()) {
        const auto found = m_services.find(name);
        if (found == m_services.end()) {
            continue;
        }
        const auto &service = found->second;
        const bool isRecent = !isFinal(plan.stage) || now - service.changedAt < FinalNoticeTime;
        if (!isRecent && !withAll) {
            continue;
        }
        const bool isOwn = service.stored && service.stored->version == plan.version;
        notices.push_back({.plan = plan,
                           .hold = now < service.holdsUntil,
                           .age = isOwn ? wholeMilliseconds(now - service.storedAt) : std::chrono::milliseconds(AgeOfUnreadPlan)});
    }
    // Those in progress come first, and then the newest ones.
    std::ranges::sort(notices, [](const RolloutNotice &left, const RolloutNotice &right) {
        return std::tuple(isFinal(left.plan.stage), -left.plan.version) < std::tuple(isFinal(right.plan.stage), -right.plan.version);
    });
    heartbeat.rollouts = std::move(notices);
    heartbeat.rolloutCount = static_cast<int>(m_routing.plans().size());
}

void RolloutAgent::onPeerHeartbeat(const PeerHeartbeat &heartbeat, MonotonicTime now)
{
    const bool mayBeOld = now - m_stoppedAt < StaleHeartbeatTime;
    for (const auto &notice : heartbeat.rollouts) {
        if (!m_services.contains(notice.plan.service) && m_services.size() >= MaxServices) {
            continue;
        }
        m_services.try_emplace(notice.plan.service);
        applyPlan(notice.plan, mayBeOld ? std::chrono::milliseconds(AgeOfUnreadPlan) : notice.age, true, now);
        if (notice.hold) {
            m_routing.setHold(notice.plan.service, notice.plan.version, now);
        }
    }
    const bool hasAll = heartbeat.rolloutCount && std::ssize(heartbeat.rollouts) >= *heartbeat.rolloutCount;
    m_knowsPlans = m_knowsPlans || hasAll;
}

bool RolloutAgent::isReady(MonotonicTime now) const
{
    return m_hasFirstTargets && !(m_confirmsUntil && now < *m_confirmsUntil);
}

VersionFilter RolloutAgent::filterForFirst(const std::string &service, double draw, MonotonicTime now) const
{
    return m_services.contains(service) ? m_routing.filterForFirst(service, m_core.targets, draw, now) : VersionFilter {};
}

VersionFilter RolloutAgent::filterForRetry(const std::string &service, MonotonicTime now) const
{
    return m_services.contains(service) ? m_routing.filterForRetry(service, now) : VersionFilter {};
}

VersionFilter RolloutAgent::filterForCopy(const std::string &target, MonotonicTime now) const
{
    const auto *known = m_core.targets.find(target);
    if (!known || !m_services.contains(known->entry.service)) {
        return {};
    }
    return m_routing.filterForCopy(known->entry.service, known->entry.softwareVersion, now);
}

bool RolloutAgent::isForTrial(const std::string &service, const VersionFilter &filter) const
{
    const auto *plan = m_routing.plan(service);
    return plan && plan->stage == RolloutStage::Trial && filter.kind == VersionFilter::Kind::Only && filter.versions == std::vector {plan->to};
}

bool RolloutAgent::isSuperseded(const std::string &target) const
{
    if (m_services.empty() || !m_core.options.rollouts.migratesRuns) {
        return false;
    }
    const auto *known = m_core.targets.find(target);
    const auto *plan = known ? m_routing.plan(known->entry.service) : nullptr;
    return plan && plan->stage == RolloutStage::Switching && m_routing.isSuperseded(known->entry);
}

void RolloutAgent::recordRequest(const std::string &name, const std::string &target)
{
    const auto found = m_services.find(name);
    const auto *known = m_core.targets.find(target);
    if (found == m_services.end() || !known || !isInProgress(name, found->second)) {
        return;
    }
    const auto &version = known->entry.softwareVersion;
    found->second.counts.addRequest(m_routing.isNewVersion(name, version));
    m_core.metrics.count("relay_rollout_requests_total", absl::StrCat("service=\"", name, "\",version=\"", version, "\""));
}

std::optional<RolloutSampler> RolloutAgent::beginSample(const std::string &name, const std::string &route, const std::string &target, MonotonicTime now) const
{
    const auto found = m_services.find(name);
    const auto *known = m_core.targets.find(target);
    if (found == m_services.end() || !isInProgress(name, found->second) || !known || now < known->coldUntil || known->leavingSince) {
        return std::nullopt;
    }
    const RolloutSampleKey key {.route = route, .target = target, .isNew = m_routing.isNewVersion(name, known->entry.softwareVersion)};
    return RolloutSampler(key, found->second.counts.order(), now);
}

RolloutSamples *RolloutAgent::samplesOf(const std::string &name, const RolloutSampler &sampler)
{
    const auto found = m_services.find(name);
    if (found == m_services.end() || found->second.counts.order() != sampler.order() || !isInProgress(name, found->second)) {
        return nullptr;
    }
    return found->second.counts.samples(sampler.key());
}

} // namespace Jujube
