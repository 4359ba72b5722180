#pragma once

#include <cstdint>
#include <string>

namespace Jujube
{

enum class EngineLineKind {
    Token,
    KeepAlive,
    Done,
    // Not a line of the engine's protocol.
    Invalid,
};

// One line of an engine's token stream.
struct EngineLine {
    EngineLineKind kind = EngineLineKind::Invalid;
    std::string generation;
    int32_t attempt = 0;
    // Index of the token, for tokens.
    int32_t offset = 0;
    std::string text;
    // Number of tokens of the whole generation, for the last line.
    int32_t count = 0;
    // Whether the engine says that it is in a cold start.
    bool cold = false;
};

} // namespace Jujube
