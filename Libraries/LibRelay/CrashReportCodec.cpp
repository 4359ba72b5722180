#include <LibRelay/CrashReportCodec.h>

#include <LibCore/ThriftCompact.h>
#include <LibRelay/CrashWire.h>
#include <LibRelay/PeerHeartbeatCodec.h>

namespace Jujube
{

namespace
{

// The second character is the version of the format.
constexpr std::string_view FormatMarker = "C1";

} // namespace

std::string encodePeerCrashReport(const PeerCrashReport &report)
{
    Wire::CrashReport wire;
    wire.node = report.node;
    for (const auto &crash : report.crashes) {
        wire.crashes.push_back(toWire(crash));
    }
    for (const auto &crash : report.promptCrashes) {
        wire.promptCrashes.push_back(toWire(crash));
    }
    for (const auto &sound : report.soundParts) {
        wire.soundParts.push_back(toWire(sound));
    }
    return std::string(FormatMarker) + toThriftCompact(wire);
}

std::optional<PeerCrashReport> decodePeerCrashReport(std::string_view datagram)
{
    if (datagram.size() > MaxPeerDatagramBytes || !datagram.starts_with(FormatMarker)) {
        return std::nullopt;
    }
    const auto wire = fromThriftCompact<Wire::CrashReport>(std::string(datagram.substr(FormatMarker.size())));
    if (!wire) {
        return std::nullopt;
    }
    PeerCrashReport report {.node = wire->node, .crashes = {}, .promptCrashes = {}, .soundParts = {}};
    for (const auto &crash : wire->crashes) {
        report.crashes.push_back(fromWire(crash));
    }
    for (const auto &crash : wire->promptCrashes) {
        report.promptCrashes.push_back(fromWire(crash, wire->node));
    }
    for (const auto &sound : wire->soundParts) {
        report.soundParts.push_back(fromWire(sound));
    }
    return report;
}

} // namespace Jujube
