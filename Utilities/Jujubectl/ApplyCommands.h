#pragma once

#include "CommandContext.h"

namespace Jujube
{

// apply FILE: makes the file the next version of its environment, on the condition that the version that it was edited from is still the accepted one.
absl::StatusOr<ExitCode> runApply(CommandContext &context);

// promote FROM TO: makes the accepted document of one environment, byte for byte, the next version of another one.
absl::StatusOr<ExitCode> runPromote(CommandContext &context);

} // namespace Jujube
