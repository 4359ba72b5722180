#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Jujube
{

// How well a gateway is connected. The names are those of the rules in docs/design.md, section 10.
enum class Connectivity {
    // This gateway reaches the platform.
    Connected,
    // A peer that this gateway hears reaches the platform.
    ThroughPeers,
    // A majority of the known gateways is in contact and none of them reaches the platform.
    PlatformDown,
    // Only a minority is in contact, and no platform through any of them, but not yet for long enough to act on it.
    Minority,
    // Neither the platform nor any peer for 3 s, or only a minority without the platform for 10 s.
    Isolated,
};

std::string_view nameOf(Connectivity connectivity);

// What a gateway may do. Generations that run already always go on: stopping them would lose drafts and protects nothing, because their targets were chosen
// when the choice was allowed. A continuation of a running draft on another engine counts as running work.
struct ConnectivityPermissions {
    // New work may be sent to targets, by the document in force. If not, new drafts stay in the queue until their queue wait ends; the first document that
    // the gateway sees after regaining contact may have taken a data centre out of service.
    bool newWork = false;
    // A one-time call may be tried. Whether it runs is decided by its claim in the table service alone. If not, it is rejected as not run at once.
    bool oneTimeCalls = false;

    bool operator==(const ConnectivityPermissions &) const = default;
};

// What each state permits, and why:
//
// Connected: everything.
//
// ThroughPeers: everything. The document in force is confirmed through the peers. One-time calls are tried although the latest read of the platform failed,
// because the claim is what makes them safe: if it cannot be written, the call is rejected as not run. A rejection here would refuse calls during every
// short fault of one connection, and saves no more than one timeout.
//
// PlatformDown: new work. A document that none of the majority can have seen accepted was not accepted, as far as this can be known (the limit is stated in
// the design). One-time calls are rejected at once: no claim can be written, and a gateway that keeps trying adds load to a table service that is coming
// back.
//
// Minority: as PlatformDown. Missing a majority for a moment is common at 390 nodes that hear a few peers each, and refusing work for it would cost more
// than it protects; the time until Isolated bounds how long an old document can be acted on.
//
// Isolated: nothing new. A data centre may have been taken out of service in the meantime (invariant I3), and other gateways can do the work.
ConnectivityPermissions permissionsOf(Connectivity connectivity);

// Tells a platform outage from the isolation of one gateway. A pure state machine: it is fed with observations, and the present time is an argument. Its
// answer depends only on the times of the latest observations, so a process that was frozen is Isolated when it wakes, until it hears something new.
class ConnectivityTracker
{
public:
    struct Options {
        // This gateway's own name; it counts as in contact with itself.
        std::string self;
        // The platform or a peer is in contact if it was heard within this time.
        std::chrono::milliseconds contactTimeout {3000};
        // Time without the platform and without a majority after which a gateway behaves as an isolated one.
        std::chrono::milliseconds minorityTimeout {10000};
    };

    // A peer's heartbeat, or the report of a peer about a third gateway. At full size every gateway hears only a few peers directly, so reports of others
    // count too, with their age: what matters is that news of a document would have come the same way.
    struct PeerReport {
        std::string peer;
        // How long ago the peer was heard by the gateway that reports it. Zero for a heartbeat of its own.
        std::chrono::milliseconds age {0};
        // How long before that the peer itself had an answer of the platform. Empty if never.
        std::optional<std::chrono::milliseconds> platformAge;
    };

    explicit ConnectivityTracker(Options options);

    // All known gateways from the VM list, settings and heartbeats. Reports of others are ignored, so that a stranger cannot make up a majority. A member
    // that is gone counts as out of contact until it is left out here.
    void setMembers(std::set<std::string> members);

    // The platform has answered a request of this gateway that was sent at the given time. The time of sending is what counts: a process that was frozen
    // between request and answer has learnt nothing about the time in between.
    void platformResponded(MonotonicTime requestSentAt);

    // now is the time at which the datagram arrived. After a pause of the process, datagrams that waited in the socket have to be dropped unread, or they
    // look like fresh contact.
    void addPeerReport(const PeerReport &report, MonotonicTime now);

    Connectivity connectivity(MonotonicTime now) const;

    ConnectivityPermissions permissions(MonotonicTime now) const
    {
        return permissionsOf(connectivity(now));
    }

    // Known gateways in contact, including this one.
    size_t membersInContact(MonotonicTime now) const;

    // Known gateways, including this one.
    size_t memberCount() const
    {
        return m_members.size() + 1;
    }

private:
    // An empty time stands for "never".
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
    // The latest majority among the members before the latest change of members.
    OptionalTime m_previousMajorityContact;
};

} // namespace Jujube
