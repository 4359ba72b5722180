#pragma once

#include <functional>
#include <LibControl/PermitRow.h>
#include <LibPlatform/TableClient.h>

namespace Jujube
{

// What the table says of one slot.
enum class PermitAnswer {
    // The row does not have the slot: it was returned or never asked for, or its request was dropped. It must not be used.
    Absent,
    Asked,
    Granted,
    Recalled,
    // The table service gave no answer. The caller goes on as before: a slot it holds stays its own, and one that it does not hold stays unused.
    Unknown,
};

// The gateway's side of the cold-target permits: asks for slots and returns them by conditional updates of the row `permits/<target>`. Calls block.
class PermitClient
{
public:
    PermitClient(TableClient table, PermitHolder holder);

    // Asks for a slot with an id of the caller's choice, unique for ever. Asking again with the same id has no further effect. After Unknown the request may
    // still arrive, so a caller that gives up returns the slot all the same.
    PermitAnswer ask(const std::string &target, const std::string &slotId) const;

    // Reads the slot's state. The slot may be used from the first answer Granted until the caller returns it.
    PermitAnswer look(const std::string &target, const std::string &slotId) const;

    // Returns the slot, after its stream has ended. Must be repeated until it answers Absent.
    PermitAnswer giveBack(const std::string &target, const std::string &slotId) const;

private:
    // Applies an edit until it holds in the table, a bounded number of times.
    PermitAnswer change(const std::string &target, const std::string &slotId, const std::function<void(PermitRow &)> &edit) const;

    const TableClient m_table;
    const PermitHolder m_holder;
};

} // namespace Jujube
