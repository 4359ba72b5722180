#pragma once

#include <deque>
#include <functional>
#include <LibEvents/Event.h>
#include <mutex>
#include <vector>

namespace Jujube
{

// The events of one process in bounded memory. Nodes have no disk, so the oldest events are dropped, counted and shown as dropped.
// Safe to use from several threads.
class EventLog
{
public:
    struct Options {
        std::string process;
        std::string dataCentre;
        size_t capacity = 16384;
        // Called with each event after it was stored, for example to write it to the process's log.
        std::function<void(const Event &)> onEvent;
    };

    // The events after a sequence number, and how many of them were dropped already.
    struct Page {
        std::vector<Event> events;
        uint64_t dropped = 0;
    };

    explicit EventLog(Options options);

    // Stores an event; sequence, time and an empty data centre are filled in.
    void record(Event event, int64_t wallMsNow);

    // Takes notice of the time of a message from another process, so that later events sort behind the sender's.
    void observe(const HybridTime &remote, int64_t wallMsNow);

    // The present hybrid time, for a message to another process.
    HybridTime tick(int64_t wallMsNow);

    Page after(uint64_t sequence) const;

    // The answer to GET /events?after=N.
    nlohmann::json pageToJson(uint64_t sequence) const;

private:
    const Options m_options;
    HybridClock m_clock;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    uint64_t m_lastSequence = 0;
};

} // namespace Jujube
