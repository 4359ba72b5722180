#include <Load/Scenario.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>
#include <set>
#include <yaml-cpp/yaml.h>

namespace Jujube
{

using std::chrono::milliseconds;

namespace
{

[[noreturn]] void fail(const YAML::Node &node, const std::string &text)
{
    throw YAML::Exception(node.Mark(), text);
}

void checkFields(const YAML::Node &node, const std::set<std::string> &known)
{
    if (!node.IsMap()) {
        fail(node, "a mapping is expected");
    }
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        if (!known.contains(name)) {
            fail(entry.first, absl::StrCat("unknown field \"", name, "\""));
        }
    }
}

template<typename T>
void read(const YAML::Node &node, const char *field, T &value)
{
    if (node[field]) {
        value = node[field].as<T>();
    }
}

void readSeconds(const YAML::Node &node, const char *field, milliseconds &value)
{
    constexpr double MillisecondsPerSecond = 1000;
    double seconds = 0;
    if (node[field]) {
        read(node, field, seconds);
        value = milliseconds(static_cast<int64_t>(seconds * MillisecondsPerSecond));
    }
}

// A fault body is a flat mapping of switches, numbers and texts.
nlohmann::json readBody(const YAML::Node &node)
{
    nlohmann::json body;
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        const auto text = entry.second.as<std::string>();
        const auto value = nlohmann::json::parse(text, nullptr, false);
        body[name] = value.is_discarded() ? nlohmann::json(text) : value;
    }
    return body;
}

ScenarioWorkspace readWorkspace(const YAML::Node &node)
{
    checkFields(node, {"name", "key", "tier", "share"});
    ScenarioWorkspace workspace;
    read(node, "name", workspace.name);
    read(node, "key", workspace.key);
    read(node, "tier", workspace.tier);
    read(node, "share", workspace.share);
    if (workspace.tier != "paying" && workspace.tier != "trial") {
        fail(node, "the tier must be paying or trial");
    }
    return workspace;
}

ScenarioClass readClass(const YAML::Node &node)
{
    checkFields(node, {"kind", "model", "share", "max_tokens", "shared_prompt_bytes", "own_prompt_bytes", "median_length", "length_sigma"});
    ScenarioClass result;
    read(node, "kind", result.kind);
    read(node, "model", result.model);
    read(node, "share", result.share);
    read(node, "max_tokens", result.maxTokens);
    read(node, "shared_prompt_bytes", result.sharedPromptBytes);
    read(node, "own_prompt_bytes", result.ownPromptBytes);
    read(node, "median_length", result.medianLength);
    read(node, "length_sigma", result.lengthSigma);
    if (result.maxTokens < 1 || result.medianLength <= 0 || result.share < 0) {
        fail(node, "max_tokens and median_length must be positive, and share must not be negative");
    }
    return result;
}

ScenarioBurst readBurst(const YAML::Node &node)
{
    checkFields(node, {"at_s", "for_s", "factor"});
    ScenarioBurst burst;
    readSeconds(node, "at_s", burst.at);
    readSeconds(node, "for_s", burst.duration);
    read(node, "factor", burst.factor);
    return burst;
}

ScenarioFault readFault(const YAML::Node &node)
{
    checkFields(node, {"at_s", "action", "data_centre", "engines", "count", "body"});
    ScenarioFault fault;
    readSeconds(node, "at_s", fault.at);
    read(node, "action", fault.action);
    read(node, "data_centre", fault.dataCentre);
    read(node, "engines", fault.engines);
    read(node, "count", fault.count);
    if (node["body"]) {
        fault.body = readBody(node["body"]);
    }
    return fault;
}

Scenario readScenario(const YAML::Node &node)
{
    checkFields(node,
                {"name",
                 "seed",
                 "duration_s",
                 "warmup_s",
                 "drain_s",
                 "patience_s",
                 "load_factor",
                 "capacity_tokens_per_s",
                 "workspaces",
                 "classes",
                 "bursts",
                 "faults"});
    Scenario scenario;
    read(node, "name", scenario.name);
    read(node, "seed", scenario.seed);
    readSeconds(node, "duration_s", scenario.duration);
    readSeconds(node, "warmup_s", scenario.warmup);
    readSeconds(node, "drain_s", scenario.drain);
    readSeconds(node, "patience_s", scenario.patience);
    read(node, "load_factor", scenario.loadFactor);
    read(node, "capacity_tokens_per_s", scenario.capacityTokensPerSecond);
    for (const auto &entry : node["workspaces"]) {
        scenario.workspaces.push_back(readWorkspace(entry));
    }
    for (const auto &entry : node["classes"]) {
        scenario.classes.push_back(readClass(entry));
    }
    for (const auto &entry : node["bursts"]) {
        scenario.bursts.push_back(readBurst(entry));
    }
    for (const auto &entry : node["faults"]) {
        scenario.faults.push_back(readFault(entry));
    }
    if (scenario.workspaces.empty() || scenario.classes.empty()) {
        fail(node, "at least one workspace and one class are needed");
    }
    return scenario;
}

YAML::Node loadWithBase(const std::string &path, int depth)
{
    constexpr int MaxDepth = 4;
    auto node = YAML::LoadFile(path);
    if (!node.IsMap() || !node["extends"]) {
        return node;
    }
    if (depth == MaxDepth) {
        fail(node["extends"], "too many files extend one another");
    }
    const auto directory = path.substr(0, path.rfind('/') + 1);
    auto base = loadWithBase(directory + node["extends"].as<std::string>(), depth + 1);
    node.remove("extends");
    for (const auto &entry : node) {
        base[entry.first.as<std::string>()] = entry.second;
    }
    return base;
}

} // namespace

absl::StatusOr<Scenario> Scenario::load(const std::string &path)
{
    try {
        return readScenario(loadWithBase(path, 0));
    } catch (const YAML::BadFile &) {
        return makeError(ErrorKind::NotFound, absl::StrCat("cannot read ", path, " or a file that it extends"));
    } catch (const YAML::Exception &error) {
        return makeError(ErrorKind::InvalidDocument, absl::StrCat(path, ": line ", error.mark.line + 1, ": ", error.msg));
    }
}

absl::StatusOr<Scenario> Scenario::parse(const std::string &yaml)
{
    try {
        return readScenario(YAML::Load(yaml));
    } catch (const YAML::Exception &error) {
        return makeError(ErrorKind::InvalidDocument, absl::StrCat("line ", error.mark.line + 1, ": ", error.msg));
    }
}

nlohmann::json Scenario::toJson() const
{
    auto workspaceList = nlohmann::json::array();
    for (const auto &workspace : workspaces) {
        workspaceList.push_back({{"name", workspace.name}, {"key", workspace.key}, {"tier", workspace.tier}, {"share", workspace.share}});
    }
    auto classList = nlohmann::json::array();
    for (const auto &entry : classes) {
        classList.push_back({{"kind", entry.kind}, {"model", entry.model}, {"max_tokens", entry.maxTokens}});
    }
    auto faultList = nlohmann::json::array();
    for (const auto &fault : faults) {
        faultList.push_back({{"at_ms", fault.at.count()}, {"action", fault.action}, {"data_centre", fault.dataCentre}});
    }
    return {{"name", name},
            {"seed", seed},
            {"duration_ms", duration.count()},
            {"warmup_ms", warmup.count()},
            {"drain_ms", drain.count()},
            {"load_factor", loadFactor},
            {"capacity_tokens_per_s", capacityTokensPerSecond},
            {"workspaces", workspaceList},
            {"classes", classList},
            {"faults", faultList}};
}

} // namespace Jujube
