#pragma once

#include <absl/strings/str_cat.h>
#include <LibLoop/Endpoint.h>
#include <unistd.h>

namespace Jujube
{

// An endpoint that nothing else uses: the loopback address is this process's own, and each call gives another port below those that the system hands out to
// outgoing connections.
inline Endpoint ownLoopbackEndpoint()
{
    constexpr uint16_t FirstPort = 10000;
    constexpr int PidBits = 22;
    static uint16_t used = 0;
    const auto pid = static_cast<unsigned>(getpid()) & ((1U << PidBits) - 1);
    return {.address = absl::StrCat("127.", 1 + (pid >> 16), ".", (pid >> 8) & 0xff, ".", pid & 0xff), .port = static_cast<uint16_t>(FirstPort + used++)};
}

} // namespace Jujube
