#include <LibRelay/TargetTable.h>

namespace Jujube
{

TargetTable::TargetTable(Options options)
    : m_options(options)
{
}

bool TargetTable::markLeaving(KnownTarget &target, MonotonicTime now)
{
    target.lapsedUntil.reset();
    if (target.leavingSince) {
        return false;
    }
    target.leavingSince = now;
    return true;
}

bool TargetTable::set(const TargetEntry &entry, MonotonicTime now)
{
    auto &target = m_targets[entry.id];
    const bool isNew = target.entry.id.empty() || entry.incarnation > target.entry.incarnation;
    if (!isNew && entry.incarnation < target.entry.incarnation) {
        return false;
    }
    if (isNew) {
        target = {};
    }
    // A target that left does not come back in the same lifetime, but one whose entry only lapsed does.
    const bool staysLeaving = target.leavingSince && target.entry.leaving;
    target.entry = entry;
    target.entry.leaving = entry.leaving || staysLeaving;
    target.lapsedUntil.reset();
    if (entry.coldLeft.count() > 0) {
        target.coldUntil = now + entry.coldLeft;
    }
    if (target.entry.leaving) {
        return markLeaving(target, now);
    }
    target.leavingSince.reset();
    return false;
}

bool TargetTable::remove(const std::string &id, bool afterOutage, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    auto &target = found->second;
    if (!afterOutage || target.leavingSince) {
        return markLeaving(target, now);
    }
    if (!target.lapsedUntil) {
        target.lapsedUntil = now + m_options.lapseGrace;
    }
    return false;
}

void TargetTable::replaceAll(const std::vector<TargetEntry> &entries, bool afterOutage, MonotonicTime now)
{
    absl::flat_hash_set<std::string> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        set(entry, now);
    }
    for (const auto &[id, target] : m_targets) {
        if (!listed.contains(id)) {
            remove(id, afterOutage, now);
        }
    }
}

bool TargetTable::noteLeaving(const std::string &id, int64_t incarnation, MonotonicTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.entry.incarnation != incarnation) {
        return false;
    }
    found->second.entry.leaving = true;
    return markLeaving(found->second, now);
}

std::vector<std::string> TargetTable::tick(MonotonicTime now)
{
    std::vector<std::string> leaving;
    for (auto &[id, target] : m_targets) {
        if (target.lapsedUntil && now >= *target.lapsedUntil && markLeaving(target, now)) {
            leaving.push_back(id);
        }
    }
    absl::erase_if(m_targets, [&](const auto &item) { return item.second.leavingSince && now - *item.second.leavingSince > m_options.memory; });
    return leaving;
}

void TargetTable::setDataCentresOut(absl::flat_hash_set<std::string> names)
{
    m_out = std::move(names);
}

bool TargetTable::isOut(const std::string &dataCentre) const
{
    return m_out.contains(dataCentre);
}

const KnownTarget *TargetTable::find(std::string_view id) const
{
    const auto found = m_targets.find(std::string(id));
    return found == m_targets.end() ? nullptr : &found->second;
}

bool TargetTable::isUsable(const KnownTarget &target, MonotonicTime) const
{
    return !target.leavingSince && !isOut(target.entry.dataCentre);
}

} // namespace Jujube
