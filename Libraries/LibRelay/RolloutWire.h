#pragma once

#include <LibRelay/RolloutTypes.h>
#include <optional>
#include <Relay_types.h>

namespace Jujube
{

// Maximum length of the reason in a notice. The rest of it is cut off; the plan in the store has all of it.
constexpr size_t MaxNoticeReasonBytes = 120;
// Maximum number of rejected versions in a notice: the latest ones.
constexpr size_t MaxNoticeRejectedVersions = 8;

// What relays tell each other of the plans of rollouts, in the structures of Relay.thrift.
Wire::RolloutNotice toWire(const RolloutNotice &notice);

// Nothing if it names no service or version, has an unknown stage or no version of its plan. Other values are clamped.
std::optional<RolloutNotice> fromWire(const Wire::RolloutNotice &notice);

} // namespace Jujube
