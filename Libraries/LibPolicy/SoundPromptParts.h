#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <LibCore/Time.h>
#include <optional>

namespace Jujube
{

// When targets last responded well to parts of prompts. Holds a bounded number of parts; those that were not seen for longest are dropped, all older ones at a
// time, so that each operation takes constant time.
class SoundPromptParts
{
public:
    explicit SoundPromptParts(size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Records a response. Returns the time known before, if any.
    std::optional<MonotonicTime> record(uint64_t part, MonotonicTime time);

    std::optional<MonotonicTime> find(uint64_t part) const;

    // Drops parts that were last seen before a time.
    void dropBefore(MonotonicTime time);

    size_t size() const
    {
        return m_recent.size() + m_older.size();
    }

private:
    using Times = absl::flat_hash_map<uint64_t, MonotonicTime>;

    const size_t m_capacity;
    Times m_recent;
    // Parts that were not seen since this became the older half.
    Times m_older;
};

} // namespace Jujube
