#pragma once

#include <cstdint>
#include <LibRelay/StreamOrigins.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// What a relay tells a peer of the versions that began streams, and what it asks.
struct StreamOriginReport {
    std::string node;
    // The sender's address for datagrams, "address:port", to which answers are sent.
    std::string peers;
    std::vector<StreamOrigin> streams;
    // Keys of streams whose version the sender asks for.
    std::vector<uint64_t> questions;
    // Questions that the sender cannot answer.
    std::vector<uint64_t> unknown;

    bool operator==(const StreamOriginReport &) const = default;
};

// So many streams without questions fit into a datagram if no two of them have the same version, versions have up to 40 bytes, the name of the sender up to 200
// and its address up to 64. More fit if they share versions: each takes 14 bytes and each version two more than its length.
constexpr size_t MaxStreamsInDatagram = 20;
// So many questions, answered or not, fit into a datagram without streams.
constexpr size_t MaxQuestionsInDatagram = 120;
// Longer texts are not sent, and make a datagram malformed.
constexpr size_t MaxStreamOriginTextBytes = 200;
// Longer lifetimes are sent as this one, and make a datagram malformed.
constexpr std::chrono::milliseconds MaxSentStreamLifetime {3'600'000};

// Encodes a report, in MessagePack after a marker of the format. Streams whose version is no valid text, or whose lifetime is negative, are left out. What is
// longer than MaxPeerDatagramBytes is not accepted by receivers.
std::string encodeStreamOriginReport(const StreamOriginReport &report);

// The same in as many datagrams as it takes for each to be accepted, each of them with the name and the address of the sender. None if the report is empty.
std::vector<std::string> encodeStreamOriginReports(const StreamOriginReport &report);

// Nothing if the bytes are not a report.
std::optional<StreamOriginReport> decodeStreamOriginReport(std::string_view datagram);

} // namespace Jujube
