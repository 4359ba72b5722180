#pragma once

#include <cstdint>
#include <functional>
#include <LibEvents/EventKind.h>
#include <string>
#include <string_view>

namespace Jujube
{

// One line of the structured log: a JSON object with the time, the number and name of the event, and the fields that are added.
class LogLine
{
public:
    LogLine(EventKind kind, int64_t wallMs, std::string_view node);

    LogLine &add(std::string_view name, std::string_view value);
    LogLine &add(std::string_view name, int64_t value);
    LogLine &addReal(std::string_view name, double value);

    // The finished line.
    std::string take();

private:
    std::string m_text;
};

} // namespace Jujube
