#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Splits the bytes of a text/event-stream into complete events, so that a stream that breaks in the middle of an event can be continued by another target. The
// bytes of complete events are passed on unchanged.
class EventSplitter
{
public:
    // Appends bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);

    // The id of the last complete event. Nothing before the first event with a numeric id.
    std::optional<int64_t> lastId() const
    {
        return m_lastId;
    }

    // Number of events so far, with or without an id.
    int64_t count() const
    {
        return m_count;
    }

    // Whether there are bytes after the last complete event.
    bool hasPartialEvent() const
    {
        return !m_partial.empty();
    }

    // Whether an event had an id other than its predecessor's plus one.
    bool isOutOfOrder() const
    {
        return m_outOfOrder;
    }

    // Whether the bytes after the last complete event are too many for one event.
    bool isTooLong() const
    {
        return m_partial.size() > MaxEventBytes;
    }

    // Discards a partial event, because another target continues the stream after the last complete event.
    void discardPartialEvent();

private:
    // Engines send events of some hundred bytes.
    static constexpr size_t MaxEventBytes = 64 * 1024;

    void recordEvent(std::string_view event);

    std::string m_partial;
    std::optional<int64_t> m_lastId;
    int64_t m_count = 0;
    bool m_outOfOrder = false;
};

} // namespace Jujube
