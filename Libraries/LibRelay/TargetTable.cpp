#include <LibRelay/TargetTable.h>

#include <LibCore/AbslView.h>
#include <xxhash.h>

namespace Jujube
{

TargetTable::TargetTable(Options options)
    : m_options(options)
{
}

void TargetTable::recordChange(KnownTarget &target, MonotonicTime now, Source source)
{
    if (source == Source::Direct) {
        target.changedAt = now;
    }
}

bool TargetTable::markLeaving(KnownTarget &target, MonotonicTime now, Source source)
{
    m_digest.reset();
    target.reregistrationDeadline.reset();
    target.entry.leaving = true;
    if (target.leavingSince) {
        return false;
    }
    target.leavingSince = now;
    recordChange(target, now, source);
    return true;
}

bool TargetTable::markReportedLeaving(KnownTarget &target, MonotonicTime now, Source source)
{
    if (!target.entry.reportedLeaving) {
        target.entry.reportedLeaving = true;
        // Peers are notified also if the list has already marked the target as leaving.
        recordChange(target, now, source);
    }
    return markLeaving(target, now, source);
}

bool TargetTable::set(const TargetEntry &entry, MonotonicTime now, Source source)
{
    m_digest.reset();
    const auto [found, wasAdded] = m_targets.try_emplace(entry.id);
    auto &target = found->second;
    if (wasAdded || target.entry.service != entry.service) {
        m_byService.reset();
    }
    const bool isNew = target.entry.id.empty() || entry.incarnation > target.entry.incarnation;
    const bool isSameLifetime = !isNew && entry.incarnation == target.entry.incarnation;
    if (isSameLifetime && entry.reportedLeaving && !target.entry.reportedLeaving) {
        return markReportedLeaving(target, now, source);
    }
    if (!isNew && (!isSameLifetime || entry.version < target.entry.version)) {
        return false;
    }
    const bool reportedLeaving = isSameLifetime && target.entry.reportedLeaving;
    const int64_t sequence = std::max(entry.sequence, isSameLifetime ? target.entry.sequence : 0);
    if (isNew || (entry.address != target.entry.address && !reportedLeaving)) {
        target = {};
        recordChange(target, now, source);
    }
    target.entry = entry;
    target.entry.sequence = sequence;
    target.entry.reportedLeaving = entry.reportedLeaving || reportedLeaving;
    if (target.reregistrationDeadline) {
        target.reregistrationDeadline.reset();
        recordChange(target, now, source);
    }
    if (entry.coldLeft.count() > 0) {
        if (now >= target.coldUntil) {
            recordChange(target, now, source);
        }
        target.coldUntil = now + entry.coldLeft;
    }
    if (target.entry.leaving || target.entry.reportedLeaving) {
        return markLeaving(target, now, source);
    }
    if (target.leavingSince) {
        // The entry had expired and has been registered again.
        target.leavingSince.reset();
        recordChange(target, now, source);
    }
    return false;
}

bool TargetTable::isFromBeforeLeaving(const TargetEntry &entry) const
{
    const auto *known = find(entry.id);
    return known && known->leavingSince && entry.incarnation <= known->entry.incarnation && entry.sequence <= known->entry.sequence;
}

void TargetTable::forgetVersions()
{
    for (auto &[id, target] : m_targets) {
        target.entry.version = 0;
    }
}

bool TargetTable::remove(const std::string &id, bool afterOutage, int64_t version, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    auto &target = found->second;
    if (version < target.entry.version) {
        return false;
    }
    target.entry.version = version;
    if (!afterOutage || target.leavingSince) {
        return markLeaving(target, now);
    }
    if (!target.reregistrationDeadline) {
        m_digest.reset();
        target.reregistrationDeadline = now + m_options.reregistrationGrace;
    }
    return false;
}

bool TargetTable::recordLeaving(const std::string &id, int64_t incarnation, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.entry.incarnation != incarnation) {
        return false;
    }
    return markReportedLeaving(found->second, now, Source::Direct);
}

