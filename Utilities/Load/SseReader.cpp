#include <Load/SseReader.h>

#include <algorithm>

namespace Jujube
{

void SseReader::feed(std::string_view bytes, const std::function<void(const SseEvent &)> &onEvent)
{
    m_lines.feed(bytes, [&](std::string_view line) { readLine(line, onEvent); });
}

void SseReader::readLine(std::string_view line, const std::function<void(const SseEvent &)> &onEvent)
{
    if (line.empty()) {
        if (!m_pending.event.empty() || !m_pending.data.empty()) {
            onEvent(m_pending);
        }
        m_pending = SseEvent();
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "event") {
        m_pending.event = value;
    } else if (field == "id") {
        m_pending.id = value;
    } else if (field == "data") {
        // What is longer is no event of a gateway, and is cut so that it cannot be read as one.
        constexpr size_t MaxDataBytes = 1 << 20;
        if (!m_pending.data.empty()) {
            m_pending.data += '\n';
        }
        m_pending.data += value;
        m_pending.data.resize(std::min(m_pending.data.size(), MaxDataBytes));
    }
}

} // namespace Jujube
