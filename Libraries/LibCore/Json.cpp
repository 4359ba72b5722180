#include <LibCore/Json.h>

#include <algorithm>
#include <LibCore/Error.h>

namespace Jujube
{

bool isValidUtf8(std::string_view text)
{
    // The strict serializer of the JSON library validates UTF-8 and throws on the first invalid byte.
    try {
        [[maybe_unused]] const auto dumped = nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

absl::StatusOr<nlohmann::json> parseJson(std::string_view text)
{
    // An empty object takes two bytes of the text and some eighty of memory.
    constexpr int64_t MaxValues = 600000;
    const auto isSeparator = [](char character) { return character == ',' || character == '[' || character == '{'; };
    if (std::ranges::count_if(text, isSeparator) > MaxValues) {
        return makeError(ErrorKind::MalformedJson, "the body has too many values");
    }
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_discarded()) {
        return json;
    }
    if (!isValidUtf8(text)) {
        return makeError(ErrorKind::InvalidUtf8, "the body is not valid UTF-8");
    }
    return makeError(ErrorKind::MalformedJson, "the body is not valid JSON");
}

} // namespace Jujube
