#pragma once

namespace Jujube
{

// What a status says about its response (RFC 9110, section 15).
enum class StatusKind {
    // Precedes the final response and may be skipped.
    Interim,
    Final,
    // Makes its response a broken one.
    Invalid,
};

constexpr int StatusSwitchingProtocols = 101;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

// For each reader of responses. 101 is invalid, because no request of this software has an Upgrade field.
constexpr StatusKind statusKindOf(int status)
{
    constexpr int FirstInterim = 100;
    constexpr int FirstFinal = 200;
    constexpr int LastFinal = 599;
    if (status < FirstInterim || status > LastFinal || status == StatusSwitchingProtocols) {
        return StatusKind::Invalid;
    }
    return status < FirstFinal ? StatusKind::Interim : StatusKind::Final;
}

} // namespace Jujube
