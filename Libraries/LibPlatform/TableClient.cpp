#include <LibPlatform/TableClient.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibCore/Json.h>
#include <LibPlatform/PlatformMessage.h>

namespace Jujube
{

namespace
{

constexpr size_t MaxRowBytes = 2 << 20;
constexpr size_t MaxListBytes = 16 << 20;

constexpr int NotFound = 404;
constexpr size_t MaxKeyBytes = 1024;

// A second attempt resolves a single lost response. Further attempts would only add load to a failing service.
constexpr int MaxResolveAttempts = 2;

bool isControlCharacter(char character)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < FirstPrintable || byte == Delete;
}

// The row's revision after a write, or nothing if the response does not contain it.
std::optional<int64_t> revisionFrom(const std::string &body)
{
    const auto json = parseJson(body);
    if (!json.ok() || !json->is_object() || !json->contains("revision") || !(*json)["revision"].is_number_integer()) {
        return std::nullopt;
    }
    return (*json)["revision"].get<int64_t>();
}

WriteResult invalidKey(std::string_view key)
{
    return {.end = WriteEnd::NotDone, .error = absl::StrCat("\"", toAbsl(key), "\" is not a valid table key")};
}

} // namespace

TableClient::TableClient(Options options)
    : m_options(std::move(options))
{
}

bool TableClient::isValidKey(std::string_view key)
{
    if (key.empty() || key.size() > MaxKeyBytes || std::any_of(key.begin(), key.end(), isControlCharacter) || !isValidUtf8(key)) {
        return false;
    }
    const std::vector<absl::string_view> segments = absl::StrSplit(toAbsl(key), '/');
    return std::none_of(segments.begin(), segments.end(), [](auto segment) { return segment.empty() || segment == "." || segment == ".."; });
}

HttpAnswer TableClient::read(std::string_view path, size_t maxBytes) const
{
    return m_options.transport({.url = absl::StrCat("http://", m_options.address, toAbsl(path)),
                                .connectTimeout = m_options.connectTimeout,
                                .totalTimeout = m_options.readTimeout,
                                .answerLimitBytes = maxBytes});
}

RowReadResult TableClient::get(std::string_view key) const
{
    if (!isValidKey(key)) {
        return {.error = invalidKey(key).error};
    }
    const auto response = read(absl::StrCat("/table/", encodePath(key)), MaxRowBytes);
    if (response.end == HttpEnd::Complete && response.status == NotFound) {
        return {.end = ReadEnd::Absent};
    }
    if (!response.isSuccess()) {
        return {.error = describeFailure(response)};
    }
    const auto json = parseJson(response.body);
    auto row = json.ok() ? rowFromJson(*json) : absl::StatusOr<TableRow>(json.status());
    if (!row.ok()) {
        return {.error = std::string(row.status().message())};
    }
    row->key = std::string(key);
    return {.end = ReadEnd::Found, .row = *std::move(row)};
}

RowListResult TableClient::list(std::string_view prefix) const
{
    const auto response = read(absl::StrCat("/table?prefix=", encodeParameter(prefix)), MaxListBytes);
    if (!response.isSuccess()) {
        return {.error = describeFailure(response)};
    }
    const auto json = parseJson(response.body);
    if (!json.ok() || !json->is_object() || !json->contains("rows") || !(*json)["rows"].is_array()) {
        return {.error = "the platform's list of rows is not valid"};
    }
    RowListResult result {.end = ReadEnd::Found};
    for (const auto &item : (*json)["rows"]) {
        auto row = rowFromJson(item);
        if (!row.ok()) {
            return {.error = std::string(row.status().message())};
        }
        result.rows.push_back(*std::move(row));
    }
    return result;
}

