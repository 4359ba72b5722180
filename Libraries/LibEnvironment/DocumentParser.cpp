#include <LibEnvironment/DocumentParser.h>

#include <LibCore/AbslView.h>
#include <LibCore/Error.h>
#include <LibEnvironment/DocumentTree.h>

#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

// The design size is 8 data centres, 550 workspaces, 7 models and 2,800 targets. The limits allow several times as many.
constexpr size_t MaxDataCentres = 64;
constexpr size_t MaxWorkspaces = 4000;
constexpr size_t MaxModels = 128;
constexpr size_t MaxServices = 64;
constexpr size_t MaxCalls = 64;
constexpr size_t MaxTargets = 10000;

constexpr size_t MaxTextBytes = 64;
constexpr size_t MaxPathBytes = 256;
constexpr uint64_t MaxRate = 100'000'000;
constexpr uint64_t MaxCount = 1'000'000;
constexpr uint64_t MaxTokensPerResponse = 1'000'000;
constexpr uint64_t MaxMemoryTokens = 1'000'000'000;
constexpr uint64_t MaxPriority = 9;
constexpr uint64_t MaxPercent = 100;
constexpr auto MaxCacheAge = 1h;
constexpr auto MinTimeout = 10ms;
constexpr auto MaxTimeout = 120s;
// Requests that find the claim of another request wait at most this long for its outcome (docs/design.md, section 9). If a call ran longer, they would get
// the response that the outcome is unknown while the call still runs.
constexpr auto MaxOneTimeTimeout = 15s;
constexpr auto MaxQueueWait = 600s;

bool isSha256(std::string_view text)
{
    constexpr size_t Sha256Digits = 64;
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == Sha256Digits && std::all_of(text.begin(), text.end(), isDigit);
}

// Accepts "127.0.0.1:8301" and "[::1]:8301". Targets are reached by IP address, so host names are not accepted.
bool isIpAddressWithPort(const std::string &text)
{
    constexpr uint32_t MaxPort = 65535;
    const auto colon = text.rfind(':');
    uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > MaxPort) {
        return false;
    }
    const auto host = text.substr(0, colon);
    in6_addr parsed {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &parsed) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

bool isPath(std::string_view path)
{
    constexpr std::string_view Forbidden = " ?#%\\\t\r\n";
    return path.starts_with('/') && path.find_first_of(Forbidden) == std::string_view::npos;
}

} // namespace

EnvironmentDocument DocumentParser::read(const DocumentNode &root)
{
    using Entry = void (DocumentParser::*)(const std::string &, const DocumentNode &, const std::string &);
    const auto entries = [this](Entry entry) {
        return [this, entry](const std::string &name, const DocumentNode &node, const std::string &path) { (this->*entry)(name, node, path); };
    };
    MapReader reader(root, "", m_errors);
    if (const auto *name = reader.require("environment"); name && reader.readText("environment", m_document.name, MaxTextBytes)) {
        if (!isDocumentName(m_document.name)) {
            reader.report(*name, "environment", "must be a name from a-z, 0-9, '.', '_' and '-'");
        }
    }
    reader.require("data_centres");
    reader.readEntries("data_centres", MaxDataCentres, entries(&DocumentParser::readDataCentre));
    reader.readEntries("workspaces", MaxWorkspaces, entries(&DocumentParser::readWorkspace));
    reader.readEntries("models", MaxModels, entries(&DocumentParser::readModel));
    reader.readEntries("services", MaxServices, entries(&DocumentParser::readService));
    readPriorities(reader);
    readGatewayLimits(reader);
    // Targets are read last, because they refer to the other sections, whose order in the text is free.
    reader.readEntries("targets", MaxTargets, entries(&DocumentParser::readTarget));
    reader.finish();
    return std::move(m_document);
}

void DocumentParser::readDataCentre(const std::string &name, const DocumentNode &node, const std::string &path)
{
    MapReader reader(node, path, m_errors);
    DataCentre dataCentre;
    reader.readEnum("state", dataCentre.state, {DataCentreState::In, DataCentreState::Out});
    reader.require("region");
    reader.readText("region", dataCentre.region, MaxTextBytes);
    reader.finish();
    m_document.dataCentres.emplace(name, std::move(dataCentre));
}

