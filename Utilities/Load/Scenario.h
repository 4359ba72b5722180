#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Jujube
{

// A customer of the scenario, with its share of the arrivals.
struct ScenarioWorkspace {
    std::string name;
    std::string key;
    // "paying" or "trial".
    std::string tier;
    double share = 1;
};

// A class of generations, with its share of the arrivals.
struct ScenarioClass {
    // "draft" or "suggestion".
    std::string kind;
    std::string model;
    double share = 1;
    int64_t maxTokens = 1024;
    // Bytes at the start of the prompt that all requests of a workspace share, and bytes that differ.
    size_t sharedPromptBytes = 256;
    size_t ownPromptBytes = 256;
    // Output length in tokens: log-normal.
    double medianLength = 100;
    double lengthSigma = 1;
};

// A period in which arrivals come at a multiple of the usual rate.
struct ScenarioBurst {
    std::chrono::milliseconds at {0};
    std::chrono::milliseconds duration {0};
    double factor = 1;
};

// Something that happens at a point of time. With a body, the body is posted to the faults of the engines chosen; without one, the action is only
// announced on standard output and left to whoever runs the load tool, for example taking a data centre out of service.
struct ScenarioFault {
    std::chrono::milliseconds at {0};
    std::string action;
    // Chooses all engines if both are empty.
    std::string dataCentre;
    std::vector<std::string> engines;
    // Takes at most this many of the chosen engines; zero for all.
    size_t count = 0;
    nlohmann::json body;
};

// One load scenario, as read from its file.
struct Scenario {
    std::string name;
    uint64_t seed = 1;
    std::chrono::milliseconds duration {20000};
    // Generations that arrive before this time are not measured.
    std::chrono::milliseconds warmup {2000};
    // How long to wait for the rest of the generations after the last arrival.
    std::chrono::milliseconds drain {30000};
    // How long a caller tries to get its first token, and to continue an interrupted generation.
    std::chrono::milliseconds patience {20000};
    double loadFactor = 1;
    // What the engines produce at full load.
    double capacityTokensPerSecond = 1000;
    std::vector<ScenarioWorkspace> workspaces;
    std::vector<ScenarioClass> classes;
    std::vector<ScenarioBurst> bursts;
    std::vector<ScenarioFault> faults;

    // Errors: ErrorKind::InvalidDocument with the line of the mistake.
    static absl::StatusOr<Scenario> parse(const std::string &yaml);

    // Reads a file. Its field "extends" names another file in the same directory, whose fields it replaces one by one.
    // Errors: those of parse(), ErrorKind::NotFound.
    static absl::StatusOr<Scenario> load(const std::string &path);

    nlohmann::json toJson() const;
};

} // namespace Jujube
