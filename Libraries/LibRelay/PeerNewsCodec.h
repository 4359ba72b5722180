#pragma once

#include <LibRelay/PeerTable.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Largest datagram between relays. It fits one packet on common networks.
constexpr size_t MaxPeerDatagramBytes = 1400;
// Largest answer with all targets.
constexpr size_t MaxPeerAnswerBytes = 4 << 20;

// Encodes a heartbeat (Relay.thrift). The loads of the least busy targets are left out if it does not fit.
std::string encodePeerNews(const PeerNews &news, size_t mostBytes = MaxPeerDatagramBytes);

// Nothing if the bytes are not a heartbeat.
std::optional<PeerNews> decodePeerNews(std::string_view datagram);

} // namespace Jujube
