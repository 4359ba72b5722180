#pragma once

#include <functional>
#include <LibMembership/Member.h>
#include <LibMembership/MembershipTuning.h>
#include <map>
#include <vector>

namespace Jujube
{

// What is known of one member, from which its state follows.
struct MemberEntry {
    Member member;
    uint32_t hash = 0;
    // The highest sequence number received from the member itself.
    int64_t directSequence = 0;
    // The member asked to be watched and was not heard of by another way since.
    bool watched = false;
    // Was reported as joined.
    bool joined = false;
    bool leaving = false;
    bool departed = false;
    bool listed = false;
    bool everListed = false;
    int64_t listIncarnation = 0;
    std::optional<MonotonicTime> suspectSince;
    // Whether the suspicion came from a watcher and is passed on.
    bool suspicionReported = false;
    std::optional<MonotonicTime> goneSince;
    MonotonicTime createdAt;
};

// How much of the membership this process reaches, for the rules on isolation and on a majority.
struct Reachability {
    // Including this process. Members that left in an orderly way do not count.
    size_t known = 1;
    size_t reachable = 1;
    // Time since any peer was heard directly. Nothing if none ever was.
    std::optional<std::chrono::milliseconds> peerAge;
    // Time since any gateway, as far as heard of, last reached the table service.
    std::optional<std::chrono::milliseconds> platformAge;
    // False from the moment a frozen process wakes until it has heard peers again.
    bool fresh = true;
};

// Whether the holder of something in the table service, for example of a cold-target permit, may still be running.
enum class HolderState {
    Present,
    // A higher incarnation under the same name or address was listed or heard of.
    Replaced,
    // The VM list had it and no longer has it.
    Unlisted,
    // Never listed and never heard of; nothing may be concluded.
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

    // Adds a member or puts a higher incarnation in its place. An entry that was never heard of yields to any incarnation, because the VM list may be wrong.
    // Returns nothing for a lower incarnation, for an empty name, or if the table is full.
    // replaced is told the entry that was displaced.
    MemberEntry *admit(const MemberIdentity &identity, MonotonicTime now, const std::function<void(const MemberEntry &)> &replaced);

    void erase(const std::string &name);

    void forEach(const std::function<void(MemberEntry &)> &visit);
    void forEach(const std::function<void(const MemberEntry &)> &visit) const;

    // The state of an entry at the given time.
    MemberState stateOf(const MemberEntry &entry, MonotonicTime now) const;
    bool isReachable(const MemberEntry &entry, MonotonicTime now) const;

    // Whether a data centre's latest evidence is too old.
    bool isOutOfContact(const std::string &dataCentre, MonotonicTime now) const;

    // Takes notice of evidence for the contact with a data centre.
    void noteContact(const std::string &dataCentre, MonotonicTime at);

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
    std::map<std::string, MonotonicTime> m_contact;
};

// Number of doublings from 1 to at least count.
int doublings(size_t count);

} // namespace Jujube
