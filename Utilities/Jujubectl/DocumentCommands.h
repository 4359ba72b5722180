#pragma once

#include "CommandContext.h"

namespace Jujube
{

// Commands that read documents and change nothing.

// check FILE...: checks files without the platform.
absl::StatusOr<ExitCode> runCheck(CommandContext &context);

// diff [OLD] NEW: compares two documents, each a file or the number of a version. OLD defaults to the version in force.
absl::StatusOr<ExitCode> runDiff(CommandContext &context);

// show [VERSION]: prints the bytes of a version, by default the one in force.
absl::StatusOr<ExitCode> runShow(CommandContext &context);

// history [ENVIRONMENT]: lists the latest versions, newest first.
absl::StatusOr<ExitCode> runHistory(CommandContext &context);

} // namespace Jujube
