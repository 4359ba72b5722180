#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <LibCore/HybridClock.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// An event together with the process that recorded it.
struct TimelineEvent {
    std::string process;
    uint64_t sequence = 0;
    HybridTime time;
    int number = 0;
    std::string name;
    std::string request;
    std::string target;
    std::string dataCentre;
    std::string detail;
};

// Which events to show. An empty text matches everything.
struct TimelineFilter {
    std::string request;
    std::string target;
    std::string dataCentre;

    bool matches(const TimelineEvent &event) const;
};

// How many events of a process were dropped before they were read.
struct DroppedEvents {
    std::string process;
    uint64_t count = 0;
};

// The events of several processes in one causal order: by hybrid logical time, then by process and sequence.
class Timeline
{
public:
    // Takes in the answer of a process to GET /events. Errors: ErrorKind::InvalidValue, MalformedJson or InvalidUtf8 if it is not one.
    absl::Status add(std::string_view pageText);

    // The events that match, in causal order.
    std::vector<TimelineEvent> events(const TimelineFilter &filter) const;

    const std::vector<DroppedEvents> &dropped() const
    {
        return m_dropped;
    }

private:
    std::vector<TimelineEvent> m_events;
    std::vector<DroppedEvents> m_dropped;
};

} // namespace Jujube
