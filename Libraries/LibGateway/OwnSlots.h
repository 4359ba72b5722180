#pragma once

#include <LibControl/PermitRow.h>
#include <optional>

namespace Jujube
{

// The permit slots that a gateway needs on one target.
struct OwnSlotDemand {
    PermitHolder self;
    // Unique id for a newly requested slot.
    std::string newSlotId;
    // Whether the target is cold and this gateway could use it.
    bool needsSlot = false;
    // Streams of this gateway that run on the target. Each of them keeps one slot until it ends.
    int ownRunning = 0;
};

// Counts the slots of this gateway under which new streams may start.
int countUsableSlots(const PermitRow &row, const PermitHolder &self);

// Returns the row to write, or nothing if the row needs no change. A gateway requests one slot at a time, returns slots that it no longer needs, and never
// returns a slot while a stream runs under it. Slots of an earlier incarnation of the gateway stay unchanged, because their streams may still run.
std::optional<PermitRow> reviseOwnSlots(const PermitRow &row, const OwnSlotDemand &demand);

} // namespace Jujube
