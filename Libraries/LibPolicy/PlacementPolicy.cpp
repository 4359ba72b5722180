#include <LibPolicy/PlacementPolicy.h>

#include <LibCore/AbslView.h>

#include <algorithm>

namespace Jujube
{

PlacementPolicy::PlacementPolicy(const PlacementOptions &options)
    : m_options(options)
    , m_fleet(options.slowStart)
{
}

FleetView &PlacementPolicy::fleet()
{
    return m_fleet;
}

const FleetView &PlacementPolicy::fleet() const
{
    return m_fleet;
}

PlacementDecision PlacementPolicy::place(const PlacementRequest &request, MonotonicTime now, uint64_t random)
{
    auto decision = decide(request, now, random);
    if (const auto *placed = std::get_if<PlaceOnTarget>(&decision)) {
        // A request that still has a target is being moved. It stays there until a new target is chosen.
        removeOwnGeneration(request.id, FailureReason::Moved, now);
        addOwnGeneration(request, placed->target, now);
    }
    return decision;
}

void PlacementPolicy::generationStarted(std::string_view id, MonotonicTime)
{
    if (auto *generation = findOwn(id)) {
        generation->started = true;
    }
}

void PlacementPolicy::tokensProduced(std::string_view id, int64_t count, MonotonicTime now)
{
    auto *generation = findOwn(id);
    if (generation == nullptr) {
        return;
    }
    generation->started = true;
    generation->producedTokens += count;
    m_fleet.growOwn(generation->target, count);
    onTokens(*generation, now);
}

void PlacementPolicy::generationFinished(std::string_view id, MonotonicTime now)
{
    removeOwnGeneration(id, std::nullopt, now);
}

void PlacementPolicy::generationFailed(std::string_view id, FailureReason reason, MonotonicTime now)
{
    if (const auto *generation = findOwn(id); generation != nullptr && reason == FailureReason::TargetLost) {
        m_fleet.suspect(generation->target, now, now + m_options.suspectTime);
    }
    removeOwnGeneration(id, reason, now);
}

void PlacementPolicy::abandoned(std::string_view, MonotonicTime)
{
}

void PlacementPolicy::loadReported(std::string_view target, const LoadReport &report, MonotonicTime::duration age, MonotonicTime now)
{
    const auto known = m_fleet.find(target);
    if (!known) {
        return;
    }
    const auto before = m_fleet.target(*known);
    const auto index = m_fleet.reportLoad(target, report, age, now);
    if (!index) {
        return;
    }
    const auto takenAt = now - age;
    const auto placedLater = std::ranges::count_if(ownOn(*index), [&](const OwnGeneration *own) { return own->placedAt > takenAt; });
    m_fleet.setOwnSinceReport(*index, static_cast<int>(placedLater));
    onLoadReported(*index, before, now);
}

void PlacementPolicy::prefixStored(std::string_view, uint64_t)
{
}

void PlacementPolicy::prefixEvicted(std::string_view, uint64_t)
{
}

void PlacementPolicy::setLiveGateways(int)
{
}

std::vector<std::string> PlacementPolicy::takeReady(MonotonicTime)
{
    return {};
}

std::vector<MoveAdvice> PlacementPolicy::adviseMoves(MonotonicTime, uint64_t)
{
    return {};
}

size_t PlacementPolicy::waitingCount() const
{
    return 0;
}

size_t PlacementPolicy::ownCount() const
{
    return m_own.size();
}

const OwnGeneration *PlacementPolicy::own(std::string_view id) const
{
    const auto known = m_own.find(toAbsl(id));
    return known == m_own.end() ? nullptr : known->second.get();
}

const PlacementOptions &PlacementPolicy::options() const
{
    return m_options;
}

std::span<OwnGeneration *const> PlacementPolicy::ownOn(TargetIndex index) const
{
    if (index >= m_ownByTarget.size()) {
        return {};
    }
    return m_ownByTarget[index];
}

void PlacementPolicy::onPlaced(const OwnGeneration &, MonotonicTime)
{
}

void PlacementPolicy::onTokens(const OwnGeneration &, MonotonicTime)
{
}

void PlacementPolicy::onEnded(const OwnGeneration &, std::optional<FailureReason>, MonotonicTime)
{
}

void PlacementPolicy::onLoadReported(TargetIndex, const TargetView &, MonotonicTime)
{
}

void PlacementPolicy::addOwnGeneration(const PlacementRequest &request, std::string_view target, MonotonicTime now)
{
    const auto index = *m_fleet.find(target);
    if (m_ownByTarget.size() <= index) {
        m_ownByTarget.resize(m_fleet.slotCount());
    }
    auto generation = std::make_unique<OwnGeneration>(OwnGeneration {
        .id = request.id,
        .workspace = request.workspace,
        .model = request.model,
        .workClass = workClassOf(request.tier, request.kind),
        .target = index,
        .position = m_ownByTarget[index].size(),
        .promptTokens = request.promptTokens,
        .producedTokens = request.producedTokens,
        .maxTokens = request.maxTokens,
        .placedAt = now,
        .started = false,
        .isolated = request.isolated,
    });
    m_ownByTarget[index].push_back(generation.get());
    m_fleet.addOwn(index, generation->memory());
    onPlaced(*generation, now);
    m_own[request.id] = std::move(generation);
}

void PlacementPolicy::removeOwnGeneration(std::string_view id, std::optional<FailureReason> reason, MonotonicTime now)
{
    const auto known = m_own.find(toAbsl(id));
    if (known == m_own.end()) {
        return;
    }
    const auto generation = std::move(known->second);
    m_own.erase(known);
    auto &list = m_ownByTarget[generation->target];
    list[generation->position] = list.back();
    list[generation->position]->position = generation->position;
    list.pop_back();
    const auto &target = m_fleet.target(generation->target);
    const bool sinceReport = target.hasReport && generation->placedAt > target.loadTakenAt;
    onEnded(*generation, reason, now);
    m_fleet.removeOwn(generation->target, generation->memory(), sinceReport);
}

OwnGeneration *PlacementPolicy::findOwn(std::string_view id)
{
    const auto known = m_own.find(toAbsl(id));
    return known == m_own.end() ? nullptr : known->second.get();
}

} // namespace Jujube
