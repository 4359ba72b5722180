#include <LibRelay/TargetBalancer.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <LibPolicy/SplitMix.h>

namespace Jujube
{

namespace
{

// Maximum number of targets that a placement examines in a large fleet.
constexpr size_t MaxCandidates = 64;
// Weight of one result in the failure share of a target.
constexpr double ResultWeight = 0.25;
// Half-life of a failure share without new results.
constexpr double FailureHalfLifeSeconds = 3;
// Cost of a target whose recent requests have all failed, in milliseconds.
constexpr double FailingTargetCost = 1500;
// Cost of a target to which connections failed, in milliseconds; it is chosen only if there is no other one.
constexpr double UnreachableTargetCost = 5000;
// Maximum number of times that the avoidance time of such a target doubles.
constexpr int MaxAvoidanceDoublings = 4;
// Mean duration of a call to a plain service, in milliseconds; it is the cost of waiting for one slot.
constexpr double MeanServiceCallMs = 60;
// Cost of one running call on a plain service that has free slots, in milliseconds.
constexpr double RunningCallCost = 6;
// Weight of the order, agreed on by all relays, in which the generations of a leaving target choose their destinations, in milliseconds.
constexpr double DestinationOrderCost = 120;
// Cost of a destination that another leaving target prefers more, in milliseconds.
constexpr double ContendedDestinationCost = 200;
// Tokens that a run is expected to produce in addition once it has exceeded its expected length.
constexpr int64_t OverrunTokens = 200;

// A number between 0 and 1 on which all relays agree for a pair of targets (rendezvous hashing, Thaler and Ravishankar, 1998).
double rendezvousScore(const std::string &source, const std::string &destination)
{
    const auto text = source + ' ' + destination;
    return static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11) * 0x1.0p-53;
}

} // namespace

TargetBalancer::TargetBalancer(Options options)
    : m_options(std::move(options))
    , m_cooldowns(m_options.cooldowns)
    , m_requestLimits(m_options.requestLimits)
{
}

TargetLoad TargetBalancer::loadOf(const Run &run)
{
    TargetLoad load {.target = run.target, .running = 1};
    if (run.demand.promptTokens > 0) {
        const auto output = std::max(run.demand.expectedTokens, run.producedTokens + (run.producedTokens >= run.demand.expectedTokens ? OverrunTokens : 0));
        load.memory = run.demand.promptTokens + output;
        load.prefill = run.producedTokens == 0 ? run.demand.promptTokens : 0;
        load.movable = run.demand.isMigratable && !run.hasBackup ? run.demand.promptTokens + run.producedTokens : 0;
    }
    return load;
}

void TargetBalancer::addOwnLoad(const Run &run, int sign)
{
    addLoad(m_ownLoads, loadOf(run), sign);
}

void TargetBalancer::addLoad(Loads &loads, const TargetLoad &load, int sign)
{
    auto &sum = loads[load.target];
    sum.target = load.target;
    sum.add(load, sign);
    if (sum.isEmpty()) {
        loads.erase(load.target);
    }
}

void TargetBalancer::onRunStarted(const std::string &request, const std::string &target, const RunDemand &demand, MonotonicTime now)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end()) {
        addOwnLoad(found->second, -1);
        m_runs.erase(found);
    }
    const Run run {.target = target, .demand = demand};
    addOwnLoad(run, 1);
    m_runs.emplace(request, run);
    m_coldRateLimiter.recordStart(target, now);
}

void TargetBalancer::onTokensProduced(const std::string &request, int64_t tokens)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    addOwnLoad(found->second, -1);
    found->second.producedTokens += tokens;
    addOwnLoad(found->second, 1);
}

void TargetBalancer::onRunEnded(const std::string &request, RunEnd end, MonotonicTime now)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    addOwnLoad(found->second, -1);
    if (end != RunEnd::Cancelled) {
        recordResult(found->second.target, end == RunEnd::Failed, now);
    }
    m_runs.erase(found);
}