void DocumentParser::readWorkspace(const std::string &name, const DocumentNode &node, const std::string &path)
{
    MapReader reader(node, path, m_errors);
    Workspace workspace;
    reader.require("tier");
    reader.readEnum("tier", workspace.tier, {WorkspaceTier::Paying, WorkspaceTier::Trial});
    readKeyHash(reader, name, workspace.keySha256);
    readWorkspaceLimits(reader, path, workspace.limits);
    reader.finish();
    m_document.workspaces.emplace(name, std::move(workspace));
}

void DocumentParser::readKeyHash(MapReader &reader, const std::string &name, std::string &hash)
{
    const auto *node = reader.require("key_sha256");
    if (!node || !reader.readText("key_sha256", hash, MaxTextBytes)) {
        return;
    }
    if (!isSha256(hash)) {
        reader.report(*node, "key_sha256", "must have 64 lower-case hexadecimal digits");
        return;
    }
    const auto [owner, inserted] = m_keyHashOwners.emplace(hash, name);
    if (!inserted) {
        reader.report(*node, "key_sha256", absl::StrCat("is the key of workspace \"", owner->second, "\" already"));
    }
}

void DocumentParser::readWorkspaceLimits(MapReader &reader, const std::string &path, WorkspaceLimits &limits)
{
    const auto *node = reader.find("limits");
    if (!node) {
        return;
    }
    MapReader fields(*node, path + ".limits", m_errors);
    fields.readNumber("requests_per_s", limits.requestsPerSecond, 0, MaxRate);
    fields.readNumber("tokens_per_s", limits.tokensPerSecond, 0, MaxRate);
    fields.readNumber("open_streams", limits.openStreams, 0, MaxCount);
    fields.finish();
}

void DocumentParser::readModel(const std::string &name, const DocumentNode &node, const std::string &path)
{
    MapReader reader(node, path, m_errors);
    Model model;
    reader.readEnum("continuation", model.continuation, {Continuation::None, Continuation::Exact});
    reader.readText("version", model.version, MaxTextBytes);
    reader.readNumber("max_tokens", model.maxTokens, 1, MaxTokensPerResponse);
    reader.finish();
    m_document.models.emplace(name, std::move(model));
}

void DocumentParser::readService(const std::string &name, const DocumentNode &node, const std::string &path)
{
    MapReader reader(node, path, m_errors);
    Service service;
    reader.require("calls");
    reader.readEntries("calls", MaxCalls, [this, &service](const std::string &callName, const DocumentNode &callNode, const std::string &callPath) {
        service.calls.emplace(callName, readCall(callName, callNode, callPath));
    });
    reader.finish();
    m_document.services.emplace(name, std::move(service));
}

ServiceCall DocumentParser::readCall(const std::string &name, const DocumentNode &node, const std::string &path)
{
    MapReader reader(node, path, m_errors);
    ServiceCall call {.path = "/" + name};
    reader.readEnum("method", call.method, {CallMethod::Get, CallMethod::Post});
    if (reader.readText("path", call.path, MaxPathBytes) && !isPath(call.path)) {
        reader.report(*reader.find("path"), "path", "must start with '/' and have no space, '?', '#', '%' or '\\'");
    }
    reader.readBool("repeatable", call.repeatable);
    reader.readSeconds("fresh_s", call.maxCacheAge, 0s, MaxCacheAge);
    reader.readSeconds("timeout_s", call.timeout, MinTimeout, MaxTimeout);
    if (call.method == CallMethod::Get && !call.repeatable) {
        reader.report("a GET call must be repeatable");
    }
    if (call.method != CallMethod::Get && call.maxCacheAge > 0s) {
        reader.report(*reader.find("fresh_s"), "fresh_s", "only answers to GET calls are cached");
    }
    if (!call.repeatable && call.timeout > MaxOneTimeTimeout) {
        reader.report(
            *reader.find("timeout_s"), "timeout_s", absl::StrCat("must be at most ", MaxOneTimeTimeout.count(), " for a call that is not repeatable"));
    }
    reader.finish();
    return call;
}

