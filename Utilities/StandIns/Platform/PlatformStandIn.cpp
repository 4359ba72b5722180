#include "PlatformStandIn.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>
#include <LibCore/Json.h>
#include <thread>

namespace Jujube
{

namespace
{

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int PreconditionFailed = 412;
constexpr int ServiceUnavailable = 503;
constexpr size_t BodyLimitBytes = 16 << 20;
constexpr int Threads = 64;
constexpr size_t KeptVmLists = 1000;

const std::string TablePath = "/table/";
const std::string ObjectPath = "/objects/";

std::string decodeParameter(const std::string &text)
{
    int length = 0;
    const std::unique_ptr<char, decltype(&curl_free)> decoded(curl_easy_unescape(nullptr, text.c_str(), static_cast<int>(text.size()), &length), &curl_free);
    return decoded ? std::string(decoded.get(), static_cast<size_t>(length)) : std::string();
}

std::pair<int, nlohmann::json> refusal(int status, const std::string &reason)
{
    return {status, {{"error", reason}}};
}

// The condition of a PUT. Returns false if the header is not valid.
bool readCondition(const HttpRequest &request, std::optional<int64_t> &revision)
{
    if (request.header("if-none-match") == "*") {
        revision = 0;
        return true;
    }
    const auto match = request.header("if-match");
    int64_t number = 0;
    if (!match.empty() && (!absl::SimpleAtoi(std::string(match), &number) || number <= 0)) {
        return false;
    }
    if (!match.empty()) {
        revision = number;
    }
    return true;
}

bool isWrite(const nlohmann::json &json)
{
    return json.is_object() && json.contains("key") && json["key"].is_string() && json.contains("value") && json["value"].is_string()
        && json.contains("revision") && json["revision"].is_number_integer();
}

} // namespace

PlatformStandIn::PlatformStandIn(nlohmann::json vms)
{
    m_vmLists.push_back({.since = MonotonicTime::min(), .vms = std::move(vms)});
}

absl::StatusOr<std::unique_ptr<PlatformStandIn>> PlatformStandIn::start(Options options)
{
    std::unique_ptr<PlatformStandIn> standIn(new PlatformStandIn(std::move(options.vms)));
    auto server
        = HttpServer::start({.listen = options.listen,
                             .threads = Threads,
                             .bodyLimitBytes = BodyLimitBytes,
                             .handler = [self = standIn.get()](const HttpRequest &request, HttpResponder &responder) { self->handle(request, responder); }});
    if (!server.ok()) {
        return server.status();
    }
    standIn->m_server = *std::move(server);
    return standIn;
}

void PlatformStandIn::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (handleControl(request, responder)) {
        return;
    }
    const auto current = faults();
    std::this_thread::sleep_for(std::chrono::milliseconds(current.delayMs));
    const bool isRead = request.method == "GET";
    if (isRead) {
        m_counter.countRead(monotonicNow());
    } else {
        m_counter.countWrite(monotonicNow());
    }
    if (current.down) {
        responder.sendJson(ServiceUnavailable, {{"error", "the platform is down"}});
    } else if (isRead) {
        handleRead(request, responder);
    } else {
        handleWrite(request, responder);
    }
}

bool PlatformStandIn::handleControl(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method == "POST" && request.path == "/faults") {
        setFaults(request, responder);
        return true;
    }
    if (request.method == "POST" && request.path == "/vms") {
        setVms(request, responder);
        return true;
    }
    if (request.method == "GET" && request.path == "/statistics") {
        responder.sendJson(Ok, m_counter.toJson());
        return true;
    }
    return false;
}

void PlatformStandIn::handleRead(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path == "/vms") {
        responder.sendJson(Ok, {{"vms", visibleVms(monotonicNow())}});
        return;
    }
    if (request.path == "/table") {
        auto rows = nlohmann::json::array();
        for (const auto &row : m_store.list(decodeParameter(request.queryParameter("prefix").value_or("")))) {
            rows.push_back({{"key", row.key}, {"value", row.value}, {"revision", row.revision}});
        }
        responder.sendJson(Ok, {{"rows", std::move(rows)}});
        return;
    }
    if (request.path.starts_with(TablePath)) {
        if (const auto row = m_store.get(request.path.substr(TablePath.size()))) {
            responder.sendJson(Ok, {{"value", row->value}, {"revision", row->revision}});
            return;
        }
    }
    if (request.path.starts_with(ObjectPath)) {
        if (const auto bytes = m_store.getObject(request.path.substr(ObjectPath.size()))) {
            responder.send(Ok, "application/octet-stream", *bytes);
            return;
        }
    }
    responder.sendJson(NotFound, {{"error", "no such row, object or path"}});
}

