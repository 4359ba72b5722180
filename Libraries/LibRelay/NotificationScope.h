#pragma once

namespace Jujube
{

// Which relays are notified of a change before the next regular heartbeat.
enum class NotificationScope {
    // None. Regular heartbeats repeat changes for a while, in case a datagram was lost.
    None,
    // The relays of this region.
    Region,
    All,
};

// Which relays are notified at once that a target was added, has changed or is leaving. When the store returns after an outage, some twenty targets are new at
// once; if each of dozens of relays forwarded every change that it has just received to all others, small VMs would be busy with that alone while callers wait.
// `isFromPeer` means that another relay has sent the change, `hasGenerations` that this relay would have to copy generations off the target, for which others
// wait.
constexpr NotificationScope notificationScopeForTarget(bool isFromPeer, bool isLeaving, bool hasGenerations)
{
    if (!isFromPeer || (isLeaving && hasGenerations)) {
        return NotificationScope::All;
    }
    return NotificationScope::None;
}

} // namespace Jujube
