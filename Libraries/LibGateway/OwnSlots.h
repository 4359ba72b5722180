#pragma once

#include <LibControl/PermitRow.h>
#include <optional>

namespace Jujube
{

// What a gateway wants of a target's permit row.
struct OwnSlotDemand {
    PermitHolder self;
    // Id for a slot that is asked for; unique.
    std::string newSlotId;
    // Whether the target is cold and this gateway could use it.
    bool needsSlot = false;
    // Own streams that run on the target. As many slots are kept until they end.
    int ownRunning = 0;
};

// Slots of this gateway that may be used for new streams.
int countUsableSlots(const PermitRow &row, const PermitHolder &self);

// The row to write in place of the given one, or nothing if it stays as it is. A gateway asks for one slot at a time, gives slots back that it does not need
// any more, and never gives one back while a stream runs under it. Slots of an earlier incarnation are not touched: their streams may still run.
std::optional<PermitRow> reviseOwnSlots(const PermitRow &row, const OwnSlotDemand &demand);

} // namespace Jujube
