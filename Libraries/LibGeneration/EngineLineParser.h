#pragma once

#include <functional>
#include <LibGeneration/EngineLine.h>
#include <string_view>

namespace Jujube
{

// Splits the bytes of an engine's answer into lines and parses each of them. Bytes may be split anywhere, also within a multi-byte character.
class EngineLineParser
{
public:
    // Calls onLine for each complete line. A line over the limit is reported once as invalid and skipped.
    void feed(std::string_view bytes, const std::function<void(EngineLine)> &onLine);

private:
    std::string m_rest;
    bool m_skipping = false;
};

// Parses one line without its newline.
EngineLine parseEngineLine(std::string_view text);

} // namespace Jujube
