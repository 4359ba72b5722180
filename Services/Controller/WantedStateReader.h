#pragma once

#include <absl/status/statusor.h>
#include <LibControl/Order.h>
#include <string>
#include <vector>

namespace Jujube
{

// Reads what the controller needs of an environment document: its targets, with the versions of their models and the state of their data centres. Every other
// part of the document is left to the checks before its acceptance.
// Errors: ErrorKind::InvalidDocument if the text is not YAML or a part that is read has the wrong form.
absl::StatusOr<std::vector<WantedTarget>> readWantedTargets(const std::string &document);

} // namespace Jujube
