#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <string>
#include <vector>

namespace Jujube
{

// A document that the store has confirmed.
struct DocumentWrite {
    int64_t version = 0;
    MonotonicTime at;
    // The same by the wall clock, which the logs of relays use.
    int64_t wallMs = 0;
};

// How long relays in touch took to have documents in force, over all documents and relays of a run.
struct DocumentForce {
    size_t count = 0;
    // Documents that never were in force at a relay in touch.
    size_t missing = 0;
    std::chrono::milliseconds median {0};
    std::chrono::milliseconds p99 {0};
    std::chrono::milliseconds worst {0};
    std::string worstRelay;
    int64_t worstVersion = 0;
};

// Collects these times from the logs of relays.
class DocumentForceReader
{
public:
    using WasInTouch = std::function<bool(MonotonicTime from, MonotonicTime to)>;

    // Writes in the order of time.
    explicit DocumentForceReader(std::vector<DocumentWrite> writes);

    // Adds the log of one relay at the end of a run. A document that was followed by a newer one before it was in force is in force with that one.
    void read(const std::string &path, const WasInTouch &wasInTouch);

    DocumentForce result() const;

private:
    struct Entry {
        std::chrono::milliseconds time {0};
        std::string relay;
        int64_t version = 0;
    };

    const std::vector<DocumentWrite> m_writes;
    std::vector<Entry> m_entries;
    size_t m_missing = 0;
};

} // namespace Jujube
