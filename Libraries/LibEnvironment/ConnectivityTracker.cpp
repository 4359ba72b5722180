#include <LibEnvironment/ConnectivityTracker.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Jujube
{

std::string_view nameOf(Connectivity connectivity)
{
    switch (connectivity) {
    case Connectivity::Connected:
        return "connected";
    case Connectivity::ThroughPeers:
        return "through_peers";
    case Connectivity::PlatformDown:
        return "platform_down";
    case Connectivity::Minority:
        return "minority";
    case Connectivity::Isolated:
        return "isolated";
    }
    return "unknown";
}

ConnectivityPermissions permissionsOf(Connectivity connectivity)
{
    switch (connectivity) {
    case Connectivity::Connected:
    case Connectivity::ThroughPeers:
        return {.newWork = true, .oneTimeCalls = true};
    case Connectivity::PlatformDown:
    case Connectivity::Minority:
        return {.newWork = true, .oneTimeCalls = false};
    case Connectivity::Isolated:
        break;
    }
    return {.newWork = false, .oneTimeCalls = false};
}

ConnectivityTracker::ConnectivityTracker(Options options)
    : m_options(std::move(options))
{
}

void ConnectivityTracker::setMembers(std::set<std::string> members)
{
    // There is no contact with new members yet. The majority before they were added still counts.
    m_previousMajorityContact = lastMajorityContact();
    m_members = std::move(members);
    m_members.erase(m_options.self);
    std::erase_if(m_peers, [this](const auto &entry) { return !m_members.contains(entry.first); });
}

void ConnectivityTracker::platformResponded(MonotonicTime requestSentAt)
{
    m_platformAt = std::max(m_platformAt, OptionalTime(requestSentAt));
}

void ConnectivityTracker::addPeerReport(const PeerReport &report, MonotonicTime now)
{
    if (!m_members.contains(report.peer)) {
        return;
    }
    constexpr std::chrono::milliseconds NoTime {0};
    const auto contactAt = now - std::max(report.age, NoTime);
    auto &peer = m_peers.try_emplace(report.peer, Peer {.contactAt = contactAt}).first->second;
    // Reports may arrive out of order, so an older report never replaces a newer one.
    peer.contactAt = std::max(peer.contactAt, contactAt);
    if (report.platformAge) {
        peer.platformAt = std::max(peer.platformAt, OptionalTime(contactAt - std::max(*report.platformAge, NoTime)));
    }
}

Connectivity ConnectivityTracker::connectivity(MonotonicTime now) const
{
    const auto contact = m_options.contactTimeout;
    if (isWithin(m_platformAt, contact, now)) {
        return Connectivity::Connected;
    }
    // Without the platform, contact with at least one peer is required.
    if (!isWithin(lastPeerContact(), contact, now)) {
        return Connectivity::Isolated;
    }
    const auto platform = lastPlatformContactThroughPeers();
    if (isWithin(platform, contact, now)) {
        return Connectivity::ThroughPeers;
    }
    const auto majority = lastMajorityContact();
    if (isWithin(majority, contact, now)) {
        return Connectivity::PlatformDown;
    }
    const auto lastSafeContact = std::max({m_platformAt, platform, majority});
    return isWithin(lastSafeContact, m_options.minorityTimeout, now) ? Connectivity::Minority : Connectivity::Isolated;
}

size_t ConnectivityTracker::membersInContact(MonotonicTime now) const
{
    const auto inContact = [&](const auto &entry) { return isWithin(entry.second.contactAt, m_options.contactTimeout, now); };
    return 1 + static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), inContact));
}

bool ConnectivityTracker::isWithin(const OptionalTime &when, std::chrono::milliseconds limit, MonotonicTime now) const
{
    return when && now - *when < limit;
}

ConnectivityTracker::OptionalTime ConnectivityTracker::lastPlatformContactThroughPeers() const
{
    OptionalTime last;
    for (const auto &[name, peer] : m_peers) {
        last = std::max(last, peer.platformAt);
    }
    return last;
}

ConnectivityTracker::OptionalTime ConnectivityTracker::lastPeerContact() const
{
    OptionalTime last;
    for (const auto &[name, peer] : m_peers) {
        last = std::max(last, OptionalTime(peer.contactAt));
    }
    return last;
}

// The latest time since which this gateway and enough peers for a majority have been in contact: the oldest contact among the most recent ones needed.
ConnectivityTracker::OptionalTime ConnectivityTracker::lastMajorityContact() const
{
    const auto needed = memberCount() / 2;
    if (needed == 0 || m_peers.size() < needed) {
        return m_previousMajorityContact;
    }
    std::vector<MonotonicTime> times;
    times.reserve(m_peers.size());
    for (const auto &[name, peer] : m_peers) {
        times.push_back(peer.contactAt);
    }
    const auto wanted = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(times.begin(), wanted, times.end(), std::greater<>());
    return std::max(m_previousMajorityContact, OptionalTime(*wanted));
}

} // namespace Jujube
