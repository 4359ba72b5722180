#pragma once

#include <LibLoop/Asio.h>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// An IPv4 address and a port, as in "10.0.0.7:8080".
struct Endpoint {
    std::string address;
    uint16_t port = 0;

    // Nothing if the text is not "address:port" with a numeric address.
    static std::optional<Endpoint> parse(std::string_view text);

    Tcp::endpoint tcp() const;
    Udp::endpoint udp() const;
    std::string toText() const;
};

} // namespace Jujube
