#pragma once

#include <LibCore/HybridClock.h>
#include <LibEvents/EventKind.h>
#include <nlohmann/json.hpp>
#include <string>

namespace Jujube
{

// One event of a process. The empty string stands for "does not apply".
struct Event {
    // Position in the log of its process, from 1.
    uint64_t sequence = 0;
    HybridTime time;
    EventKind kind = EventKind::ProcessStarted;
    // Generation id, or the request's own id for other requests.
    std::string request;
    std::string target;
    std::string dataCentre;
    std::string detail;

    nlohmann::json toJson() const;
};

} // namespace Jujube
