#pragma once

#include <LibControl/LeaseDuty.h>
#include <LibControl/PermitLedger.h>
#include <LibControl/ReportDuty.h>
#include <LibPlatform/VmListClient.h>

namespace Jujube
{

// Revises the permit rows of cold targets, while this process holds the lease. step() runs on one thread.
class PermitDuty
{
public:
    struct Options {
        PermitLedger::Options ledger;
        HolderCensus::Options census;
    };

    PermitDuty(Options options, LeaseDuty &lease, ReportDuty &reports, TableClient table, VmListClient vmList, ControlContext context);

    void step(const std::vector<WantedTarget> &wanted);

private:
    void readVms();
    // The permit rows by target, or nothing if the table service did not answer. Damaged rows are left out.
    std::optional<std::map<std::string, std::pair<int64_t, PermitRow>>> readRows();
    void revise(const WantedTarget &target, int64_t revision, const PermitRow &row);
    void recordGrants(const std::string &target, const PermitRow &before, const PermitRow &after) const;

    LeaseDuty &m_lease;
    ReportDuty &m_reports;
    const TableClient m_table;
    const VmListClient m_vmList;
    const ControlContext m_context;
    PermitLedger m_ledger;
    HolderCensus m_census;
    uint64_t m_fencing = 0;
};

} // namespace Jujube
