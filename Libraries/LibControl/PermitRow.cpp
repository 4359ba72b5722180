#include <LibControl/PermitRow.h>

#include <algorithm>
#include <array>
#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <optional>

namespace Jujube
{

namespace
{

constexpr std::array<std::string_view, 3> StateNames {"asked", "granted", "recalled"};

std::optional<SlotState> stateFromName(const std::string &name)
{
    const auto *found = std::find(StateNames.begin(), StateNames.end(), name);
    if (found == StateNames.end()) {
        return std::nullopt;
    }
    return static_cast<SlotState>(found - StateNames.begin());
}

absl::StatusOr<PermitSlot> slotFromJson(const nlohmann::json &json)
{
    PermitSlot slot;
    // at() and get() throw on a missing field and on a wrong type; the caller turns that into a status.
    json.at("id").get_to(slot.id);
    json.at("holder").get_to(slot.holder.name);
    json.at("address").get_to(slot.holder.address);
    json.at("incarnation").get_to(slot.holder.incarnation);
    const auto state = stateFromName(json.at("state").get<std::string>());
    if (!state) {
        return makeError(ErrorKind::InvalidValue, "a permit slot has an unknown state");
    }
    slot.state = *state;
    return slot;
}

} // namespace

int PermitRow::heldSlots() const
{
    return static_cast<int>(std::count_if(slots.begin(), slots.end(), [](const auto &slot) { return slot.state != SlotState::Asked; }));
}

const PermitSlot *PermitRow::find(const std::string &id) const
{
    const auto found = std::find_if(slots.begin(), slots.end(), [&id](const auto &slot) { return slot.id == id; });
    return found == slots.end() ? nullptr : &*found;
}

std::string PermitRow::toText() const
{
    auto list = nlohmann::json::array();
    for (const auto &slot : slots) {
        list.push_back({{"id", slot.id},
                        {"holder", slot.holder.name},
                        {"address", slot.holder.address},
                        {"incarnation", slot.holder.incarnation},
                        {"state", StateNames.at(static_cast<size_t>(slot.state))}});
    }
    const nlohmann::json json {{"slots", std::move(list)}, {"uncovered", uncovered}, {"warm", warm}};
    return json.dump();
}

absl::StatusOr<PermitRow> PermitRow::fromText(const std::string &text)
{
    const auto json = parseJson(text);
    if (!json.ok()) {
        return json.status();
    }
    PermitRow row;
    try {
        json->at("uncovered").get_to(row.uncovered);
        json->at("warm").get_to(row.warm);
        for (const auto &item : json->at("slots")) {
            auto slot = slotFromJson(item);
            if (!slot.ok()) {
                return slot.status();
            }
            row.slots.push_back(*std::move(slot));
        }
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidValue, error.what());
    }
    return row;
}

std::string permitKey(const std::string &target)
{
    return "permits/" + target;
}

} // namespace Jujube
