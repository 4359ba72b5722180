#pragma once

namespace Jujube
{

// Who is told of a change before the next regular heartbeat.
enum class NewsAudience {
    // Nobody. Regular heartbeats repeat changes for a while, in case that a datagram was lost.
    None,
    // The relays of this region.
    Region,
    All,
};

// Who is told at once that a target came, changed or leaves. Load pattern: when the store returns after an outage, some twenty targets are new at once; if each
// of dozens of relays told all others again of what it has just heard, small VMs would be busy with nothing else while callers wait. `fromPeer` tells that
// another relay has told it, `hasGenerations` that this relay would have to copy generations off the target, for which others wait.
constexpr NewsAudience audienceForTarget(bool fromPeer, bool leaves, bool hasGenerations)
{
    if (!fromPeer || (leaves && hasGenerations)) {
        return NewsAudience::All;
    }
    return NewsAudience::None;
}

} // namespace Jujube
