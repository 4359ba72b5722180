#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides from where a relay reads the changes of a table that other relays have and it lacks. A few relays of each region read them from the store, so that
// they cross the link between regions as seldom as possible, however many relays a region has. The others take them from relays of their region. If nobody
// there gets them, further relays read the store one after the other.
class ChangeSource
{
public:
    struct Options {
        std::string node;
        // Rate of this VM's link. Zero if it is unknown.
        double linkMbps = 0;
        // Relays of each region that read changes from the store at once, so that the loss of one has no effect.
        size_t readersPerRegion = 2;
        // Delay between two further relays that read the store while nobody in the region has the changes, and the maximum of all these delays.
        std::chrono::milliseconds takeoverDelay {300};
        std::chrono::milliseconds maxTakeoverDelay {1200};
        // Maximum time for which this relay waits for others that are receiving the changes.
        std::chrono::milliseconds maxWait {1500};
        // Time for which a relay is not asked after a read from it has failed, or after it had no capacity.
        std::chrono::milliseconds failureDelay {1000};
        std::chrono::milliseconds busyDelay {100};
    };

    // Another live relay of the region.
    struct Relay {
        std::string node;
        // "address:port" for other relays.
        std::string address;
        double linkMbps = 0;
        // Whether it has the changes.
        bool hasChanges = false;
        // Whether it is receiving changes from the store, as it has reported recently.
        bool isReceiving = false;
    };

    struct Decision {
        enum class Kind {
            // Nothing is to be read now.
            Wait,
            Store,
            Peer,
        };
        Kind kind = Kind::Wait;
        // The relay to read from.
        std::string address;
    };

    explicit ChangeSource(Options options);

    // Called while this relay lacks changes, with the other live relays of its region.
    Decision decide(const std::vector<Relay> &region, MonotonicTime now, uint64_t random);

    // Whether enough other relays read the store before this one, and one of them has the changes or is receiving them, so that this relay ends its own read.
    bool isReadByOthers(const std::vector<Relay> &region) const;

    // A read from a relay has failed.
    void recordFailure(const std::string &address, MonotonicTime now);
    // A relay had no capacity, and named others that have the changes.
    void recordBusy(const std::string &address, const std::vector<std::string> &holders, MonotonicTime now);
    // This relay has received changes, but perhaps not all.
    void recordReceived();
    // This relay lacks nothing any more.
    void recordCaughtUp();

private:
    // Whether a relay reads the store before this one. Relays with fast links come first, because they pass changes on to many others soon.
    bool isBefore(const Relay &relay) const;

    const Options m_options;
    // Since when this relay has lacked changes and received none.
    std::optional<MonotonicTime> m_waitsSince;
    // Until when relays are not asked.
    std::map<std::string, MonotonicTime> m_failedUntil;
    std::map<std::string, MonotonicTime> m_busyUntil;
    // Relays that have the changes, as others have stated.
    std::vector<std::string> m_statedHolders;
};

} // namespace Jujube
