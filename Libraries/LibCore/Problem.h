#pragma once

#include <chrono>
#include <LibCore/Error.h>
#include <nlohmann/json.hpp>

namespace Jujube
{

// The error answer to a caller, in the form of RFC 9457 (application/problem+json).
struct Problem {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    // Zero if the Retry-After header is left out.
    std::chrono::seconds retryAfter {0};

    // Uses the default Retry-After of the status's error kind.
    static Problem fromStatus(const absl::Status &status);

    nlohmann::json toJson() const;
};

} // namespace Jujube
