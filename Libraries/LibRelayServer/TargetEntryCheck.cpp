#include <LibRelayServer/TargetEntryCheck.h>

#include <absl/strings/ascii.h>
#include <algorithm>
#include <LibCore/Error.h>
#include <LibLoop/Endpoint.h>

namespace Jujube
{

namespace
{

// Numbers beyond these are of no target.
constexpr int MaxSlots = 1000000;
constexpr std::chrono::milliseconds MaxColdTime = std::chrono::hours(24);
// The year 2100.
constexpr int64_t MaxIncarnation = 4102444800000;
// Longer texts would keep heartbeats from naming targets at all.
constexpr size_t MaxTextBytes = 200;

// Whether a text can stand in a header section and in a heartbeat.
bool isPlainText(const std::string &text)
{
    return text.size() <= MaxTextBytes
        && std::none_of(text.begin(), text.end(), [](char character) { return absl::ascii_iscntrl(static_cast<unsigned char>(character)); });
}

} // namespace

absl::Status checkTargetEntry(const TargetEntry &entry)
{
    if (!Endpoint::parse(entry.address)) {
        return makeError(ErrorKind::InvalidValue, "invalid address");
    }
    if (entry.slots < 0 || entry.slots > MaxSlots || entry.coldLeft < -MaxColdTime || entry.coldLeft > MaxColdTime || entry.incarnation < 0
        || entry.incarnation > MaxIncarnation) {
        return makeError(ErrorKind::InvalidValue, "invalid number");
    }
    if (entry.id.empty() || !isPlainText(entry.id) || !isPlainText(entry.service) || !isPlainText(entry.dataCentre) || !isPlainText(entry.softwareVersion)) {
        return makeError(ErrorKind::InvalidValue, "invalid text");
    }
    return absl::OkStatus();
}

} // namespace Jujube