void DocumentParser::readPriorities(MapReader &root)
{
    const auto *node = root.find("priorities");
    if (!node) {
        return;
    }
    MapReader reader(*node, "priorities", m_errors);
    reader.readNumber(nameOf(GenerationKind::Draft), m_document.priorities.draft, 0, MaxPriority);
    reader.readNumber(nameOf(GenerationKind::Suggestion), m_document.priorities.suggestion, 0, MaxPriority);
    reader.finish();
}

void DocumentParser::readGatewayLimits(MapReader &root)
{
    const auto *node = root.find("limits");
    if (!node) {
        return;
    }
    auto &limits = m_document.limits;
    MapReader reader(*node, "limits", m_errors);
    reader.readNumber("open_streams", limits.openStreams, 1, MaxCount);
    reader.readNumber("queued_requests", limits.queuedRequests, 0, MaxCount);
    reader.readSeconds("queue_wait_s", limits.queueWait, 0s, MaxQueueWait);
    reader.readNumber("retry_percent", limits.retryPercent, 0, MaxPercent);
    reader.finish();
}

void DocumentParser::readTarget(const std::string &name, const DocumentNode &node, const std::string &path)
{
    MapReader reader(node, path, m_errors);
    TargetEntry target;
    readAddress(reader, name, target.address);
    const auto *dataCentre = reader.require("data_centre");
    if (dataCentre && reader.readText("data_centre", target.dataCentre, MaxTextBytes) && !m_document.dataCentres.contains(target.dataCentre)) {
        reader.report(*dataCentre, "data_centre", absl::StrCat("the data centre \"", target.dataCentre, "\" is not in data_centres"));
    }
    readModelsAndService(reader, target);
    reader.readNumber("cold_limit", target.coldLimit, 1, MaxCount);
    readEngineFields(reader, target);
    reader.finish();
    m_document.targets.emplace(name, std::move(target));
}

void DocumentParser::readAddress(MapReader &reader, const std::string &name, std::string &address)
{
    const auto *node = reader.require("address");
    if (!node || !reader.readText("address", address, MaxTextBytes)) {
        return;
    }
    if (!isIpAddressWithPort(address)) {
        reader.report(*node, "address", absl::StrCat("\"", address, "\" is not an IP address and port of the form 10.0.0.1:8301"));
        return;
    }
    const auto [owner, inserted] = m_addressOwners.emplace(address, name);
    if (!inserted) {
        reader.report(*node, "address", absl::StrCat("is the address of target \"", owner->second, "\" already"));
    }
}

void DocumentParser::readModelsAndService(MapReader &reader, TargetEntry &target)
{
    for (const auto *item : reader.readItems("models", MaxModels)) {
        if (!m_document.models.contains(item->text)) {
            reader.report(*item, "models", absl::StrCat("the model \"", item->text, "\" is not in models"));
        }
        if (std::find(target.models.begin(), target.models.end(), item->text) != target.models.end()) {
            reader.report(*item, "models", absl::StrCat("the model \"", item->text, "\" is listed twice"));
        }
        target.models.push_back(item->text);
    }
    const auto *service = reader.find("service");
    if (service && reader.readText("service", target.service, MaxTextBytes) && !m_document.services.contains(target.service)) {
        reader.report(*service, "service", absl::StrCat("the service \"", target.service, "\" is not in services"));
    }
    if ((service != nullptr) == !target.models.empty()) {
        reader.report("must have either models or a service");
    }
}

void DocumentParser::readEngineFields(MapReader &reader, TargetEntry &target)
{
    reader.readBool("resume", target.resume);
    reader.readEnum("fencing", target.fencing, {Fencing::Honoured, Fencing::Ignored});
    reader.readNumber("memory_tokens", target.memoryTokens, 1, MaxMemoryTokens);
    if (target.isEngine()) {
        reader.require("memory_tokens");
        return;
    }
    for (const std::string_view key : {"resume", "fencing", "memory_tokens"}) {
        if (const auto *node = reader.find(key)) {
            reader.report(*node, key, "applies to model engines only");
        }
    }
}

absl::StatusOr<EnvironmentDocument> parseEnvironmentDocument(std::string_view yaml)
{
    DocumentErrors errors;
    const auto root = parseDocumentTree(yaml, errors);
    if (!root.ok()) {
        return root.status();
    }
    auto document = DocumentParser(errors).read(*root);
    if (auto status = errors.toStatus(); !status.ok()) {
        return status;
    }
    return document;
}

} // namespace Jujube
