#pragma once

#include <functional>
#include <LibGeneration/EngineLine.h>
#include <string_view>

namespace Jujube
{

// Splits the bytes of an engine's response into lines and parses each of them. The bytes may be split anywhere, even within a multi-byte character.
class EngineLineParser
{
public:
    // Calls onLine for each complete line. An incomplete line that exceeds the size limit is reported once as invalid, and the rest of it is skipped.
    void feed(std::string_view bytes, const std::function<void(EngineLine)> &onLine);

private:
    std::string m_partialLine;
    bool m_isSkippingLine = false;
};

// Parses one line without its newline.
EngineLine parseEngineLine(std::string_view text);

} // namespace Jujube
