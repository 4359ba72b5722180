#pragma once

#include <absl/status/statusor.h>
#include <LibEnvironment/DocumentErrors.h>
#include <LibEnvironment/DocumentNode.h>
#include <string_view>

namespace Jujube
{

// Largest document in bytes. 2,800 targets and 550 workspaces take about 0.45 MB. Of the hostile texts of 1 MiB that were tried, the slowest took 0.6 s to
// reject.
constexpr size_t MaxDocumentBytes = 1 << 20;

// Reads the YAML text into a tree, with limits on depth, size and number of values. Anchors, aliases, tags and a second document are rejected: no section
// needs them, and aliases let a short text stand for an enormous tree. Mistakes that do not prevent further reading, such as duplicate keys, go to
// mistakes. Errors: ErrorKind::InvalidUtf8 and ErrorKind::InvalidDocument, both with "line:column: text".
absl::StatusOr<DocumentNode> parseDocumentTree(std::string_view yaml, DocumentErrors &errors);

} // namespace Jujube
