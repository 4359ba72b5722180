#pragma once

#include <absl/status/statusor.h>
#include <LibEnvironment/DocumentErrors.h>
#include <LibEnvironment/DocumentNode.h>
#include <string_view>

namespace Jujube
{

// Maximum size of a document in bytes. 2,800 targets and 550 workspaces take about 0.45 MB. Of the hostile texts of 1 MiB that were tried, the slowest took
// 0.6 s to reject.
constexpr size_t MaxDocumentBytes = 1 << 20;

// Parses the YAML text into a tree, with limits on depth, size and number of values. Anchors, aliases, tags and a second document are rejected: no section
// needs them, and aliases would let a short text expand to an enormous tree. Errors after which parsing can continue, such as duplicate keys, are added to
// `errors`. Errors returned: ErrorKind::InvalidUtf8 and ErrorKind::InvalidDocument, both with "line:column: text".
absl::StatusOr<DocumentNode> parseDocumentTree(std::string_view yaml, DocumentErrors &errors);

} // namespace Jujube
