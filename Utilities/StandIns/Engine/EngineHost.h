#pragma once

#include <absl/status/statusor.h>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <StandIns/Engine/EngineModel.h>
#include <thread>

namespace Jujube
{

// Runs an EngineModel against the clock on a thread of its own, with the lagging reports, the orders and the faults around it. Safe to use from several
// threads.
class EngineHost
{
public:
    struct Options {
        std::string name;
        EngineModel::Options model;
        std::vector<std::string> models;
        // Decides which cache events get lost.
        uint64_t seed = 1;
        // How long the engine is cold after its start and after loading a model.
        std::chrono::milliseconds cold {0};
        std::chrono::milliseconds reportInterval {500};
        bool honourFencing = true;
        int64_t incarnation = 1;
    };

    // The next part of a generation's output.
    struct Output {
        std::vector<std::string> tokens;
        bool done = false;
        // The generation was cancelled or superseded, or the engine stops.
        bool aborted = false;
        // The silence fault froze the connection: nothing more may be written to it.
        bool silenced = false;
        bool cold = false;
        bool splitLines = false;
    };

    explicit EngineHost(Options options);
    ~EngineHost();
    EngineHost(const EngineHost &) = delete;
    EngineHost &operator=(const EngineHost &) = delete;

    // Errors: ErrorKind::UnknownModel, ErrorKind::VersionConflict for an attempt that was superseded.
    absl::StatusOr<EngineModel::GenerationPointer> submit(GenerationRequest request);
    EngineModel::GenerationPointer find(const std::string &id) const;
    bool cancel(const std::string &id);

    // Identifies connections that exist at present; see Output::silenced.
    uint64_t connectionEpoch() const;

    // Waits at most the given time for output from an index on.
    Output waitForOutput(const Generation &generation, size_t from, uint64_t epoch, std::chrono::milliseconds timeout);

    // The last load report.
    nlohmann::json load() const;
    nlohmann::json cacheEventsAfter(uint64_t sequence) const;
    nlohmann::json statistics() const;

    // Errors: ErrorKind::VersionConflict for an old fencing number where it is honoured, ErrorKind::InvalidValue.
    absl::Status order(const nlohmann::json &order);

    // Errors: ErrorKind::UnknownField, ErrorKind::InvalidValue.
    absl::Status injectFaults(const nlohmann::json &faults);

    // Ends all waiting streams.
    void stop();

private:
    struct CacheEvent {
        PrefixCache::Event event;
        MonotonicTime visibleFrom;
    };

    void run();
    void runDueStep(MonotonicTime now);
    void refreshReport(MonotonicTime now);
    void publishCacheEvents(MonotonicTime now);
    void crashIfDue(MonotonicTime now) const;
    absl::Status applyFault(const std::string &name, const nlohmann::json &value, MonotonicTime now);

    const Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_output;
    EngineModel m_model;
    std::set<std::string> m_models;
    std::map<std::string, std::string> m_versions;
    std::string m_role;
    int64_t m_highestFencing = 0;
    int64_t m_ordersAccepted = 0;
    int64_t m_ordersRejected = 0;
    int64_t m_ordersOutOfDate = 0;
    std::deque<CacheEvent> m_cacheEvents;
    nlohmann::json m_report;
    std::optional<MonotonicTime> m_stepDue;
    MonotonicTime m_reportDue;
    bool m_stopping = false;
    uint64_t m_silenceEpoch = 0;
    bool m_reportsFrozen = false;
    bool m_cacheEventsDropped = false;
    bool m_linesSplit = false;
    std::string m_crashPrompt;
    std::vector<EngineModel::GenerationPointer> m_crashing;
    std::optional<MonotonicTime> m_exitDue;
    std::thread m_thread;
};

} // namespace Jujube
