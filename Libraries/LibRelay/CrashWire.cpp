#include <LibRelay/CrashWire.h>

#include <algorithm>
#include <limits>

namespace Jujube
{

namespace
{

int32_t toWireAge(std::chrono::milliseconds age)
{
    return static_cast<int32_t>(std::min<int64_t>(age.count(), std::numeric_limits<int32_t>::max()));
}

std::chrono::milliseconds ageFromWire(int32_t age)
{
    return std::chrono::milliseconds(std::max(0, age));
}

} // namespace

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

TargetCrash fromWire(const Wire::CrashOnTarget &crash)
{
    return {.target = crash.target,
            .incarnation = static_cast<uint64_t>(crash.incarnation),
            .age = std::chrono::milliseconds(crash.ageMs),
            .members = std::vector<uint64_t>(crash.members.begin(), crash.members.end()),
            .running = crash.running};
}

Wire::PromptCrash toWire(const PromptPartCrash &crash)
{
    Wire::PromptCrash result;
    result.target = crash.target;
    result.incarnation = static_cast<int64_t>(crash.incarnation);
    result.ageMs = toWireAge(crash.age);
    for (const auto &request : crash.requests) {
        Wire::PromptSuspect suspect;
        suspect.digest = static_cast<int64_t>(request.digest);
        suspect.begun = request.hasBegun;
        suspect.parts.assign(request.parts.begin(), request.parts.end());
        result.requests.push_back(std::move(suspect));
    }
    for (const auto &shared : crash.shared) {
        Wire::PartsOfRequests parts;
        parts.requests.assign(shared.requests.begin(), shared.requests.end());
        parts.parts.assign(shared.parts.begin(), shared.parts.end());
        result.shared.push_back(std::move(parts));
    }
    // Optional fields that are not set take no bytes.
    result.__isset.shared = !result.shared.empty();
    result.pieces = static_cast<int32_t>(crash.pieces);
    if (crash.piece > 0) {
        result.__set_piece(static_cast<int32_t>(crash.piece));
    }
    if (crash.areRejected) {
        result.__set_rejected(true);
    }
    return result;
}

PromptPartCrash fromWire(const Wire::PromptCrash &crash, const std::string &peer)
{
    PromptPartCrash result {.target = crash.target,
                            .incarnation = static_cast<uint64_t>(crash.incarnation),
                            .age = ageFromWire(crash.ageMs),
                            .requests = {},
                            .shared = {},
                            .pieces = static_cast<uint32_t>(std::max(0, crash.pieces)),
                            .piece = static_cast<uint32_t>(std::max(0, crash.piece)),
                            .areRejected = crash.rejected,
                            .peer = peer};
    for (const auto &suspect : crash.requests) {
        result.requests.push_back(
            {.digest = static_cast<uint64_t>(suspect.digest), .hasBegun = suspect.begun, .parts = {suspect.parts.begin(), suspect.parts.end()}});
    }
    for (const auto &shared : crash.shared) {
        result.shared.push_back({.requests = {shared.requests.begin(), shared.requests.end()}, .parts = {shared.parts.begin(), shared.parts.end()}});
    }
    return result;
}

Wire::SoundPart toWire(const SoundPromptPart &sound)
{
    Wire::SoundPart result;
    result.part = static_cast<int64_t>(sound.part);
    result.ageMs = toWireAge(sound.age);
    return result;
}

SoundPromptPart fromWire(const Wire::SoundPart &sound)
{
    return {.part = static_cast<uint64_t>(sound.part), .age = ageFromWire(sound.ageMs)};
}

} // namespace Jujube
