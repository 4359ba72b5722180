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

} // namespace

HeartbeatCodec::HeartbeatCodec(std::string clusterKey)
    : m_clusterKey(std::move(clusterKey))
{
}

std::string HeartbeatCodec::encode(const Wire::Heartbeat &heartbeat) const
{
    constexpr size_t MaxContentBytes = MaxDatagramBytes - Mark.size() - MacBytes;
    const auto body
        = std::string(Mark)
        + toThriftCompactWithin(
              heartbeat, MaxContentBytes, &Wire::Heartbeat::digests, &Wire::Heartbeat::crashes, &Wire::Heartbeat::wanted, &Wire::Heartbeat::records);
    return body + hmacSha256(m_clusterKey, body).substr(0, MacBytes);
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
