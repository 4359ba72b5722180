#include <LibMembership/HeartbeatCodec.h>

#include <LibCore/Digest.h>
#include <LibCore/ThriftCompact.h>

namespace Jujube
{

namespace
{

// The second character is the version of the format.
constexpr std::string_view Mark = "J1";
constexpr size_t MacBytes = 16;

// Removes the last element of the least important list that is left. Returns false if nothing can be removed.
bool shrink(Wire::Heartbeat &heartbeat)
{
    if (!heartbeat.digests.empty()) {
        heartbeat.digests.pop_back();
        return true;
    }
    if (!heartbeat.crashes.empty()) {
        heartbeat.crashes.pop_back();
        return true;
    }
    if (!heartbeat.wanted.empty()) {
        heartbeat.wanted.pop_back();
        return true;
    }
    if (!heartbeat.records.empty()) {
        heartbeat.records.pop_back();
        return true;
    }
    return false;
}

} // namespace

HeartbeatCodec::HeartbeatCodec(std::string clusterKey)
    : m_clusterKey(std::move(clusterKey))
{
}

std::string HeartbeatCodec::encode(Wire::Heartbeat heartbeat) const
{
    auto body = serialize(heartbeat);
    while (body.size() + MacBytes > MaxDatagramBytes && shrink(heartbeat)) {
        body = serialize(heartbeat);
    }
    return body + hmacSha256(m_clusterKey, body).substr(0, MacBytes);
}

std::string HeartbeatCodec::serialize(const Wire::Heartbeat &heartbeat) const
{
    return std::string(Mark) + toThriftCompact(heartbeat);
}

std::optional<Wire::Heartbeat> HeartbeatCodec::decode(std::string_view datagram) const
{
    if (datagram.size() <= Mark.size() + MacBytes || datagram.size() > MaxDatagramBytes || datagram.substr(0, Mark.size()) != Mark) {
        return std::nullopt;
    }
    const auto body = datagram.substr(0, datagram.size() - MacBytes);
    const auto mac = datagram.substr(body.size());
    if (!equalInConstantTime(mac, hmacSha256(m_clusterKey, body).substr(0, MacBytes))) {
        return std::nullopt;
    }
    // No valid datagram has longer strings or lists than the default limits.
    return fromThriftCompact<Wire::Heartbeat>(std::string(body.substr(Mark.size())));
}

} // namespace Jujube
