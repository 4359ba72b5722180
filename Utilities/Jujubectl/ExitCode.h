#pragma once

#include <absl/status/status.h>

namespace Jujube
{

// The exit codes of jujubectl, documented in docs/operators/index.md.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    InvalidSettings = 2,
    InvalidDocument = 3,
    VersionConflict = 4,
    // Nothing was changed.
    PlatformUnavailable = 5,
    // The answer of the write was lost and could not be resolved by reading back.
    OutcomeUnknown = 6,
    NotFound = 7,
    // Some gateway does not have the accepted version in force, or did not answer.
    NotInForce = 8,
};

ExitCode exitCodeOf(const absl::Status &status);

} // namespace Jujube
