#include <LibHttp/HttpMessage.h>

#include <absl/strings/str_split.h>
#include <LibCore/AbslView.h>
#include <utility>

namespace Jujube
{

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<std::string> HttpRequest::queryParameter(std::string_view name) const
{
    for (const auto part : absl::StrSplit(query, '&')) {
        const std::pair<absl::string_view, absl::string_view> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (fromAbsl(pair.first) == name) {
            return std::string(pair.second);
        }
    }
    return std::nullopt;
}

} // namespace Jujube
