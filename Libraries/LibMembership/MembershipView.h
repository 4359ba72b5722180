#pragma once

#include <LibCore/HybridClock.h>
#include <LibMembership/CrashReportBuffer.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/PeerPlan.h>
#include <Membership_types.h>
#include <random>

namespace Jujube
{

// What a gateway reports about itself.
struct OwnState {
    int32_t openStreams = 0;
    // Draining: stays a member and gets no new work.
    bool leaving = false;
    // Version of the environment document in force; 0 for none.
    int64_t documentVersion = 0;
    // When the table service last confirmed that version to this gateway itself.
    std::optional<MonotonicTime> confirmedAt;
    // When this gateway itself last reached the table service.
    std::optional<MonotonicTime> platformAt;
};

enum class MembershipChange {
    // A heartbeat became known for the first time, again after the member was gone, or under a new incarnation.
    Joined,
    Leaving,
    Lost,
    // A peer has a higher document version than this process.
    DocumentOffered,
    // A crash report was added or extended.
    CrashReported,
    // Another process has this process's name and a higher incarnation. This process should stop.
    Replaced,
};

struct MembershipEvent {
    MembershipChange change = MembershipChange::Joined;
    Member member;
    // Valid for DocumentOffered.
    int64_t documentVersion = 0;
};

struct OutgoingHeartbeat {
    std::string address;
    Wire::Heartbeat heartbeat;
};

// The state machine of the membership protocol. Each member sends a heartbeat every round to a bounded number of peers: watchers, which report missing
// heartbeats, and random members. Datagrams contain digests of changes first, then of the member with the latest heartbeat in each data centre, then of
// others. Not thread-safe.
class MembershipView
{
public:
    struct Options {
        MemberIdentity self;
        // Addresses for heartbeats that are tried as long as no known member has them.
        std::vector<std::string> seeds;
        MembershipTuning tuning;
    };

    explicit MembershipView(Options options);

    void setOwnState(const OwnState &state);

    // Applies the platform's VM list, which may be late or wrong. The list adds members and marks members as leaving, but never removes a member that sends
    // heartbeats.
    void applyVmList(const std::vector<VmListEntry> &list, MonotonicTime now);

    // Applies the deadlines and returns the heartbeats to send. Called once in each round.
    std::vector<OutgoingHeartbeat> round(MonotonicTime now, const HybridTime &timestamp, std::mt19937_64 &random);

    // Processes a received heartbeat and returns the responses to send. source is the address from which it was received.
    std::vector<OutgoingHeartbeat> receive(const Wire::Heartbeat &heartbeat, const std::string &source, MonotonicTime now, const HybridTime &timestamp);

    // Returns the last heartbeats of a process that exits.
    std::vector<OutgoingHeartbeat> depart(MonotonicTime now, const HybridTime &timestamp, std::mt19937_64 &random);

    void reportCrash(const CrashReport &report, MonotonicTime now);

    // Returns the events since the last call.
    std::vector<MembershipEvent> takeEvents();

    // All other members, including gone ones.
    std::vector<Member> members(MonotonicTime now) const
    {
        return m_table.snapshot(now);
    }

    Reachability reachability(MonotonicTime now) const;

    HolderState holderState(const MemberIdentity &holder) const
    {
        return m_table.holderState(holder);
    }

    // When the table service last confirmed the document version of this process, to this process itself or to a peer.
    std::optional<MonotonicTime> confirmedAt() const;

    std::vector<CrashReport> crashReports() const
    {
        return m_crashes.reports();
    }

    const MemberTable &table() const
    {
        return m_table;
    }

private:
    struct HeartbeatObservation {
        int64_t sequence;
        MonotonicTime at;
    };

    MemberEntry *admit(const MemberIdentity &identity, MonotonicTime now);
    // Emits MembershipChange::Replaced if another process with this process's name has a higher incarnation.
    void handleNameConflict(const MemberIdentity &identity);
    void markAddressPredecessorsGone(const MemberEntry &newcomer, MonotonicTime now);
    void recordHeartbeat(MemberEntry &entry, const HeartbeatObservation &observation, MonotonicTime now);
    void applySender(MemberEntry &sender, const Wire::Heartbeat &heartbeat, MonotonicTime now);
    void applyDocumentVersion(const Wire::Heartbeat &heartbeat, const Member &sender, MonotonicTime now);
    void applyDigest(const Wire::MemberDigest &digest, int64_t senderVersion, MonotonicTime now, std::vector<int32_t> &wanted);
    void applySuspicion(MemberEntry &entry, int64_t sequence, MonotonicTime now);
    void markLeaving(MemberEntry &entry, MonotonicTime now);
    void markGone(MemberEntry &entry, MonotonicTime now);
    void applyDeadlines(MonotonicTime now);
    void removeExpiredMembers(MonotonicTime now);
    void detectFreeze(MonotonicTime now);

    void releaseFormerWatchers(const std::vector<std::string> &watchers);
    PeerPlan planRound(MonotonicTime now, std::mt19937_64 &random) const;
    std::vector<std::string> selectSeeds(std::mt19937_64 &random) const;
    Wire::Heartbeat basicHeartbeat(MonotonicTime now, const HybridTime &timestamp) const;
    Wire::Heartbeat fullHeartbeat(MonotonicTime now, const HybridTime &timestamp, std::mt19937_64 &random);
    Wire::Heartbeat recordsFor(const std::vector<int32_t> &wanted, MonotonicTime now, const HybridTime &timestamp) const;
    Wire::Heartbeat joinResponse(MonotonicTime now, const HybridTime &timestamp);
    void addDigests(Wire::Heartbeat &heartbeat, MonotonicTime now, std::mt19937_64 &random);
    Wire::MemberDigest digestOf(const MemberEntry &entry, MonotonicTime now) const;

    // Includes a change in the next datagrams until it has reached all members with high probability.
    void disseminate(const MemberEntry &entry);
    void disseminateJoin(const MemberEntry &entry);
    void emit(MembershipChange change, const MemberEntry &entry, MonotonicTime now);
    int transmissions() const;

    const Options m_options;
    const uint32_t m_ownHash;
    OwnState m_own;
    MemberTable m_table;
    CrashReportBuffer m_crashes;
    int64_t m_sequence = 0;
    bool m_departed = false;
    bool m_replaced = false;
    // Names of changed members, with the number of datagrams that still contain the change.
    std::map<std::string, int> m_changes;
    // Names of newly joined members, with the number of datagrams that still contain their full records.
    std::map<std::string, int> m_newRecords;
    // Addresses of the current watchers, and of former ones with the number of heartbeats that still notify them of their release.
    std::vector<std::string> m_watchers;
    std::map<std::string, int> m_releasedWatchers;
    std::vector<MembershipEvent> m_events;
    std::optional<MonotonicTime> m_confirmedAt;
    std::optional<MonotonicTime> m_platformAt;
    std::optional<MonotonicTime> m_peerAt;
    std::optional<MonotonicTime> m_listAt;
    std::optional<MonotonicTime> m_lastRound;
    // After a freeze, no member becomes suspect or gone by a deadline before this time.
    std::optional<MonotonicTime> m_deadlinesSuspendedUntil;
    bool m_fresh = true;
    // Limits the requests for records, so that a burst of unknown identities does not multiply traffic.
    int m_recordRequestsLeft = 0;
    size_t m_joinCursor = 0;
};

} // namespace Jujube
