#pragma once

#include <Membership_types.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Maximum size of a datagram. 1,400 bytes leave room for tunnel headers within an MTU of 1,500 bytes, so that no datagram is fragmented. The minimum MTU of
// IPv6, 1,280 bytes, does not occur within the data centres.
constexpr size_t MaxDatagramBytes = 1400;

// Encodes heartbeats as Thrift compact structs, preceded by a two-byte format marker and followed by a truncated HMAC-SHA-256 (16 bytes) under the cluster
// key.
class HeartbeatCodec
{
public:
    explicit HeartbeatCodec(std::string clusterKey);

    // Drops list entries, the least important ones first, until the datagram fits.
    std::string encode(const Wire::Heartbeat &heartbeat) const;

    // Returns nothing for a datagram that is malformed, oversized or not signed with the cluster key.
    std::optional<Wire::Heartbeat> decode(std::string_view datagram) const;

private:
    std::string serialize(const Wire::Heartbeat &heartbeat) const;

    const std::string m_clusterKey;
};

} // namespace Jujube
