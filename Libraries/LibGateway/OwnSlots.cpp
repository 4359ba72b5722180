#include <LibGateway/OwnSlots.h>

#include <algorithm>

namespace Jujube
{

namespace
{

bool isOwn(const PermitSlot &slot, const PermitHolder &self)
{
    return slot.holder.name == self.name && slot.holder.incarnation == self.incarnation;
}

int countOwn(const PermitRow &row, const PermitHolder &self, SlotState state)
{
    return static_cast<int>(
        std::count_if(row.slots.begin(), row.slots.end(), [&](const PermitSlot &slot) { return isOwn(slot, self) && slot.state == state; }));
}

// Removes up to `count` slots of this gateway in the given state. Returns how many were removed.
int removeOwn(PermitRow &row, const PermitHolder &self, SlotState state, int count)
{
    int removed = 0;
    for (auto slot = row.slots.begin(); slot != row.slots.end() && removed < count;) {
        if (isOwn(*slot, self) && slot->state == state) {
            slot = row.slots.erase(slot);
            ++removed;
        } else {
            ++slot;
        }
    }
    return removed;
}

} // namespace

int countUsableSlots(const PermitRow &row, const PermitHolder &self)
{
    return countOwn(row, self, SlotState::Granted);
}

std::optional<PermitRow> reviseOwnSlots(const PermitRow &row, const OwnSlotDemand &demand)
{
    PermitRow revised = row;
    const int asked = countOwn(row, demand.self, SlotState::Asked);
    const int held = countOwn(row, demand.self, SlotState::Granted) + countOwn(row, demand.self, SlotState::Recalled);
    int idle = std::max(0, held - demand.ownRunning);
    // Recalled slots are returned first.
    idle -= removeOwn(revised, demand.self, SlotState::Recalled, idle);
    if (!demand.needsSlot) {
        removeOwn(revised, demand.self, SlotState::Granted, idle);
        removeOwn(revised, demand.self, SlotState::Asked, asked);
    } else if (asked == 0 && held <= demand.ownRunning) {
        revised.slots.push_back({.id = demand.newSlotId, .holder = demand.self, .state = SlotState::Asked});
    }
    return revised == row ? std::nullopt : std::optional(revised);
}

} // namespace Jujube
