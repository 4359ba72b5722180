#pragma once

#include <LibRelay/StreamOriginKeepers.h>
#include <LibRelay/StreamOrigins.h>
#include <memory>
#include <string>
#include <vector>

namespace Jujube
{

// Relays that keep the origins of streams and exchange them without delay. A relay that joins is known at once, one that has ended after a while.
class OriginFleet
{
public:
    explicit OriginFleet(int relays);

    MonotonicTime now() const
    {
        return m_now;
    }
    // Runs the relays for a time.
    void run(std::chrono::milliseconds time);

    // A stream begins through a relay. Its callers may take it up for some minutes.
    void begin(int relay, uint64_t key);
    // Ends a relay as a crash does.
    void kill(int relay);
    void start(int relay);
    // Cuts a relay off from all others, or ends that.
    void setCut(int relay, bool isCut);

    bool isUp(int relay) const
    {
        return m_relays.at(static_cast<size_t>(relay)).keepers != nullptr;
    }
    // Whether a caller can take a stream up at a relay.
    bool isKnownAt(int relay, uint64_t key) const;

    // Number of origins that were handed over, each counted for each relay that got it.
    size_t handedOver() const
    {
        return m_handedOver;
    }

private:
    struct Member {
        std::string node;
        int64_t incarnation = 0;
        MonotonicTime startedAt;
        // When the relay ended, or was cut off.
        MonotonicTime lastHeardAt;
        bool isCut = false;
        std::unique_ptr<StreamOrigins> origins;
        std::unique_ptr<StreamOriginKeepers> keepers;
    };

    bool isHeard(const Member &from, const Member &by) const
    {
        return &from == &by || (!from.isCut && !by.isCut);
    }
    void step();
    void updateView(Member &relay);
    void report(Member &relay);
    void handOver(Member &relay);
    void send(const Member &from, const std::string &address, const StreamOrigin &origin);

    MonotonicTime m_now {std::chrono::hours(1)};
    std::vector<Member> m_relays;
    // Until when the views of relays may change.
    MonotonicTime m_unsettledUntil {std::chrono::hours(1)};
    int64_t m_starts = 0;
    size_t m_handedOver = 0;
};

} // namespace Jujube
