#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Cuts the bytes of a text/event-stream into whole events, so that a stream that breaks in the middle of an event can be continued by another target. Bytes
// of whole events are passed on unchanged.
class EventSplitter
{
public:
    // Takes in bytes and returns the whole events that they complete.
    std::string feed(std::string_view bytes);

    // The id of the last whole event. Nothing before the first event with a numeric id.
    std::optional<int64_t> lastId() const
    {
        return m_lastId;
    }

    // Events so far, whether they have an id or not.
    int64_t count() const
    {
        return m_count;
    }

    // Bytes behind the last whole event.
    bool hasPartialEvent() const
    {
        return !m_partial.empty();
    }

    // An event had an id that is not the one after its predecessor's.
    bool isOutOfOrder() const
    {
        return m_outOfOrder;
    }

    // The bytes behind the last whole event are too many for one event.
    bool isTooLong() const
    {
        return m_partial.size() > MaxEventBytes;
    }

    // The stream goes on from another target after the last whole event.
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
