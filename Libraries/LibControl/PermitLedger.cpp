#include <LibControl/PermitLedger.h>

#include <algorithm>

namespace Jujube
{

namespace
{

bool isAsked(const PermitSlot &slot)
{
    return slot.state == SlotState::Asked;
}

bool hasRequests(const PermitRow &row)
{
    return std::any_of(row.slots.begin(), row.slots.end(), isAsked);
}

// The slot to grant next: the first request of the holder with the fewest slots. Requests of holders that the VM list does not have must wait.
PermitSlot *nextRequest(PermitRow &row, const HolderCensus &census)
{
    PermitSlot *best = nullptr;
    std::ptrdiff_t fewest = 0;
    for (auto &slot : row.slots) {
        if (!isAsked(slot) || !census.isListed(slot.holder)) {
            continue;
        }
        const auto held
            = std::count_if(row.slots.begin(), row.slots.end(), [&slot](const auto &other) { return !isAsked(other) && other.holder == slot.holder; });
        if (!best || held < fewest) {
            best = &slot;
            fewest = held;
        }
    }
    return best;
}

} // namespace

PermitLedger::PermitLedger(Options options)
    : m_options(options)
{
}

void PermitLedger::clear()
{
    m_views.clear();
}

std::optional<PermitRow> PermitLedger::revise(const PermitRow &row, const ReportedTarget &report, int coldLimit, const HolderCensus &census, MonotonicTime now)
{
    auto &view = m_views[report.target];
    if (!view.known) {
        view = {.unsettledSince = now, .known = true};
    }
    PermitRow next = row;
    freeGone(next, view, census, now);
    if (report.cold) {
        countUncovered(next, view, report, now);
        const bool isFresh = now - report.readAt <= m_options.maxReportAge;
        if (isFresh && isSettled(view, report) && !report.leaving) {
            grant(next, coldLimit, census);
        }
        recallSurplus(next, coldLimit);
    } else {
        // Work on a warm target needs no permit. Held slots stay: a frozen holder may still use its slot after the target has turned cold again.
        std::erase_if(next.slots, isAsked);
        next.warm = true;
    }
    // A lower count is worth a write only if somebody waits for a slot.
    PermitRow kept = next;
    kept.uncovered = std::max(row.uncovered, next.uncovered);
    if (kept == row && !hasRequests(row)) {
        return std::nullopt;
    }
    return next == row ? std::nullopt : std::optional(next);
}

bool PermitLedger::isSettled(const TargetView &view, const ReportedTarget &report) const
{
    return report.readAt - view.unsettledSince >= m_options.settleTime;
}

void PermitLedger::freeGone(PermitRow &row, TargetView &view, const HolderCensus &census, MonotonicTime now) const
{
    const auto isGone = [&](const PermitSlot &slot) {
        if (!census.isGone(slot.holder)) {
            return false;
        }
        if (!isAsked(slot)) {
            // The holder's stream may run on without it.
            ++row.uncovered;
            view.unsettledSince = now;
        }
        return true;
    };
    std::erase_if(row.slots, isGone);
}

void PermitLedger::countUncovered(PermitRow &row, TargetView &view, const ReportedTarget &report, MonotonicTime now) const
{
    if (row.warm) {
        row.warm = false;
        view.countsAll = true;
        view.unsettledSince = now;
    }
    const bool settled = isSettled(view, report);
    view.countsAll = view.countsAll && !settled;
    if (settled) {
        row.uncovered = std::min(row.uncovered, report.running);
    }
    const int unexplained = view.countsAll ? report.running : report.running - row.heldSlots();
    row.uncovered = std::max(row.uncovered, unexplained);
}

void PermitLedger::grant(PermitRow &row, int coldLimit, const HolderCensus &census)
{
    while (row.heldSlots() + row.uncovered < coldLimit) {
        auto *slot = nextRequest(row, census);
        if (!slot) {
            return;
        }
        slot->state = SlotState::Granted;
    }
}

void PermitLedger::recallSurplus(PermitRow &row, int coldLimit)
{
    auto kept = std::count_if(row.slots.begin(), row.slots.end(), [](const auto &slot) { return slot.state == SlotState::Granted; });
    for (auto slot = row.slots.rbegin(); slot != row.slots.rend() && kept > coldLimit; ++slot) {
        if (slot->state == SlotState::Granted) {
            slot->state = SlotState::Recalled;
            --kept;
        }
    }
}

} // namespace Jujube
