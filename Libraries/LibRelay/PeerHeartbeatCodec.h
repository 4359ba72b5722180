#pragma once

#include <LibRelay/PeerTable.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Maximum size of a datagram between relays. It fits one packet on common networks.
constexpr size_t MaxPeerDatagramBytes = 1400;
// Maximum size of a response with all targets.
constexpr size_t MaxPeerResponseBytes = 4 << 20;

// Encodes a heartbeat (Relay.thrift). If it does not fit, loads are dropped, those of the least busy targets first.
std::string encodePeerHeartbeat(const PeerHeartbeat &heartbeat, size_t maxBytes = MaxPeerDatagramBytes);

// Nothing if the bytes are not a heartbeat.
std::optional<PeerHeartbeat> decodePeerHeartbeat(std::string_view datagram);

} // namespace Jujube
