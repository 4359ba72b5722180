#pragma once

#include <LibCore/Time.h>

namespace Jujube
{

// Whether a request that arrives during a graceful shutdown may be taken. During a rolling restart, callers keep using their open connections. How long a
// request will run is an estimate at best, and one that outlasts the process ends without a response, after which a one-time request cannot be repeated. Only
// requests whose deadline is not after the stop are certain to end before it; all others are better served by another relay.
constexpr bool endsBeforeStop(MonotonicTime deadline, MonotonicTime stopAt)
{
    return deadline <= stopAt;
}

} // namespace Jujube
