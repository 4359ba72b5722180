#pragma once

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <LibCore/Time.h>
#include <LibPolicy/CrashSuspects.h>
#include <LibPolicy/PromptPartSuspects.h>
#include <LibRelay/ColdTargetRateLimiter.h>
#include <LibRelay/RolloutTypes.h>
#include <LibRelay/ServiceRetryBudget.h>
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

// The heartbeat of one relay.
struct PeerHeartbeat {
    std::string node;
    // Start of the relay's process, in milliseconds since 1970. Heartbeats of an earlier process are ignored.
    int64_t incarnation = 0;
    int64_t sequence = 0;
    // Address for callers. Empty while the relay has not started yet.
    std::string callers;
    // Address for other relays.
    std::string peers;
    std::string dataCentre;
    // Whether callers may be sent to the relay.
    bool accepting = false;
    // Eras of the store to which the versions of the document's table and of the targets belong.
    int64_t documentEra = 0;
    int64_t targetsEra = 0;
    // Version of the newest known change in the document's table.
    int64_t documentTableVersion = 0;
    // All changes of it up to this version of the store are known, those after documentHistoryFrom one by one.
    int64_t documentVersion = 0;
    int64_t documentHistoryFrom = 0;
    // Time since the relay's own last read of it. Nothing before one.
    std::optional<std::chrono::milliseconds> documentAge;
    // Whether the relay is receiving changes of the document's table from the store.
    bool receivingDocument = false;
    // Rate of the link of its VM. Zero if it is unknown.
    double linkMbps = 0;
    // Digest of the targets that the relay knows, the store's version that it corresponds to, and the time since the relay's own last read of the list.
    uint64_t targetsDigest = 0;
    int64_t targetsVersion = 0;
    std::chrono::milliseconds targetsAge {0};
    // Whether the relay reads the store's tables successfully.
    bool reading = false;
    // Whether it reads them, or its reads have failed for a short time only.
    bool trying = false;
    // Maximum time until the next heartbeat to the same receiver.
    std::chrono::milliseconds heartbeatInterval {0};
    // Whether only the name, the numbers and the loads are set.
    bool onlyLoads = false;
    std::vector<TargetLoad> loads;
    // Targets that changed recently.
    std::vector<TargetEntry> targets;
    std::vector<TargetCrash> crashes;
    std::vector<PromptPartCrash> promptCrashes;
    std::vector<SoundPromptPart> soundParts;
    // Addresses of further relays.
    std::vector<std::string> known;
    // Request limits that the relay has received from targets recently.
    std::vector<TargetRequestLimits::Statement> requestLimits;
    // Number of relays that the relay knows, itself and those that have been silent for a while included.
    int knownRelays = 0;
    // Plans of rollouts that the relay knows, and their number, because a heartbeat may not have room for all. Nothing before the relay knows them.
    std::vector<RolloutNotice> rollouts;
    std::optional<int> rolloutCount;
};

// Another relay, as described by its latest heartbeat. Its loads on targets are kept by the TargetBalancer.
struct Peer {
    PeerHeartbeat latestHeartbeat;
    MonotonicTime receivedAt;
};

// A relay that has been heard, and the time since then.
struct PeerSilence {
    std::string node;
    // Start of its process, in milliseconds since 1970.
    int64_t incarnation = 0;
    std::chrono::milliseconds time {0};
};

// The other relays of the environment. Addresses come from the seeds, from the store and from heartbeats; a relay is alive while its heartbeats arrive.
class PeerTable
{
public:
    struct Options {
        std::string ownAddress;
        std::string ownName;
        std::string region;
        // Region of each data centre.
        std::map<std::string, std::string> regions;
        // A relay counts as dead if no heartbeat arrives for this time, or for some of its announced heartbeat intervals if that is longer.
        std::chrono::milliseconds silenceTimeout {2500};
        std::chrono::milliseconds maxSilenceTimeout {6000};
        // Relays that have been silent for longer have no share of the rate of cold targets any more.
        std::chrono::seconds participantRetention {30};
        // The same for budgets of all relays while half or more of the relays are silent, because they may still be running where this relay cannot hear them.
        std::chrono::minutes maxKnownRetention {10};
        // Time after which a started relay has discovered its peers through its seeds.
        std::chrono::milliseconds discoveryTime {2000};
        // Time after which addresses are forgotten that were never heard from or have become silent.
        std::chrono::seconds retention {120};
        // Interval between heartbeats to an address that does not respond.
        std::chrono::milliseconds probeInterval {2000};
    };

    // The effect of a heartbeat.
    enum class Change {
        None,
        Joined,
        Stale,
    };

    PeerTable(Options options, MonotonicTime now);

