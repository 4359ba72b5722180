#include <LibEvents/LineWriter.h>

#include <cerrno>
#include <chrono>
#include <unistd.h>
#include <utility>

namespace Jujube
{

LineWriter::LineWriter(Options options)
    : m_options(options)
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void LineWriter::add(std::string_view line)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_buffer.size() + line.size() + 1 > m_options.bufferBytes) {
            ++m_dropped;
            return;
        }
        wasEmpty = m_buffer.empty();
        m_buffer += line;
        m_buffer += '\n';
    }
    if (wasEmpty) {
        m_wake.notify_one();
    }
}

void LineWriter::run()
{
    while (true) {
        std::string text;
        bool stopping = false;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return m_stopping || !m_buffer.empty(); });
            m_wake.wait_for(lock, m_options.linger, [this] { return m_stopping; });
            stopping = m_stopping;
            text = std::exchange(m_buffer, {});
            if (m_dropped != m_droppedReported) {
                text += "{\"event\":\"log_lines_dropped\",\"total\":" + std::to_string(m_dropped) + "}\n";
                m_droppedReported = m_dropped;
            }
        }
        write(text);
        if (stopping) {
            return;
        }
    }
}

void LineWriter::write(const std::string &text) const
{
    size_t done = 0;
    while (done < text.size()) {
        const auto count = ::write(m_options.fileDescriptor, text.data() + done, text.size() - done);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return;
        }
        done += static_cast<size_t>(count);
    }
}

} // namespace Jujube
