#include <LibPolicy/FleetView.h>

#include <LibCore/AbslView.h>

#include <algorithm>

namespace Jujube
{

FleetView::FleetView(SlowStartOptions slowStart)
    : m_slowStartOptions(std::move(slowStart))
{
}

void FleetView::setTarget(const TargetDescription &description)
{
    const auto known = m_byName.find(description.name);
    TargetIndex index = 0;
    if (known != m_byName.end()) {
        index = known->second;
        removeFromIndex(index);
    } else if (!m_free.empty()) {
        index = m_free.back();
        m_free.pop_back();
        m_targets[index] = {};
    } else {
        index = static_cast<TargetIndex>(m_targets.size());
        m_targets.emplace_back();
        m_live.push_back(false);
    }
    m_live[index] = true;
    m_byName[description.name] = index;
    m_targets[index].description = description;
    m_targets[index].dataCentre = dataCentreIndex(description.dataCentre, description.region);
    addToIndex(index);
}

void FleetView::removeTarget(std::string_view name)
{
    const auto known = m_byName.find(toAbsl(name));
    if (known == m_byName.end()) {
        return;
    }
    const auto index = known->second;
    removeFromIndex(index);
    m_live[index] = false;
    // While own generations run on the target, they refer to the slot. removeOwn() then frees it.
    if (m_targets[index].ownRunning == 0) {
        m_free.push_back(index);
    }
    m_byName.erase(known);
}

void FleetView::setDataCentreOut(std::string_view name, bool out, MonotonicTime now)
{
    auto &dataCentre = m_dataCentres[dataCentreIndex(name, {})];
    if (dataCentre.out == out) {
        return;
    }
    dataCentre.out = out;
    if (!out) {
        dataCentre.slowStart.start(now);
    }
}

void FleetView::setVmState(std::string_view name, uint64_t incarnation, bool leaving)
{
    auto *target = findMutable(name);
    if (target == nullptr || incarnation < target->vmIncarnation) {
        return;
    }
    // The list may be out of date, so a target that was once leaving does not become live again under the same incarnation.
    target->leavingByVmList = leaving || (target->leavingByVmList && incarnation == target->vmIncarnation);
    target->vmIncarnation = incarnation;
}

void FleetView::setColdPermits(std::string_view name, int permits)
{
    if (auto *target = findMutable(name)) {
        target->coldPermits = permits;
    }
}

std::optional<TargetIndex> FleetView::reportLoad(std::string_view name, const LoadReport &report, MonotonicTime::duration age, MonotonicTime now)
{
    auto *target = findMutable(name);
    if (target == nullptr) {
        return std::nullopt;
    }
    const auto takenAt = now - age;
    const bool sameIncarnation = target->hasReport && report.incarnation == target->load.incarnation;
    if (target->hasReport && (report.incarnation < target->load.incarnation || (sameIncarnation && takenAt < target->loadTakenAt))) {
        return std::nullopt;
    }
    target->leavingByReport = report.leaving || (target->leavingByReport && sameIncarnation);
    if (sameIncarnation && report.preemptions > target->load.preemptions) {
        m_dataCentres[target->dataCentre].slowStart.recordFailure(now);
    }
    target->load = report;
    target->hasReport = true;
    target->loadTakenAt = takenAt;
    if (takenAt > target->suspectedAt) {
        target->suspectedUntil = {};
    }
    return m_byName.find(toAbsl(name))->second;
}

void FleetView::addOwn(TargetIndex index, int64_t memory)
{
    auto &target = m_targets[index];
    ++target.ownRunning;
    ++target.ownSinceReport;
    target.ownMemory += memory;
}

void FleetView::growOwn(TargetIndex index, int64_t tokens)
{
    m_targets[index].ownMemory += tokens;
}

void FleetView::removeOwn(TargetIndex index, int64_t memory, bool sinceReport)
{
    auto &target = m_targets[index];
    --target.ownRunning;
    target.ownMemory -= memory;
    if (sinceReport && target.ownSinceReport > 0) {
        --target.ownSinceReport;
    }
    if (target.ownRunning == 0 && !m_live[index]) {
        m_free.push_back(index);
    }
}

void FleetView::setOwnSinceReport(TargetIndex index, int count)
{
    m_targets[index].ownSinceReport = count;
}

void FleetView::suspect(TargetIndex index, MonotonicTime now, MonotonicTime until)
{
    m_targets[index].suspectedAt = now;
    m_targets[index].suspectedUntil = until;
}

void FleetView::noteCold(std::string_view name, MonotonicTime now)
{
    auto *target = findMutable(name);
    if (target == nullptr) {
        return;
    }
    target->load.cold = true;
    // Load reports that were measured earlier and show the target warm may still arrive. The later time makes them out of date.
    target->loadTakenAt = std::max(target->loadTakenAt, now);
}

bool FleetView::mayBeCold(TargetIndex index, MonotonicTime now) const
{
    const auto &target = m_targets[index];
    return !target.hasReport || target.load.cold || now - target.loadTakenAt > LoadReportLifetime;
}

bool FleetView::isUsable(TargetIndex index, MonotonicTime now) const
{
    const auto &target = m_targets[index];
    if (target.isLeaving() || m_dataCentres[target.dataCentre].out || now < target.suspectedUntil) {
        return false;
    }
    if (!mayBeCold(index, now)) {
        return true;
    }
    // All requests in the load report and all requests placed since then count against the limit. A permit shows that a slot is free. The load report also
    // shows whether excess requests from before the target became cold are still running.
    const int known = std::max(target.load.running + target.load.waiting + target.ownSinceReport, target.ownRunning);
    return target.ownRunning < target.coldPermits && known < target.description.coldLimit;
}

double FleetView::slowStartShare(TargetIndex index, MonotonicTime now) const
{
    return m_dataCentres[m_targets[index].dataCentre].slowStart.share(now);
}

std::optional<TargetIndex> FleetView::find(std::string_view name) const
{
    const auto known = m_byName.find(toAbsl(name));
    return known == m_byName.end() ? std::nullopt : std::optional(known->second);
}

const TargetView &FleetView::target(TargetIndex index) const
{
    return m_targets[index];
}

size_t FleetView::size() const
{
    return m_byName.size();
}

size_t FleetView::slotCount() const
{
    return m_targets.size();
}

bool FleetView::isLive(TargetIndex index) const
{
    return index < m_live.size() && m_live[index];
}

std::span<const ModelDataCentre> FleetView::targetsOf(std::string_view model) const
{
    const auto known = m_byModel.find(toAbsl(model));
    if (known == m_byModel.end()) {
        return {};
    }
    return known->second;
}

const DataCentreView &FleetView::dataCentre(uint32_t index) const
{
    return m_dataCentres[index];
}

uint32_t FleetView::dataCentreIndex(std::string_view name, std::string_view region)
{
    const auto known = std::ranges::find(m_dataCentres, name, &DataCentreView::name);
    if (known == m_dataCentres.end()) {
        m_dataCentres.push_back({.name = std::string(name), .region = std::string(region), .out = false, .slowStart = SlowStart(m_slowStartOptions)});
        return static_cast<uint32_t>(m_dataCentres.size() - 1);
    }
    if (!region.empty()) {
        known->region = region;
    }
    return static_cast<uint32_t>(known - m_dataCentres.begin());
}

void FleetView::addToIndex(TargetIndex index)
{
    const auto &target = m_targets[index];
    for (const auto &model : target.description.models) {
        auto &groups = m_byModel[model];
        auto group = std::ranges::find(groups, target.dataCentre, &ModelDataCentre::dataCentre);
        if (group == groups.end()) {
            groups.push_back({.dataCentre = target.dataCentre, .targets = {}});
            group = groups.end() - 1;
        }
        group->targets.push_back(index);
    }
}

void FleetView::removeFromIndex(TargetIndex index)
{
    const auto &target = m_targets[index];
    for (const auto &model : target.description.models) {
        auto &groups = m_byModel[model];
        const auto group = std::ranges::find(groups, target.dataCentre, &ModelDataCentre::dataCentre);
        if (group == groups.end()) {
            continue;
        }
        std::erase(group->targets, index);
        if (group->targets.empty()) {
            groups.erase(group);
        }
    }
}

TargetView *FleetView::findMutable(std::string_view name)
{
    const auto known = m_byName.find(toAbsl(name));
    return known == m_byName.end() ? nullptr : &m_targets[known->second];
}

} // namespace Jujube
