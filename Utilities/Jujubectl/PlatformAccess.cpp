#include "PlatformAccess.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <absl/strings/str_cat.h>

namespace Jujube
{

namespace
{

constexpr int NotFoundStatus = 404;
constexpr int ConflictStatus = 409;
constexpr int PreconditionFailedStatus = 412;
constexpr int FirstServerError = 500;

// Names the platform, what was asked and what came instead of an answer.
absl::Status unavailable(const std::string &address, const std::string &path, const HttpAnswer &answer)
{
    const auto cause = answer.end == HttpEnd::Complete ? absl::StrCat("it answered with status ", answer.status) : answer.error;
    return makeError(ErrorKind::PlatformUnavailable, absl::StrCat("the platform at ", address, " does not serve ", path, ": ", cause));
}

absl::Status malformed(const std::string &path, std::string_view reason)
{
    return makeError(ErrorKind::PlatformUnavailable, absl::StrCat("the platform's answer to ", path, " cannot be read: ", std::string(reason)));
}

Vm vmFromJson(const nlohmann::json &json)
{
    return {
        .name = json.at("name").get<std::string>(),
        .address = json.at("address").get<std::string>(),
        .dataCentre = json.value("data_centre", ""),
        .role = json.value("role", ""),
        .leaving = json.value("state", "live") != "live",
        .incarnation = json.value("incarnation", uint64_t {0}),
    };
}

} // namespace

PlatformAccess::PlatformAccess(HttpClient &client, Options options)
    : m_client(client)
    , m_options(std::move(options))
{
}

HttpAnswer PlatformAccess::callOnce(std::string method, const std::string &path, std::string body)
{
    // A connection of its own: an established connection may be silent while new ones work, and libcurl repeats requests on reused ones by itself.
    return m_client.call({.method = std::move(method),
                          .url = absl::StrCat("http://", m_options.address, path),
                          .body = std::move(body),
                          .connectTimeout = m_options.timeout,
                          .totalTimeout = m_options.timeout,
                          .freshConnection = true,
                          .answerLimitBytes = 16 << 20});
}

absl::StatusOr<HttpAnswer> PlatformAccess::call(const std::string &method, const std::string &path, const std::string &body)
{
    if (m_options.address.empty()) {
        return makeError(ErrorKind::PlatformUnavailable, "the platform's address is not set (--platform)");
    }
    HttpAnswer answer;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        if (attempt > 0) {
            pause();
        }
        answer = callOnce(method, path, body);
        if (answer.end == HttpEnd::Complete && answer.status < FirstServerError) {
            return answer;
        }
    }
    return unavailable(m_options.address, path, answer);
}

absl::StatusOr<nlohmann::json> PlatformAccess::readJson(const std::string &path)
{
    const auto answer = call("GET", path);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status == NotFoundStatus) {
        return makeError(ErrorKind::NotFound, absl::StrCat("the platform has no ", path));
    }
    if (!answer->isSuccess()) {
        return unavailable(m_options.address, path, *answer);
    }
    auto json = parseJson(answer->body);
    return json.ok() ? json : malformed(path, std::string(json.status().message()));
}

absl::StatusOr<TableRow> PlatformAccess::readRow(const std::string &key)
{
    const auto path = "/table/" + key;
    const auto json = readJson(path);
    if (errorKindOf(json.status()) == ErrorKind::NotFound) {
        return TableRow {};
    }
    if (!json.ok()) {
        return json.status();
    }
    try {
        return TableRow {.value = json->at("value").get<std::string>(), .revision = json->at("revision").get<uint64_t>()};
    } catch (const nlohmann::json::exception &error) {
        return malformed(path, error.what());
    }
}

WriteResult PlatformAccess::write(const std::vector<TableWrite> &writes)
{
    auto rows = nlohmann::json::array();
    for (const auto &write : writes) {
        rows.push_back({{"key", write.key}, {"value", write.value}, {"revision", write.revision}});
    }
    const auto answer = callOnce("POST", "/transactions", nlohmann::json {{"writes", rows}}.dump());
    if (answer.isSuccess()) {
        return WriteResult::Written;
    }
    if (answer.end == HttpEnd::NotSent) {
        return WriteResult::NotSent;
    }
    const bool isConflict = answer.status == PreconditionFailedStatus || answer.status == ConflictStatus;
    return answer.end == HttpEnd::Complete && isConflict ? WriteResult::Rejected : WriteResult::Unknown;
}

absl::StatusOr<std::string> PlatformAccess::readObject(const std::string &name)
{
    const auto path = "/objects/" + name;
    auto answer = call("GET", path);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status == NotFoundStatus) {
        return makeError(ErrorKind::NotFound, absl::StrCat("the object store has no object ", name));
    }
    if (!answer->isSuccess()) {
        return unavailable(m_options.address, path, *answer);
    }
    return std::move(answer->body);
}

absl::Status PlatformAccess::writeObject(const std::string &name, const std::string &bytes)
{
    const auto path = "/objects/" + name;
    const auto answer = call("PUT", path, bytes);
    if (!answer.ok()) {
        return answer.status();
    }
    return answer->isSuccess() ? absl::OkStatus() : unavailable(m_options.address, path, *answer);
}

absl::StatusOr<std::vector<Vm>> PlatformAccess::readVms()
{
    const auto json = readJson("/vms");
    if (!json.ok()) {
        return json.status();
    }
    try {
        std::vector<Vm> vms;
        for (const auto &vm : json->at("vms")) {
            vms.push_back(vmFromJson(vm));
        }
        return vms;
    } catch (const nlohmann::json::exception &error) {
        return malformed("/vms", error.what());
    }
}

} // namespace Jujube
