#pragma once

#include <deque>
#include <LibCore/Time.h>

namespace Jujube
{

// Bounds the sends beyond the first of each request, for one service, in any window of the given length. Every gateway keeps to its part of the bound, so that
// no talk between gateways is needed: the ratio applies to the gateway's own requests, and the slack is divided by the number of live gateways.
class ServiceRetryBudget
{
public:
    struct Options {
        // Retries for each request in the window.
        double ratio = 0.2;
        // Retries that all gateways together may make in a window beside the ratio.
        double slack = 50;
        std::chrono::milliseconds window {10000};
        // Part of the bound that is used. The rest covers windows that are cut differently.
        double usedFraction = 0.9;
    };

    explicit ServiceRetryBudget(Options options);

    void recordRequest(MonotonicTime now);
    // Takes one retry out of the budget. Returns false if none is left.
    bool tryRetry(int liveRelays, MonotonicTime now);

private:
    void expire(MonotonicTime now);

    const Options m_options;
    std::deque<MonotonicTime> m_requests;
    std::deque<MonotonicTime> m_retries;
};

} // namespace Jujube
