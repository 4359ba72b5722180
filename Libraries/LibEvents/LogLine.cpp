#include <LibEvents/LogLine.h>

#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>
#include <nlohmann/json.hpp>

namespace Jujube
{

namespace
{

// A JSON string. Bytes that are not UTF-8, as callers may send them, are replaced.
std::string quoted(std::string_view value)
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

LogLine::LogLine(EventKind kind, int64_t wallMs, std::string_view node)
    : m_text(absl::StrCat("{\"time_ms\":", wallMs, ",\"number\":", static_cast<int>(kind), ",\"event\":\"", toAbsl(nameOf(kind)), "\""))
{
    add("node", node);
}

LogLine &LogLine::add(std::string_view name, std::string_view value)
{
    absl::StrAppend(&m_text, ",\"", toAbsl(name), "\":", quoted(value));
    return *this;
}

LogLine &LogLine::add(std::string_view name, int64_t value)
{
    absl::StrAppend(&m_text, ",\"", toAbsl(name), "\":", value);
    return *this;
}

LogLine &LogLine::addReal(std::string_view name, double value)
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
