#pragma once

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Which relays keep the origins of streams, and which of them lack some after the live relays have changed.
//
// In small fleets each relay keeps all origins. In larger ones some relays keep each, the first ones in an order on which relays that know each other agree
// (rendezvous hashing, Thaler and Ravishankar, 1998). A relay that joins, restarts or is heard again lacks origins, and when a keeper falls silent, so does the
// next relay in the order. Those that have an origin hand it over: the relay through which the stream began, and the first two of the relays that have stayed,
// so that neither the loss of one relay nor that of a datagram makes a stream unknown. All others send nothing.
class StreamOriginKeepers
{
public:
    struct Options {
        std::string ownNode;
        // Address for other relays.
        std::string ownAddress;
        // Start of this process, as in heartbeats.
        int64_t ownIncarnation = 0;
        // Up to this number of relays, each of them keeps all origins.
        size_t maxSmallFleet = 12;
        // Keepers of each origin in larger fleets, the relay through which the stream began not counted.
        size_t keepers = 3;
        // Relays that hand over an origin, the one through which the stream began not counted.
        size_t senders = 2;
        // A relay that has joined has got its origins after this time. Until then, the relays that had them before are asked as well.
        std::chrono::milliseconds handoverTime {5000};
        // A relay that fell silent may have lost datagrams that were sent so long before its last heartbeat arrived.
        std::chrono::milliseconds silenceMargin {500};
        // What a relay knew that fell silent longer ago is forgotten.
        std::chrono::seconds silenceRetention {60};
    };

    // Another relay that is alive.
    struct Relay {
        std::string node;
        // Address for other relays.
        std::string address;
        // Start of its process.
        int64_t incarnation = 0;
        // When its last heartbeat arrived.
        MonotonicTime heardAt;
    };

    // What a relay hands over.
    enum class HandoverScope {
        // Nothing, because origins are not in use.
        None,
        // All to relays that have started after it, and the origins of streams that began through it to all that have joined. A relay that has just started
        // discovers those that had started before.
        SinceOwnStart,
        All,
    };

    explicit StreamOriginKeepers(Options options);

    // Sets the relays that are alive. Returns whether one of them has joined, restarted or been heard again.
    bool update(std::vector<Relay> live, MonotonicTime now);

    // Addresses of the relays that keep an origin.
    std::vector<std::string> keepersOf(uint64_t key) const;
    // Addresses of the relays that may know an origin: its keepers, and those before the relays that have just joined.
    std::vector<std::string> relaysToAsk(uint64_t key, MonotonicTime now) const;

    // Whether the live relays have changed since the last handover began.
    bool needsHandover() const
    {
        return m_needsHandover;
    }
    // Begins a handover to the relays that are alive now.
    void beginHandover(HandoverScope scope);
    // Addresses of the relays to which this relay has to hand over an origin that it has known since `recordedAt`. `isOwn` tells whether the stream began or
    // went on through this relay.
    std::vector<std::string> receiversOf(uint64_t key, bool isOwn, MonotonicTime recordedAt) const;

private:
    struct Member {
        Relay relay;
        // Since when the relay has been alive without falling silent.
        MonotonicTime since;
        // Its process has the origins that were reported before this time. Nothing for a process that was not known.
        std::optional<MonotonicTime> knowsUntil;

        bool isSameAs(const Member &other) const
        {
            return relay.node == other.relay.node && relay.incarnation == other.relay.incarnation && since == other.since;
        }
    };
    // Sorted by name.
    using Members = std::vector<Member>;
    struct Silent {
        int64_t incarnation = 0;
        MonotonicTime heardAt;
    };

    static const Member *find(const Members &members, const std::string &node);
    // Whether one relay comes before another in the order of an origin.
    static bool isBefore(const Relay &left, const Relay &right, uint64_t key);
    bool isSmall(const Members &members) const
    {
        return members.size() + 1 <= m_options.maxSmallFleet;
    }
    bool isKeeper(const Relay &relay, const Members &members, uint64_t key) const;
    // The first ones of the candidates. All of them in a small fleet.
    std::vector<const Member *> firstOf(std::vector<const Member *> candidates, bool isSmallFleet, uint64_t key) const;
    bool isSender(uint64_t key) const;

    const Options m_options;
    const Relay m_self;
    Members m_members;
    absl::flat_hash_map<std::string, Silent> m_silent;
    bool m_needsHandover = false;
    // The handover in progress: the members before it and in it, those of the former that are gone, and those of the latter that lack origins or have stayed.
    HandoverScope m_scope = HandoverScope::None;
    Members m_former;
    Members m_current;
    std::vector<const Member *> m_gone;
    std::vector<const Member *> m_joined;
    std::vector<const Member *> m_stayed;
};

} // namespace Jujube