void TargetBalancer::markUnreachable(const std::string &target, MonotonicTime now)
{
    recordResult(target, true, now);
    if (isUnreachable(target, now)) {
        return;
    }
    auto &health = m_health[target];
    const auto time = m_options.unreachableTime * (1 << std::min(health.unreachableStreak, MaxAvoidanceDoublings));
    health.unreachableUntil = now + std::min(time, m_options.maxUnreachableTime);
    ++health.unreachableStreak;
}

void TargetBalancer::markReachable(const std::string &target)
{
    const auto found = m_health.find(target);
    if (found != m_health.end()) {
        found->second.unreachableStreak = 0;
        found->second.unreachableUntil = {};
    }
}

void TargetBalancer::onAttemptFailed(const std::string &target, MonotonicTime now)
{
    recordResult(target, true, now);
}

bool TargetBalancer::isUnreachable(const std::string &target, MonotonicTime now) const
{
    const auto found = m_health.find(target);
    return found != m_health.end() && now < found->second.unreachableUntil;
}

void TargetBalancer::recordResult(const std::string &target, bool hasFailed, MonotonicTime now)
{
    const double before = failureShare(target, now);
    auto &health = m_health[target];
    health.failures = before + ResultWeight * ((hasFailed ? 1.0 : 0.0) - before);
    health.updated = now;
}

double TargetBalancer::failureShare(const std::string &target, MonotonicTime now) const
{
    const auto found = m_health.find(target);
    if (found == m_health.end()) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - found->second.updated).count();
    return found->second.failures * std::exp2(-age / FailureHalfLifeSeconds);
}

void TargetBalancer::setCopy(const std::string &request, const std::string &target, int64_t tokens)
{
    dropCopy(request);
    const TargetLoad copy {.target = target, .memory = tokens};
    addLoad(m_ownLoads, copy, 1);
    m_copies[request] = copy;
}

void TargetBalancer::dropCopy(const std::string &request)
{
    const auto found = m_copies.find(request);
    if (found == m_copies.end()) {
        return;
    }
    addLoad(m_ownLoads, found->second, -1);
    m_copies.erase(found);
}

void TargetBalancer::setBackup(const std::string &request, const std::string &target, int64_t tokens)
{
    setCopy(request, target, tokens);
    setHasBackup(request, true);
}

void TargetBalancer::dropBackup(const std::string &request)
{
    dropCopy(request);
    setHasBackup(request, false);
}

void TargetBalancer::setHasBackup(const std::string &request, bool hasBackup)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end()) {
        addOwnLoad(found->second, -1);
        found->second.hasBackup = hasBackup;
        addOwnLoad(found->second, 1);
    }
}

void TargetBalancer::setPeerLoads(const std::string &peer, std::vector<TargetLoad> loads)
{
    dropPeer(peer);
    for (const auto &load : loads) {
        addLoad(m_peerLoadSums, load, 1);
    }
    m_peerLoads[peer] = std::move(loads);
}

void TargetBalancer::dropPeer(const std::string &peer)
{
    const auto found = m_peerLoads.find(peer);
    if (found == m_peerLoads.end()) {
        return;
    }
    for (const auto &load : found->second) {
        addLoad(m_peerLoadSums, load, -1);
    }
    m_peerLoads.erase(found);
}

std::vector<TargetLoad> TargetBalancer::ownLoads() const
{
    std::vector<TargetLoad> loads;
    loads.reserve(m_ownLoads.size());
    for (const auto &[target, load] : m_ownLoads) {
        loads.push_back(load);
    }
    return loads;
}

TargetLoad TargetBalancer::ownLoad(const std::string &target) const
{
    const auto found = m_ownLoads.find(target);
    return found == m_ownLoads.end() ? TargetLoad {.target = target} : found->second;
}

std::vector<TargetLoad> TargetBalancer::peerLoads(const std::string &peer) const
{
    const auto found = m_peerLoads.find(peer);
    return found == m_peerLoads.end() ? std::vector<TargetLoad>() : found->second;
}

