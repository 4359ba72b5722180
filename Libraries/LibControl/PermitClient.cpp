#include <LibControl/PermitClient.h>

#include <optional>

namespace Jujube
{

namespace
{

// Several gateways and the controller write the same row. More conflicts in a row than this are left to the caller's next attempt.
constexpr int MaxAttempts = 4;

PermitAnswer answerFor(const PermitRow &row, const std::string &slotId)
{
    const auto *slot = row.find(slotId);
    if (!slot) {
        return PermitAnswer::Absent;
    }
    switch (slot->state) {
    case SlotState::Asked:
        return PermitAnswer::Asked;
    case SlotState::Granted:
        return PermitAnswer::Granted;
    case SlotState::Recalled:
        return PermitAnswer::Recalled;
    }
    return PermitAnswer::Unknown;
}

// The row that a read found, an empty one if there is none, or nothing if it is unreadable.
std::optional<PermitRow> rowFrom(const RowReadResult &read)
{
    if (read.end == ReadEnd::Absent) {
        return PermitRow {};
    }
    const auto row = read.end == ReadEnd::Found ? PermitRow::fromText(read.row.value) : absl::StatusOr<PermitRow>(absl::UnavailableError(""));
    return row.ok() ? std::optional(*row) : std::nullopt;
}

} // namespace

PermitClient::PermitClient(TableClient table, PermitHolder holder)
    : m_table(std::move(table))
    , m_holder(std::move(holder))
{
}

PermitAnswer PermitClient::ask(const std::string &target, const std::string &slotId) const
{
    return change(target, slotId, [&](PermitRow &row) {
        if (!row.find(slotId)) {
            row.slots.push_back({.id = slotId, .holder = m_holder, .state = SlotState::Asked});
        }
    });
}

PermitAnswer PermitClient::look(const std::string &target, const std::string &slotId) const
{
    const auto row = rowFrom(m_table.get(permitKey(target)));
    return row ? answerFor(*row, slotId) : PermitAnswer::Unknown;
}

PermitAnswer PermitClient::giveBack(const std::string &target, const std::string &slotId) const
{
    return change(target, slotId, [&](PermitRow &row) { std::erase_if(row.slots, [&slotId](const auto &slot) { return slot.id == slotId; }); });
}

PermitAnswer PermitClient::change(const std::string &target, const std::string &slotId, const std::function<void(PermitRow &)> &edit) const
{
    const auto key = permitKey(target);
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        const auto read = m_table.get(key);
        const auto before = rowFrom(read);
        if (!before) {
            return PermitAnswer::Unknown;
        }
        auto after = *before;
        edit(after);
        if (after == *before) {
            return answerFor(after, slotId);
        }
        const auto text = after.toText();
        const auto result = read.end == ReadEnd::Absent ? m_table.putIfAbsent(key, text) : m_table.putIfRevision(key, text, read.row.revision);
        if (result.end == WriteEnd::Done) {
            return answerFor(after, slotId);
        }
        if (result.end == WriteEnd::NotDone) {
            return PermitAnswer::Unknown;
        }
        // After a conflict or a lost answer, the next attempt reads the row again. If the lost write took effect, that attempt finds nothing left to change;
        // if it arrives later, its revision does not match any more.
    }
    return PermitAnswer::Unknown;
}

} // namespace Jujube
