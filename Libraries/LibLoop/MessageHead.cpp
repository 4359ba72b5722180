#include <LibLoop/MessageHead.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr std::array<std::string_view, 9> ChannelFields {
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"};

bool isSameName(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(toAbsl(left), toAbsl(right));
}

std::string withFields(std::string startLine, const MessageHead &head)
{
    for (const auto &field : head.fields) {
        absl::StrAppend(&startLine, field.name, ": ", field.value, "\r\n");
    }
    startLine += "\r\n";
    return startLine;
}

} // namespace

std::string_view MessageHead::value(std::string_view name) const
{
    for (const auto &field : fields) {
        if (isSameName(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool MessageHead::has(std::string_view name) const
{
    return count(name) > 0;
}

size_t MessageHead::count(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(fields.begin(), fields.end(), [&](const HeaderField &field) { return isSameName(field.name, name); }));
}

void MessageHead::remove(std::string_view name)
{
    std::erase_if(fields, [&](const HeaderField &field) { return isSameName(field.name, name); });
}

void MessageHead::set(std::string_view name, std::string_view value)
{
    remove(name);
    fields.push_back({.name = std::string(name), .value = std::string(value)});
}

bool isChannelField(const MessageHead &head, std::string_view name)
{
    if (std::any_of(ChannelFields.begin(), ChannelFields.end(), [&](std::string_view known) { return isSameName(known, name); })) {
        return true;
    }
    for (const auto &field : head.fields) {
        if (!isSameName(field.name, "connection")) {
            continue;
        }
        for (const auto option : absl::StrSplit(field.value, ',')) {
            if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(option), toAbsl(name))) {
                return true;
            }
        }
    }
    return false;
}

std::string requestText(const MessageHead &head)
{
    return withFields(absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n"), head);
}

std::string answerText(const MessageHead &head)
{
    const auto reason = head.reason.empty() ? reasonOf(head.status) : std::string_view(head.reason);
    return withFields(absl::StrCat("HTTP/1.1 ", head.status, " ", toAbsl(reason), "\r\n"), head);
}

std::string_view reasonOf(int status)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {reason.data(), reason.size()};
}

} // namespace Jujube
