#pragma once

namespace Jujube
{

// Who is told of a change before the next regular heartbeat.
enum class NotificationScope {
    // Nobody. Regular heartbeats repeat changes for a while, in case that a datagram was lost.
    None,
    // The relays of this region.
    Region,
    All,
};

// Who is told at once that a target came, changed or leaves. Load pattern: when the store returns after an outage, some twenty targets are new at once; if each
// of dozens of relays told all others again of what it has just heard, small VMs would be busy with nothing else while callers wait. `isFromPeer` tells that
// another relay has told it, `hasGenerations` that this relay would have to copy generations off the target, for which others wait.
constexpr NotificationScope notificationScopeForTarget(bool isFromPeer, bool isLeaving, bool hasGenerations)
{
    if (!isFromPeer || (isLeaving && hasGenerations)) {
        return NotificationScope::All;
    }
    return NotificationScope::None;
}

} // namespace Jujube
