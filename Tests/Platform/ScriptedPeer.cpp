#include "ScriptedPeer.h"

#include "../Support/LoopbackEndpoint.h"

#include <LibRelay/CrashReportCodec.h>
#include <LibRelay/PeerHeartbeatCodec.h>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds HeartbeatInterval {100};
constexpr int StatusOk = 200;

} // namespace

ScriptedPeer::ScriptedPeer(boost::asio::io_context &loop, const std::string &node, Endpoint relay)
    : m_address(ownLoopbackEndpoint())
    , m_relay(std::move(relay))
    , m_socket(loop, m_address.udp())
    , m_timer(loop)
    , m_heartbeat({.node = node})
{
    auto listener = CallerListener::start(
        loop,
        {.address = m_address,
         .hooks = {.onRequest = [this](const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request) { onRequest(channel, request); },
                   .limits = [] { return CallerLimits {}; },
                   .isClosing = [] { return false; },
                   .onRejected = [](int) {}}});
    m_listener = *std::move(listener);
    receive();
}

void ScriptedPeer::setHeartbeat(PeerHeartbeat heartbeat)
{
    heartbeat.node = m_heartbeat.node;
    heartbeat.sequence = m_heartbeat.sequence;
    m_heartbeat = std::move(heartbeat);
    m_heartbeatSetAt = monotonicNow();
    send();
}

void ScriptedPeer::setResponse(const std::string &path, std::string body)
{
    m_responses[path] = std::move(body);
}

void ScriptedPeer::onRequest(const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request)
{
    ++m_requestCount;
    const auto found = m_responses.find(request.head.target);
    if (found == m_responses.end()) {
        m_unanswered.push_back(channel);
        return;
    }
    channel->send({.status = StatusOk}, found->second);
}

void ScriptedPeer::send()
{
    m_heartbeat.incarnation = 1;
    ++m_heartbeat.sequence;
    m_heartbeat.peers = m_address.toText();
    m_heartbeat.heartbeatInterval = HeartbeatInterval;
    if (!m_heartbeat.reading) {
        m_heartbeat.targetsAge = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_heartbeatSetAt);
    }
    LoopError ignored;
    m_socket.send_to(boost::asio::buffer(encodePeerHeartbeat(m_heartbeat)), m_relay.udp(), 0, ignored);
    m_timer.expires_after(HeartbeatInterval);
    m_timer.async_wait([this](const LoopError &error) {
        if (!error) {
            send();
        }
    });
}

void ScriptedPeer::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](const LoopError &error, size_t bytes) {
        if (error) {
            return;
        }
        auto heartbeat = decodePeerHeartbeat({m_buffer.data(), bytes});
        if (const auto report = decodePeerCrashReport({m_buffer.data(), bytes})) {
            m_crashReportBytes += bytes;
            for (const auto &crash : report->promptCrashes) {
                m_reportedCrashes.insert(crash.target);
            }
        } else if (heartbeat && heartbeat->onlyLoads) {
            m_loadReportBytes += bytes;
        } else if (heartbeat) {
            for (const auto &target : heartbeat->targets) {
                m_reportedTargets.insert(target.id);
            }
            m_received = std::move(heartbeat);
        }
        receive();
    });
}

} // namespace Jujube
