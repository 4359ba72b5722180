#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace Jujube
{

// The whole number that a JSON value holds, without any fraction. Nothing if the value is no number or is too large.
std::optional<int64_t> toWholeNumber(const nlohmann::json &value);

} // namespace Jujube
