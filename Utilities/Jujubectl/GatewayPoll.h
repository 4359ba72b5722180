#pragma once

#include <absl/status/statusor.h>
#include <LibHttp/HttpClient.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// A gateway as the VM list or the settings name it.
struct GatewayAddress {
    std::string name;
    // "address:port".
    std::string address;
    std::string dataCentre;
    bool leaving = false;
};

// What one gateway says about its environment document.
struct GatewayReport {
    GatewayAddress gateway;
    // Empty if the gateway answered.
    std::string problem;
    std::string environment;
    uint64_t version = 0;
    std::string digest;
    std::optional<std::chrono::milliseconds> age;
    std::optional<std::chrono::milliseconds> confirmedAge;

    bool answered() const
    {
        return problem.empty();
    }
};

// Asks all gateways for GET /environment, several at once, and returns their reports in the same order.
std::vector<GatewayReport> pollGateways(HttpClient &client, const std::vector<GatewayAddress> &gateways, std::chrono::milliseconds timeout);

} // namespace Jujube
