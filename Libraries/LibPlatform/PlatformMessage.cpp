#include <LibPlatform/PlatformMessage.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <curl/curl.h>
#include <LibCore/AbslView.h>
#include <LibCore/Error.h>
#include <memory>

namespace Jujube
{

namespace
{

constexpr int PreconditionFailed = 412;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int FirstClientError = 400;
constexpr int RequestTimeout = 408;
constexpr int FirstServerError = 500;

} // namespace

std::string encodeParameter(std::string_view value)
{
    if (value.empty()) {
        return {};
    }
    const std::unique_ptr<char, decltype(&curl_free)> encoded(curl_easy_escape(nullptr, value.data(), static_cast<int>(value.size())), &curl_free);
    return encoded ? std::string(encoded.get()) : std::string();
}

std::string encodePath(std::string_view path)
{
    std::string out;
    bool first = true;
    for (const auto segment : absl::StrSplit(toAbsl(path), '/')) {
        absl::StrAppend(&out, first ? "" : "/", encodeParameter(fromAbsl(segment)));
        first = false;
    }
    return out;
}

WriteEnd writeEndOf(const HttpAnswer &response)
{
    if (response.end == HttpEnd::NotSent) {
        return WriteEnd::NotDone;
    }
    if (response.end != HttpEnd::Complete) {
        return WriteEnd::Unknown;
    }
    if (response.isSuccess()) {
        return WriteEnd::Done;
    }
    if (response.status == PreconditionFailed) {
        return WriteEnd::Conflict;
    }
    if (response.status == ServiceUnavailable || response.status == TooManyRequests) {
        return WriteEnd::NotDone;
    }
    const bool isRejection = response.status >= FirstClientError && response.status < FirstServerError && response.status != RequestTimeout;
    return isRejection ? WriteEnd::NotDone : WriteEnd::Unknown;
}

std::string describeFailure(const HttpAnswer &response)
{
    if (response.end == HttpEnd::Complete) {
        return absl::StrCat("the platform responded with status ", response.status);
    }
    return absl::StrCat("the platform sent no complete response: ", response.error);
}

absl::StatusOr<TableRow> rowFromJson(const nlohmann::json &json)
{
    const bool hasRowFields
        = json.is_object() && json.contains("value") && json["value"].is_string() && json.contains("revision") && json["revision"].is_number_integer();
    if (!hasRowFields) {
        return makeError(ErrorKind::InvalidValue, "a table row needs a text \"value\" and a whole number \"revision\"");
    }
    TableRow row;
    row.value = json["value"].get<std::string>();
    row.revision = json["revision"].get<int64_t>();
    if (json.contains("key") && json["key"].is_string()) {
        row.key = json["key"].get<std::string>();
    }
    return row;
}

} // namespace Jujube
