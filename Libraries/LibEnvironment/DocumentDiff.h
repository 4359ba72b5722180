#pragma once

#include <LibEnvironment/EnvironmentDocument.h>

namespace Jujube
{

// The differences between two documents as lines that people read, ordered by entry:
//   "~ data_centres.lahore.state: in -> out" for a changed value,
//   "+ data_centres.multan: region multan, state in" for an added entry,
//   "- data_centres.multan: region multan, state in" for a removed one.
// Fields that were left out count with their defaults, so that only differences in effect are shown. Empty if there are none.
std::vector<std::string> diffDocuments(const EnvironmentDocument &before, const EnvironmentDocument &after);

} // namespace Jujube
