#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

// The text as one Zstandard frame (RFC 8878) that states the length of the text.
std::string compressZstd(std::string_view text);

// The text of such a frame. Nothing if the bytes are not one, or if the text is longer than `maxBytes`.
std::optional<std::string> decompressZstd(std::string_view frame, size_t maxBytes);

} // namespace Jujube
