#include <LibRelay/TargetBalancer.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <LibPolicy/SplitMix.h>

namespace Jujube
{

namespace
{

// Targets that a placement looks at in a large fleet.
constexpr size_t MostCandidates = 64;
// Weight of one result in the failure share of a target.
constexpr double FailureWeight = 0.25;
// Time in which a failure share without new results halves.
constexpr double FailureHalfLifeSeconds = 3;
// Cost of a target all of whose recent requests failed, in milliseconds.
constexpr double FailureCost = 1500;
// Cost of a target that could not be connected to; it is chosen if there is no other one.
constexpr double UnreachableCost = 5000;
// Doublings of the time for which such a target is avoided.
constexpr int MostDoublings = 4;
// Mean time of a call to a plain service, in milliseconds; the cost of waiting for one slot.
constexpr double ServiceCallMs = 60;
// Cost of one running call on a plain service that has free slots.
constexpr double BusySlotCost = 6;
// Weight of the fixed order in which a leaving target's generations choose their destinations, in milliseconds.
constexpr double MoveSpreadCost = 120;
// Cost of a destination that serves another leaving target first, in milliseconds.
constexpr double OtherSourceCost = 200;
// Tokens by which a run that has outgrown its expected length is expected to grow further.
constexpr int64_t FurtherTokens = 200;

// A number between 0 and 1 that all gateways agree on for a pair of targets (rendezvous hashing, Thaler and Ravishankar, 1998).
double spreadOf(const std::string &source, const std::string &destination)
{
    const auto text = source + ' ' + destination;
    return static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11) * 0x1.0p-53;
}

} // namespace

TargetBalancer::TargetBalancer(Options options)
    : m_options(std::move(options))
    , m_quiet(m_options.quiet)
{
}

TargetLoad TargetBalancer::loadOf(const Run &run)
{
    TargetLoad load {.target = run.target, .running = 1};
    if (run.demand.promptTokens > 0) {
        const auto output = std::max(run.demand.expectedTokens, run.produced + (run.produced >= run.demand.expectedTokens ? FurtherTokens : 0));
        load.memory = run.demand.promptTokens + output;
        load.prefill = run.produced == 0 ? run.demand.promptTokens : 0;
        load.movable = run.demand.isMovable && !run.hasBackup ? run.demand.promptTokens + run.produced : 0;
    }
    return load;
}

void TargetBalancer::applyOwn(const Run &run, int sign)
{
    change(m_own, loadOf(run), sign);
}

void TargetBalancer::change(Loads &loads, const TargetLoad &load, int sign)
{
    auto &sum = loads[load.target];
    sum.target = load.target;
    sum.add(load, sign);
    if (sum.isEmpty()) {
        loads.erase(load.target);
    }
}

void TargetBalancer::started(const std::string &request, const std::string &target, const RunDemand &demand, MonotonicTime now)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end()) {
        applyOwn(found->second, -1);
        m_runs.erase(found);
    }
    const Run run {.target = target, .demand = demand};
    applyOwn(run, 1);
    m_runs.emplace(request, run);
    m_coldRate.noteTaken(target, now);
}

void TargetBalancer::produced(const std::string &request, int64_t tokens)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    applyOwn(found->second, -1);
    found->second.produced += tokens;
    applyOwn(found->second, 1);
}

void TargetBalancer::ended(const std::string &request, RunEnd end, MonotonicTime now)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end()) {
        return;
    }
    applyOwn(found->second, -1);
    if (end != RunEnd::Cancelled) {
        noteHealth(found->second.target, end == RunEnd::Failed, now);
    }
    m_runs.erase(found);
}

void TargetBalancer::unreachable(const std::string &target, MonotonicTime now)
{
    noteHealth(target, true, now);
    if (isUnreachable(target, now)) {
        return;
    }
    auto &health = m_health[target];
    const auto time = m_options.unreachableTime * (1 << std::min(health.unreachableStreak, MostDoublings));
    health.unreachableUntil = now + std::min(time, m_options.longestUnreachableTime);
    ++health.unreachableStreak;
}

void TargetBalancer::reachable(const std::string &target)
{
    const auto found = m_health.find(target);
    if (found != m_health.end()) {
        found->second.unreachableStreak = 0;
        found->second.unreachableUntil = {};
    }
}

void TargetBalancer::failed(const std::string &target, MonotonicTime now)
{
    noteHealth(target, true, now);
}

