#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Jujube
{

// The connectivity of a gateway. The names are those of the rules in docs/design.md, section 10.
enum class Connectivity {
    // This gateway reaches the platform.
    Connected,
    // A peer in contact with this gateway reaches the platform.
    ThroughPeers,
    // A majority of the known gateways is in contact, and none of them reaches the platform.
    PlatformDown,
    // Only a minority of the known gateways is in contact and none of them reaches the platform, but not yet for long enough to count as isolated.
    Minority,
    // No contact with the platform or any peer for 3 s, or contact with only a minority and without the platform for 10 s.
    Isolated,
};

std::string_view nameOf(Connectivity connectivity);

// What a gateway may do. Running generations always continue: stopping them would lose drafts and protect nothing, because their targets were chosen while the
// choice was permitted. The continuation of a running draft on another engine counts as running work.
struct ConnectivityPermissions {
    // New work may be sent to targets according to the document in force. Otherwise new drafts stay in the queue until their queue wait ends, because the first
    // document that the gateway receives after regaining contact may take a data centre out of service.
    bool newWork = false;
    // One-time calls may be tried; only the claim in the table service decides whether a call runs. Otherwise they are rejected at once as not run.
    bool oneTimeCalls = false;

    bool operator==(const ConnectivityPermissions &) const = default;
};

// Returns what a state permits. The reasons:
//
// Connected: everything.
//
// ThroughPeers: everything. The document in force is confirmed through the peers. One-time calls are tried although the latest read of the platform failed,
// because the claim makes them safe: if it cannot be written, the call is rejected as not run. Rejecting them without a try would fail calls during every
// short fault of one connection and save no more than one timeout.
//
// PlatformDown: new work. As far as can be known, no newer document was accepted if no gateway of the majority can have seen it (the design states the limits
// of this rule). One-time calls are rejected at once: no claim can be written, and repeated tries would add load to a table service that is recovering.
//
// Minority: the same as PlatformDown. With 390 gateways that each receive heartbeats from a few peers, a short loss of the majority is common, and rejecting
// work for it would cost more than it protects. The time until Isolated limits how long an old document can be used.
//
// Isolated: no new work. A data centre may have been taken out of service in the meantime (invariant I3), and other gateways can do the work.
ConnectivityPermissions permissionsOf(Connectivity connectivity);

// Distinguishes an outage of the platform from the isolation of one gateway. A pure state machine that gets observations and the current time as arguments.
// The result depends only on the times of the latest observations, so a process that was frozen is Isolated after the freeze until it receives new ones.
class ConnectivityTracker
{
public:
    struct Options {
        // Name of this gateway, which counts as in contact with itself.
        std::string self;
        // Time since the last contact after which the platform or a peer counts as out of contact.
        std::chrono::milliseconds contactTimeout {3000};
        // Time without the platform and without a majority after which the gateway counts as isolated.
        std::chrono::milliseconds minorityTimeout {10000};
    };

    // A heartbeat of a peer, or a report by another peer about it. At full size each gateway receives heartbeats from only a few peers, so reports by others
    // count too, with their age: a new document version would have arrived by the same path.
    struct PeerReport {
        std::string peer;
        // Time since the reporting gateway had contact with the peer. Zero for a heartbeat of the peer itself.
        std::chrono::milliseconds age {0};
        // Time from the peer's last response of the platform to that contact. Empty if there was none.
        std::optional<std::chrono::milliseconds> platformAge;
    };

    explicit ConnectivityTracker(Options options);

    // Sets all known gateways, from the VM list, the settings and heartbeats. Reports about others are ignored, so that unknown processes cannot make up a
    // majority. A member that is gone counts as out of contact until it is removed here.
    void setMembers(std::set<std::string> members);

    // The platform has responded to a request that this gateway sent at the given time. The contact counts from the time of sending, because a response says
    // nothing about the time after it was sent, during which the process may have been frozen.
    void platformResponded(MonotonicTime requestSentAt);

    // `now` is the time at which the datagram arrived. After a freeze of the process, the caller has to drop datagrams that waited in the socket, because they
    // would look like new contact.
    void addPeerReport(const PeerReport &report, MonotonicTime now);

    Connectivity connectivity(MonotonicTime now) const;

    ConnectivityPermissions permissions(MonotonicTime now) const
    {
        return permissionsOf(connectivity(now));
    }

    // Number of known gateways in contact, including this one.
    size_t membersInContact(MonotonicTime now) const;

    // Number of known gateways, including this one.
    size_t memberCount() const
    {
        return m_members.size() + 1;
    }

private:
    // Empty means never.
    using OptionalTime = std::optional<MonotonicTime>;

    struct Peer {
        MonotonicTime contactAt;
        OptionalTime platformAt;
    };

    bool isWithin(const OptionalTime &when, std::chrono::milliseconds limit, MonotonicTime now) const;
    OptionalTime lastPlatformContactThroughPeers() const;
    OptionalTime lastPeerContact() const;
    OptionalTime lastMajorityContact() const;

    const Options m_options;
    std::set<std::string> m_members;
    std::map<std::string, Peer> m_peers;
    OptionalTime m_platformAt;
    // Time of the latest contact with a majority before the latest change of the members.
    OptionalTime m_previousMajorityContact;
};

} // namespace Jujube
