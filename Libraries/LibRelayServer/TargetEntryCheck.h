#pragma once

#include <absl/status/status.h>
#include <LibRelay/TargetTable.h>

namespace Jujube
{

// Whether an entry names a target that can be used. Entries of the list may come from other writers, and those of peers from the list or from damaged
// datagrams.
absl::Status checkTargetEntry(const TargetEntry &entry);

} // namespace Jujube
