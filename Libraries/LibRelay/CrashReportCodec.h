#pragma once

#include <LibPolicy/CrashSuspects.h>
#include <LibPolicy/PromptPartSuspects.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// What a relay tells its peers of crashes beside its heartbeats, which do not have room for long prompts and busy targets.
struct PeerCrashReport {
    std::string node;
    std::vector<TargetCrash> crashes;
    std::vector<PromptPartCrash> promptCrashes;
    std::vector<SoundPromptPart> soundParts;
};

// Room for the crashes of one datagram between relays beside the name of the sender.
constexpr size_t MaxCrashReportBytes = 1250;

// Encodes a report (Relay.thrift). Relays of an older version do not take it for a heartbeat.
std::string encodePeerCrashReport(const PeerCrashReport &report);

// Nothing if the bytes are not a report.
std::optional<PeerCrashReport> decodePeerCrashReport(std::string_view datagram);

} // namespace Jujube