WriteResult TableClient::write(HttpCall call, std::string_view key) const
{
    call.url = absl::StrCat("http://", m_options.address, call.url);
    call.connectTimeout = m_options.connectTimeout;
    call.totalTimeout = m_options.writeTimeout;
    // libcurl retries a request on its own if a reused connection turns out to be closed. A retried write would conflict with its own first effect.
    call.freshConnection = true;
    const auto response = m_options.transport(std::move(call));
    WriteResult result {.end = writeEndOf(response)};
    if (result.end == WriteEnd::Done) {
        const auto revision = revisionFrom(response.body);
        result.revision = revision.value_or(0);
        if (!revision && !key.empty()) {
            result.end = WriteEnd::Unknown;
            result.error = "the platform's answer to a write has no revision";
        }
        return result;
    }
    result.error = describeFailure(response);
    if (result.end == WriteEnd::Conflict && !key.empty()) {
        addCurrentRow(result, key);
    }
    return result;
}

void TableClient::addCurrentRow(WriteResult &result, std::string_view key) const
{
    const auto current = get(key);
    result.isCurrentKnown = current.end != ReadEnd::Failed;
    if (current.end == ReadEnd::Found) {
        result.current = current.row;
    }
}

WriteResult TableClient::conditionalPut(std::string_view key, std::string_view value, int64_t revision) const
{
    if (!isValidKey(key)) {
        return invalidKey(key);
    }
    HttpHeaders headers {{"Content-Type", "application/octet-stream"}};
    if (revision == 0) {
        headers["If-None-Match"] = "*";
    } else {
        headers["If-Match"] = absl::StrCat(revision);
    }
    return write({.method = "PUT", .url = absl::StrCat("/table/", encodePath(key)), .headers = std::move(headers), .body = std::string(value)}, key);
}

WriteResult TableClient::putIfAbsent(std::string_view key, std::string_view value) const
{
    return conditionalPut(key, value, 0);
}

WriteResult TableClient::putIfRevision(std::string_view key, std::string_view value, int64_t revision) const
{
    return conditionalPut(key, value, revision);
}

WriteResult TableClient::transaction(const std::vector<ConditionalWrite> &writes) const
{
    auto list = nlohmann::json::array();
    for (const auto &item : writes) {
        if (!isValidKey(item.key)) {
            return invalidKey(item.key);
        }
        if (!isValidUtf8(item.value)) {
            return {.end = WriteEnd::NotDone, .error = absl::StrCat("the value of \"", item.key, "\" is not valid UTF-8")};
        }
        list.push_back({{"key", item.key}, {"value", item.value}, {"revision", item.revision}});
    }
    const nlohmann::json body {{"writes", std::move(list)}};
    return write({.method = "POST", .url = "/transactions", .headers = {{"Content-Type", "application/json"}}, .body = body.dump()}, {});
}

WriteResult TableClient::putIfAbsentResolved(std::string_view key, std::string_view value, const OwnershipTest &isOwn) const
{
    return resolvedPut(key, value, 0, isOwn);
}

WriteResult TableClient::putIfRevisionResolved(std::string_view key, std::string_view value, int64_t revision, const OwnershipTest &isOwn) const
{
    return resolvedPut(key, value, revision, isOwn);
}

WriteResult TableClient::resolvedPut(std::string_view key, std::string_view value, int64_t revision, const OwnershipTest &isOwn) const
{
    WriteResult result;
    bool responseWasLost = false;
    for (int attempt = 0; attempt < MaxResolveAttempts; ++attempt) {
        result = conditionalPut(key, value, revision);
        if (result.end == WriteEnd::Unknown) {
            responseWasLost = true;
            addCurrentRow(result, key);
        }
        if (result.end == WriteEnd::Done || (result.end == WriteEnd::NotDone && !responseWasLost)) {
            return result;
        }
        if (result.isCurrentKnown && result.current && isOwn(result.current->value)) {
            return {.end = WriteEnd::Done, .revision = result.current->revision};
        }
        const int64_t currentRevision = result.current ? result.current->revision : 0;
        if (result.isCurrentKnown && currentRevision != revision) {
            result.end = WriteEnd::Conflict;
            return result;
        }
    }
    // An earlier request whose response was lost may still take effect, whatever the result of the last one.
    result.end = responseWasLost ? WriteEnd::Unknown : result.end;
    return result;
}

} // namespace Jujube
