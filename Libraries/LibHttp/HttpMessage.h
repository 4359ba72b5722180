#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// Header fields with names in lower case (RFC 9110, section 5.1: names are case-insensitive).
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

// A request as a server received it.
struct HttpRequest {
    std::string method;
    // Decoded path without the query.
    std::string path;
    // Raw text behind '?', without it.
    std::string query;
    HttpHeaders headers;
    std::string body;

    // The value of a header by its lower-case name; empty if the header is absent.
    std::string_view header(std::string_view name) const;

    // The raw value of a query parameter, or nothing.
    std::optional<std::string> queryParameter(std::string_view name) const;
};

} // namespace Jujube
