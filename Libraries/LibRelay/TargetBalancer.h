#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <LibRelay/ColdTargetRateLimiter.h>
#include <LibRelay/RelayDocument.h>
#include <LibRelay/TargetCooldowns.h>
#include <LibRelay/TargetLoad.h>
#include <LibRelay/TargetTable.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujube
{

// What a request will need of its target.
struct RunDemand {
    std::string service;
    // Zero for requests that are not generations.
    int64_t promptTokens = 0;
    // Output length as far as it is known, in tokens.
    int64_t expectedTokens = 0;
    int priority = 0;
    // Is copied to another engine when its engine leaves.
    bool isMigratable = false;
};

enum class RunEnd {
    Finished,
    // The target refused or lost the request, or answered with an error of its own.
    Failed,
    // Nothing is known against the target.
    Cancelled,
};

// Chooses targets by what this gateway and, by their latest heartbeats, the others have placed on them. Pure decisions: the caller passes the time and random
// numbers.
class TargetBalancer
{
public:
    struct Options {
        std::string region;
        // Region of each data centre.
        std::map<std::string, std::string> regions;
        // Extra cost of another region, in milliseconds.
        double otherRegionCost = 16;
        // Further cost of another region in fleets whose relays tell loads across regions with a delay: many may choose the same target there.
        double delayedLoadCost = 90;
        int maxRelaysWithPromptLoads = 12;
        // Prompt tokens that an engine reads in a millisecond beside the running generations, with which the prompt's chunks take turns.
        double prefillTokensPerMs = 7.5;
        // Cost of one more run on an engine, in milliseconds.
        double costPerRun = 6;
        // Time in which an engine can send its generations away when it leaves, and the cost of each further second that its link would need. Load pattern:
        // engines leave with a notice of 1.5 to 2 s, of which the news takes a part; generations that the link cannot send by then are lost.
        std::chrono::milliseconds timeToSend {700};
        double sendCostPerSecond = 250;
        // Part of an engine's memory above which a further run costs more, as memory may run out.
        double memoryThreshold = 0.85;
        double memoryPressureCost = 6000;
        // Random spread that keeps gateways with the same view from choosing the same target, in milliseconds.
        double costJitter = 12;
        // A target that failed to connect is avoided for this time, and for twice as long after each further failure, up to the longest.
        std::chrono::milliseconds unreachableTime {1500};
        std::chrono::milliseconds maxUnreachableTime {12000};
        TargetCooldowns::Options cooldowns;
    };

    struct Query {
        RunDemand demand;
        std::set<std::string> excluded;
        // Regions in which the target must be. Nothing for anywhere.
        std::optional<std::vector<std::string>> homeRegions;
        int liveRelays = 1;
        ColdRateParticipants coldRateParticipants;
        // For a copy of a running generation: no run is started, so the cold rate does not apply.
        bool isMigration = false;
        // The target that the generation leaves. Copies from different targets go to different ones where there is room, because copies to one target queue
        // behind each other on its link.
        std::string source;
        // Other targets that leave at the same time. Load pattern: a sixth of the engines leaves at once, and copies that meet at one link make each other
        // late. Each destination serves one of the sources first, on which all gateways agree.
        std::vector<std::string> otherSources;
        // Only targets of this data centre. Empty for any.
        std::string dataCentre;
        // Only targets in which the run fits below this part of the memory.
        std::optional<double> maxMemoryShare;
    };

    struct Choice {
        const KnownTarget *target = nullptr;
        // Targets that were looked at: all of the service, or a sample of a large fleet.
        int candidates = 0;
        // The first of them that asked to be left alone may get work again then.
        std::optional<MonotonicTime> cooldownUntil;
    };

    explicit TargetBalancer(Options options);

    Choice choose(const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now, uint64_t random) const;

    // Bookkeeping of this gateway's own runs.
    void onRunStarted(const std::string &request, const std::string &target, const RunDemand &demand, MonotonicTime now);
    void onTokensProduced(const std::string &request, int64_t tokens);
    void onRunEnded(const std::string &request, RunEnd end, MonotonicTime now);
    void markUnreachable(const std::string &target, MonotonicTime now);
    // The target answers, or another one has its name now.
    void markReachable(const std::string &target);
    // A send of a request that goes on elsewhere got no usable answer.
    void onAttemptFailed(const std::string &target, MonotonicTime now);
    // Targets that asked this gateway to be left alone for a while.
    TargetCooldowns &cooldowns()
    {
        return m_cooldowns;
    }
    // A copy of a run's memory that is kept on a target.
    void setCopy(const std::string &request, const std::string &target, int64_t tokens);
    void dropCopy(const std::string &request);
    // A copy that grows with the run. While there is one, nothing has to be copied when the run's target leaves.
    void setBackup(const std::string &request, const std::string &target, int64_t tokens);
    void dropBackup(const std::string &request);

    void setPeerLoads(const std::string &peer, std::vector<TargetLoad> loads);
    void dropPeer(const std::string &peer);

    std::vector<TargetLoad> ownLoads() const;
    TargetLoad ownLoad(const std::string &target) const;
    // What one other gateway has placed, on all targets and on one.
    std::vector<TargetLoad> peerLoads(const std::string &peer) const;
    TargetLoad peerLoad(const std::string &peer, const std::string &target) const;
    // Length that a run has produced so far, in tokens.
    int64_t producedTokens(const std::string &request) const;
    TargetLoad loadOf(const std::string &target) const;
    double failureShare(const std::string &target, MonotonicTime now) const;
    void expire(MonotonicTime now);

private:
    struct Run {
        std::string target;
        RunDemand demand;
        int64_t producedTokens = 0;
        bool hasBackup = false;
    };
    using Loads = absl::flat_hash_map<std::string, TargetLoad>;

    struct Health {
        // Exponentially weighted share of failures.
        double failures = 0;
        MonotonicTime updated;
        MonotonicTime unreachableUntil;
        // Connections that failed in a row, not counting those that failed while the target was avoided.
        int unreachableStreak = 0;
    };

    static TargetLoad loadOf(const Run &run);
    // What placing a run on a target would cost, in milliseconds. Nothing if it may not be placed there.
    std::optional<double>
    costOf(const KnownTarget &target, const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now) const;
    // Whether the target's cold rate allows another run of this gateway.
    bool mayStart(const KnownTarget &target, const Query &query, const RelayService &service, MonotonicTime now) const;
    double engineCost(const TargetLoad &load, const EngineProfile &engine, const RunDemand &demand) const;
    double serviceCost(const TargetLoad &load, int slots) const;
    double distanceCost(const std::string &dataCentre, int liveRelays) const;
    bool isUnreachable(const std::string &target, MonotonicTime now) const;
    bool isHome(const std::optional<std::vector<std::string>> &homes, const std::string &dataCentre) const;
    void addOwnLoad(const Run &run, int sign);
    void setHasBackup(const std::string &request, bool hasBackup);
    static void addLoad(Loads &loads, const TargetLoad &load, int sign);
    void recordResult(const std::string &target, bool hasFailed, MonotonicTime now);

    const Options m_options;
    absl::flat_hash_map<std::string, Run> m_runs;
    // Copies of generations' memory, by request.
    absl::flat_hash_map<std::string, TargetLoad> m_copies;
    Loads m_ownLoads;
    absl::flat_hash_map<std::string, std::vector<TargetLoad>> m_peerLoads;
    // Sum of all peers' loads by target.
    Loads m_peerLoadSums;
    absl::flat_hash_map<std::string, Health> m_health;
    ColdTargetRateLimiter m_coldRateLimiter;
    TargetCooldowns m_cooldowns;
};

} // namespace Jujube
