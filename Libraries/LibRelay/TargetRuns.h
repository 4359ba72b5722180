#pragma once

#include <array>
#include <cstdint>
#include <LibCore/Time.h>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// What a target states about the requests that it runs, or why there is no statement.
struct TargetRuns {
    enum class Kind : uint8_t {
        // The process that ran the requests has ended: nothing listens at its address, or a later process does.
        Gone,
        // Connections to the target time out.
        Unreachable,
        // The target accepted the connection and did not respond, or not with a list.
        Unknown,
        Listed,
    };
    Kind kind = Kind::Unknown;
    // When the target was asked. Its statement may be some hundred milliseconds older.
    MonotonicTime askedAt;
    // Ids of the requests that have begun to run.
    std::vector<std::string> requests;
    int64_t queued = 0;
};

inline std::string_view nameOf(TargetRuns::Kind kind)
{
    constexpr std::array<std::string_view, 4> Names {"gone", "unreachable", "unknown", "not listed"};
    return Names.at(static_cast<size_t>(kind));
}

// What is known about one run.
enum class RunState : uint8_t {
    Unknown,
    AtWork,
    Ended,
};

} // namespace Jujube
