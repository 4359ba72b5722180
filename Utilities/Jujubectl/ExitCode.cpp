#include "ExitCode.h"

#include <LibCore/Error.h>

namespace Jujube
{

ExitCode exitCodeOf(const absl::Status &status)
{
    if (status.ok()) {
        return ExitCode::Done;
    }
    switch (errorKindOf(status)) {
    case ErrorKind::InvalidValue:
        return ExitCode::InvalidSettings;
    case ErrorKind::InvalidDocument:
    case ErrorKind::InvalidUtf8:
        return ExitCode::InvalidDocument;
    case ErrorKind::VersionConflict:
        return ExitCode::VersionConflict;
    case ErrorKind::PlatformUnavailable:
        return ExitCode::PlatformUnavailable;
    case ErrorKind::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    default:
        return ExitCode::Failed;
    }
}

} // namespace Jujube
