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
// Maximum number of plans of rollouts in a response, and in a datagram, which needs the rest of its space for loads and targets.
constexpr size_t MaxRolloutNotices = 1000;
constexpr size_t MaxRolloutNoticesInDatagram = 8;

// Encodes a heartbeat (Relay.thrift). If it does not fit, loads are dropped, those of the least busy targets first. Rollouts in progress come before those that
// have ended; those beyond the maximum are dropped.
std::string encodePeerHeartbeat(const PeerHeartbeat &heartbeat, size_t maxBytes = MaxPeerDatagramBytes);

// Nothing if the bytes are not a heartbeat.
std::optional<PeerHeartbeat> decodePeerHeartbeat(std::string_view datagram);

} // namespace Jujube
