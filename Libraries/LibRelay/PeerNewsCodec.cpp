#include <LibRelay/PeerNewsCodec.h>

#include <algorithm>
#include <LibCore/ThriftCompact.h>
#include <limits>
#include <Relay_types.h>

namespace Jujube
{

namespace
{

// The second character is the version of the format.
constexpr std::string_view Mark = "R1";
// An answer with all targets of a fleet has the longest list.
constexpr ThriftLimits Limits {.listItems = 20000};

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
    result.saidLeaving = entry.saidLeaving;
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
            .saidLeaving = target.saidLeaving,
            .coldLeft = std::chrono::milliseconds(target.coldLeftMs),
            .version = target.version};
}

Wire::CrashOnTarget toWire(const TargetCrash &crash)
{
    Wire::CrashOnTarget result;
    result.target = crash.target;
    result.incarnation = static_cast<int64_t>(crash.incarnation);
    result.ageMs = static_cast<int32_t>(crash.age.count());
    result.members.assign(crash.members.begin(), crash.members.end());
    result.running = crash.running;
    return result;
}

TargetCrash crashFromWire(const Wire::CrashOnTarget &crash)
{
    return {.target = crash.target,
            .incarnation = static_cast<uint64_t>(crash.incarnation),
            .age = std::chrono::milliseconds(crash.ageMs),
            .members = std::vector<uint64_t>(crash.members.begin(), crash.members.end()),
            .running = crash.running};
}

Wire::RelayHeartbeat toWire(const PeerNews &news)
{
    Wire::RelayHeartbeat result;
    result.node = news.node;
    result.incarnation = news.incarnation;
    result.sequence = news.sequence;
    result.callers = news.callers;
    result.peers = news.peers;
    result.dataCentre = news.dataCentre;
    result.accepting = news.accepting;
    result.documentTableVersion = news.documentTableVersion;
    result.targetsDigest = static_cast<int64_t>(news.targetsDigest);
    result.targetsVersion = news.targetsVersion;
    result.reading = news.reading;
    result.trying = news.trying;
    result.beatMs = static_cast<int32_t>(news.beatPause.count());
    result.onlyLoads = news.onlyLoads;
    result.targetsAgeMs = static_cast<int32_t>(std::min<int64_t>(news.targetsAge.count(), std::numeric_limits<int32_t>::max()));
    auto loads = news.loads;
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
    for (const auto &entry : news.targets) {
        result.targets.push_back(toWire(entry));
    }
    for (const auto &crash : news.crashes) {
        result.crashes.push_back(toWire(crash));
    }
    result.known = news.known;
    return result;
}

PeerNews fromWire(const Wire::RelayHeartbeat &wire)
{
    PeerNews news {.node = wire.node,
                   .incarnation = wire.incarnation,
                   .sequence = wire.sequence,
                   .callers = wire.callers,
                   .peers = wire.peers,
                   .dataCentre = wire.dataCentre,
                   .accepting = wire.accepting,
                   .documentTableVersion = wire.documentTableVersion,
                   .targetsDigest = static_cast<uint64_t>(wire.targetsDigest),
                   .targetsVersion = wire.targetsVersion,
                   .targetsAge = std::chrono::milliseconds(wire.targetsAgeMs),
                   .reading = wire.reading,
                   .trying = wire.trying,
                   .beatPause = std::chrono::milliseconds(wire.beatMs),
                   .onlyLoads = wire.onlyLoads};
    for (const auto &load : wire.loads) {
        news.loads.push_back({.target = load.target, .running = load.running, .memory = load.memory, .prefill = load.prefill, .movable = load.movable});
    }
    for (const auto &target : wire.targets) {
        news.targets.push_back(targetFromWire(target));
    }
    for (const auto &crash : wire.crashes) {
        news.crashes.push_back(crashFromWire(crash));
    }
    news.known = wire.known;
    return news;
}

} // namespace

std::string encodePeerNews(const PeerNews &news, size_t mostBytes)
{
    using Wire::RelayHeartbeat;
    return std::string(Mark)
        + toThriftCompactWithin(
               toWire(news), mostBytes - Mark.size(), &RelayHeartbeat::known, &RelayHeartbeat::crashes, &RelayHeartbeat::loads, &RelayHeartbeat::targets);
}

std::optional<PeerNews> decodePeerNews(std::string_view datagram)
{
    if (datagram.size() <= Mark.size() || datagram.size() > MaxPeerAnswerBytes || datagram.substr(0, Mark.size()) != Mark) {
        return std::nullopt;
    }
    const auto heartbeat = fromThriftCompact<Wire::RelayHeartbeat>(std::string(datagram.substr(Mark.size())), Limits);
    if (!heartbeat) {
        return std::nullopt;
    }
    return fromWire(*heartbeat);
}

} // namespace Jujube
