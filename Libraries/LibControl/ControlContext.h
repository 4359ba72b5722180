#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibEvents/EventKind.h>
#include <LibHttp/HttpClient.h>
#include <LibPlatform/PlatformRateLimiter.h>
#include <memory>
#include <string>

namespace Jujube
{

// Sends a call and reports its end on another thread.
using HttpSender = std::function<void(HttpCall, std::function<void(const HttpAnswer &)>)>;

// What every duty of the controller uses of its surroundings.
struct ControlContext {
    // One clock for all duties of a process; see LeaseClock.h.
    std::function<MonotonicTime()> now;
    // Numbers from [0, 1).
    std::function<double()> random;
    HttpSender send;
    std::shared_ptr<PlatformRateLimiter> gate;
    // Records an event about a target; the detail is for people.
    std::function<void(EventKind kind, const std::string &target, const std::string &detail)> record;

    // Tells the gate how a call to the platform ended.
    void reportToGate(bool wasAnswered) const
    {
        if (wasAnswered) {
            gate->onResponse(now());
        } else {
            gate->onFailure(now(), random());
        }
    }
};

} // namespace Jujube
