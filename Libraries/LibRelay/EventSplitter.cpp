#include <LibRelay/EventSplitter.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventEndCrLf = "\r\n\r\n";

// Position after the first complete event, or npos.
size_t endOfEvent(std::string_view text)
{
    const auto plain = text.find(EventEnd);
    const auto crLf = text.find(EventEndCrLf);
    if (plain == std::string_view::npos && crLf == std::string_view::npos) {
        return std::string_view::npos;
    }
    if (crLf < plain) {
        return crLf + EventEndCrLf.size();
    }
    return plain + EventEnd.size();
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partial += bytes;
    size_t done = 0;
    while (true) {
        const auto rest = std::string_view(m_partial).substr(done);
        const auto end = endOfEvent(rest);
        if (end == std::string_view::npos) {
            break;
        }
        recordEvent(rest.substr(0, end));
        if (m_outOfOrder) {
            break;
        }
        done += end;
    }
    auto events = m_partial.substr(0, done);
    m_partial.erase(0, done);
    return events;
}

void EventSplitter::recordEvent(std::string_view event)
{
    for (const auto line : absl::StrSplit(toAbsl(event), '\n')) {
        int64_t id = 0;
        if (!absl::StartsWith(line, "id:") || !absl::SimpleAtoi(absl::StripAsciiWhitespace(line.substr(3)), &id)) {
            continue;
        }
        m_outOfOrder = m_lastId && id != *m_lastId + 1;
        if (m_outOfOrder) {
            return;
        }
        m_lastId = id;
    }
    ++m_count;
}

void EventSplitter::discardPartialEvent()
{
    m_partial.clear();
}

} // namespace Jujube
