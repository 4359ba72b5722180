#pragma once

#include <LibPolicy/MemoryForecastPolicy.h>

namespace Jujube
{

using namespace std::chrono_literals;

constexpr MonotonicTime Start {1000s};

// A policy with targets named "t0", "t1" and so on, with 10,000 tokens of memory each, distributed in turn over three data centres in two regions.
struct PolicyFixture {
    explicit PolicyFixture(size_t targets, PlacementOptions options = {}, int coldLimit = 0)
        : policy(makePlacementPolicy(options))
    {
        constexpr std::array<const char *, 3> DataCentres {"lahore", "sialkot", "karachi"};
        for (size_t i = 0; i < targets; ++i) {
            policy->fleet().setTarget({.name = "t" + std::to_string(i),
                                       .dataCentre = DataCentres[i % 3],
                                       .region = i % 3 == 2 ? "sindh" : "punjab",
                                       .models = {"m"},
                                       .memoryTokens = 10000,
                                       .coldLimit = coldLimit});
            report(i, {});
        }
    }

    // Advances the time by more than the interval between surveys, so that each report triggers a survey of the fleet.
    void report(size_t index, LoadReport load)
    {
        now += 300ms;
        load.memoryLimit = load.memoryLimit > 0 ? load.memoryLimit : 10000;
        load.incarnation = load.incarnation > 0 ? load.incarnation : 1;
        policy->loadReported("t" + std::to_string(index), load, 0s, now);
    }

    PlacementRequest request(const std::string &id, WorkspaceTier tier = WorkspaceTier::Paying, const std::string &workspace = "w") const
    {
        PlacementRequest placementRequest;
        placementRequest.id = id;
        placementRequest.workspace = workspace;
        placementRequest.tier = tier;
        placementRequest.model = "m";
        placementRequest.promptTokens = 100;
        placementRequest.dataCentre = "lahore";
        placementRequest.region = "punjab";
        return placementRequest;
    }

    // Name of the chosen target, "wait" or "reject".
    std::string place(const PlacementRequest &placementRequest)
    {
        const auto decision = policy->place(placementRequest, now, random.next());
        if (const auto *placed = std::get_if<PlaceOnTarget>(&decision)) {
            return placed->target;
        }
        return std::holds_alternative<WaitUntil>(decision) ? "wait" : "reject";
    }

    std::unique_ptr<PlacementPolicy> policy;
    MonotonicTime now = Start;
    SplitMix random {7};
};

} // namespace Jujube
