#pragma once

#include <Load/LineSplitter.h>

namespace Jujube
{

// One event of a text/event-stream.
struct SseEvent {
    std::string event;
    std::string id;
    std::string data;
};

// Reads a text/event-stream (HTML standard, section 9.2) from portions of bytes. Comment lines are dropped.
class SseReader
{
public:
    void feed(std::string_view bytes, const std::function<void(const SseEvent &)> &onEvent);

private:
    void readLine(std::string_view line, const std::function<void(const SseEvent &)> &onEvent);

    LineSplitter m_lines;
    SseEvent m_pending;
};

} // namespace Jujube
