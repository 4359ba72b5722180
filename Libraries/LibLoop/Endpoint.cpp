#include <LibLoop/Endpoint.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>
#include <limits>

namespace Jujube
{

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    int port = 0;
    if (colon == std::string_view::npos || !absl::SimpleAtoi(toAbsl(text.substr(colon + 1)), &port)) {
        return std::nullopt;
    }
    LoopError error;
    const auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    if (error || port <= 0 || port > std::numeric_limits<uint16_t>::max()) {
        return std::nullopt;
    }
    Endpoint endpoint {.address = address.to_string(), .port = static_cast<uint16_t>(port)};
    // The conversions above accept signs and spaces around a port, and an address that is followed by a zero byte.
    return endpoint.toText() == text ? std::optional(std::move(endpoint)) : std::nullopt;
}

Tcp::endpoint Endpoint::tcp() const
{
    return {boost::asio::ip::make_address_v4(address), port};
}

Udp::endpoint Endpoint::udp() const
{
    return {boost::asio::ip::make_address_v4(address), port};
}

std::string Endpoint::toText() const
{
    return absl::StrCat(address, ":", port);
}

} // namespace Jujube
