#pragma once

#include <LibControl/HolderCensus.h>
#include <LibControl/Order.h>
#include <LibControl/PermitRow.h>
#include <map>
#include <optional>

namespace Jujube
{

// Decides how the lease holder revises a target's permit row (section 11 of docs/design.md): frees the slots of holders that are gone, and grants slots so
// that the held slots and the streams that may run without one never exceed the cold limit.
//
// A slot is held from its grant to its return, whether or not its stream runs. A report that shows fewer running streams than held slots therefore does not
// tell how many streams run without a slot. The row's `uncovered` count keeps an upper bound: it rises when a holder is gone and when the target reports more
// than the held slots explain, and it falls to the reported number of running streams.
class PermitLedger
{
public:
    struct Options {
        // How old a report can be in truth when it arrives, plus the time in which a stream that a gone holder started reaches the target.
        std::chrono::milliseconds settleTime {3000};
        // An older report grants nothing.
        std::chrono::milliseconds maxReportAge {3000};
    };

    explicit PermitLedger(Options options);

    // Returns the row to write in place of the given one, on the condition that its revision is unchanged, or nothing if it stays as it is. Does not rely on
    // the write taking effect.
    std::optional<PermitRow> revise(const PermitRow &row, const ReportedTarget &report, int coldLimit, const HolderCensus &census, MonotonicTime now);

    // Forgets what was seen of all targets, at the beginning of a term.
    void clear();

private:
    struct TargetView {
        // The uncovered count falls, and slots are granted, only by reports from the settle time after this.
        MonotonicTime unsettledSince;
        // The target has just turned cold: every running stream may lack a slot.
        bool countsAll = false;
        bool known = false;
    };

    void freeGone(PermitRow &row, TargetView &view, const HolderCensus &census, MonotonicTime now) const;
    void countUncovered(PermitRow &row, TargetView &view, const ReportedTarget &report, MonotonicTime now) const;
    static void grant(PermitRow &row, int coldLimit, const HolderCensus &census);
    static void recallSurplus(PermitRow &row, int coldLimit);
    bool isSettled(const TargetView &view, const ReportedTarget &report) const;

    const Options m_options;
    std::map<std::string, TargetView> m_views;
};

} // namespace Jujube
