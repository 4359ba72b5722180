#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Jujube
{

// Parses a JSON text. Errors: ErrorKind::InvalidUtf8 if the bytes are not UTF-8, ErrorKind::MalformedJson for any other syntax error, and for a text with so
// many values that they would take many times the memory of the text.
absl::StatusOr<nlohmann::json> parseJson(std::string_view text);

// Whether the bytes are valid UTF-8 (RFC 3629).
bool isValidUtf8(std::string_view text);

} // namespace Jujube
