#pragma once

#include <chrono>
#include <cstdint>
#include <LibCore/CallerLimits.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// What may be done with a request of a route when its outcome is unknown.
enum class RouteKind : uint8_t {
    // May run any number of times.
    Repeatable,
    // Must run at most once.
    OneTime,
    // A series of events. Must run at most once, unless the route can be resumed.
    Stream,
};

std::string_view nameOf(RouteKind kind);

// A part of a route's requests that goes to one service.
struct RouteShare {
    std::string service;
    double weight = 1;
};

// One route of the document: requests of a host whose path begins with the prefix.
struct RelayRoute {
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::OneTime;
    // A stream that another target may continue after the last event that was delivered.
    bool resumable = false;
    // Longest time until the final answer.
    std::chrono::milliseconds timeout {30000};
    // Time within which the answer, or the first event, earns its full worth.
    std::chrono::milliseconds latencyGoal {1000};
    // Longest pause between events for which a stream is on time. Zero if none is declared.
    std::chrono::milliseconds eventPauseGoal {0};
    // Zero is the most important one.
    int priority = 0;
    std::vector<RouteShare> shares;
    // Targets that one request may be run on.
    int maxAttempts = 1;
    // Needs no workspace key.
    bool isPublic = false;
    std::vector<std::string> homeRegions;
};

// Properties of a service whose targets are model engines.
struct EngineProfile {
    int slots = 1;
    // Cache memory of one engine in tokens.
    int64_t memoryTokens = 0;
    int64_t bytesPerToken = 0;
    double linkMbps = 0;
    // Whether running generations can be copied to another engine.
    bool canMigrate = false;
    // Whether an engine keeps a copy of a running generation on another engine.
    bool canBackUp = false;
    // Tokens in one event of a stream.
    int tokensPerEvent = 1;
    // How long a copy waits to be used.
    std::chrono::milliseconds copyLifetime {5000};

    // Time in which an engine's link sends the memory of so many tokens, in seconds. The link must have a rate.
    double secondsToSend(int64_t tokens) const
    {
        constexpr double BitsPerByte = 8;
        constexpr double BitsPerMegabit = 1e6;
        return static_cast<double>(tokens) * static_cast<double>(bytesPerToken) * BitsPerByte / (linkMbps * BitsPerMegabit);
    }
};

struct RelayService {
    std::string name;
    std::string healthPath;
    // Connections that one target accepts from all callers together.
    int maxConnections = 0;
    // Requests per second that a cold target bears from all gateways together. Zero if the service has no cold limit.
    double coldPerSecond = 0;
    std::optional<EngineProfile> engine;
};

struct RelayWorkspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
    std::vector<std::string> homeRegions;
};

// The relayed routes of an environment with everything that decides about them. Versions only grow.
struct RelayDocument {
    int64_t version = 0;
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayWorkspace> workspaces;
    // Whether the document names workspaces, so that requests need a key.
    bool requiresKeys = false;
    CallerLimits limits;
};

} // namespace Jujube
