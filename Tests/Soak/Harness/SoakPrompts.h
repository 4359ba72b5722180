#pragma once

#include "SoakLedger.h"

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// Engines crash when they begin to write on a request whose prompt has this part.
constexpr std::string_view BadPart = "bad0c0de";

// Whether a part of the prompt in a header field has this id.
bool hasPart(std::string_view prompt, std::string_view part);

// Draws the parts of prompts as callers name them: one of a handful that all requests of a kind share, in every second prompt the twenty or two hundred of a
// long conversation, one that some share, at times another, and the request's own.
class SoakPrompts
{
public:
    explicit SoakPrompts(uint64_t seed);

    std::string draw(SoakKind kind);
    // The bad part has any place but the last.
    std::string drawWithBadPart(SoakKind kind);

    // Prompt tokens of each request, and the most that it may generate, as callers state them.
    static constexpr std::string_view TokenUsage = "1000,400";

private:
    struct Part {
        std::string id;
        int tokens = 0;
    };

    uint64_t below(uint64_t bound);
    std::vector<Part> drawParts(SoakKind kind);
    static std::string textOf(std::vector<Part> parts);

    std::mt19937_64 m_random;
};

} // namespace Jujube