TargetLoad TargetBalancer::peerLoad(const std::string &peer, const std::string &target) const
{
    const auto found = m_peerLoads.find(peer);
    if (found == m_peerLoads.end()) {
        return {.target = target};
    }
    const auto load = std::find_if(found->second.begin(), found->second.end(), [&](const TargetLoad &entry) { return entry.target == target; });
    return load == found->second.end() ? TargetLoad {.target = target} : *load;
}

int64_t TargetBalancer::producedTokens(const std::string &request) const
{
    const auto found = m_runs.find(request);
    return found == m_runs.end() ? 0 : found->second.producedTokens;
}

TargetLoad TargetBalancer::loadOf(const std::string &target) const
{
    TargetLoad load;
    if (const auto own = m_ownLoads.find(target); own != m_ownLoads.end()) {
        load.add(own->second);
    }
    if (const auto peers = m_peerLoadSums.find(target); peers != m_peerLoadSums.end()) {
        load.add(peers->second);
    }
    return load;
}

double TargetBalancer::engineCost(const TargetLoad &load, const EngineProfile &engine, const RunDemand &demand) const
{
    double cost = static_cast<double>(load.prefill) / m_options.prefillTokensPerMs + m_options.costPerRun * load.running;
    const double memory = static_cast<double>(load.memory + demand.promptTokens + demand.expectedTokens);
    const double share = engine.memoryTokens > 0 ? memory / static_cast<double>(engine.memoryTokens) : 0;
    if (share > m_options.memoryThreshold) {
        cost += m_options.memoryPressureCost * (share - m_options.memoryThreshold);
    }
    if (demand.isMigratable && engine.linkMbps > 0) {
        const double send = engine.secondsToSend(load.movable + demand.promptTokens);
        cost += m_options.sendCostPerSecond * std::max(0.0, send - std::chrono::duration<double>(m_options.timeToSend).count());
    }
    return cost;
}

double TargetBalancer::serviceCost(const TargetLoad &load, int slots) const
{
    const int waiting = std::max(0, load.running + 1 - slots);
    return RunningCallCost * load.running + MeanServiceCallMs * waiting;
}

double TargetBalancer::distanceCost(const std::string &dataCentre, int liveRelays) const
{
    const auto found = m_options.regions.find(dataCentre);
    if (found == m_options.regions.end() || found->second != m_options.region) {
        return m_options.otherRegionCost + (liveRelays > m_options.maxRelaysWithPromptLoads ? m_options.delayedLoadCost : 0);
    }
    return 0;
}

std::string_view TargetBalancer::regionOf(const std::string &dataCentre) const
{
    const auto found = m_options.regions.find(dataCentre);
    return found == m_options.regions.end() ? std::string_view() : std::string_view(found->second);
}

bool TargetBalancer::isHome(const std::optional<std::vector<std::string>> &homes, const std::string &dataCentre) const
{
    if (!homes) {
        return true;
    }
    const auto found = m_options.regions.find(dataCentre);
    return found != m_options.regions.end() && std::find(homes->begin(), homes->end(), found->second) != homes->end();
}

bool TargetBalancer::isOfAllowedVersion(const KnownTarget &target, const Query &query)
{
    if (query.withheld && query.withheld->contains(target.entry.id)) {
        return false;
    }
    return query.versions.kind == VersionFilter::Kind::Any || query.versions.allows(target.entry.id, target.entry.softwareVersion);
}

