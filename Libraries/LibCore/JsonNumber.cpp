#include <LibCore/JsonNumber.h>

#include <cmath>
#include <limits>

namespace Jujube
{

std::optional<int64_t> toWholeNumber(const nlohmann::json &value)
{
    // Above it, floating-point numbers have gaps between the whole ones.
    constexpr double MaxExactNumber = 0x1p53;
    if (value.is_number_unsigned()) {
        const auto number = value.get<uint64_t>();
        return number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()) ? std::optional(static_cast<int64_t>(number)) : std::nullopt;
    }
    if (value.is_number_integer()) {
        return value.get<int64_t>();
    }
    if (!value.is_number_float()) {
        return std::nullopt;
    }
    const auto number = value.get<double>();
    return std::abs(number) <= MaxExactNumber ? std::optional(static_cast<int64_t>(number)) : std::nullopt;
}

} // namespace Jujube
