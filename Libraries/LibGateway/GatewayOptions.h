#pragma once

#include <chrono>
#include <LibCore/Settings.h>
#include <LibPolicy/PlacementPolicy.h>
#include <string>
#include <vector>

namespace Jujube
{

// What a gateway process is told at its start.
struct GatewayOptions {
    std::string name;
    std::string dataCentre;
    std::string region;
    // "address:port" for callers and operators.
    std::string listen = "127.0.0.1:0";
    // UDP "address:port" for heartbeats. The port of `listen` by default.
    std::string gossip;
    std::vector<std::string> peers;
    // "address:port" of the platform.
    std::string platform;
    std::string environment;
    // As in the VM list. Zero stands for the start time in milliseconds, which is higher for each replacement.
    int64_t incarnation = 0;
    std::string cursorKey;
    std::string previousCursorKey;
    std::string clusterKey;
    PlacementPolicyKind policy = PlacementPolicyKind::MemoryForecast;
    int threads = 512;
    std::chrono::milliseconds documentInterval {1000};
    std::chrono::milliseconds loadInterval {250};
    std::chrono::milliseconds vmListInterval {1000};
    std::chrono::milliseconds silenceTimeout {3000};
    std::chrono::milliseconds keepAliveInterval {5000};
    // How long the claim of a one-time call may be used, and how long others wait for its outcome.
    std::chrono::milliseconds claimDeadline {15000};

    // The settings that parse() reads.
    static std::vector<Setting> settings();

    static GatewayOptions fromSettings(const Settings &settings);
};

} // namespace Jujube
