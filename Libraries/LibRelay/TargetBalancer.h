#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibCore/Time.h>
#include <LibRelay/ColdTargetRateLimiter.h>
#include <LibRelay/RelayDocument.h>
#include <LibRelay/RolloutTypes.h>
#include <LibRelay/TargetCooldowns.h>
#include <LibRelay/TargetLoad.h>
#include <LibRelay/TargetRequestLimits.h>
#include <LibRelay/TargetTable.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujube
{

// What a request needs of its target.
struct RunDemand {
    std::string service;
    // Zero for requests that are not generations.
    int64_t promptTokens = 0;
    // Expected output length in tokens.
    int64_t expectedTokens = 0;
    int priority = 0;
    // Whether the run is migrated when its engine is leaving.
    bool isMigratable = false;
};

enum class RunEnd {
    Finished,
    // The target rejected or lost the request, or responded with an error of its own.
    Failed,
    // The target is not to blame.
    Cancelled,
};

// Chooses targets by the load that this relay and, according to their latest heartbeats, its peers have placed on them. The decisions are pure functions of the
// state: the caller passes the time and random numbers.
class TargetBalancer
{
public:
    struct Options {
        std::string region;
        // Region of each data centre.
        std::map<std::string, std::string> regions;
        // Extra cost of another region, in milliseconds.
        double otherRegionCost = 16;
        // Further cost of another region in fleets whose relays report loads across regions with a delay, because many relays may choose the same target there,
        // in milliseconds. It applies to fleets of more than `maxRelaysWithPromptLoads` relays.
        double delayedLoadCost = 90;
        int maxRelaysWithPromptLoads = 12;
        // Prompt tokens that an engine processes per millisecond beside the running generations, with which the prompt's chunks alternate.
        double prefillTokensPerMs = 7.5;
        // Cost of one more run on an engine, in milliseconds.
        double costPerRun = 6;
        // Time in which an engine can transfer its generations when it is leaving, and the cost of each further second that its link would need. Engines leave
        // with a notice of 1.5 to 2 s, of which the notification takes a part; generations that the link cannot transfer by then are lost.
        std::chrono::milliseconds timeToSend {700};
        double sendCostPerSecond = 250;
        // Fraction of an engine's KV cache capacity above which a further run costs more, because the memory may run out.
        double memoryThreshold = 0.85;
        double memoryPressureCost = 6000;
        // Maximum random cost that keeps relays with the same view from choosing the same target, in milliseconds.
        double costJitter = 12;
        // A target to which a connection failed is avoided for this time, and for twice as long after each further failure, up to the maximum.
        std::chrono::milliseconds unreachableTime {1500};
        std::chrono::milliseconds maxUnreachableTime {12000};
        TargetCooldowns::Options cooldowns;
        TargetRequestLimits::Options requestLimits;
    };

    struct Query {
        RunDemand demand;
        std::set<std::string> excluded;
        // Regions in which the target must be. Nothing for anywhere.
        std::optional<std::vector<std::string>> homeRegions;
        int liveRelays = 1;
        ColdRateParticipants coldRateParticipants;
        // A target for whose request limit this request has a reservation that is due.
        std::string reservedTarget;
        // For the copy of a running generation: no run is started, so the cold rate limit does not apply.
        bool isMigration = false;
        // The source of a migration. Copies from different sources go to different destinations where there is capacity, because copies to one target queue
        // behind each other on its link.
        std::string source;
        // Other targets that are leaving at the same time. A sixth of the engines may leave at once, and copies that share a destination's link delay each
        // other. Each destination therefore prefers one of the sources, on which all relays agree.
        std::vector<std::string> otherSources;
        // Only targets of this data centre. Empty for any.
        std::string dataCentre;
        // Only targets on which the run fits below this fraction of the KV cache capacity.
        std::optional<double> maxMemoryShare;
        // Only targets of these versions.
        VersionFilter versions;
        // Targets that may not be used yet, by id. Null for none.
        const absl::flat_hash_set<std::string> *withheld = nullptr;
    };

    struct Choice {
        const KnownTarget *target = nullptr;
        // Number of targets that were examined: all of the service, or a sample of a large fleet.
        int candidates = 0;
        // When the first cooldown of the examined targets ends. Nothing if none has a cooldown.
        std::optional<MonotonicTime> cooldownUntil;
        // Whether a target was left out because of its request limit.
        bool isHeldBack = false;
        // The target at which this relay may send the next request within the limit. Nothing if this relay has no share of any limit.
        const KnownTarget *nextLimited = nullptr;
        MonotonicTime nextLimitedAt;
    };

    explicit TargetBalancer(Options options);

    // The region of a data centre. Empty if it is unknown.
    std::string_view regionOf(const std::string &dataCentre) const;
    // Whether a data centre is in one of the regions. No regions at all allow any data centre.
    bool isHome(const std::optional<std::vector<std::string>> &homes, const std::string &dataCentre) const;

    Choice choose(const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now, uint64_t random) const;

    // Updates for this relay's own runs.
    void onRunStarted(const std::string &request, const std::string &target, const RunDemand &demand, MonotonicTime now);
    void onTokensProduced(const std::string &request, int64_t tokens);
    void onRunEnded(const std::string &request, RunEnd end, MonotonicTime now);
    void markUnreachable(const std::string &target, MonotonicTime now);
    // The target responds, or another one has its id now.
    void markReachable(const std::string &target);
    // An attempt got no usable response, and the request continues elsewhere.
    void onAttemptFailed(const std::string &target, MonotonicTime now);
    // Targets that asked this relay for a cooldown.
    TargetCooldowns &cooldowns()
    {
        return m_cooldowns;
    }
    // Limits on the requests of all relays that targets have named.
    TargetRequestLimits &requestLimits()
    {
        return m_requestLimits;
    }
    // A copy of a run's KV cache that is kept on a target.
    void setCopy(const std::string &request, const std::string &target, int64_t tokens);
    void dropCopy(const std::string &request);
    // A backup of a run. A run that has one needs no copy when its target is leaving.
    void setBackup(const std::string &request, const std::string &target, int64_t tokens);
    void dropBackup(const std::string &request);

    void setPeerLoads(const std::string &peer, std::vector<TargetLoad> loads);
    void dropPeer(const std::string &peer);

    std::vector<TargetLoad> ownLoads() const;
    TargetLoad ownLoad(const std::string &target) const;
    // The load that one peer has placed, on all targets and on one.
    std::vector<TargetLoad> peerLoads(const std::string &peer) const;
    TargetLoad peerLoad(const std::string &peer, const std::string &target) const;
    // Number of tokens that a run has produced so far.
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
        // Number of failed connections in a row, not counting those that failed while the target was avoided.
        int unreachableStreak = 0;
    };

    static TargetLoad loadOf(const Run &run);
    // Whether the version of the target is one of those that the query allows.
    static bool isOfAllowedVersion(const KnownTarget &target, const Query &query);
    // Cost of placing a run on a target, in milliseconds. Nothing if it must not be placed there.
    std::optional<double>
    costOf(const KnownTarget &target, const Query &query, const TargetTable &targets, const RelayService &service, MonotonicTime now) const;
    // Whether the rate limit of the target allows another run of this relay.
    bool mayStart(const KnownTarget &target, const Query &query, const RelayService &service, MonotonicTime now) const;
    double engineCost(const TargetLoad &load, const EngineProfile &engine, const RunDemand &demand) const;
    double serviceCost(const TargetLoad &load, int slots) const;
    double distanceCost(const std::string &dataCentre, int liveRelays) const;
    bool isUnreachable(const std::string &target, MonotonicTime now) const;
    void addOwnLoad(const Run &run, int sign);
    void setHasBackup(const std::string &request, bool hasBackup);
    static void addLoad(Loads &loads, const TargetLoad &load, int sign);
    void recordResult(const std::string &target, bool hasFailed, MonotonicTime now);

    const Options m_options;
    absl::flat_hash_map<std::string, Run> m_runs;
    // Copies of the KV caches of generations, by request.
    absl::flat_hash_map<std::string, TargetLoad> m_copies;
    Loads m_ownLoads;
    absl::flat_hash_map<std::string, std::vector<TargetLoad>> m_peerLoads;
    // Sum of all peers' loads by target.
    Loads m_peerLoadSums;
    absl::flat_hash_map<std::string, Health> m_health;
    ColdTargetRateLimiter m_coldRateLimiter;
    TargetCooldowns m_cooldowns;
    TargetRequestLimits m_requestLimits;
};

} // namespace Jujube
