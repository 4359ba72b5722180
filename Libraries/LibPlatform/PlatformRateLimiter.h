#pragma once

#include <LibPlatform/PlatformUse.h>
#include <LibPlatform/RequestBudget.h>
#include <LibPlatform/RetrySchedule.h>
#include <mutex>
#include <vector>

namespace Jujube
{

// Decides which requests a process may send to the platform: within the budget of each use, and during an outage only single reads after jittered pauses.
// After an outage every budget starts with a random fraction of a token, so that what gathered in the meantime is not sent at once. With empty budgets
// instead, a simulation of 390 nodes sent 340 writes in one second, because nodes that came back together stayed in step. Safe to use from several threads.
class PlatformRateLimiter
{
public:
    struct Options {
        // Nodes in the fleet, or the highest number known. Too low a number lets this process send more than its share.
        int nodes = 8;
        // Calls in a row without an answer that count as an outage. One lost answer is no outage.
        int failuresForOutage = 3;
        std::chrono::milliseconds probeBase {1000};
        // 390 nodes that probe every 4 to 8 s send about 65 reads/s in an outage.
        std::chrono::milliseconds probeCap {8000};
    };

    // The random number is from [0, 1).
    PlatformRateLimiter(Options options, MonotonicTime now, double random);

    // Takes a token of the use's budget. False means that the request must not be sent now. During an outage, no write is admitted, and one read at a time is.
    bool admit(PlatformUse use, MonotonicTime now);

    // The platform answered, whatever the answer says.
    void onResponse(MonotonicTime now);

    // The platform did not answer or answered that it is down. The random number is from [0, 1).
    void onFailure(MonotonicTime now, double random);

    bool isOutage() const;

    // When a request that was not admitted may be tried again.
    std::chrono::milliseconds timeUntilAdmission(PlatformUse use, MonotonicTime now) const;

    void setNodes(int nodes, MonotonicTime now);

private:
    RequestBudget &budget(PlatformUse use);
    double fractionFor(PlatformUse use) const;

    const Options m_options;
    mutable std::mutex m_mutex;
    std::vector<RequestBudget> m_budgets;
    int m_failures = 0;
    MonotonicTime m_nextProbe;
    // The last random number, from which the fractions of the budgets follow.
    double m_random;
};

} // namespace Jujube
