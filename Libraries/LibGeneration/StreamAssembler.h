#pragma once

#include <LibCore/TokenChecksum.h>
#include <LibGeneration/EngineLine.h>
#include <string>
#include <vector>

namespace Jujube
{

// What a token line means for the caller's stream.
enum class LineVerdict {
    // The next token of the stream.
    Next,
    // A token that the stream already has. It may have served to verify a repeated generation.
    Duplicate,
    // A line of another generation or of an earlier attempt.
    Unrelated,
    // Tokens are missing between the stream and this line.
    Gap,
    // The engine's tokens differ from those that the stream has.
    Mismatch,
};

// Merges the lines of all attempts of one generation into one sequence in which every token occurs once. A running checksum detects a new attempt whose
// tokens differ from those that were accepted before, so that two different generations are never spliced.
class StreamAssembler
{
public:
    struct Options {
        std::string generation;
        int32_t attempt = 1;
        int32_t nextOffset = 0;
        uint64_t checksum = 0;
    };

    explicit StreamAssembler(Options options);

    // Begins an attempt whose first token has the given index: 0 for a repeated generation, nextOffset() for a continued or resumed one.
    void beginAttempt(int32_t attempt, int32_t firstOffset);

    // Discards all tokens of a generation of which nothing was delivered.
    void restart(int32_t attempt);

    LineVerdict accept(const EngineLine &line);

    // Whether the token count in the last line equals the number of accepted tokens.
    bool isComplete(const EngineLine &done) const;

    int32_t attempt() const
    {
        return m_attempt;
    }

    int32_t nextOffset() const
    {
        return m_nextOffset;
    }

    const TokenChecksum &checksum() const
    {
        return m_checksum;
    }

    // All tokens from index 0, or nullptr if this process does not have all of them.
    const std::vector<std::string> *allTokens() const
    {
        return m_hasAllTokens ? &m_tokens : nullptr;
    }

private:
    LineVerdict verify(const EngineLine &line);

    std::string m_generation;
    int32_t m_attempt;
    int32_t m_nextOffset;
    TokenChecksum m_checksum;
    // Position and checksum within a repeated attempt that has not yet caught up with the stream.
    int32_t m_verifyOffset;
    TokenChecksum m_verifyChecksum;
    std::vector<std::string> m_tokens;
    bool m_hasAllTokens;
};

} // namespace Jujube
