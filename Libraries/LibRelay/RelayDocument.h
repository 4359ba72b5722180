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
    // The request may run any number of times.
    Repeatable,
    // The request must run at most once.
    OneTime,
    // The response is a stream of events. The request must run at most once, unless the route is resumable.
    Stream,
};

std::string_view nameOf(RouteKind kind);

// The part of a route's requests that goes to one service.
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
    // Maximum time until the final response.
    std::chrono::milliseconds timeout {30000};
    // Time within which the response, or the first event of a stream, has its full value.
    std::chrono::milliseconds latencyGoal {1000};
    // Maximum pause between events for which a stream is on time. Zero if none is declared.
    std::chrono::milliseconds eventPauseGoal {0};
    // Zero is the highest priority.
    int priority = 0;
    std::vector<RouteShare> shares;
    // Maximum number of targets on which one request may run.
    int maxAttempts = 1;
    // Whether requests need no workspace key.
    bool isPublic = false;
    std::vector<std::string> homeRegions;
};

// Properties of a service whose targets are model engines.
struct EngineProfile {
    int slots = 1;
    // KV cache capacity of one engine, in tokens.
    int64_t memoryTokens = 0;
    int64_t bytesPerToken = 0;
    double linkMbps = 0;
    // Whether running generations can be migrated to another engine.
    bool canMigrate = false;
    // Whether an engine can keep a backup of a running generation on another engine.
    bool canBackUp = false;
    // Tokens in one event of a stream.
    int tokensPerEvent = 1;
    // How long an engine keeps a copy that is not used.
    std::chrono::milliseconds copyLifetime {5000};

    // Time in which an engine's link transfers the KV cache of so many tokens, in seconds. The link must have a rate.
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
    // Requests per second that a cold target can serve for all relays together. Zero if the service has no cold limit.
    double coldPerSecond = 0;
    std::optional<EngineProfile> engine;
};

struct RelayWorkspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
    std::vector<std::string> homeRegions;
};

// The relayed routes of an environment with the services, workspaces and limits that apply to them. Versions only grow.
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
