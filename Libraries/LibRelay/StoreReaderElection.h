#pragma once

#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides whether this relay reads the store's tables or leaves that to others, which notify it of changes. Each read has a cost, and all relays would read the
// same. Relays that reach each other agree on a few readers without a vote: a reader stops when enough peers with smaller names are reading, and a relay that
// sees too few readers becomes one after a random delay. When the network is partitioned, each side elects its own readers.
class StoreReaderElection
{
public:
    struct Options {
        std::string node;
        // Number of relays that read at the same time, so that the loss of one has no effect.
        int readers = 2;
        // Maximum random delay before a relay becomes a reader, for each live relay.
        std::chrono::milliseconds startDelayPerRelay {30};
    };

    explicit StoreReaderElection(Options options);

    // `readingPeers` are the names of the live peers that read, or try to.
    bool decide(const std::vector<std::string> &readingPeers, int liveRelays, MonotonicTime now, uint64_t random);

    bool isReading() const
    {
        return m_reading;
    }

private:
    const Options m_options;
    bool m_reading = false;
    std::optional<MonotonicTime> m_startAt;
};

} // namespace Jujube