void PlatformStandIn::handleWrite(const HttpRequest &request, HttpResponder &responder)
{
    const auto fate = nextWriteFate();
    if (fate == WriteFate::RequestLost) {
        return;
    }
    const auto [status, json] = applyWrite(request);
    if (fate == WriteFate::Answered) {
        responder.sendJson(status, json);
    }
}

std::pair<int, nlohmann::json> PlatformStandIn::applyWrite(const HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/transactions") {
        return applyTransaction(request.body);
    }
    if (request.method == "PUT" && request.path.starts_with(TablePath)) {
        return applyPut(request, request.path.substr(TablePath.size()));
    }
    if (request.method == "PUT" && request.path.starts_with(ObjectPath)) {
        m_store.putObject(request.path.substr(ObjectPath.size()), request.body);
        return {Ok, nlohmann::json::object()};
    }
    return refusal(NotFound, "no such path");
}

std::pair<int, nlohmann::json> PlatformStandIn::applyPut(const HttpRequest &request, const std::string &key)
{
    PlatformStore::Write write {.key = key, .value = request.body};
    if (key.empty() || !isValidUtf8(request.body) || !readCondition(request, write.revision)) {
        return refusal(BadRequest, "the key, the value or the condition is not valid");
    }
    const auto revisions = m_store.apply({write});
    if (!revisions) {
        return refusal(PreconditionFailed, "the row has another revision");
    }
    return {Ok, {{"revision", revisions->front()}}};
}

std::pair<int, nlohmann::json> PlatformStandIn::applyTransaction(const std::string &body)
{
    const auto json = parseJson(body);
    if (!json.ok() || !json->is_object() || !json->contains("writes") || !(*json)["writes"].is_array()) {
        return refusal(BadRequest, "the body has no array \"writes\"");
    }
    std::vector<PlatformStore::Write> writes;
    for (const auto &item : (*json)["writes"]) {
        if (!isWrite(item)) {
            return refusal(BadRequest, "a write needs a key, a value and a revision");
        }
        writes.push_back({.key = item["key"], .value = item["value"], .revision = item["revision"].get<int64_t>()});
    }
    const auto revisions = m_store.apply(writes);
    if (!revisions) {
        return refusal(PreconditionFailed, "a row has another revision");
    }
    return {Ok, {{"revisions", *revisions}}};
}

void PlatformStandIn::setFaults(const HttpRequest &request, HttpResponder &responder)
{
    const auto json = parseJson(request.body);
    if (!json.ok() || !json->is_object()) {
        responder.sendJson(BadRequest, {{"error", "the body is not a JSON object"}});
        return;
    }
    const std::lock_guard lock(m_mutex);
    try {
        m_faults.down = json->value("down", m_faults.down);
        m_faults.delayMs = json->value("delay_ms", m_faults.delayMs);
        m_faults.loseAnswers = json->value("lose_answers", m_faults.loseAnswers);
        m_faults.loseRequests = json->value("lose_requests", m_faults.loseRequests);
        m_faults.slowVmListMs = json->value("slow_vm_list_ms", m_faults.slowVmListMs);
    } catch (const nlohmann::json::exception &error) {
        responder.sendJson(BadRequest, {{"error", error.what()}});
        return;
    }
    responder.sendJson(Ok, nlohmann::json::object());
}

void PlatformStandIn::setVms(const HttpRequest &request, HttpResponder &responder)
{
    const auto json = parseJson(request.body);
    if (!json.ok() || !json->is_object() || !json->contains("vms") || !(*json)["vms"].is_array()) {
        responder.sendJson(BadRequest, {{"error", "the body has no array \"vms\""}});
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_vmLists.push_back({.since = monotonicNow(), .vms = (*json)["vms"]});
    if (m_vmLists.size() > KeptVmLists) {
        m_vmLists.pop_front();
    }
    responder.sendJson(Ok, nlohmann::json::object());
}

PlatformStandIn::WriteFate PlatformStandIn::nextWriteFate()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.loseRequests > 0) {
        --m_faults.loseRequests;
        return WriteFate::RequestLost;
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        return WriteFate::AnswerLost;
    }
    return WriteFate::Answered;
}

PlatformStandIn::Faults PlatformStandIn::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

nlohmann::json PlatformStandIn::visibleVms(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    const auto shown = now - std::chrono::milliseconds(m_faults.slowVmListMs);
    nlohmann::json vms = m_vmLists.front().vms;
    for (const auto &version : m_vmLists) {
        if (version.since <= shown) {
            vms = version.vms;
        }
    }
    return vms;
}

} // namespace Jujube
