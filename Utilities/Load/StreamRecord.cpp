#include <Load/StreamRecord.h>

namespace Jujube
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace
{

// Four times the design target of 50 ms between tokens.
constexpr microseconds StallThreshold {200000};
// The stand-in engine begins the tokens that identify their generation with this text.
constexpr std::string_view OriginMark = " no-";

} // namespace

void StreamRecord::addToken(int64_t index, std::string_view text, MonotonicTime now)
{
    if (index < m_next) {
        ++m_duplicated;
        return;
    }
    m_lost += index - m_next;
    m_next = index + 1;
    m_inWindow += now >= m_window.begin && now < m_window.end ? 1 : 0;
    m_checksum.add(text);
    checkOrigin(text);
    if (!m_first) {
        m_first = now;
    } else {
        const auto gap = duration_cast<microseconds>(now - m_last);
        m_gaps.push_back(gap);
        m_stall += std::max(microseconds(0), gap - StallThreshold);
    }
    m_last = now;
}

void StreamRecord::checkOrigin(std::string_view text)
{
    if (!text.starts_with(OriginMark)) {
        return;
    }
    if (m_origin.empty()) {
        m_origin = text;
    } else if (m_origin != text) {
        // Tokens of two generations were joined.
        ++m_wrong;
    }
}

void StreamRecord::finish(int64_t count, std::string_view checksum, int64_t expectedCount)
{
    m_lost += std::max<int64_t>(0, expectedCount - m_next);
    const bool sameChecksum = checksum.empty() || checksum == m_checksum.hex();
    if (count != m_next || m_next > expectedCount || !sameChecksum) {
        ++m_wrong;
    }
}

std::optional<microseconds> StreamRecord::timeToFirstToken() const
{
    if (!m_first) {
        return std::nullopt;
    }
    return duration_cast<microseconds>(*m_first - m_begin);
}

} // namespace Jujube
