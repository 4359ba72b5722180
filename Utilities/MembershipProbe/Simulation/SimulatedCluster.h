#pragma once

#include <functional>
#include <LibMembership/HeartbeatCodec.h>
#include <LibMembership/MembershipView.h>
#include <memory>
#include <queue>

namespace Jujube
{

// Many views on virtual time. Datagrams pass through the codec and arrive after a delay unless the link drops them.
class SimulatedCluster
{
public:
    struct Node {
        MemberIdentity identity;
        std::unique_ptr<MembershipView> view;
        std::vector<MembershipEvent> events;
        bool running = true;
        MonotonicTime nextRound;
        uint64_t sentBytes = 0;
        uint64_t crossRegionBytes = 0;
        size_t largestDatagram = 0;
        size_t largestRound = 0;
    };

    explicit SimulatedCluster(uint64_t seed)
        : m_random(seed)
    {
    }

    // Adds a node. Its seed is the first node's address.
    Node &add(const std::string &name, const std::string &dataCentre, const std::string &region, int64_t incarnation = 1);
    // Adds count nodes in 3 regions with 8 data centres.
    void addFleet(size_t count);
    void run(std::chrono::milliseconds duration);

    Node &node(size_t index)
    {
        return *m_nodes[index];
    }
    size_t size() const
    {
        return m_nodes.size();
    }
    MonotonicTime now() const
    {
        return m_now;
    }
    // The member that one node sees under another's name, or nothing.
    std::optional<Member> seen(const Node &by, const std::string &name) const;
    size_t count(const Node &by, MemberState state) const;

    // For the nodes added afterwards.
    MembershipTuning tuning;

    // Whether a datagram between two nodes is lost.
    std::function<bool(const Node &from, const Node &to)> drops = [](const Node &, const Node &) { return false; };

private:
    struct Flight {
        MonotonicTime at;
        std::string to;
        std::string from;
        std::string payload;
        bool operator>(const Flight &other) const
        {
            return at > other.at;
        }
    };

    void send(Node &from, const std::vector<OutgoingHeartbeat> &heartbeats);

    MonotonicTime m_now {std::chrono::hours(1)};
    std::mt19937_64 m_random;
    HeartbeatCodec m_codec {"key"};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::string, Node *> m_byAddress;
    std::priority_queue<Flight, std::vector<Flight>, std::greater<>> m_flights;
};

} // namespace Jujube
