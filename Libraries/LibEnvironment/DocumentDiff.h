#pragma once

#include <LibEnvironment/EnvironmentDocument.h>

namespace Jujube
{

// Returns the differences between two documents as human-readable lines, ordered by entry:
//   "~ data_centres.lahore.state: in -> out" for a changed value,
//   "+ data_centres.multan: region multan, state in" for an added entry,
//   "- data_centres.multan: region multan, state in" for a removed one.
// Omitted fields count with their defaults, so that only effective differences are shown. Empty if there are none.
std::vector<std::string> diffDocuments(const EnvironmentDocument &before, const EnvironmentDocument &after);

} // namespace Jujube
