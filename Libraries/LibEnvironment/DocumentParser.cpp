#include <LibEnvironment/EnvironmentDocument.h>

#include <LibCore/Error.h>

#include <yaml-cpp/yaml.h>

namespace Jujube
{

namespace
{

template<typename T>
T valueOr(const YAML::Node &node, const char *key, T fallback)
{
    const YAML::Node child = node[key];
    return child ? child.as<T>() : fallback;
}

std::chrono::milliseconds secondsOr(const YAML::Node &node, const char *key, std::chrono::milliseconds fallback)
{
    constexpr double MillisecondsPerSecond = 1000.0;
    const YAML::Node child = node[key];
    return child ? std::chrono::milliseconds(static_cast<int64_t>(child.as<double>() * MillisecondsPerSecond)) : fallback;
}

Workspace readWorkspace(const YAML::Node &node)
{
    Workspace workspace;
    workspace.tier = node["tier"].as<std::string>() == "paying" ? WorkspaceTier::Paying : WorkspaceTier::Trial;
    workspace.keySha256 = node["key_sha256"].as<std::string>();
    if (const YAML::Node limits = node["limits"]) {
        workspace.limits.requestsPerSecond = valueOr<uint32_t>(limits, "requests_per_s", 0);
        workspace.limits.tokensPerSecond = valueOr<uint32_t>(limits, "tokens_per_s", 0);
        workspace.limits.openStreams = valueOr<uint32_t>(limits, "open_streams", 0);
    }
    return workspace;
}

Service readService(const YAML::Node &node)
{
    Service service;
    for (const auto &entry : node["calls"]) {
        const auto name = entry.first.as<std::string>();
        ServiceCall call;
        call.method = valueOr<std::string>(entry.second, "method", "POST") == "GET" ? CallMethod::Get : CallMethod::Post;
        call.path = valueOr<std::string>(entry.second, "path", "/" + name);
        call.repeatable = valueOr(entry.second, "repeatable", call.repeatable);
        call.fresh = secondsOr(entry.second, "fresh_s", call.fresh);
        call.timeout = secondsOr(entry.second, "timeout_s", call.timeout);
        service.calls.emplace(name, call);
    }
    return service;
}

TargetEntry readTarget(const YAML::Node &node)
{
    TargetEntry target;
    target.address = node["address"].as<std::string>();
    target.dataCentre = node["data_centre"].as<std::string>();
    target.models = valueOr(node, "models", target.models);
    target.service = valueOr(node, "service", target.service);
    target.resume = valueOr(node, "resume", target.resume);
    target.fencing = valueOr<std::string>(node, "fencing", "ignored") == "honoured" ? Fencing::Honoured : Fencing::Ignored;
    target.coldLimit = valueOr(node, "cold_limit", target.coldLimit);
    target.memoryTokens = valueOr(node, "memory_tokens", target.memoryTokens);
    return target;
}

EnvironmentDocument readDocument(const YAML::Node &root)
{
    EnvironmentDocument document;
    document.name = root["environment"].as<std::string>();
    for (const auto &entry : root["data_centres"]) {
        const auto state = valueOr<std::string>(entry.second, "state", "in") == "out" ? DataCentreState::Out : DataCentreState::In;
        document.dataCentres[entry.first.as<std::string>()] = {.state = state, .region = entry.second["region"].as<std::string>()};
    }
    for (const auto &entry : root["workspaces"]) {
        document.workspaces[entry.first.as<std::string>()] = readWorkspace(entry.second);
    }
    for (const auto &entry : root["models"]) {
        Model model;
        model.continuation = valueOr<std::string>(entry.second, "continuation", "none") == "exact" ? Continuation::Exact : Continuation::None;
        model.version = valueOr<std::string>(entry.second, "version", "");
        model.maxTokens = valueOr(entry.second, "max_tokens", model.maxTokens);
        document.models[entry.first.as<std::string>()] = model;
    }
    for (const auto &entry : root["services"]) {
        document.services[entry.first.as<std::string>()] = readService(entry.second);
    }
    if (const YAML::Node priorities = root["priorities"]) {
        document.priorities.draft = valueOr(priorities, "draft", document.priorities.draft);
        document.priorities.suggestion = valueOr(priorities, "suggestion", document.priorities.suggestion);
    }
    if (const YAML::Node limits = root["limits"]) {
        document.limits.openStreams = valueOr(limits, "open_streams", document.limits.openStreams);
        document.limits.queuedRequests = valueOr(limits, "queued_requests", document.limits.queuedRequests);
        document.limits.queueWait = secondsOr(limits, "queue_wait_s", document.limits.queueWait);
        document.limits.retryPercent = valueOr(limits, "retry_percent", document.limits.retryPercent);
    }
    for (const auto &entry : root["targets"]) {
        document.targets[entry.first.as<std::string>()] = readTarget(entry.second);
    }
    return document;
}

} // namespace

absl::StatusOr<EnvironmentDocument> parseEnvironmentDocument(std::string_view yaml)
{
    // FIXME: report every mistake with its line and column, and reject unknown keys and wrong references.
    try {
        return readDocument(YAML::Load(std::string(yaml)));
    } catch (const YAML::Exception &error) {
        return makeError(ErrorKind::InvalidDocument, error.what());
    }
}

} // namespace Jujube
