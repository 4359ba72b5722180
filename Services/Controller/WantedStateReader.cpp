#include "WantedStateReader.h"

#include <LibCore/Error.h>
#include <map>
#include <yaml-cpp/yaml.h>

namespace Jujube
{

namespace
{

std::string textOr(const YAML::Node &node, const char *name, const std::string &fallback)
{
    return node[name] ? node[name].as<std::string>() : fallback;
}

// The declared version of each model; empty if none is declared.
std::map<std::string, std::string> readVersions(const YAML::Node &models)
{
    std::map<std::string, std::string> versions;
    for (const auto &item : models) {
        versions[item.first.as<std::string>()] = item.second.IsMap() ? textOr(item.second, "version", "") : "";
    }
    return versions;
}

bool isInService(const YAML::Node &dataCentres, const std::string &name)
{
    const auto dataCentre = dataCentres[name];
    return !dataCentre || textOr(dataCentre, "state", "in") == "in";
}

WantedTarget readTarget(const YAML::Node &node, const std::string &name, const YAML::Node &document, const std::map<std::string, std::string> &versions)
{
    WantedTarget target;
    target.target = textOr(node, "address", name);
    target.dataCentre = textOr(node, "data_centre", "");
    target.honoursFencing = textOr(node, "fencing", "ignored") == "honoured";
    target.inService = !document["data_centres"] || isInService(document["data_centres"], target.dataCentre);
    target.role = textOr(node, "role", "");
    target.coldLimit = node["cold_limit"] ? node["cold_limit"].as<int>() : 0;
    for (const auto &model : node["models"]) {
        const auto modelName = model.as<std::string>();
        const auto version = versions.find(modelName);
        target.models.push_back({.model = modelName, .version = version == versions.end() ? "" : version->second});
    }
    return target;
}

} // namespace

absl::StatusOr<std::vector<WantedTarget>> readWantedTargets(const std::string &document)
{
    std::vector<WantedTarget> targets;
    try {
        const auto root = YAML::Load(document);
        const auto versions = readVersions(root["models"]);
        const auto list = root["targets"];
        for (const auto &item : list) {
            const bool isNamed = list.IsMap();
            targets.push_back(readTarget(isNamed ? item.second : item, isNamed ? item.first.as<std::string>() : "", root, versions));
        }
    } catch (const YAML::Exception &error) {
        return makeError(ErrorKind::InvalidDocument, error.what());
    }
    return targets;
}

} // namespace Jujube
