#pragma once

#include "../Support/RequestLimitCheck.h"

#include <deque>
#include <LibPolicy/SplitMix.h>
#include <LibRelay/PeerTable.h>
#include <LibRelay/TargetRequestLimits.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Jujube
{

// Many relays that send requests to one target, which names a limit in its responses. Heartbeats carry limits between the relays. Requests that the limit does
// not allow are dropped.
class RequestLimitFleet
{
public:
    struct Options {
        int relays = 7;
        int regions = 3;
        // Requests per second of all relays that are to be sent to the target.
        double demand = 60;
        uint64_t seed = 1;
    };

    explicit RequestLimitFleet(Options options);

    void runFor(std::chrono::milliseconds time);

    // Sets the limit that the target names. Nothing for none.
    void setLimit(std::optional<double> limit);
    void addRelay();
    // Ends a relay without notice.
    void removeRelay(size_t index);
    void restartRelay(size_t index);
    // Suspends a relay with its machine: its monotonic clock stands still, heartbeats to it are lost, and it reads responses when it wakes.
    void freezeRelay(size_t index);
    void wakeRelay(size_t index);
    // Relays of different groups do not receive each other's heartbeats.
    void setGroup(size_t index, int group);
    size_t relayCount() const
    {
        return m_relays.size();
    }

    // Requests that the target got in the last span of time.
    size_t arrivalsWithin(std::chrono::milliseconds span) const;
    // The 4 s with the most requests against those that the rule LIMIT allows.
    std::optional<RequestLimitCheck::Result> worst() const
    {
        return m_check.worst();
    }
    MonotonicTime now() const
    {
        return m_now;
    }

private:
    struct Node {
        std::string name;
        std::string dataCentre;
        int group = 0;
        std::optional<MonotonicTime> frozenSince;
        // Time for which the relay was frozen, by which its clock is behind.
        MonotonicTime::duration frozenTime {0};
        // The part of that time which the relay has not detected yet.
        MonotonicTime::duration undetectedFreeze {0};
        int64_t incarnation = 1;
        int64_t sequence = 0;
        std::unique_ptr<PeerTable> peers;
        TargetRequestLimits limits {{}};
        MonotonicTime nextHeartbeat;
        MonotonicTime nextUpdate;
        // Relays of which a new process has not heard.
        bool isNew = true;
    };
    struct Response {
        MonotonicTime receivedAt;
        std::string relay;
        int64_t incarnation = 0;
        std::optional<double> limit;
    };

    void start(Node &node);
    MonotonicTime timeOf(const Node &node) const
    {
        return m_now - node.frozenTime;
    }
    void step();
    void runNode(Node &node);
    void sendHeartbeats(Node &node);
    void updateShare(Node &node);
    void deliverResponses();

    const Options m_options;
    SplitMix m_random;
    MonotonicTime m_now {std::chrono::hours(1)};
    std::vector<std::unique_ptr<Node>> m_relays;
    int m_relaysStarted = 0;
    std::optional<double> m_limit;
    RequestLimitCheck m_check;
    std::deque<MonotonicTime> m_arrivals;
    std::deque<Response> m_responses;
};

} // namespace Jujube
