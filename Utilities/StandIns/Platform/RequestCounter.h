#pragma once

#include <cstdint>
#include <LibCore/Time.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Jujube
{

// Counts the reads and writes that reach the stand-in, in total and per second. Safe to use from several threads.
class RequestCounter
{
public:
    void countRead(MonotonicTime now);
    void countWrite(MonotonicTime now);

    // The answer to GET /statistics.
    nlohmann::json toJson() const;

private:
    struct Counter {
        uint64_t total = 0;
        uint64_t inSecond = 0;
        uint64_t peakPerSecond = 0;
    };

    void count(Counter &counter, MonotonicTime now);

    mutable std::mutex m_mutex;
    Counter m_reads;
    Counter m_writes;
    std::chrono::seconds m_second {0};
};

} // namespace Jujube
