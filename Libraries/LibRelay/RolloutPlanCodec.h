#pragma once

#include <absl/status/statusor.h>
#include <LibRelay/RolloutTypes.h>
#include <string>
#include <string_view>

namespace Jujube
{

// Encodes a plan as JSON, for its row in the store. The version of the row is not part of it.
std::string encodeRolloutPlan(const RolloutPlan &plan);

// Errors: ErrorKind::MalformedJson or ErrorKind::InvalidValue. Unknown fields are ignored.
absl::StatusOr<RolloutPlan> decodeRolloutPlan(std::string_view text);

} // namespace Jujube
