#include <LibGeneration/StreamAssembler.h>

namespace Jujube
{

StreamAssembler::StreamAssembler(Options options)
    : m_generation(std::move(options.generation))
    , m_attempt(options.attempt)
    , m_nextOffset(options.nextOffset)
    , m_checksum(options.checksum)
    , m_verifyOffset(options.nextOffset)
    , m_verifyChecksum(options.checksum)
    , m_hasAllTokens(options.nextOffset == 0)
{
}

void StreamAssembler::beginAttempt(int32_t attempt, int32_t firstOffset)
{
    m_attempt = attempt;
    m_verifyOffset = firstOffset;
    m_verifyChecksum = firstOffset == 0 ? TokenChecksum() : m_checksum;
    if (firstOffset == 0 && !m_hasAllTokens) {
        m_tokens.clear();
    }
}

void StreamAssembler::restart(int32_t attempt)
{
    m_attempt = attempt;
    m_nextOffset = 0;
    m_checksum = TokenChecksum();
    m_verifyOffset = 0;
    m_verifyChecksum = TokenChecksum();
    m_tokens.clear();
    m_hasAllTokens = true;
}

LineVerdict StreamAssembler::accept(const EngineLine &line)
{
    if (line.generation != m_generation || line.attempt != m_attempt) {
        return LineVerdict::Unrelated;
    }
    if (line.offset < m_verifyOffset) {
        return LineVerdict::Duplicate;
    }
    if (line.offset > m_verifyOffset) {
        return LineVerdict::Gap;
    }
    if (m_verifyOffset < m_nextOffset) {
        return verify(line);
    }
    m_checksum.add(line.text);
    ++m_nextOffset;
    m_verifyOffset = m_nextOffset;
    m_verifyChecksum = m_checksum;
    if (m_hasAllTokens) {
        m_tokens.push_back(line.text);
    }
    return LineVerdict::Next;
}

LineVerdict StreamAssembler::verify(const EngineLine &line)
{
    m_verifyChecksum.add(line.text);
    ++m_verifyOffset;
    if (!m_hasAllTokens) {
        m_tokens.push_back(line.text);
    }
    if (m_verifyOffset < m_nextOffset) {
        return LineVerdict::Duplicate;
    }
    if (m_verifyChecksum.value() != m_checksum.value()) {
        return LineVerdict::Mismatch;
    }
    m_hasAllTokens = true;
    return LineVerdict::Duplicate;
}

bool StreamAssembler::isComplete(const EngineLine &done) const
{
    return done.generation == m_generation && done.attempt == m_attempt && done.count == m_nextOffset && m_verifyOffset == m_nextOffset;
}

} // namespace Jujube
