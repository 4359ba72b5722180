#pragma once

#include <deque>
#include <LibCore/Time.h>

namespace Jujube
{

// Number of relays among which a budget of all relays together is divided: those that may be sending requests, silent ones included. A type of its own, so that
// the number of live relays cannot be taken for it.
struct SharingRelays {
    int count = 1;
};

// Limits the retries of one service, that is, the attempts after the first one of each request, in any window of the given length. Every relay keeps to its
// part of the limit, so that relays need no coordination: the ratio applies to the relay's own requests, and the slack is divided by the number of relays.
class ServiceRetryBudget
{
public:
    struct Options {
        // Retries for each request in the window.
        double ratio = 0.2;
        // Retries that all relays together may make in a window in addition to the ratio.
        double slack = 50;
        std::chrono::milliseconds window {10000};
        // Fraction of the limit that is used. The rest allows for windows that begin at other times.
        double usedFraction = 0.9;
    };

    explicit ServiceRetryBudget(Options options);

    void recordRequest(MonotonicTime now);
    // Takes one retry from the budget. Returns false if none is left.
    bool tryRetry(SharingRelays relays, MonotonicTime now);

private:
    void expire(MonotonicTime now);

    const Options m_options;
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
};

} // namespace Jujube
