#pragma once

#include <LibRelay/RolloutTypes.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// Maximum number of datagrams for one report.
constexpr size_t MaxRolloutReportDatagrams = 3;

// Encodes a report (Relay.thrift) as datagrams of at most MaxPeerDatagramBytes each. Samples that do not fit are dropped, first those of old versions with the
// fewest responses; all datagrams have the other fields. Nothing if these alone do not fit.
std::vector<std::string> encodeRolloutReport(const RolloutReport &report);

// Nothing if the bytes are not a report.
std::optional<RolloutReport> decodeRolloutReport(std::string_view datagram);

} // namespace Jujube
