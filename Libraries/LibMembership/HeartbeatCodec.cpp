#include <LibMembership/HeartbeatCodec.h>

#include <LibCore/Digest.h>
#include <LibCore/ThriftCompact.h>

namespace Jujube
{

namespace
{

// The second character is the format version.
constexpr std::string_view FormatMarker = "J1";
constexpr size_t MacBytes = 16;

} // namespace

HeartbeatCodec::HeartbeatCodec(std::string clusterKey)
    : m_clusterKey(std::move(clusterKey))
{
}

std::string HeartbeatCodec::encode(const Wire::Heartbeat &heartbeat) const
{
    constexpr size_t MaxContentBytes = MaxDatagramBytes - FormatMarker.size() - MacBytes;
    const auto body
        = std::string(FormatMarker)
        + toThriftCompactWithin(
              heartbeat, MaxContentBytes, &Wire::Heartbeat::digests, &Wire::Heartbeat::crashes, &Wire::Heartbeat::wanted, &Wire::Heartbeat::records);
    return body + hmacSha256(m_clusterKey, body).substr(0, MacBytes);
}

std::optional<Wire::Heartbeat> HeartbeatCodec::decode(std::string_view datagram) const
{
    if (datagram.size() <= FormatMarker.size() + MacBytes || datagram.size() > MaxDatagramBytes || datagram.substr(0, FormatMarker.size()) != FormatMarker) {
        return std::nullopt;
    }
    const auto body = datagram.substr(0, datagram.size() - MacBytes);
    const auto mac = datagram.substr(body.size());
    if (!equalInConstantTime(mac, hmacSha256(m_clusterKey, body).substr(0, MacBytes))) {
        return std::nullopt;
    }
    // The default size limits suffice, because no valid datagram has longer strings or lists.
    return fromThriftCompact<Wire::Heartbeat>(std::string(body.substr(FormatMarker.size())));
}

} // namespace Jujube
