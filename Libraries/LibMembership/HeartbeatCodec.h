#pragma once

#include <Membership_types.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// The largest datagram. IPv6's smallest link of 1,280 bytes does not apply within the data centres; 1,400 bytes leave room for tunnel headers on a link of
// 1,500 bytes, so that no datagram is fragmented.
constexpr size_t MaxDatagramBytes = 1400;

// Encodes heartbeats as Thrift compact structs behind a two-byte mark and in front of a truncated HMAC-SHA-256 (16 bytes) under the cluster key.
class HeartbeatCodec
{
public:
    explicit HeartbeatCodec(std::string clusterKey);

    // Drops lists from the end until the datagram fits.
    std::string encode(const Wire::Heartbeat &heartbeat) const;

    // Returns nothing for a datagram that is malformed, oversized or not signed with the cluster key.
    std::optional<Wire::Heartbeat> decode(std::string_view datagram) const;

private:
    std::string serialize(const Wire::Heartbeat &heartbeat) const;

    const std::string m_clusterKey;
};

} // namespace Jujube
