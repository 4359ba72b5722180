#pragma once

#include <LibLoop/CallerListener.h>
#include <LibRelay/PeerTable.h>
#include <map>
#include <set>

namespace Jujube
{

// A relay whose heartbeats and responses to other relays are set by a test.
class ScriptedPeer
{
public:
    ScriptedPeer(boost::asio::io_context &loop, const std::string &node, Endpoint relay);

    // Sends the heartbeat to the relay every 100 ms, with its name, address and numbers filled in. The list of a peer that does not read the store grows older
    // from one heartbeat to the next.
    void setHeartbeat(PeerHeartbeat heartbeat);

    // The response to requests for a path. Requests for other paths get no response.
    void setResponse(const std::string &path, std::string body);

    // The newest heartbeat that the relay has sent to this peer.
    const std::optional<PeerHeartbeat> &received() const
    {
        return m_received;
    }

    // Ids of the targets that the relay has reported as changed.
    const std::set<std::string> &reportedTargets() const
    {
        return m_reportedTargets;
    }

    // Bytes of the short messages with only the loads that the relay has sent to this peer.
    size_t loadReportBytes() const
    {
        return m_loadReportBytes;
    }

    // Bytes of the datagrams with crashes that the relay has sent to this peer.
    size_t crashReportBytes() const
    {
        return m_crashReportBytes;
    }

    // Targets whose crashes were reported to this peer in such datagrams.
    const std::set<std::string> &reportedCrashes() const
    {
        return m_reportedCrashes;
    }

    int requestCount() const
    {
        return m_requestCount;
    }

private:
    void onRequest(const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request);
    void send();
    void receive();

    const Endpoint m_address;
    const Endpoint m_relay;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<CallerListener> m_listener;
    PeerHeartbeat m_heartbeat;
    MonotonicTime m_heartbeatSetAt;
    std::map<std::string, std::string> m_responses;
    std::vector<std::shared_ptr<CallerChannel>> m_unanswered;
    std::array<char, 2048> m_buffer {};
    Udp::endpoint m_sender;
    std::optional<PeerHeartbeat> m_received;
    std::set<std::string> m_reportedTargets;
    size_t m_loadReportBytes = 0;
    size_t m_crashReportBytes = 0;
    std::set<std::string> m_reportedCrashes;
    int m_requestCount = 0;
};

} // namespace Jujube
