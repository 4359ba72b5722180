#pragma once

#include <atomic>
#include <functional>
#include <LibMembership/HeartbeatCodec.h>
#include <LibMembership/HeartbeatSocket.h>
#include <LibMembership/MembershipView.h>

namespace Jujube
{

// Runs the membership protocol in this process with a view, a socket and a thread. All functions may be called from any thread. Hooks are called on the
// membership's thread, without a lock held, and must return quickly.
class Membership
{
public:
    struct Hooks {
        // A heartbeat of a member became known for the first time, again after the member was gone, or under a new incarnation.
        std::function<void(const Member &)> onJoined;
        std::function<void(const Member &)> onLeaving;
        std::function<void(const Member &)> onLost;
        // A peer has a higher document version than this process. Called for each of its heartbeats until setOwnState() sets that version.
        std::function<void(int64_t version, const Member &peer)> onDocumentOffered;
        // Called with all crash reports after one was added or extended.
        std::function<void(const std::vector<CrashReport> &)> onCrashReports;
        // Another process has this process's name and a higher incarnation.
        std::function<void(const Member &)> onReplaced;
        // The process's hybrid clock, for example EventLog::tick() and EventLog::observe(). If they are empty, the membership uses a clock of its own.
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
        // UDP port of members that are known only from the VM list, if all members use the same port; otherwise 0.
        uint16_t peerPort = 0;
        std::string clusterKey;
        MembershipTuning tuning;
        Hooks hooks;
    };

    // Binds the socket and starts the threads. Errors: those of HeartbeatSocket::open(), and ErrorKind::InvalidValue for an empty name or cluster key.
    static absl::StatusOr<std::unique_ptr<Membership>> start(Options options);

    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;
    // Notifies peers that this process exits, and stops.
    ~Membership();

    void setOwnState(const OwnState &state);
    // Changes parts of the state and keeps the others.
    void updateOwnState(const std::function<void(OwnState &)> &change);
    void applyVmList(std::vector<VmListEntry> list, MonotonicTime now);
    void reportCrash(const CrashReport &report, MonotonicTime now);

    // All other members, including gone ones, with their state and age.
    std::vector<Member> members(MonotonicTime now) const;
    // Only those in the state Live.
    std::vector<Member> liveMembers(MonotonicTime now) const;
    Reachability reachability(MonotonicTime now) const;
    HolderState holderState(const MemberIdentity &holder) const;
    // When the table service last confirmed the document version of this process, to this process itself or to a peer.
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
    // Number of received datagrams that were malformed or signed with another key.
    uint64_t rejectedDatagrams() const
    {
        return m_rejectedDatagrams;
    }

private:
    Membership(Options options, std::unique_ptr<HeartbeatSocket> socket);

    void run();
    void handleDatagram(const Datagram &datagram);
    void sendRound();
    void sendAll(const std::vector<OutgoingHeartbeat> &heartbeats);
    void reportEvents();
    HybridTime timestamp();

    const Options m_options;
    const std::unique_ptr<HeartbeatSocket> m_socket;
    const HeartbeatCodec m_codec;
    mutable std::mutex m_mutex;
    MembershipView m_view;
    OwnState m_own;
    HybridClock m_clock;
    std::mt19937_64 m_random;
    std::atomic<uint64_t> m_rejectedDatagrams {0};
    std::atomic<bool> m_stopping {false};
    // The next round is to be sent without waiting for its time.
    std::atomic<bool> m_isRoundRequested {false};
    std::thread m_thread;
};

} // namespace Jujube
