#include <LibEnvironment/DocumentHead.h>

#include <LibCore/AbslView.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <absl/strings/str_cat.h>

namespace Jujube
{

std::string DocumentHead::toJson() const
{
    const nlohmann::json json {{"version", version}, {"digest", digest}, {"object", object}, {"author", author}, {"time_ms", timeMs}};
    // The author is external input; invalid UTF-8 in it must not prevent the write.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<DocumentHead> DocumentHead::parse(std::string_view json)
{
    const auto parsed = parseJson(json);
    if (!parsed.ok()) {
        return parsed.status();
    }
    try {
        DocumentHead head;
        const auto &version = parsed->at("version");
        head.version = version.is_number_unsigned() ? version.get<uint64_t>() : 0;
        head.digest = parsed->at("digest").get<std::string>();
        head.object = parsed->at("object").get<std::string>();
        head.author = parsed->value("author", "");
        head.timeMs = parsed->value("time_ms", int64_t {0});
        if (head.version == 0) {
            return makeError(ErrorKind::InvalidValue, "the version of a document head must be a whole number from 1");
        }
        return head;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("the document head is not valid: ", error.what()));
    }
}

std::string documentHeadKey(std::string_view environment)
{
    return absl::StrCat("environment/", toAbsl(environment), "/head");
}

std::string documentHistoryPrefix(std::string_view environment)
{
    return absl::StrCat("environment/", toAbsl(environment), "/history/");
}

std::string documentHistoryKey(std::string_view environment, uint64_t version)
{
    return absl::StrCat(documentHistoryPrefix(environment), version);
}

} // namespace Jujube
