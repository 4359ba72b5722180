#pragma once

#include <chrono>
#include <LibCore/Time.h>
#include <map>
#include <memory>
#include <StandIns/Engine/PrefixCache.h>
#include <string>
#include <tuple>
#include <vector>

namespace Jujube
{

// What POST /generate asks for. Larger priority numbers are more important.
struct GenerationRequest {
    std::string id;
    int64_t attempt = 1;
    std::string model;
    std::string prompt;
    uint64_t seed = 0;
    int64_t maxTokens = 1024;
    int64_t priority = 0;
    std::string workspace;
    // The token log of a continued generation. Moved to Generation::tokens.
    std::vector<std::string> tokens;
};

// One generation of the engine. The tokens stay available for resuming after the end.
struct Generation {
    enum class State {
        Waiting,
        Running,
        Done,
        Cancelled,
    };

    GenerationRequest request;
    State state = State::Waiting;
    std::vector<std::string> tokens;
    int64_t length = 0;
    int64_t promptTokens = 0;
    // Tokens that have to be computed before the next token can be produced.
    int64_t prefillLeft = 0;
    // Tokens of the log that the generation continues.
    size_t givenTokens = 0;
    // Position in the order of arrival.
    uint64_t order = 0;
    MonotonicTime endedAt;

    int64_t cacheTokens() const
    {
        return promptTokens + static_cast<int64_t>(tokens.size());
    }
};

// Counts for checks of invariants and for reports. The workspaces are those of the requests.
struct EngineStatistics {
    // Preempted workspace, its priority, and the workspace that got the room.
    using PreemptionKey = std::tuple<std::string, int64_t, std::string>;

    int64_t generations = 0;
    int64_t tokensProduced = 0;
    int64_t recomputedTokens = 0;
    int64_t steps = 0;
    int64_t maxRunning = 0;
    int64_t maxRunningWhileCold = 0;
    // Generations that arrived while the engine was cold and had its cold limit of work already, and how long after turning cold the last of them came.
    int64_t startedOverColdLimit = 0;
    std::chrono::milliseconds lastStartOverColdLimit {0};
    int64_t startedAfterLeaving = 0;
    std::chrono::milliseconds lastStartAfterLeaving {0};
    int64_t preemptions = 0;
    std::map<PreemptionKey, int64_t> preemptionsBy;
};

// A small model of an engine with continuous batching and limited cache memory. It has no threads and no clock: its owner calls step() again and again,
// each time after the duration that the previous call returned.
class EngineModel
{
public:
    struct Options {
        // The time of a step with a batch of one.
        std::chrono::microseconds baseStep {20000};
        int64_t memoryTokens = 200000;
        size_t maxBatch = 256;
        // Generations that a cold engine can carry.
        int64_t coldLimit = 2;
        // How long the output of an ended generation is kept.
        std::chrono::milliseconds keep {60000};
    };

    using GenerationPointer = std::shared_ptr<const Generation>;

    explicit EngineModel(Options options);

    // Accepts a generation. A known id is joined if the attempt is the same and superseded if it is higher; returns nothing if it is lower.
    GenerationPointer submit(GenerationRequest request, MonotonicTime now);

    // Returns nothing if the engine does not have the generation.
    GenerationPointer find(const std::string &id) const;

    // Drops the generation and its output. Returns false if the engine does not have it.
    bool cancel(const std::string &id);

    // Ends the step in progress, which produces one token per computed generation, and begins the next. Returns the duration of the new step, or zero if
    // there is no work.
    std::chrono::microseconds step(MonotonicTime now);

    void turnCold(MonotonicTime now, std::chrono::milliseconds duration);
    bool isCold(MonotonicTime now) const
    {
        return now < m_coldUntil;
    }

    void startLeaving(MonotonicTime now);
    bool isLeaving() const
    {
        return m_leaving;
    }

    size_t running() const
    {
        return m_running.size();
    }

    size_t waiting() const
    {
        return m_waiting.size();
    }

    // Cache tokens of the running generations.
    int64_t memoryUsed() const;

    const EngineStatistics &statistics() const
    {
        return m_statistics;
    }

    std::vector<PrefixCache::Event> takeCacheEvents()
    {
        return m_prefixCache.takeEvents();
    }

private:
    using Work = std::shared_ptr<Generation>;

    void countStart(MonotonicTime now);
    void produceTokens(MonotonicTime now);
    void dropOld(MonotonicTime now);
    // Preempts until the running generations can grow by one token each.
    void makeRoomForGrowth();
    void admit();
    // Preempts generations of lower priority if that makes room for the given one.
    bool makeRoomFor(const Generation &generation);
    // The running generation to preempt first: the lowest priority, then the newest.
    std::vector<Work>::iterator victim();
    // The beneficiary is the generation that gets the room; without one, the newest that keeps running counts as it.
    void preempt(std::vector<Work>::iterator position, const Generation *beneficiary);
    // Computes pending prompts within the limit of one step. Returns the number of computed tokens.
    int64_t prefill();
    std::chrono::microseconds stepDuration(int64_t prefilled, MonotonicTime now) const;

    const Options m_options;
    std::map<std::string, Work> m_generations;
    std::vector<Work> m_running;
    std::vector<Work> m_waiting;
    PrefixCache m_prefixCache;
    EngineStatistics m_statistics;
    uint64_t m_lastOrder = 0;
    MonotonicTime m_coldSince;
    MonotonicTime m_coldUntil;
    bool m_leaving = false;
    MonotonicTime m_leavingSince;
};

} // namespace Jujube
