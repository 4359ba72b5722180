#pragma once

#include <atomic>
#include <functional>
#include <LibMembership/HeartbeatCodec.h>
#include <LibMembership/HeartbeatSocket.h>
#include <LibMembership/MembershipView.h>

namespace Jujube
{

// This process's part in the membership: the view, its socket and its thread. All functions may be called from any thread. Hooks are called from the
// membership's thread, without a lock held, and must return soon.
class Membership
{
public:
    struct Hooks {
        // A member was heard of for the first time, again after it was gone, or under a new incarnation.
        std::function<void(const Member &)> onJoined;
        std::function<void(const Member &)> onLeaving;
        std::function<void(const Member &)> onLost;
        // A peer has a higher document version than this process. Repeated with each of its heartbeats until setOwnState() says otherwise.
        std::function<void(int64_t version, const Member &peer)> onDocumentOffered;
        // All crash reports after one was added.
        std::function<void(const std::vector<CrashReport> &)> onCrashReports;
        // Another process has this one's name and a higher incarnation.
        std::function<void(const Member &)> onReplaced;
        // The process's hybrid clock, for example EventLog::tick() and EventLog::observe(). A clock of its own is used if they are empty.
        std::function<HybridTime(int64_t wallMs)> tick;
        std::function<void(const HybridTime &remote, int64_t wallMs)> observe;
    };

    struct Options {
        // gossipAddress may be empty if listen is an address that peers can reach.
        MemberIdentity self;
        // UDP "address:port" with a numeric address.
        std::string listen;
        // UDP addresses of peers.
        std::vector<std::string> seeds;
        // UDP port of members that are only known from the VM list, where it is the same for all; 0 if it is not.
        uint16_t peerPort = 0;
        std::string clusterKey;
        MembershipTuning tuning;
        Hooks hooks;
    };

    // Binds the socket and starts the threads. Errors: those of HeartbeatSocket::open(), and ErrorKind::InvalidValue for an empty name or cluster key.
    static absl::StatusOr<std::unique_ptr<Membership>> start(Options options);

    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;
    // Tells peers that this process exits, and stops.
    ~Membership();

    void setOwnState(const OwnState &state);
    // Sets one part of the state and keeps the others.
    void updateOwnState(const std::function<void(OwnState &)> &change);
    void applyVmList(std::vector<VmListEntry> list, MonotonicTime now);
    void reportCrash(const CrashReport &report, MonotonicTime now);

    // All other members, also gone ones, with their state and age.
    std::vector<Member> members(MonotonicTime now) const;
    // Only those in the state Live.
    std::vector<Member> liveMembers(MonotonicTime now) const;
    Reachability reachability(MonotonicTime now) const;
    HolderState holderState(const MemberIdentity &holder) const;
    // When the table service last confirmed the own document version, directly or through others.
    std::optional<MonotonicTime> confirmedAt() const;

    // The UDP "address:port" under which this process announces itself.
    const std::string &gossipAddress() const
    {
        return m_options.self.gossipAddress;
    }
    HeartbeatSocket::Counters counters() const
    {
        return m_socket->counters();
    }
    // Received datagrams that were malformed or signed with another key.
    uint64_t rejectedDatagrams() const
    {
        return m_refused;
    }

private:
    Membership(Options options, std::unique_ptr<HeartbeatSocket> socket);

    void run();
    void handle(const Datagram &datagram);
    void sendRound();
    void sendAll(const std::vector<OutgoingHeartbeat> &heartbeats);
    void reportEvents();
    HybridTime stamp();

    const Options m_options;
    const std::unique_ptr<HeartbeatSocket> m_socket;
    const HeartbeatCodec m_codec;
    mutable std::mutex m_mutex;
    MembershipView m_view;
    OwnState m_own;
    HybridClock m_clock;
    std::mt19937_64 m_random;
    std::atomic<uint64_t> m_refused {0};
    std::atomic<bool> m_stopping {false};
    // A round is due at once.
    std::atomic<bool> m_urgent {false};
    std::thread m_thread;
};

} // namespace Jujube
