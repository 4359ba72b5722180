#pragma once

#include <functional>
#include <LibHttp/HttpClient.h>
#include <Load/Scenario.h>

namespace Jujube
{

// An engine that the load tool knows, for faults, statistics and direct reading.
struct EngineEntry {
    std::string name;
    std::string dataCentre;
    std::string address;

    // Parses "name=address" or "data-centre/name=address". Errors: ErrorKind::InvalidValue.
    static absl::StatusOr<EngineEntry> parse(const std::string &text);
};

// The engines that a fault is meant for, in the order of the list.
std::vector<EngineEntry> chooseEngines(const ScenarioFault &fault, const std::vector<EngineEntry> &engines);

// Posts a fault's body to the engines that it is meant for. Returns the names of those that did not take it.
std::vector<std::string> injectFault(const ScenarioFault &fault, const std::vector<EngineEntry> &engines, HttpClient &client);

// GET /statistics of every engine; an empty object for each that does not answer.
std::vector<nlohmann::json> readStatistics(const std::vector<EngineEntry> &engines, HttpClient &client);

} // namespace Jujube
