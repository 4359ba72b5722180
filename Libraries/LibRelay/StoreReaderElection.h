#pragma once

#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides whether this relay reads the store's tables or leaves that to others, which tell it of changes. Each read has a price, and every relay would read
// the same. Relays that hear each other agree on a few readers without a vote: a reader with enough reading peers of smaller names stops, and a relay that
// hears too few readers becomes one after a random delay. Where a cut separates relays, each side gets readers of its own.
class StoreReaderElection
{
public:
    struct Options {
        std::string node;
        // Relays that read at the same time, so that the loss of one goes unnoticed.
        int readers = 2;
        // Random delay before a relay becomes a reader, for each live relay.
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
