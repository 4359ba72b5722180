#include "SoakPrompts.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <LibCore/AbslView.h>
#include <numeric>

namespace Jujube
{

namespace
{

// Together with the tokens of the other parts, the last part fills the prompt.
constexpr int PromptTokens = 1000;
constexpr int FirstTokens = 300;
constexpr int SecondTokens = 200;
constexpr int ThirdTokens = 100;
constexpr int BadTokens = 120;

std::string partId(uint64_t number)
{
    return absl::StrCat(absl::Hex(number, absl::kZeroPad8));
}

} // namespace

bool hasPart(std::string_view prompt, std::string_view part)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(toAbsl(prompt), ',');
    return std::any_of(parts.begin(), parts.end(), [&](auto text) { return text.substr(0, text.find(':')) == toAbsl(part); });
}

SoakPrompts::SoakPrompts(uint64_t seed)
    : m_random(seed)
{
}

uint64_t SoakPrompts::below(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_random);
}

std::vector<SoakPrompts::Part> SoakPrompts::drawParts(SoakKind kind)
{
    constexpr uint64_t FirstIds = 0x5c1e0000;
    constexpr uint64_t SecondIds = 0x91bd0000;
    constexpr uint64_t ThirdIds = 0xa7200000;
    constexpr uint64_t OwnIds = 0xe0000000;
    constexpr uint64_t KindIds = 0x1000;
    constexpr uint64_t FirstParts = 3;
    constexpr uint64_t SecondParts = 60;
    constexpr uint64_t ThirdParts = 300;
    constexpr uint64_t OwnParts = 0x10000000;
    // Parts of a long conversation, which all prompts with the same first part share as far as they go on with it.
    constexpr std::array<uint64_t, 4> ConversationParts {0, 0, 20, 200};
    constexpr uint64_t ConversationIds = 0x30000000;
    const auto kindIds = KindIds * static_cast<uint64_t>(kind);
    const auto first = FirstIds + kindIds + below(FirstParts);
    std::vector<Part> parts {{.id = partId(first), .tokens = FirstTokens}};
    const auto conversation = ConversationParts[below(ConversationParts.size())];
    for (uint64_t number = 0; number < conversation; ++number) {
        parts.push_back({.id = partId(ConversationIds + KindIds * (first - FirstIds) + number), .tokens = 1});
    }
    parts.push_back({.id = partId(SecondIds + kindIds + below(SecondParts)), .tokens = SecondTokens});
    if (below(3) == 0) {
        parts.push_back({.id = partId(ThirdIds + kindIds + below(ThirdParts)), .tokens = ThirdTokens});
    }
    parts.push_back({.id = partId(OwnIds + below(OwnParts))});
    return parts;
}

std::string SoakPrompts::textOf(std::vector<Part> parts)
{
    const auto shared = std::accumulate(parts.begin(), parts.end(), 0, [](int sum, const auto &part) { return sum + part.tokens; });
    parts.back().tokens = PromptTokens - shared;
    return absl::StrJoin(parts, ",", [](std::string *text, const auto &part) { absl::StrAppend(text, part.id, ":", part.tokens); });
}

std::string SoakPrompts::draw(SoakKind kind)
{
    return textOf(drawParts(kind));
}

std::string SoakPrompts::drawWithBadPart(SoakKind kind)
{
    auto parts = drawParts(kind);
    const auto place = static_cast<ptrdiff_t>(below(parts.size()));
    parts.insert(parts.begin() + place, {.id = std::string(BadPart), .tokens = BadTokens});
    return textOf(std::move(parts));
}

} // namespace Jujube
