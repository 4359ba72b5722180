#pragma once

#include <chrono>
#include <LibCore/Settings.h>
#include <LibPolicy/PlacementPolicy.h>
#include <string>
#include <vector>

namespace Jujube
{

// The options of a gateway process.
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
    // The incarnation in the VM list. Zero means the start time in milliseconds, which is higher for each replacement.
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
    // Time after its claim in which a one-time call may be sent, and for which other requests with the same key wait for the outcome.
    std::chrono::milliseconds claimDeadline {15000};

    // The settings that fromSettings() reads.
    static std::vector<Setting> settings();

    static GatewayOptions fromSettings(const Settings &settings);
};

} // namespace Jujube
