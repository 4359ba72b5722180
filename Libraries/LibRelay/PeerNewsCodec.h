#pragma once

#include <LibRelay/PeerTable.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Largest datagram between relays. It fits one packet on common networks.
constexpr size_t MaxPeerDatagramBytes = 1400;

// Encodes a heartbeat as one datagram (Relay.thrift). The loads of the least busy targets are left out if they do not fit.
std::string encodePeerNews(const PeerNews &news);

// Nothing if the bytes are not a heartbeat.
std::optional<PeerNews> decodePeerNews(std::string_view datagram);

} // namespace Jujube