    void addAddress(const std::string &address, MonotonicTime now);
    // Processes a heartbeat. One with loads only has no effect but to show that its sender is alive; it is stale if its sender is not known.
    Change handleHeartbeat(const PeerHeartbeat &heartbeat, MonotonicTime now);

    // Which relays get a heartbeat.
    enum class RecipientScope {
        // Live relays in this relay's region.
        Region,
        // Live relays in other regions and, at longer intervals, addresses that do not respond.
        OutsideRegion,
        // Live relays in other regions.
        LiveOutsideRegion,
    };
    std::vector<std::string> recipients(RecipientScope scope, MonotonicTime now);

    // Live relays in this relay's region, without this one.
    std::vector<const Peer *> livePeersInRegion(MonotonicTime now) const;
    // Whether this relay reports the loads of its region to other regions: the first live relay of the region by name.
    bool isRegionRepresentative(const std::string &ownName, MonotonicTime now) const;

    // Addresses of the relays that get all parts of each crash in a large fleet, this one possibly among them: one in each region and a few in all. Relays that
    // know each other agree on them.
    std::vector<std::string> crashJudges(MonotonicTime now) const;

    // Names of relays that have fallen silent since the last call.
    std::vector<std::string> expire(MonotonicTime now);

    std::vector<const Peer *> livePeers(MonotonicTime now) const;
    // Whether the heartbeat is of a later process than the one known of its relay.
    bool isRestarted(const PeerHeartbeat &heartbeat) const
    {
        const auto found = m_peers.find(heartbeat.node);
        return found != m_peers.end() && found->second.latestHeartbeat.incarnation < heartbeat.incarnation;
    }
    // Whether the relay has been heard recently, live or silent.
    bool isKnown(const std::string &node) const
    {
        return m_peers.contains(node);
    }
    // The relays that have been heard within this time, which is at most the retention, live or silent.
    std::vector<PeerSilence> heardWithin(std::chrono::milliseconds time, MonotonicTime now) const;
    // Whether this relay has run for long enough to have discovered its peers.
    bool hasDiscoveredPeers(MonotonicTime now) const
    {
        return now - m_startedAt >= m_options.discoveryTime;
    }
    // Number of live relays, this one included.
    int liveRelayCount(MonotonicTime now) const;
    // The relays among which the rate of a cold target is divided. Valid until the table changes.
    ColdRateParticipants coldRateParticipants(MonotonicTime now) const;
    // The relays among which request limits are divided, without the properties of a target. Valid until the table changes.
    RequestLimitParticipants requestLimitParticipants(MonotonicTime now) const;
    // Number of relays that may be sending requests, this one and those that have been silent for a while included, as known by this relay alone.
    int knownRelayCount() const
    {
        return static_cast<int>(m_lastHeard.size()) + 1;
    }
    // The same, as known by this relay and its live peers, because the part of a relay that loses its connections must not grow.
    SharingRelays sharingRelays() const
    {
        return {.count = std::max(knownRelayCount(), m_peersKnownRelays)};
    }
    // Some addresses of live relays, for the next heartbeat. Different random numbers select different ones, so that all become known over time.
    std::vector<std::string> knownAddresses(size_t maxCount, MonotonicTime now, uint64_t random) const;

private:
    struct Address {
        MonotonicTime addedAt;
        MonotonicTime receivedAt;
        MonotonicTime probedAt;
        // How long the relay at the address counts as alive without a further heartbeat.
        std::chrono::milliseconds silenceTimeout {0};
        bool hasBeenHeard = false;
        // Whether a relay of this region has the address.
        bool isInOwnRegion = false;
    };

    bool isInRegion(const std::string &dataCentre) const;
    std::chrono::milliseconds silenceTimeoutOf(const PeerHeartbeat &heartbeat) const;
    bool isAlive(const Peer &peer, MonotonicTime now) const;
    void updateColdRateParticipants(MonotonicTime now);
    void updateRequestLimitParticipants(MonotonicTime now);
    std::string regionOf(const std::string &dataCentre) const;

    const Options m_options;
    absl::flat_hash_map<std::string, Address> m_addresses;
    absl::flat_hash_map<std::string, Peer> m_peers;
    std::set<std::string> m_live;
    MonotonicTime m_startedAt;
    uint64_t m_ownHash = 0;
    // Hashes of the names of relays that were heard from recently.
    std::vector<uint64_t> m_coldRateParticipants;
    // When each other relay was heard last, by the hash of its name.
    absl::flat_hash_map<uint64_t, MonotonicTime> m_lastHeard;
    std::vector<RequestLimitParticipants::Relay> m_liveOthers;
    // Maximum number of relays that a live peer knows.
    int m_peersKnownRelays = 0;
};

} // namespace Jujube
