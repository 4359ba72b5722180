#include <LibRelayServer/TargetEntryCheck.h>

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
    return absl::OkStatus();
}

} // namespace Jujube