bool TargetBalancer::isUnreachable(const std::string &target, MonotonicTime now) const
{
    const auto found = m_health.find(target);
    return found != m_health.end() && now < found->second.unreachableUntil;
}

void TargetBalancer::noteHealth(const std::string &target, bool failed, MonotonicTime now)
{
    const double before = failureShare(target, now);
    auto &health = m_health[target];
    health.failures = before + FailureWeight * ((failed ? 1.0 : 0.0) - before);
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
    change(m_own, copy, 1);
    m_copies[request] = copy;
}

void TargetBalancer::dropCopy(const std::string &request)
{
    const auto found = m_copies.find(request);
    if (found == m_copies.end()) {
        return;
    }
    change(m_own, found->second, -1);
    m_copies.erase(found);
}

void TargetBalancer::setBackup(const std::string &request, const std::string &target, int64_t tokens)
{
    setCopy(request, target, tokens);
    noteBackup(request, true);
}

void TargetBalancer::dropBackup(const std::string &request)
{
    dropCopy(request);
    noteBackup(request, false);
}

void TargetBalancer::noteBackup(const std::string &request, bool hasBackup)
{
    const auto found = m_runs.find(request);
    if (found != m_runs.end()) {
        applyOwn(found->second, -1);
        found->second.hasBackup = hasBackup;
        applyOwn(found->second, 1);
    }
}

void TargetBalancer::setPeerLoads(const std::string &peer, std::vector<TargetLoad> loads)
{
    dropPeer(peer);
    for (const auto &load : loads) {
        change(m_peerSums, load, 1);
    }
    m_peers[peer] = std::move(loads);
}

void TargetBalancer::dropPeer(const std::string &peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &load : found->second) {
        change(m_peerSums, load, -1);
    }
    m_peers.erase(found);
}

std::vector<TargetLoad> TargetBalancer::ownLoads() const
{
    std::vector<TargetLoad> loads;
    loads.reserve(m_own.size());
    for (const auto &[target, load] : m_own) {
        loads.push_back(load);
    }
    return loads;
}

TargetLoad TargetBalancer::ownLoad(const std::string &target) const
{
    const auto found = m_own.find(target);
    return found == m_own.end() ? TargetLoad {.target = target} : found->second;
}

std::vector<TargetLoad> TargetBalancer::peerLoads(const std::string &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::vector<TargetLoad>() : found->second;
}

TargetLoad TargetBalancer::peerLoad(const std::string &peer, const std::string &target) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return {.target = target};
    }
    const auto load = std::find_if(found->second.begin(), found->second.end(), [&](const TargetLoad &entry) { return entry.target == target; });
    return load == found->second.end() ? TargetLoad {.target = target} : *load;
}

int64_t TargetBalancer::producedBy(const std::string &request) const
{
    const auto found = m_runs.find(request);
    return found == m_runs.end() ? 0 : found->second.produced;
}

TargetLoad TargetBalancer::loadOf(const std::string &target) const
{
    TargetLoad load;
    if (const auto own = m_own.find(target); own != m_own.end()) {
        load.add(own->second);
    }
    if (const auto peers = m_peerSums.find(target); peers != m_peerSums.end()) {
        load.add(peers->second);
    }
    return load;
}

double TargetBalancer::engineCost(const TargetLoad &load, const EngineProfile &engine, const RunDemand &demand) const
{
    double cost = static_cast<double>(load.prefill) / m_options.prefillTokensPerMs + m_options.costPerRun * load.running;
    const double memory = static_cast<double>(load.memory + demand.promptTokens + demand.expectedTokens);
    const double share = engine.memoryTokens > 0 ? memory / static_cast<double>(engine.memoryTokens) : 0;
    if (share > m_options.memoryKnee) {
        cost += m_options.memoryCost * (share - m_options.memoryKnee);
    }
    if (demand.isMovable && engine.linkMbps > 0) {
        const double send = engine.secondsToSend(load.movable + demand.promptTokens);
        cost += m_options.sendCostPerSecond * std::max(0.0, send - std::chrono::duration<double>(m_options.timeToSend).count());
    }
    return cost;
}

double TargetBalancer::serviceCost(const TargetLoad &load, int slots) const
{
    const int waiting = std::max(0, load.running + 1 - slots);
    return BusySlotCost * load.running + ServiceCallMs * waiting;
}

