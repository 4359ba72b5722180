#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace Jujube
{

// A process that may hold cold-target permits.
struct PermitHolder {
    std::string name;
    // "address:port".
    std::string address;
    uint64_t incarnation = 0;

    bool operator==(const PermitHolder &) const = default;
};

enum class SlotState {
    // A gateway asks for the slot. It must not use it.
    Asked,
    Granted,
    // Granted, and to be returned when its stream ends and not used for a new one.
    Recalled,
};

// One slot of a cold target's limit: the right to run one stream at a time on it. It does not expire.
struct PermitSlot {
    // Unique; chosen by the gateway that asks.
    std::string id;
    PermitHolder holder;
    SlotState state = SlotState::Asked;

    bool operator==(const PermitSlot &) const = default;
};

// The value of the row `permits/<target>`. Gateways add slots that they ask for and remove their own; the lease holder grants slots, frees those of holders
// that are gone and keeps the other fields. Every write is conditional on the row's revision.
struct PermitRow {
    // In the order in which they were asked for.
    std::vector<PermitSlot> slots;
    // Streams that may run on the target without a slot: started while it was warm, or by a holder that is gone.
    int uncovered = 0;
    // The target was warm when the row was last revised.
    bool warm = false;

    // Slots that count against the limit: all but those asked for.
    int heldSlots() const;

    const PermitSlot *find(const std::string &id) const;

    std::string toText() const;

    // Errors: ErrorKind::InvalidValue if a field is missing or has the wrong type.
    static absl::StatusOr<PermitRow> fromText(const std::string &text);

    bool operator==(const PermitRow &) const = default;
};

// "permits/<target>".
std::string permitKey(const std::string &target);

} // namespace Jujube
