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
    // Index of the token in the generation. Valid for Token.
    int32_t offset = 0;
    std::string text;
    // Number of tokens in the whole generation. Valid for Done.
    int32_t count = 0;
    // Whether the engine reports that it is in a cold start.
    bool cold = false;
};

} // namespace Jujube
