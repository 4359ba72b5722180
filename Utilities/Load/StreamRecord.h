#pragma once

#include <LibCore/Time.h>
#include <LibCore/TokenChecksum.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// The period in which a run counts throughput.
struct MeasuringWindow {
    MonotonicTime begin = MonotonicTime::min();
    MonotonicTime end = MonotonicTime::max();
};

// What one caller received of its generation, over all its connections, with the checks of what must hold for the tokens.
class StreamRecord
{
public:
    StreamRecord() = default;

    // Begins at the time at which the caller wanted its generation.
    explicit StreamRecord(MonotonicTime begin, const MeasuringWindow &window = {})
        : m_begin(begin)
        , m_window(window)
    {
    }

    void addToken(int64_t index, std::string_view text, MonotonicTime now);

    // Compares the caller's count and checksum with the final ones. An empty checksum is not compared.
    void finish(int64_t count, std::string_view checksum, int64_t expectedCount);

    std::optional<std::chrono::microseconds> timeToFirstToken() const;

    // The times between tokens, across reconnections.
    const std::vector<std::chrono::microseconds> &gaps() const
    {
        return m_gaps;
    }

    // The sum of the parts of the gaps above 200 ms.
    std::chrono::microseconds stall() const
    {
        return m_stall;
    }

    MonotonicTime begin() const
    {
        return m_begin;
    }

    int64_t tokens() const
    {
        return m_next;
    }

    // Tokens that arrived within the measuring window.
    int64_t tokensInWindow() const
    {
        return m_inWindow;
    }

    // Tokens that were skipped, that came again, and failed comparisons.
    int64_t lost() const
    {
        return m_lost;
    }

    int64_t duplicated() const
    {
        return m_duplicated;
    }

    int64_t wrong() const
    {
        return m_wrong;
    }

    bool isIntact() const
    {
        return m_lost == 0 && m_duplicated == 0 && m_wrong == 0;
    }

private:
    void checkOrigin(std::string_view text);

    MonotonicTime m_begin;
    MeasuringWindow m_window;
    int64_t m_inWindow = 0;
    std::optional<MonotonicTime> m_first;
    MonotonicTime m_last;
    int64_t m_next = 0;
    TokenChecksum m_checksum;
    std::string m_origin;
    std::vector<std::chrono::microseconds> m_gaps;
    std::chrono::microseconds m_stall {0};
    int64_t m_lost = 0;
    int64_t m_duplicated = 0;
    int64_t m_wrong = 0;
};

} // namespace Jujube
