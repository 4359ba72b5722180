#include <LibEvents/LogLine.h>

#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr unsigned char FirstPrintable = 0x20;

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (static_cast<unsigned char>(character) < FirstPrintable) {
            absl::StrAppend(&text, "\\u", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad4));
        } else {
            text += character;
        }
    }
    text += '"';
}

} // namespace

LogLine::LogLine(EventKind kind, int64_t wallMs, std::string_view node)
    : m_text(absl::StrCat("{\"time_ms\":", wallMs, ",\"number\":", static_cast<int>(kind), ",\"event\":\"", toAbsl(nameOf(kind)), "\""))
{
    add("node", node);
}

LogLine &LogLine::add(std::string_view name, std::string_view value)
{
    absl::StrAppend(&m_text, ",\"", toAbsl(name), "\":");
    appendQuoted(m_text, value);
    return *this;
}

LogLine &LogLine::add(std::string_view name, int64_t value)
{
    absl::StrAppend(&m_text, ",\"", toAbsl(name), "\":", value);
    return *this;
}

std::string LogLine::take()
{
    m_text += '}';
    return std::move(m_text);
}

} // namespace Jujube
