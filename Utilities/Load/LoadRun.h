#pragma once

#include <Load/FaultInjector.h>
#include <nlohmann/json.hpp>

namespace Jujube
{

// Runs a scenario against running gateways, or against engines directly, and reports on it.
class LoadRun
{
public:
    struct Options {
        Scenario scenario;
        uint64_t seed = 1;
        // "address:port" of the gateways that callers know from the beginning. Empty for reading the engines directly.
        std::vector<std::string> gateways;
        std::vector<EngineEntry> engines;
        // Each client carries a part of the streams on its own thread.
        size_t clients = 2;
        // Announces a fault as it is injected.
        std::function<void(const nlohmann::json &)> announce;
    };

    // Takes as long as the scenario's duration and drain time at most.
    static nlohmann::json run(const Options &options);
};

} // namespace Jujube
