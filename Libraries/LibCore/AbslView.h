#pragma once

#include <absl/strings/string_view.h>
#include <string_view>

namespace Jujube
{

// Debian builds Abseil for C++14, where absl::string_view is a type of its own that does not convert from std::string_view.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view fromAbsl(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace Jujube