std::vector<TargetEntry> TargetTable::recentChanges(std::chrono::milliseconds within, MonotonicTime now) const
{
    std::vector<TargetEntry> changes;
    for (const auto &[id, target] : m_targets) {
        if (now - target.changedAt < within) {
            changes.push_back(target.entry);
        }
    }
    return changes;
}

std::vector<TargetEntry> TargetTable::allEntries() const
{
    std::vector<TargetEntry> entries;
    for (const auto &[id, target] : m_targets) {
        entries.push_back(target.entry);
    }
    return entries;
}

uint64_t TargetTable::digest() const
{
    if (!m_digest) {
        m_digest = computeDigest();
    }
    return *m_digest;
}

uint64_t TargetTable::computeDigest() const
{
    uint64_t digest = 0;
    for (const auto &[id, target] : m_targets) {
        if (!target.leavingSince && !target.reregistrationDeadline) {
            const auto text = id + ' ' + std::to_string(target.entry.incarnation) + ' ' + target.entry.address;
            digest ^= XXH3_64bits(text.data(), text.size());
        }
    }
    return digest;
}

std::vector<std::string> TargetTable::tick(MonotonicTime now)
{
    std::vector<std::string> leaving;
    for (auto &[id, target] : m_targets) {
        if (target.reregistrationDeadline && now >= *target.reregistrationDeadline && markLeaving(target, now)) {
            leaving.push_back(id);
        }
    }
    const auto isRetentionOver = [&](const KnownTarget &target) {
        return target.leavingSince && now - *target.leavingSince > (target.entry.reportedLeaving ? m_options.reportedLeavingRetention : m_options.retention);
    };
    if (absl::erase_if(m_targets, [&](const auto &item) { return isRetentionOver(item.second); }) > 0) {
        m_byService.reset();
    }
    return leaving;
}

bool TargetTable::setDataCentreOut(const std::string &name, bool isOutOfService, MonotonicTime now)
{
    if (isOutOfService) {
        return m_dataCentresOut.insert(name).second;
    }
    if (m_dataCentresOut.erase(name) == 0) {
        return false;
    }
    for (auto &[id, target] : m_targets) {
        if (target.entry.dataCentre == name) {
            target.coldUntil = std::max(target.coldUntil, now + m_options.coldAfterReturn);
        }
    }
    return true;
}

std::vector<std::string> TargetTable::recentlyLeaving(const std::string &service, MonotonicTime now) const
{
    std::vector<std::string> result;
    for (const auto &[id, target] : m_targets) {
        if (target.leavingSince && now - *target.leavingSince < m_options.leavingNotice && target.entry.service == service) {
            result.push_back(id);
        }
    }
    return result;
}

bool TargetTable::isOutOfService(const std::string &dataCentre) const
{
    return m_dataCentresOut.contains(dataCentre);
}

const KnownTarget *TargetTable::find(std::string_view id) const
{
    const auto found = m_targets.find(toAbsl(id));
    return found == m_targets.end() ? nullptr : &found->second;
}

const std::vector<const KnownTarget *> &TargetTable::ofService(const std::string &service) const
{
    static const std::vector<const KnownTarget *> none;
    if (!m_byService) {
        m_byService.emplace();
        for (const auto &[id, target] : m_targets) {
            (*m_byService)[target.entry.service].push_back(&target);
        }
    }
    const auto found = m_byService->find(service);
    return found == m_byService->end() ? none : found->second;
}

bool TargetTable::isLeaving(std::string_view id) const
{
    const auto *known = find(id);
    return known && known->leavingSince;
}

bool TargetTable::isUsable(const KnownTarget &target, MonotonicTime) const
{
    return !target.leavingSince && !isOutOfService(target.entry.dataCentre);
}

} // namespace Jujube
