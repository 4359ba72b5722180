#pragma once

#include <functional>
#include <LibMembership/Member.h>
#include <LibMembership/MembershipTuning.h>
#include <map>
#include <vector>

namespace Jujube
{

// What is known about one member. The state of the member is derived from it.
struct MemberEntry {
    Member member;
    uint32_t hash = 0;
    // The highest sequence number received directly from the member.
    int64_t directSequence = 0;
    // The latest direct heartbeat asked this process to watch the member. Cleared after a freeze of this process and when a suspicion proves wrong.
    bool watched = false;
    // Whether MembershipChange::Joined was emitted.
    bool joined = false;
    bool leaving = false;
    bool departed = false;
    bool listed = false;
    bool wasListed = false;
    int64_t listedIncarnation = 0;
    std::optional<MonotonicTime> suspectSince;
    // Whether the suspicion was raised by a watcher and is passed on to other members.
    bool suspicionReported = false;
    std::optional<MonotonicTime> goneSince;
    MonotonicTime createdAt;
};

// How much of the membership this process reaches. Used by the rules that detect isolation and a lost majority.
struct Reachability {
    // Including this process. Members that shut down gracefully do not count.
    size_t known = 1;
    size_t reachable = 1;
    // Time since the latest heartbeat received directly from any peer. Empty if there was none.
    std::optional<std::chrono::milliseconds> peerAge;
    // Time since any gateway last reached the table service, as far as this process knows. Empty if unknown.
    std::optional<std::chrono::milliseconds> platformAge;
    // False after a freeze of this process until it has received a heartbeat again.
    bool fresh = true;
};

// Whether the holder of a row in the table service, for example of a cold-target permit, may still be running.
enum class HolderState {
    Present,
    // A higher incarnation under the same name or address is known from the VM list or from heartbeats.
    Replaced,
    // The VM list contained the holder and no longer does.
    Unlisted,
    // The holder was never listed and no heartbeat of it is known; nothing may be concluded.
    Unknown,
};

// The members by name, each under its highest incarnation.
class MemberTable
{
public:
    explicit MemberTable(MembershipTuning tuning);

    MemberEntry *find(const std::string &name);
    MemberEntry *findHash(uint32_t hash);
    const MemberEntry *findHash(uint32_t hash) const;

    // Adds a member or replaces it by a higher incarnation. An entry without a known heartbeat is replaced by any incarnation, because the VM list may be
    // wrong. Returns nullptr for a lower incarnation, for an empty name, or if the table is full.
    // onReplaced is called with the entry that is replaced.
    MemberEntry *admit(const MemberIdentity &identity, MonotonicTime now, const std::function<void(const MemberEntry &)> &onReplaced);

    void erase(const std::string &name);

    void forEach(const std::function<void(MemberEntry &)> &visit);
    void forEach(const std::function<void(const MemberEntry &)> &visit) const;

    // The state of an entry at the given time.
    MemberState stateOf(const MemberEntry &entry, MonotonicTime now) const;
    bool isReachable(const MemberEntry &entry, MonotonicTime now) const;

    // Whether the latest known heartbeat from a data centre is too old, or none is known.
    bool isDataCentreUnreachable(const std::string &dataCentre, MonotonicTime now) const;

    // Records the time of a heartbeat from a data centre.
    void recordContact(const std::string &dataCentre, MonotonicTime at);

    std::chrono::milliseconds contactTimeout() const;
    std::chrono::milliseconds staleTimeout() const;

    std::vector<Member> snapshot(MonotonicTime now) const;
    size_t size() const
    {
        return m_entries.size();
    }

    HolderState holderState(const MemberIdentity &holder) const;

private:
    const MembershipTuning m_tuning;
    std::map<std::string, MemberEntry> m_entries;
    std::map<uint32_t, std::string> m_byHash;
    std::map<std::string, MonotonicTime> m_lastContact;
};

// Number of doublings after which 1 exceeds count.
int doublings(size_t count);

} // namespace Jujube
