#pragma once

#include <string>
#include <string_view>

namespace Jujube
{

// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// HMAC-SHA-256 (RFC 2104), 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

// Compares two strings in a time that does not depend on where they differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace Jujube
