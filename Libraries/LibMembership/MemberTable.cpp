#include <LibMembership/MemberTable.h>

#include <bit>

namespace Jujube
{

int doublings(size_t count)
{
    return static_cast<int>(std::bit_width(count));
}

MemberTable::MemberTable(MembershipTuning tuning)
    : m_tuning(tuning)
{
}

MemberEntry *MemberTable::find(const std::string &name)
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

MemberEntry *MemberTable::findHash(uint32_t hash)
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : find(found->second);
}

const MemberEntry *MemberTable::findHash(uint32_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : &m_entries.at(found->second);
}

MemberEntry *MemberTable::admit(const MemberIdentity &identity, MonotonicTime now, const std::function<void(const MemberEntry &)> &onReplaced)
{
    auto *existing = find(identity.name);
    if (existing && existing->member.identity.incarnation == identity.incarnation) {
        // The VM list contains less than the member's own record, so an incomplete identity is replaced.
        if (existing->member.identity.gossipAddress.empty() || existing->member.identity.region.empty()) {
            existing->member.identity = identity;
        }
        return existing;
    }
    const bool isOlder = existing && existing->member.lastHeartbeatAt && existing->member.identity.incarnation > identity.incarnation;
    if (identity.name.empty() || isOlder) {
        return nullptr;
    }
    if (!existing && m_entries.size() >= m_tuning.maxMembers) {
        return nullptr;
    }
    MemberEntry entry;
    entry.member.identity = identity;
    entry.hash = hashOf(identity);
    entry.createdAt = now;
    if (existing) {
        entry.listed = existing->listed;
        entry.wasListed = existing->wasListed;
        entry.listedIncarnation = existing->listedIncarnation;
        onReplaced(*existing);
        m_byHash.erase(existing->hash);
    }
    m_byHash[entry.hash] = identity.name;
    return &(m_entries[identity.name] = std::move(entry));
}

void MemberTable::erase(const std::string &name)
{
    if (const auto *entry = find(name)) {
        m_byHash.erase(entry->hash);
        m_entries.erase(name);
    }
}

void MemberTable::forEach(const std::function<void(MemberEntry &)> &visit)
{
    for (auto &[name, entry] : m_entries) {
        visit(entry);
    }
}

void MemberTable::forEach(const std::function<void(const MemberEntry &)> &visit) const
{
    for (const auto &[name, entry] : m_entries) {
        visit(entry);
    }
}

MemberState MemberTable::stateOf(const MemberEntry &entry, MonotonicTime now) const
{
    if (entry.goneSince) {
        return MemberState::Gone;
    }
    if (entry.leaving) {
        return MemberState::Leaving;
    }
    return isReachable(entry, now) ? MemberState::Live : MemberState::Suspect;
}

bool MemberTable::isReachable(const MemberEntry &entry, MonotonicTime now) const
{
    return entry.member.lastHeartbeatAt && !entry.suspectSince && !entry.goneSince && !isDataCentreUnreachable(entry.member.identity.dataCentre, now);
}

bool MemberTable::isDataCentreUnreachable(const std::string &dataCentre, MonotonicTime now) const
{
    const auto found = m_lastContact.find(dataCentre);
    return found == m_lastContact.end() || now - found->second > contactTimeout();
}

void MemberTable::recordContact(const std::string &dataCentre, MonotonicTime at)
{
    const auto [found, isNew] = m_lastContact.try_emplace(dataCentre, at);
    found->second = std::max(found->second, at);
}

std::chrono::milliseconds MemberTable::contactTimeout() const
{
    return m_tuning.contactTimeoutBase + m_tuning.contactTimeoutPerDoubling * doublings(m_entries.size());
}

std::chrono::milliseconds MemberTable::staleTimeout() const
{
    return m_tuning.staleTimeoutBase + m_tuning.staleTimeoutPerMember * m_entries.size();
}

std::vector<Member> MemberTable::snapshot(MonotonicTime now) const
{
    std::vector<Member> members;
    members.reserve(m_entries.size());
    for (const auto &[name, entry] : m_entries) {
        members.push_back(entry.member);
        members.back().state = stateOf(entry, now);
    }
    return members;
}

HolderState MemberTable::holderState(const MemberIdentity &holder) const
{
    bool isPresent = false;
    bool isUnlisted = false;
    for (const auto &[name, entry] : m_entries) {
        const auto &identity = entry.member.identity;
        const bool sameName = name == holder.name;
        const bool sameAddress = !holder.address.empty() && identity.address == holder.address;
        if ((sameName || sameAddress) && std::max(identity.incarnation, entry.listedIncarnation) > holder.incarnation) {
            return HolderState::Replaced;
        }
        isPresent = isPresent || (sameName && (entry.listed || !entry.goneSince));
        isUnlisted = isUnlisted || (sameName && entry.wasListed && !entry.listed);
    }
    if (isUnlisted) {
        return HolderState::Unlisted;
    }
    return isPresent ? HolderState::Present : HolderState::Unknown;
}

} // namespace Jujube
