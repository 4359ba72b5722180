#pragma once

#include "CommandContext.h"

namespace Jujube
{

// rollouts: prints the rollouts that the relay at --relay knows, with --json as the relay sent them. Errors: ErrorKind::NotFound if the relay has no rollouts,
// ErrorKind::TargetUnavailable and ErrorKind::TargetFailed if it cannot be reached or its response cannot be read.
absl::StatusOr<ExitCode> runRollouts(CommandContext &context);

} // namespace Jujube
