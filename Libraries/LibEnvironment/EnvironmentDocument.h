#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <LibCore/Workload.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// Whether operators allow new work in a data centre.
enum class DataCentreState {
    In,
    Out,
};

// Whether another engine can continue a generation exactly from the tokens produced so far.
enum class Continuation {
    None,
    Exact,
};

// Whether an engine rejects orders with an old fencing token.
enum class Fencing {
    Honoured,
    Ignored,
};

enum class CallMethod {
    Get,
    Post,
};

struct DataCentre {
    DataCentreState state = DataCentreState::In;
    std::string region;
};

// Limits of one workspace over all gateways together. Zero means no limit.
struct WorkspaceLimits {
    uint32_t requestsPerSecond = 0;
    uint32_t tokensPerSecond = 0;
    uint32_t openStreams = 0;
};

struct Workspace {
    WorkspaceTier tier = WorkspaceTier::Trial;
    // SHA-256 of the workspace key, 64 lower-case hexadecimal digits. The key itself is never stored.
    std::string keySha256;
    WorkspaceLimits limits;
};

struct Model {
    Continuation continuation = Continuation::None;
    std::string version;
    // Maximum of max_tokens in a request.
    uint32_t maxTokens = 4096;
};

struct ServiceCall {
    CallMethod method = CallMethod::Post;
    // Path on the target, starting with '/'. Defaults to '/' and the name of the call.
    std::string path;
    // A call that is not repeatable runs at most once per idempotency key.
    bool repeatable = false;
    // Maximum age of a cached response. Zero disables caching.
    std::chrono::milliseconds maxCacheAge {0};
    std::chrono::milliseconds timeout {10000};
};

struct Service {
    std::map<std::string, ServiceCall, std::less<>> calls;
};

// Higher numbers take precedence.
struct Priorities {
    uint32_t draft = 8;
    uint32_t suggestion = 2;

    uint32_t of(GenerationKind kind) const
    {
        return kind == GenerationKind::Draft ? draft : suggestion;
    }
};

// Limits of one gateway.
struct GatewayLimits {
    uint32_t openStreams = 2000;
    uint32_t queuedRequests = 1000;
    // Time after which a queued request is rejected as not run.
    std::chrono::milliseconds queueWait {10000};
    // Retries in percent of first attempts.
    uint32_t retryPercent = 10;
};

// An engine if it has models, or a target of a plain service if it has a service. Never both.
struct TargetEntry {
    // "address:port".
    std::string address;
    std::string dataCentre;
    std::vector<std::string> models;
    std::string service;
    // Whether the engine resumes a stream at GET /generations/{id}?from=N.
    bool resume = true;
    Fencing fencing = Fencing::Ignored;
    // Maximum number of concurrent requests on the target during a cold start.
    uint32_t coldLimit = 1;
    // Capacity of the engine's KV cache in tokens. Zero for targets of plain services.
    uint64_t memoryTokens = 0;

    bool isEngine() const
    {
        return !models.empty();
    }
};

// The description of an environment that operators write (docs/design.md, section 10). The maps are keyed by name.
struct EnvironmentDocument {
    std::string name;
    std::map<std::string, DataCentre, std::less<>> dataCentres;
    std::map<std::string, Workspace, std::less<>> workspaces;
    std::map<std::string, Model, std::less<>> models;
    std::map<std::string, Service, std::less<>> services;
    Priorities priorities;
    GatewayLimits limits;
    std::map<std::string, TargetEntry, std::less<>> targets;
};

std::string_view nameOf(DataCentreState state);
std::string_view nameOf(WorkspaceTier tier);
std::string_view nameOf(Continuation continuation);
std::string_view nameOf(Fencing fencing);
std::string_view nameOf(GenerationKind kind);
std::string_view nameOf(CallMethod method);

// Parses a document. Errors: ErrorKind::InvalidUtf8, or ErrorKind::InvalidDocument with one line "line:column: text" for every error found.
absl::StatusOr<EnvironmentDocument> parseEnvironmentDocument(std::string_view yaml);

} // namespace Jujube
