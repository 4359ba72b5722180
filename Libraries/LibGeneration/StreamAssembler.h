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
    // A token that the stream has already, or one that only served to verify an earlier part.
    Known,
    // A line of another generation or of an earlier attempt.
    Foreign,
    // Tokens are missing between the stream and this line.
    Gap,
    // The engine's tokens differ from those that the stream has.
    Mismatch,
};

// Puts the lines of one generation's attempts into one sequence in which every token occurs once. A new attempt whose tokens differ from those that were
// accepted before is found by the running checksum, so that two generations are never spliced.
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

    // Begins a new source of lines whose first token has the given index: 0 for a repeated generation, nextOffset() for a continued or resumed one.
    void beginAttempt(int32_t attempt, int32_t firstOffset);

    // Forgets all tokens, for a generation of which nothing was delivered.
    void restart(int32_t attempt);

    LineVerdict accept(const EngineLine &line);

    // Whether the last line's count is that of the tokens accepted.
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

    // The tokens from index 0, if this process has all of them.
    const std::vector<std::string> *wholeLog() const
    {
        return m_logIsWhole ? &m_log : nullptr;
    }

private:
    LineVerdict verify(const EngineLine &line);

    std::string m_generation;
    int32_t m_attempt;
    int32_t m_nextOffset;
    TokenChecksum m_checksum;
    // Position and checksum of a repeated attempt that has not caught up with the stream yet.
    int32_t m_verifyOffset;
    TokenChecksum m_verifyChecksum;
    std::vector<std::string> m_log;
    bool m_logIsWhole;
};

} // namespace Jujube
