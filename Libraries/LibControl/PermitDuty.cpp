#include <LibControl/PermitDuty.h>

namespace Jujube
{

namespace
{

constexpr std::string_view KeyPrefix = "permits/";

} // namespace

PermitDuty::PermitDuty(Options options, LeaseDuty &lease, ReportDuty &reports, TableClient table, VmListClient vmList, ControlContext context)
    : m_lease(lease)
    , m_reports(reports)
    , m_table(std::move(table))
    , m_vmList(std::move(vmList))
    , m_context(std::move(context))
    , m_ledger(options.ledger)
    , m_census(options.census)
{
}

void PermitDuty::step(const std::vector<WantedTarget> &wanted)
{
    const auto term = m_lease.term();
    if (!term) {
        return;
    }
    if (term->fencing != m_fencing) {
        m_fencing = term->fencing;
        m_ledger.clear();
    }
    readVms();
    const auto rows = readRows();
    if (!rows) {
        return;
    }
    std::set<std::string> urgent;
    for (const auto &[target, row] : *rows) {
        if (!row.second.slots.empty()) {
            urgent.insert(target);
        }
        for (const auto &slot : row.second.slots) {
            m_census.onIncarnation(slot.holder);
        }
    }
    m_reports.setUrgent(std::move(urgent));
    for (const auto &target : wanted) {
        if (const auto row = rows->find(target.target); row != rows->end()) {
            revise(target, row->second.first, row->second.second);
        }
    }
}

void PermitDuty::readVms()
{
    if (!m_context.gate->admit(PlatformUse::VmList, m_context.now())) {
        return;
    }
    const auto list = m_vmList.read();
    m_context.reportToGate(list.end != ReadEnd::Failed);
    if (list.end == ReadEnd::Found) {
        m_census.onVmList(list.vms, m_context.now());
    }
}

std::optional<std::map<std::string, std::pair<int64_t, PermitRow>>> PermitDuty::readRows()
{
    if (!m_context.gate->admit(PlatformUse::PermitScan, m_context.now())) {
        return std::nullopt;
    }
    const auto list = m_table.list(KeyPrefix);
    m_context.reportToGate(list.end != ReadEnd::Failed);
    if (list.end == ReadEnd::Failed) {
        return std::nullopt;
    }
    std::map<std::string, std::pair<int64_t, PermitRow>> rows;
    for (const auto &item : list.rows) {
        auto row = PermitRow::fromText(item.value);
        if (row.ok() && item.key.starts_with(KeyPrefix)) {
            rows.emplace(item.key.substr(KeyPrefix.size()), std::pair(item.revision, *std::move(row)));
        }
    }
    return rows;
}

void PermitDuty::revise(const WantedTarget &target, int64_t revision, const PermitRow &row)
{
    const auto report = m_reports.find(target.target);
    if (!report) {
        return;
    }
    const auto next = m_ledger.revise(row, *report, target.coldLimit, m_census, m_context.now());
    if (!next || !m_context.gate->admit(PlatformUse::PermitGrant, m_context.now())) {
        return;
    }
    // The process may have been frozen since the rows were read, so the lease is checked before each write.
    const auto term = m_lease.term();
    if (!term || term->fencing != m_fencing) {
        return;
    }
    // A lost answer or a conflict needs no care: the next step reads the row again.
    const auto result = m_table.putIfRevision(permitKey(target.target), next->toText(), revision);
    m_context.reportToGate(result.end == WriteEnd::Done || result.end == WriteEnd::Conflict);
    if (result.end == WriteEnd::Done) {
        recordGrants(target.target, row, *next);
    }
}

void PermitDuty::recordGrants(const std::string &target, const PermitRow &before, const PermitRow &after) const
{
    for (const auto &slot : after.slots) {
        const auto *old = before.find(slot.id);
        if (slot.state == SlotState::Granted && (!old || old->state != SlotState::Granted)) {
            m_context.record(EventKind::PermitGranted, target, slot.id + " to " + slot.holder.name);
        }
    }
    for (const auto &slot : before.slots) {
        if (slot.state != SlotState::Asked && !after.find(slot.id)) {
            m_context.record(EventKind::PermitReturned, target, slot.id + " of " + slot.holder.name + ", which is gone");
        }
    }
}

} // namespace Jujube
