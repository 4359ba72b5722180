#include <LibRelay/StreamOriginKeepers.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Jujube
{

StreamOriginKeepers::StreamOriginKeepers(Options options)
    : m_options(std::move(options))
    , m_self {.node = m_options.ownNode, .address = m_options.ownAddress, .incarnation = m_options.ownIncarnation}
{
}

const StreamOriginKeepers::Member *StreamOriginKeepers::find(const Members &members, const std::string &node)
{
    const auto found = std::ranges::lower_bound(members, node, {}, [](const Member &member) -> const std::string & { return member.relay.node; });
    return found != members.end() && found->relay.node == node ? &*found : nullptr;
}

bool StreamOriginKeepers::isBefore(const Relay &left, const Relay &right, uint64_t key)
{
    const auto leftWeight = XXH3_64bits_withSeed(left.node.data(), left.node.size(), key);
    const auto rightWeight = XXH3_64bits_withSeed(right.node.data(), right.node.size(), key);
    return leftWeight > rightWeight || (leftWeight == rightWeight && left.address > right.address);
}

bool StreamOriginKeepers::isKeeper(const Relay &relay, const Members &members, uint64_t key) const
{
    if (isSmall(members)) {
        return true;
    }
    size_t before = 0;
    // Most relays are no keepers, which some comparisons show.
    return std::ranges::none_of(members, [&](const Member &member) { return isBefore(member.relay, relay, key) && ++before >= m_options.keepers; });
}

std::vector<const StreamOriginKeepers::Member *> StreamOriginKeepers::firstOf(std::vector<const Member *> candidates, bool isSmallFleet, uint64_t key) const
{
    if (!isSmallFleet && candidates.size() > m_options.keepers) {
        const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(m_options.keepers);
        std::ranges::partial_sort(candidates, end, [key](const auto *left, const auto *right) { return isBefore(left->relay, right->relay, key); });
        candidates.erase(end, candidates.end());
    }
    return candidates;
}

bool StreamOriginKeepers::update(std::vector<Relay> live, MonotonicTime now)
{
    std::ranges::sort(live, {}, &Relay::node);
    Members members;
    members.reserve(live.size());
    bool hasJoined = false;
    for (auto &relay : live) {
        const auto *known = find(m_members, relay.node);
        const bool hasStayed = known && known->relay.incarnation == relay.incarnation;
        Member member {.relay = std::move(relay), .since = hasStayed ? known->since : now, .knowsUntil = std::nullopt};
        const auto silent = m_silent.find(member.relay.node);
        if (hasStayed) {
            member.knowsUntil = known->knowsUntil;
        } else if (silent != m_silent.end() && silent->second.incarnation == member.relay.incarnation) {
            member.knowsUntil = silent->second.heardAt - m_options.silenceMargin;
        }
        hasJoined = hasJoined || !hasStayed;
        members.push_back(std::move(member));
    }
    for (const auto &member : m_members) {
        if (!find(members, member.relay.node)) {
            m_silent[member.relay.node] = {.incarnation = member.relay.incarnation, .heardAt = member.relay.heardAt};
        }
    }
    absl::erase_if(m_silent, [&](const auto &entry) { return now - entry.second.heardAt > m_options.silenceRetention || find(members, entry.first); });
    m_needsHandover = m_needsHandover || hasJoined || members.size() != m_members.size();
    m_members = std::move(members);
    return hasJoined;
}

std::vector<std::string> StreamOriginKeepers::keepersOf(uint64_t key) const
{
    std::vector<const Member *> candidates;
    for (const auto &member : m_members) {
        candidates.push_back(&member);
    }
    std::vector<std::string> addresses;
    for (const auto *keeper : firstOf(std::move(candidates), isSmall(m_members), key)) {
        addresses.push_back(keeper->relay.address);
    }
    return addresses;
}

std::vector<std::string> StreamOriginKeepers::relaysToAsk(uint64_t key, MonotonicTime now) const
{
    auto addresses = keepersOf(key);
    std::vector<const Member *> candidates;
    for (const auto &member : m_members) {
        if (now - member.since >= m_options.handoverTime) {
            candidates.push_back(&member);
        }
    }
    for (const auto *keeper : firstOf(std::move(candidates), isSmall(m_members), key)) {
        if (std::ranges::find(addresses, keeper->relay.address) == addresses.end()) {
            addresses.push_back(keeper->relay.address);
        }
    }
    return addresses;
}

void StreamOriginKeepers::beginHandover(HandoverScope scope)
{
    m_needsHandover = false;
    m_scope = scope;
    m_former = std::exchange(m_current, m_members);
    m_gone.clear();
    m_joined.clear();
    m_stayed.clear();
    for (const auto &member : m_former) {
        if (!find(m_current, member.relay.node)) {
            m_gone.push_back(&member);
        }
    }
    for (const auto &member : m_current) {
        const auto *former = find(m_former, member.relay.node);
        (former && former->isSameAs(member) ? m_stayed : m_joined).push_back(&member);
    }
}

bool StreamOriginKeepers::isSender(uint64_t key) const
{
    size_t before = 0;
    return std::ranges::none_of(m_stayed, [&](const Member *member) { return isBefore(member->relay, m_self, key) && ++before >= m_options.senders; });
}

std::vector<std::string> StreamOriginKeepers::receiversOf(uint64_t key, bool isOwn, MonotonicTime recordedAt) const
{
    if (m_scope == HandoverScope::None || (!isOwn && !isSender(key))) {
        return {};
    }
    std::vector<std::string> addresses;
    for (const auto *member : m_joined) {
        const bool isOlder = m_scope == HandoverScope::SinceOwnStart && member->relay.incarnation < m_self.incarnation;
        const bool isKnownThere = member->knowsUntil && recordedAt < *member->knowsUntil;
        if ((isOwn || !isOlder) && !isKnownThere && isKeeper(member->relay, m_current, key)) {
            addresses.push_back(member->relay.address);
        }
    }
    const bool hasLostKeeper = std::ranges::any_of(m_gone, [&](const Member *member) { return isKeeper(member->relay, m_former, key); });
    const bool hasBecomeSmall = isSmall(m_current) && !isSmall(m_former);
    if (!hasLostKeeper && !hasBecomeSmall) {
        return addresses;
    }
    // Those that have moved up in the order.
    for (const auto *member : m_stayed) {
        if (isKeeper(member->relay, m_current, key) && !isKeeper(member->relay, m_former, key)) {
            addresses.push_back(member->relay.address);
        }
    }
    return addresses;
}

} // namespace Jujube