double TargetBalancer::distanceCost(const std::string &dataCentre, int liveGateways) const
{
    const auto found = m_options.regions.find(dataCentre);
    if (found == m_options.regions.end() || found->second != m_options.region) {
        return m_options.otherRegionCost + (liveGateways > m_options.relaysWithPromptLoads ? m_options.delayedLoadCost : 0);
    }
    return 0;
}

bool TargetBalancer::isHome(const std::optional<std::vector<std::string>> &homes, const std::string &dataCentre) const
{
    if (!homes) {
        return true;
    }
    const auto found = m_options.regions.find(dataCentre);
    return found != m_options.regions.end() && std::find(homes->begin(), homes->end(), found->second) != homes->end();
}

std::optional<double>
TargetBalancer::costOf(const KnownTarget &target, const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now) const
{
    const auto &id = target.entry.id;
    if (!targets.isUsable(target, now) || query.excluded.contains(id) || !isHome(query.homeRegions, target.entry.dataCentre)
        || (!query.dataCentre.empty() && target.entry.dataCentre != query.dataCentre)) {
        return std::nullopt;
    }
    if (!query.isMove && service.coldPerSecond > 0 && !mayStart(target, query, service, now)) {
        return std::nullopt;
    }
    const auto load = loadOf(id);
    if (query.mostMemory && service.engine
        && static_cast<double>(load.memory + query.demand.promptTokens + query.demand.expectedTokens)
            > *query.mostMemory * static_cast<double>(service.engine->memoryTokens)) {
        return std::nullopt;
    }
    double cost = service.engine ? engineCost(load, *service.engine, query.demand) : serviceCost(load, target.entry.slots);
    if (query.isMove) {
        const double spread = spreadOf(query.source, id);
        cost += MoveSpreadCost * spread;
        const bool servesOther = std::any_of(query.otherSources.begin(), query.otherSources.end(), [&](const std::string &other) {
            return other != query.source && spreadOf(other, id) < spread;
        });
        cost += servesOther ? OtherSourceCost : 0;
    }
    cost += distanceCost(target.entry.dataCentre, query.liveGateways) + FailureCost * failureShare(id, now);
    if (isUnreachable(id, now)) {
        if (query.isMove) {
            return std::nullopt;
        }
        cost += UnreachableCost;
    }
    return cost;
}

bool TargetBalancer::mayStart(const KnownTarget &target, const Query &query, const RelayService &service, MonotonicTime now) const
{
    const auto &id = target.entry.id;
    const auto health = m_health.find(id);
    // A target that could not be reached may have started again.
    const bool mayBeCold = now < target.coldUntil || (health != m_health.end() && health->second.unreachableStreak > 0);
    const int share
        = mayBeCold ? ColdRate::coldShare(service.coldPerSecond, query.coldSharers, id) : ColdRate::share(service.coldPerSecond, query.liveGateways);
    return m_coldRate.mayTake(id, share, now);
}

TargetBalancer::Choice
TargetBalancer::choose(const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now, uint64_t random) const
{
    SplitMix draws(random);
    Choice best;
    double bestCost = 0;
    const auto &all = targets.ofService(service.name);
    // The best of a sample is nearly as good as the best of all, and its cost does not grow with the fleet.
    const size_t sample = std::min(all.size(), MostCandidates);
    const size_t first = all.size() > sample ? draws.next() % all.size() : 0;
    for (size_t index = 0; index < all.size() && (index < sample || !best.target); ++index) {
        const auto &target = *all[(first + index) % all.size()];
        ++best.candidates;
        // A target that this request has tried counts as well: the time at which it takes work again is what the caller needs to know.
        const auto quietUntil = targets.isUsable(target, now) ? m_quiet.until(target.entry.id, now) : std::nullopt;
        if (quietUntil) {
            best.quietUntil = std::min(best.quietUntil.value_or(*quietUntil), *quietUntil);
            continue;
        }
        const auto known = costOf(target, query, targets, service, now);
        if (!known) {
            continue;
        }
        const double cost = *known + m_options.spread * draws.unit();
        if (!best.target || cost < bestCost) {
            best.target = &target;
            bestCost = cost;
        }
    }
    return best;
}

void TargetBalancer::expire(MonotonicTime now)
{
    m_coldRate.expire(now);
    m_quiet.expire(now);
    constexpr std::chrono::seconds HealthLifetime {30};
    absl::erase_if(m_health, [&](const auto &entry) { return now - entry.second.updated > HealthLifetime; });
}

} // namespace Jujube
