#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Jujube
{

// The content of the stand-in's generations. Everything is a function of the arguments, so that any engine continues a generation of another one exactly.
class TokenSource
{
public:
    TokenSource(std::string_view model, std::string_view prompt, uint64_t seed);

    // The text of the token at an index, with its leading space. A mix of English words and Gujarati words, whose characters take three bytes each in UTF-8.
    // Every 16th token is a number that is the same within a generation, for example " no-3f2a". A reader recognizes by it that two were joined.
    std::string tokenAt(int64_t index) const;

    // The number of tokens of the whole generation: log-normal, from a few to tens of thousands. "length=N" in the prompt fixes it. At least 1, at most
    // maxTokens.
    int64_t length(int64_t maxTokens) const;

private:
    uint64_t m_contentHash;
    uint64_t m_lengthHash;
    int64_t m_fixedLength;
};

// The tokens that a prompt occupies in the cache: one for every four bytes.
int64_t promptTokenCount(std::string_view prompt);

} // namespace Jujube
