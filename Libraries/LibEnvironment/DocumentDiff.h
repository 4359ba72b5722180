#pragma once

#include <LibEnvironment/EnvironmentDocument.h>

namespace Jujube
{

// The differences between two documents as lines that people read, ordered by field:
//   "~ data_centres.lahore.state: in -> out" for a changed value,
//   "+ targets.engine-5.address: 10.0.0.5:8301" for an added one,
//   "- workspaces.old.tier: trial" for a removed one.
// Fields that were left out count with their defaults, so that only differences in effect are shown. Empty if there are none.
std::vector<std::string> diffDocuments(const EnvironmentDocument &before, const EnvironmentDocument &after);

} // namespace Jujube
