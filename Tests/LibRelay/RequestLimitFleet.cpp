#include "RequestLimitFleet.h"

#include <algorithm>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds Step {10};
constexpr std::chrono::milliseconds ResponseTime {60};
constexpr std::chrono::milliseconds HeartbeatInterval {800};
constexpr std::chrono::milliseconds UpdateInterval {100};
constexpr std::chrono::milliseconds LimitReportTime {3000};
const std::string Target = "target";

std::string regionName(int region)
{
    return "region-" + std::to_string(region);
}

} // namespace

RequestLimitFleet::RequestLimitFleet(Options options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int index = 0; index < m_options.relays; ++index) {
        addRelay();
    }
}

void RequestLimitFleet::start(Node &node)
{
    std::map<std::string, std::string> regions;
    for (int region = 0; region < m_options.regions; ++region) {
        regions[regionName(region)] = regionName(region);
    }
    node.peers = std::make_unique<PeerTable>(
        PeerTable::Options {.ownAddress = node.name + ":1", .ownName = node.name, .region = node.dataCentre, .regions = regions}, timeOf(node));
    node.limits = TargetRequestLimits({});
    node.nextHeartbeat = m_now + std::chrono::milliseconds(m_random.below(static_cast<uint32_t>(HeartbeatInterval.count())));
    node.isNew = true;
}

void RequestLimitFleet::addRelay()
{
    auto node = std::make_unique<Node>();
    node->name = "relay-" + std::to_string(m_relaysStarted);
    node->dataCentre = regionName(m_relaysStarted % m_options.regions);
    ++m_relaysStarted;
    start(*node);
    m_relays.push_back(std::move(node));
}

void RequestLimitFleet::removeRelay(size_t index)
{
    m_relays.erase(m_relays.begin() + static_cast<std::ptrdiff_t>(index));
}

void RequestLimitFleet::restartRelay(size_t index)
{
    auto &node = *m_relays.at(index);
    ++node.incarnation;
    node.sequence = 0;
    start(node);
}

void RequestLimitFleet::freezeRelay(size_t index)
{
    m_relays.at(index)->frozenSince = m_now;
}

void RequestLimitFleet::wakeRelay(size_t index)
{
    auto &node = *m_relays.at(index);
    const auto time = m_now - *std::exchange(node.frozenSince, std::nullopt);
    node.frozenTime += time;
    node.undetectedFreeze += time;
}

void RequestLimitFleet::setGroup(size_t index, int group)
{
    m_relays.at(index)->group = group;
}

void RequestLimitFleet::setLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_check.nameLimit(limit, m_now);
}

void RequestLimitFleet::sendHeartbeats(Node &node)
{
    const auto now = timeOf(node);
    node.peers->expire(now);
    PeerHeartbeat heartbeat {.node = node.name,
                             .incarnation = node.incarnation,
                             .sequence = ++node.sequence,
                             .callers = node.name + ":0",
                             .peers = node.name + ":1",
                             .dataCentre = node.dataCentre,
                             .accepting = true,
                             .heartbeatInterval = HeartbeatInterval,
                             .requestLimits = node.isNew ? node.limits.allStatements(now) : node.limits.recentStatements(LimitReportTime, now),
                             .knownRelays = node.peers->knownRelayCount()};
    for (auto &statement : heartbeat.requestLimits) {
        statement.peer = node.name;
    }
    for (const auto &other : m_relays) {
        if (other.get() == &node || other->group != node.group || other->frozenSince) {
            continue;
        }
        if (other->peers->handleHeartbeat(heartbeat, timeOf(*other)) == PeerTable::Change::Joined) {
            // Relays send what they know to a relay that is new to them.
            for (auto statement : other->limits.allStatements(timeOf(*other))) {
                statement.peer = other->name;
                node.limits.record(statement, now);
            }
        }
        for (const auto &statement : heartbeat.requestLimits) {
            other->limits.record(statement, timeOf(*other));
        }
    }
    node.isNew = false;
}

void RequestLimitFleet::updateShare(Node &node)
{
    node.nextUpdate = m_now + UpdateInterval;
    auto participants = node.peers->requestLimitParticipants(timeOf(node));
    participants.targetRegion = regionName(0);
    node.limits.update([&](const std::string &) { return participants; }, timeOf(node));
}

void RequestLimitFleet::deliverResponses()
{
    std::deque<Response> unread;
    while (!m_responses.empty() && m_responses.front().receivedAt <= m_now) {
        const auto response = m_responses.front();
        m_responses.pop_front();
        const auto found = std::find_if(m_relays.begin(), m_relays.end(), [&](const auto &node) { return node->name == response.relay; });
        if (found == m_relays.end() || (*found)->incarnation != response.incarnation) {
            continue;
        }
        auto &node = **found;
        if (node.frozenSince) {
            unread.push_back(response);
        } else if (node.limits.record({.target = Target, .incarnation = 1, .limit = response.limit}, timeOf(node)) != TargetRequestLimits::Change::None) {
            updateShare(node);
        }
    }
    m_responses.insert(m_responses.begin(), unread.begin(), unread.end());
}

void RequestLimitFleet::runNode(Node &node)
{
    if (node.frozenSince) {
        return;
    }
    if (node.undetectedFreeze.count() > 0) {
        node.limits.onFrozen(std::exchange(node.undetectedFreeze, {}), timeOf(node));
    }
    if (m_now >= node.nextHeartbeat) {
        node.nextHeartbeat = m_now + HeartbeatInterval;
        sendHeartbeats(node);
    }
    if (m_now >= node.nextUpdate) {
        updateShare(node);
    }
    // Each relay gets requests at the same rate, at random times.
    const double probability = m_options.demand * std::chrono::duration<double>(Step).count() / static_cast<double>(m_relays.size());
    if (m_random.unit() >= probability || !node.limits.maySend(Target, timeOf(node))) {
        return;
    }
    node.limits.recordSend(Target, timeOf(node));
    m_arrivals.push_back(m_now);
    m_check.recordArrival(m_now);
    m_responses.push_back({.receivedAt = m_now + ResponseTime, .relay = node.name, .incarnation = node.incarnation, .limit = m_limit});
}

void RequestLimitFleet::step()
{
    m_now += Step;
    deliverResponses();
    for (const auto &node : m_relays) {
        runNode(*node);
    }
}

void RequestLimitFleet::runFor(std::chrono::milliseconds time)
{
    for (const auto end = m_now + time; m_now < end;) {
        step();
    }
}

size_t RequestLimitFleet::arrivalsWithin(std::chrono::milliseconds span) const
{
    return static_cast<size_t>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](MonotonicTime time) { return time > m_now - span; }));
}

} // namespace Jujube
