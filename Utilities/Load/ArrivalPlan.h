#pragma once

#include <Load/Scenario.h>
#include <string>
#include <vector>

namespace Jujube
{

// One generation that a caller will ask for.
struct Arrival {
    std::chrono::microseconds at {0};
    size_t workspace = 0;
    size_t classIndex = 0;
    std::string prompt;
    // The number of tokens of the complete answer.
    int64_t length = 0;
    // Differs between arrivals; where the caller is, and its idempotency key.
    uint64_t number = 0;
};

// All arrivals of a scenario in the order of their time. The result is a function of the scenario and the seed, so that policies are compared on the same
// load.
std::vector<Arrival> planArrivals(const Scenario &scenario, uint64_t seed);

} // namespace Jujube
