#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace Jujube
{

// Writes lines to a file descriptor from a thread of its own. add() never blocks: lines beyond the buffer's bound are dropped and counted, and the number of
// dropped lines is written as soon as there is room again.
class LineWriter
{
public:
    struct Options {
        int fileDescriptor = 1;
        size_t bufferBytes = 256 * 1024;
        // Lines are collected for this time, so that a busy process wakes the writer a few times per second only.
        std::chrono::milliseconds linger {200};
    };

    explicit LineWriter(Options options);
    ~LineWriter();
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    void add(std::string_view line);

private:
    void run();
    void write(const std::string &text) const;

    const Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_buffer;
    uint64_t m_dropped = 0;
    uint64_t m_droppedReported = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Jujube
