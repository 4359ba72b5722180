#pragma once

#include <cstdint>

namespace Jujube
{

// What a workspace pays. Trial work never puts paying work at risk.
enum class WorkspaceTier : uint8_t {
    Paying,
    Trial,
};

// The kind of a generation, as callers name it in their requests.
enum class GenerationKind : uint8_t {
    Draft,
    Suggestion,
};

} // namespace Jujube