std::optional<double>
TargetBalancer::costOf(const KnownTarget &target, const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now) const
{
    const auto &id = target.entry.id;
    if (!targets.isUsable(target, now) || query.excluded.contains(id) || !isHome(query.homeRegions, target.entry.dataCentre)
        || (!query.dataCentre.empty() && target.entry.dataCentre != query.dataCentre)) {
        return std::nullopt;
    }
    if (!query.isMigration && service.coldPerSecond > 0 && !mayStart(target, query, service, now)) {
        return std::nullopt;
    }
    const auto load = loadOf(id);
    if (query.maxMemoryShare && service.engine
        && static_cast<double>(load.memory + query.demand.promptTokens + query.demand.expectedTokens)
            > *query.maxMemoryShare * static_cast<double>(service.engine->memoryTokens)) {
        return std::nullopt;
    }
    double cost = service.engine ? engineCost(load, *service.engine, query.demand) : serviceCost(load, target.entry.slots);
    if (query.isMigration) {
        const double costJitter = rendezvousScore(query.source, id);
        cost += DestinationOrderCost * costJitter;
        const bool isContended = std::any_of(query.otherSources.begin(), query.otherSources.end(), [&](const std::string &other) {
            return other != query.source && rendezvousScore(other, id) < costJitter;
        });
        cost += isContended ? ContendedDestinationCost : 0;
    }
    cost += distanceCost(target.entry.dataCentre, query.liveRelays) + FailingTargetCost * failureShare(id, now);
    if (isUnreachable(id, now)) {
        if (query.isMigration) {
            return std::nullopt;
        }
        cost += UnreachableTargetCost;
    }
    return cost;
}

bool TargetBalancer::mayStart(const KnownTarget &target, const Query &query, const RelayService &service, MonotonicTime now) const
{
    const auto &id = target.entry.id;
    const auto health = m_health.find(id);
    // An unreachable target may have been restarted.
    const bool mayBeCold = now < target.coldUntil || (health != m_health.end() && health->second.unreachableStreak > 0);
    // Relays that are silent may still be sending requests.
    const int relays = std::max(query.liveRelays, static_cast<int>(query.coldRateParticipants.others.size()) + 1);
    const int share = mayBeCold ? ColdTargetRateLimiter::coldShare(service.coldPerSecond, query.coldRateParticipants, id)
                                : ColdTargetRateLimiter::share(service.coldPerSecond, relays);
    return m_coldRateLimiter.isWithinShare(id, share, now);
}

TargetBalancer::Choice
TargetBalancer::choose(const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now, uint64_t random) const
{
    SplitMix draws(random);
    Choice best;
    double bestCost = 0;
    const auto &all = targets.ofService(service.name);
    // The best target of a sample is nearly as good as the best of all, and the cost of a sample does not grow with the fleet.
    const size_t sample = std::min(all.size(), MaxCandidates);
    const size_t first = all.size() > sample ? draws.next() % all.size() : 0;
    size_t examined = 0;
    for (size_t index = 0; index < all.size() && (examined < sample || !best.target); ++index) {
        const auto &target = *all[(first + index) % all.size()];
        // Targets of other versions do not count, because those of a version on trial are few among many.
        if (!isOfAllowedVersion(target, query)) {
            continue;
        }
        ++examined;
        ++best.candidates;
        // Targets that this request has already tried are included: the caller needs to know when the first target accepts work again.
        const auto cooldownUntil = targets.isUsable(target, now) ? m_cooldowns.until(target.entry.id, now) : std::nullopt;
        if (cooldownUntil) {
            best.cooldownUntil = std::min(best.cooldownUntil.value_or(*cooldownUntil), *cooldownUntil);
            continue;
        }
        const auto known = costOf(target, query, targets, service, now);
        if (!known) {
            continue;
        }
        if (target.entry.id != query.reservedTarget && !m_requestLimits.maySend(target.entry.id, now)) {
            best.isHeldBack = true;
            const auto next = m_requestLimits.nextSendTime(target.entry.id, now);
            if (next && (!best.nextLimited || *next < best.nextLimitedAt)) {
                best.nextLimited = &target;
                best.nextLimitedAt = *next;
            }
            continue;
        }
        const double cost = *known + m_options.costJitter * draws.unit();
        if (!best.target || cost < bestCost) {
            best.target = &target;
            bestCost = cost;
        }
    }
    return best;
}

void TargetBalancer::expire(MonotonicTime now)
{
    m_coldRateLimiter.expire(now);
    m_cooldowns.expire(now);
    constexpr std::chrono::seconds HealthLifetime {30};
    absl::erase_if(m_health, [&](const auto &entry) { return now - entry.second.updated > HealthLifetime; });
}

} // namespace Jujube
