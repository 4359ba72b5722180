#pragma once

#include <LibCore/Time.h>

namespace Jujube
{

// Bounds the traffic that one kind of datagrams to peers takes of this VM's link. Their number grows with the requests and with the square of the relays, and
// under many times the usual requests they would fill the links of small VMs and delay the document and all else there. What is not used is saved up, so that
// at usual times nothing waits.
class PeerTrafficLimit
{
public:
    struct Options {
        double bytesPerSecond = 200'000;
        // Time for which an unused rate is saved up.
        std::chrono::milliseconds saved {600};
    };

    explicit PeerTrafficLimit(Options options);

    // When the next datagrams may be sent; not before `now`.
    MonotonicTime nextAt(MonotonicTime now) const;

    // Whether what may be sent in this time is saved up.
    bool hasSaved(std::chrono::milliseconds time, MonotonicTime now) const;

    // Datagrams with so many bytes in all were sent. They may exceed what is left, and the next ones wait for longer then.
    void recordSent(size_t bytes, MonotonicTime now);

private:
    const Options m_options;
    // What was sent so far uses up the rate until then.
    MonotonicTime m_usedUntil;
};

} // namespace Jujube
