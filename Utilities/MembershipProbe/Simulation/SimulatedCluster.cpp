#include "SimulatedCluster.h"

#include <algorithm>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds Step {10};
constexpr std::chrono::milliseconds Delay {8};

} // namespace

SimulatedCluster::Node &SimulatedCluster::add(const std::string &name, const std::string &dataCentre, const std::string &region, int64_t incarnation)
{
    auto node = std::make_unique<Node>();
    node->identity = {.name = name,
                      .dataCentre = dataCentre,
                      .region = region,
                      .address = "10.0.0." + std::to_string(m_nodes.size()) + ":8443",
                      .gossipAddress = "10.0.0." + std::to_string(m_nodes.size()) + ":7946",
                      .incarnation = incarnation};
    std::vector<std::string> seeds;
    if (!m_nodes.empty()) {
        seeds.push_back(m_nodes.front()->identity.gossipAddress);
    }
    node->view = std::make_unique<MembershipView>(MembershipView::Options {.self = node->identity, .seeds = seeds, .tuning = tuning});
    node->nextRound = m_now + std::chrono::milliseconds(m_random() % 1000);
    m_byAddress[node->identity.gossipAddress] = node.get();
    m_nodes.push_back(std::move(node));
    return *m_nodes.back();
}

void SimulatedCluster::addFleet(size_t count)
{
    for (size_t i = 0; i < count; ++i) {
        const auto dataCentre = i % 8;
        add("gateway-" + std::to_string(i), "dc-" + std::to_string(dataCentre), "region-" + std::to_string(dataCentre % 3));
    }
}

void SimulatedCluster::run(std::chrono::milliseconds duration)
{
    const auto end = m_now + duration;
    for (; m_now < end; m_now += Step) {
        while (!m_flights.empty() && m_flights.top().at <= m_now) {
            const auto flight = m_flights.top();
            m_flights.pop();
            auto *to = m_byAddress[flight.to];
            const auto heartbeat = m_codec.decode(flight.payload);
            if (to && to->running && heartbeat) {
                send(*to, to->view->receive(*heartbeat, flight.from, m_now, {}));
            }
        }
        for (auto &node : m_nodes) {
            if (node->running && node->nextRound <= m_now) {
                node->nextRound = m_now + 900ms + std::chrono::milliseconds(m_random() % 200);
                const auto heartbeats = node->view->round(m_now, {}, m_random);
                node->largestRound = std::max(node->largestRound, heartbeats.size());
                send(*node, heartbeats);
            }
            for (auto &event : node->view->takeEvents()) {
                node->events.push_back(std::move(event));
            }
        }
    }
}

void SimulatedCluster::send(Node &from, const std::vector<OutgoingHeartbeat> &heartbeats)
{
    // Internet Protocol and UDP headers.
    constexpr size_t HeaderBytes = 28;
    for (const auto &outgoing : heartbeats) {
        auto payload = m_codec.encode(outgoing.heartbeat);
        const auto *to = m_byAddress[outgoing.address];
        from.sentBytes += payload.size() + HeaderBytes;
        from.largestDatagram = std::max(from.largestDatagram, payload.size());
        if (!to) {
            continue;
        }
        from.crossRegionBytes += to->identity.region == from.identity.region ? 0 : payload.size() + HeaderBytes;
        if (!drops(from, *to)) {
            m_flights.push({m_now + Delay, outgoing.address, from.identity.gossipAddress, std::move(payload)});
        }
    }
}

std::optional<Member> SimulatedCluster::seen(const Node &by, const std::string &name) const
{
    for (auto &member : by.view->members(m_now)) {
        if (member.identity.name == name) {
            return member;
        }
    }
    return std::nullopt;
}

size_t SimulatedCluster::count(const Node &by, MemberState state) const
{
    const auto members = by.view->members(m_now);
    return static_cast<size_t>(std::count_if(members.begin(), members.end(), [state](const Member &member) { return member.state == state; }));
}

} // namespace Jujube
