#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Jujube
{

// Cuts a stream of bytes, which arrive in any portions, into lines. A carriage return before the line feed is dropped.
class LineSplitter
{
public:
    void feed(std::string_view bytes, const std::function<void(std::string_view line)> &onLine)
    {
        m_rest.append(bytes);
        size_t begin = 0;
        for (auto end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
            std::string_view line(m_rest.data() + begin, end - begin);
            if (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            if (!std::exchange(m_isTooLong, false)) {
                onLine(line);
            }
            begin = end + 1;
        }
        m_rest.erase(0, begin);
        if (m_rest.size() > MaxLineBytes) {
            m_isTooLong = true;
            m_rest.clear();
        }
    }

private:
    static constexpr size_t MaxLineBytes = 1 << 20;

    std::string m_rest;
    // The rest of a line that is too long is dropped.
    bool m_isTooLong = false;
};

} // namespace Jujube
