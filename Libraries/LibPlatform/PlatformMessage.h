#pragma once

#include <absl/status/statusor.h>
#include <LibHttp/HttpClient.h>
#include <LibPlatform/TableRow.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Jujube
{

// Percent-encodes a path and keeps its slashes (RFC 3986, section 3.3).
std::string encodePath(std::string_view path);

// Percent-encodes the value of a query parameter.
std::string encodeParameter(std::string_view value);

// Whether a write took effect, derived from the result of its call alone. Rejections before any effect (429 and 503, RFC 9110 and RFC 6585, and other 4xx
// except 408) are NotDone; 412 is Conflict; after any other failure, the effect is unknown.
WriteEnd writeEndOf(const HttpAnswer &response);

// Returns a short description of how a call failed.
std::string describeFailure(const HttpAnswer &response);

// Errors: ErrorKind::InvalidValue if a field is missing or has the wrong type.
absl::StatusOr<TableRow> rowFromJson(const nlohmann::json &json);

} // namespace Jujube
