#include <LibRelay/PeerHeartbeatCodec.h>

#include <algorithm>
#include <cmath>
#include <LibCore/ThriftCompact.h>
#include <LibRelay/CrashWire.h>
#include <LibRelay/RolloutWire.h>
#include <limits>
#include <Relay_types.h>

namespace Jujube
{

namespace
{

// The second character is the version of the format.
constexpr std::string_view FormatMarker = "R1";
// The longest list is in a response with all targets of a fleet.
constexpr ThriftLimits DecodingLimits {.listItems = 20000};

Wire::ChangedTarget toWire(const TargetEntry &entry)
{
    Wire::ChangedTarget result;
    result.target = entry.id;
    result.incarnation = entry.incarnation;
    result.serviceName = entry.service;
    result.address = entry.address;
    result.dataCentre = entry.dataCentre;
    result.slots = entry.slots;
    result.leaving = entry.leaving;
    result.coldLeftMs = static_cast<int32_t>(entry.coldLeft.count());
    result.version = entry.version;
    result.saidLeaving = entry.reportedLeaving;
    if (entry.sequence > 0) {
        result.__set_sequence(entry.sequence);
    }
    if (!entry.softwareVersion.empty()) {
        result.__set_softwareVersion(entry.softwareVersion);
    }
    return result;
}

TargetEntry targetFromWire(const Wire::ChangedTarget &target)
{
    return {.id = target.target,
            .incarnation = target.incarnation,
            .service = target.serviceName,
            .address = target.address,
            .dataCentre = target.dataCentre,
            .slots = target.slots,
            .leaving = target.leaving,
            .reportedLeaving = target.saidLeaving,
            .coldLeft = std::chrono::milliseconds(target.coldLeftMs),
            .sequence = target.sequence,
            .version = target.version,
            .softwareVersion = target.softwareVersion};
}

// A statement that the target no longer names a limit.
constexpr double NoLimit = -1;

Wire::LimitOfTarget toWire(const TargetRequestLimits::Statement &statement)
{
    Wire::LimitOfTarget result;
    result.target = statement.target;
    result.incarnation = statement.incarnation;
    result.perSecond = statement.limit.value_or(NoLimit);
    result.ageMs = static_cast<int32_t>(std::min<int64_t>(statement.age.count(), std::numeric_limits<int32_t>::max()));
    return result;
}

TargetRequestLimits::Statement statementFromWire(const Wire::LimitOfTarget &limit, const std::string &peer)
{
    return {.target = limit.target,
            .incarnation = limit.incarnation,
            .limit = limit.perSecond >= 0 ? std::optional(limit.perSecond) : std::nullopt,
            .age = std::chrono::milliseconds(std::max(0, limit.ageMs)),
            .peer = peer};
}

Wire::RelayHeartbeat toWire(const PeerHeartbeat &heartbeat, size_t maxRollouts)
{
    Wire::RelayHeartbeat result;
    result.node = heartbeat.node;
    result.incarnation = heartbeat.incarnation;
    result.sequence = heartbeat.sequence;
    result.callers = heartbeat.callers;
    result.peers = heartbeat.peers;
    result.dataCentre = heartbeat.dataCentre;
    result.accepting = heartbeat.accepting;
    result.documentTableVersion = heartbeat.documentTableVersion;
    result.targetsDigest = static_cast<int64_t>(heartbeat.targetsDigest);
    result.targetsVersion = heartbeat.targetsVersion;
    result.reading = heartbeat.reading;
    result.trying = heartbeat.trying;
    result.beatMs = static_cast<int32_t>(heartbeat.heartbeatInterval.count());
    result.onlyLoads = heartbeat.onlyLoads;
    result.targetsAgeMs = static_cast<int32_t>(std::min<int64_t>(heartbeat.targetsAge.count(), std::numeric_limits<int32_t>::max()));
    auto loads = heartbeat.loads;
    std::sort(loads.begin(), loads.end(), [](const auto &left, const auto &right) { return left.running > right.running; });
    for (const auto &load : loads) {
        Wire::LoadOnTarget wire;
        wire.target = load.target;
        wire.running = load.running;
        wire.memory = static_cast<int32_t>(load.memory);
        wire.prefill = static_cast<int32_t>(load.prefill);
        wire.movable = static_cast<int32_t>(load.movable);
        result.loads.push_back(wire);
    }
    for (const auto &entry : heartbeat.targets) {
        result.targets.push_back(toWire(entry));
    }
    for (const auto &crash : heartbeat.crashes) {
        result.crashes.push_back(toWire(crash));
    }
    for (const auto &crash : heartbeat.promptCrashes) {
        result.promptCrashes.push_back(toWire(crash));
    }
    result.__isset.promptCrashes = !result.promptCrashes.empty();
    for (const auto &sound : heartbeat.soundParts) {
        result.soundParts.push_back(toWire(sound));
    }
    result.__isset.soundParts = !result.soundParts.empty();
    result.known = heartbeat.known;
    for (const auto &statement : heartbeat.requestLimits) {
        result.limits.push_back(toWire(statement));
    }
    // Optional fields that are not set take no bytes.
    result.__isset.limits = !result.limits.empty();
    if (heartbeat.documentAge) {
        result.__set_documentVersion(heartbeat.documentVersion);
        result.__set_documentHistoryFrom(heartbeat.documentHistoryFrom);
        result.__set_documentAgeMs(static_cast<int32_t>(std::min<int64_t>(heartbeat.documentAge->count(), std::numeric_limits<int32_t>::max())));
    }
    if (heartbeat.linkMbps > 0) {
        result.__set_linkMbps(heartbeat.linkMbps);
    }
    if (heartbeat.receivingDocument) {
        result.__set_receivingDocument(true);
    }
    if (heartbeat.documentEra > 0) {
        result.__set_documentEra(heartbeat.documentEra);
    }
    if (heartbeat.targetsEra > 0) {
        result.__set_targetsEra(heartbeat.targetsEra);
    }
    if (heartbeat.knownRelays > 0) {
        result.__set_knownRelays(heartbeat.knownRelays);
    }
    auto rollouts = heartbeat.rollouts;
    std::stable_partition(rollouts.begin(), rollouts.end(), [](const auto &notice) { return !isFinal(notice.plan.stage); });
    for (size_t index = 0; index < std::min(rollouts.size(), maxRollouts); ++index) {
        result.rollouts.push_back(toWire(rollouts[index]));
    }
    result.__isset.rollouts = !result.rollouts.empty();
    if (heartbeat.rolloutCount) {
        result.__set_rolloutCount(*heartbeat.rolloutCount);
    }
    return result;
}

PeerHeartbeat heartbeatFromWire(const Wire::RelayHeartbeat &wire)
{
    PeerHeartbeat heartbeat {.node = wire.node,
                             .incarnation = wire.incarnation,
                             .sequence = wire.sequence,
                             .callers = wire.callers,
                             .peers = wire.peers,
                             .dataCentre = wire.dataCentre,
                             .accepting = wire.accepting,
                             .documentEra = wire.documentEra,
                             .targetsEra = wire.targetsEra,
                             .documentTableVersion = wire.documentTableVersion,
                             .receivingDocument = wire.receivingDocument,
                             .linkMbps = std::isfinite(wire.linkMbps) && wire.linkMbps > 0 ? wire.linkMbps : 0,
                             .targetsDigest = static_cast<uint64_t>(wire.targetsDigest),
                             .targetsVersion = wire.targetsVersion,
                             .targetsAge = std::chrono::milliseconds(wire.targetsAgeMs),
                             .reading = wire.reading,
                             .trying = wire.trying,
                             .heartbeatInterval = std::chrono::milliseconds(wire.beatMs),
                             .onlyLoads = wire.onlyLoads};
    for (const auto &load : wire.loads) {
        heartbeat.loads.push_back({.target = load.target, .running = load.running, .memory = load.memory, .prefill = load.prefill, .movable = load.movable});
    }
    for (const auto &target : wire.targets) {
        heartbeat.targets.push_back(targetFromWire(target));
    }
    for (const auto &crash : wire.crashes) {
        heartbeat.crashes.push_back(fromWire(crash));
    }
    for (const auto &crash : wire.promptCrashes) {
        heartbeat.promptCrashes.push_back(fromWire(crash, wire.node));
    }
    for (const auto &sound : wire.soundParts) {
        heartbeat.soundParts.push_back(fromWire(sound));
    }
    heartbeat.known = wire.known;
    for (const auto &limit : wire.limits) {
        heartbeat.requestLimits.push_back(statementFromWire(limit, wire.node));
    }
    heartbeat.knownRelays = wire.knownRelays;
    if (wire.__isset.documentAgeMs) {
        heartbeat.documentVersion = wire.documentVersion;
        heartbeat.documentHistoryFrom = wire.documentHistoryFrom;
        heartbeat.documentAge = std::chrono::milliseconds(std::max(0, wire.documentAgeMs));
    }
    for (size_t index = 0; index < std::min(wire.rollouts.size(), MaxRolloutNotices); ++index) {
        if (auto notice = fromWire(wire.rollouts[index])) {
            heartbeat.rollouts.push_back(std::move(*notice));
        }
    }
    if (wire.__isset.rolloutCount && wire.rolloutCount >= 0) {
        heartbeat.rolloutCount = wire.rolloutCount;
    }
    return heartbeat;
}

} // namespace

std::string encodePeerHeartbeat(const PeerHeartbeat &heartbeat, size_t maxBytes)
{
    using Wire::RelayHeartbeat;
    const auto maxRollouts = maxBytes > MaxPeerDatagramBytes ? MaxRolloutNotices : MaxRolloutNoticesInDatagram;
    return std::string(FormatMarker)
        + toThriftCompactWithin(toWire(heartbeat, maxRollouts),
                                maxBytes - FormatMarker.size(),
                                &RelayHeartbeat::known,
                                &RelayHeartbeat::crashes,
                                &RelayHeartbeat::soundParts,
                                &RelayHeartbeat::promptCrashes,
                                &RelayHeartbeat::loads,
                                &RelayHeartbeat::limits,
                                &RelayHeartbeat::targets,
                                &RelayHeartbeat::rollouts);
}

std::optional<PeerHeartbeat> decodePeerHeartbeat(std::string_view datagram)
{
    if (datagram.size() <= FormatMarker.size() || datagram.size() > MaxPeerResponseBytes || datagram.substr(0, FormatMarker.size()) != FormatMarker) {
        return std::nullopt;
    }
    const auto heartbeat = fromThriftCompact<Wire::RelayHeartbeat>(std::string(datagram.substr(FormatMarker.size())), DecodingLimits);
    if (!heartbeat) {
        return std::nullopt;
    }
    return heartbeatFromWire(*heartbeat);
}

} // namespace Jujube
