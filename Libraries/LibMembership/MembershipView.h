#pragma once

#include <LibCore/HybridClock.h>
#include <LibMembership/CrashReportBuffer.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/PeerPlan.h>
#include <Membership_types.h>
#include <random>

namespace Jujube
{

// What a gateway tells about itself.
struct OwnState {
    int32_t openStreams = 0;
    // Draining: stays a member and gets no new work.
    bool leaving = false;
    // The environment document in force; 0 for none.
    int64_t documentVersion = 0;
    // When the table service last confirmed that version to this gateway itself.
    std::optional<MonotonicTime> confirmedAt;
    // When this gateway itself last reached the table service.
    std::optional<MonotonicTime> platformAt;
};

enum class MembershipChange {
    // Heard of for the first time, again after it was gone, or under a new incarnation.
    Joined,
    Leaving,
    Lost,
    // A peer said that it has a higher document version than this process.
    OffersDocument,
    // Crash reports grew.
    CrashReported,
    // Another process has this one's name and a higher incarnation. This process should stop.
    Replaced,
};

struct MembershipEvent {
    MembershipChange change = MembershipChange::Joined;
    Member member;
    // For OffersDocument.
    int64_t documentVersion = 0;
};

struct OutgoingHeartbeat {
    std::string address;
    Wire::Heartbeat heartbeat;
};

// The state machine of the membership protocol. Each member sends a heartbeat every round to a bounded number of peers: watchers, which report a silence, and
// random members. Datagrams carry changes first, then the freshest member of each data centre, then others. Not safe to use from several threads.
class MembershipView
{
public:
    struct Options {
        MemberIdentity self;
        // Addresses for heartbeats that are tried while no member is known by them.
        std::vector<std::string> seeds;
        MembershipTuning tuning;
    };

    explicit MembershipView(Options options);

    void setOwnState(const OwnState &state);

    // Takes the platform's VM list, which may be late or wrong: it adds members and marks them as leaving, and never removes one that is heard of.
    void applyVmList(const std::vector<VmListEntry> &list, MonotonicTime now);

    // Applies the deadlines and returns the heartbeats to send. Called once in each round.
    std::vector<OutgoingHeartbeat> round(MonotonicTime now, const HybridTime &stamp, std::mt19937_64 &random);

    // Takes a received heartbeat and returns the answers to send. source is the sender's address.
    std::vector<OutgoingHeartbeat> receive(const Wire::Heartbeat &heartbeat, const std::string &source, MonotonicTime now, const HybridTime &stamp);

    // The last heartbeats of a process that exits.
    std::vector<OutgoingHeartbeat> depart(MonotonicTime now, const HybridTime &stamp, std::mt19937_64 &random);

    void reportCrash(const CrashReport &report, MonotonicTime now);

    // What changed since the last call.
    std::vector<MembershipEvent> takeEvents();

    // All other members, also gone ones.
    std::vector<Member> members(MonotonicTime now) const
    {
        return m_table.snapshot(now);
    }

    Reachability reachability(MonotonicTime now) const;

    HolderState holderState(const MemberIdentity &holder) const
    {
        return m_table.holderState(holder);
    }

    // When the table service last confirmed the own document version, directly or through others.
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
    struct Evidence {
        int64_t sequence;
        MonotonicTime at;
    };

    MemberEntry *admit(const MemberIdentity &identity, MonotonicTime now);
    // Notices that another process has this one's name and a higher incarnation.
    void takeNamesake(const MemberIdentity &identity);
    void retireSameAddress(const MemberEntry &newcomer, MonotonicTime now);
    void takeEvidence(MemberEntry &entry, const Evidence &evidence, MonotonicTime now);
    void takeSender(MemberEntry &sender, const Wire::Heartbeat &heartbeat, MonotonicTime now);
    void takeDocument(const Wire::Heartbeat &heartbeat, const Member &sender, MonotonicTime now);
    void takeDigest(const Wire::MemberDigest &digest, int64_t senderVersion, MonotonicTime now, std::vector<int32_t> &wanted);
    void takeSuspicion(MemberEntry &entry, int64_t sequence, MonotonicTime now);
    void markLeaving(MemberEntry &entry, MonotonicTime now);
    void markGone(MemberEntry &entry, MonotonicTime now);
    void applyDeadlines(MonotonicTime now);
    void forgetGone(MonotonicTime now);
    void noteFreeze(MonotonicTime now);

    void releaseFormerWatchers(const std::vector<std::string> &watchers);
    PeerPlan plan(MonotonicTime now, std::mt19937_64 &random) const;
    std::vector<std::string> seedsToTry(std::mt19937_64 &random) const;
    Wire::Heartbeat basicHeartbeat(MonotonicTime now, const HybridTime &stamp) const;
    Wire::Heartbeat fullHeartbeat(MonotonicTime now, const HybridTime &stamp, std::mt19937_64 &random);
    Wire::Heartbeat recordsFor(const std::vector<int32_t> &wanted, MonotonicTime now, const HybridTime &stamp) const;
    Wire::Heartbeat joinAnswer(MonotonicTime now, const HybridTime &stamp);
    void addDigests(Wire::Heartbeat &heartbeat, MonotonicTime now, std::mt19937_64 &random);
    Wire::MemberDigest digestOf(const MemberEntry &entry, MonotonicTime now) const;

    // Sends a change with the next datagrams until it has reached all members with high probability.
    void spread(const MemberEntry &entry);
    void spreadJoin(const MemberEntry &entry);
    void emit(MembershipChange change, const MemberEntry &entry, MonotonicTime now);
    int sendings() const;

    const Options m_options;
    const uint32_t m_ownHash;
    OwnState m_own;
    MemberTable m_table;
    CrashReportBuffer m_crashes;
    int64_t m_sequence = 0;
    bool m_departed = false;
    bool m_replaced = false;
    // Names of changed members, with the number of datagrams that still carry the change.
    std::map<std::string, int> m_changes;
    // Newly joined members whose full records are still sent.
    std::map<std::string, int> m_newRecords;
    // Addresses of the present watchers, and of former ones that are still told so.
    std::vector<std::string> m_watchers;
    std::map<std::string, int> m_released;
    std::vector<MembershipEvent> m_events;
    std::optional<MonotonicTime> m_confirmedAt;
    std::optional<MonotonicTime> m_platformAt;
    std::optional<MonotonicTime> m_peerAt;
    std::optional<MonotonicTime> m_listAt;
    std::optional<MonotonicTime> m_lastRound;
    // After a freeze: no member is declared silent before this time.
    std::optional<MonotonicTime> m_heldUntil;
    bool m_fresh = true;
    // Limits the requests for records, so that a burst of unknown identities does not multiply traffic.
    int m_requestsLeft = 0;
    size_t m_joinCursor = 0;
};

} // namespace Jujube
