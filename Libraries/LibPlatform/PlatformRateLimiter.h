#pragma once

#include <LibPlatform/PlatformUse.h>
#include <LibPlatform/RequestBudget.h>
#include <LibPlatform/RetrySchedule.h>
#include <mutex>
#include <vector>

namespace Jujube
{

// Limits the requests that a process sends to the platform: to the budget of each use, and during an outage to single reads after jittered delays. After an
// outage, every budget starts with a random fraction of a token, so that the tokens accumulated in the meantime are not spent at once. With budgets that
// started empty instead, a simulation of 390 nodes sent 340 writes in one second, because nodes that recovered together stayed synchronized. Thread-safe.
class PlatformRateLimiter
{
public:
    struct Options {
        // Number of nodes in the fleet, or the highest number known. If it is too low, this process sends more than its share.
        int nodes = 8;
        // Number of consecutive calls without a response that counts as an outage. A single lost response does not.
        int failuresForOutage = 3;
        std::chrono::milliseconds probeBase {1000};
        // 390 nodes that probe every 4 to 8 s send about 65 reads/s in an outage.
        std::chrono::milliseconds probeCap {8000};
    };

    // The random number is from [0, 1).
    PlatformRateLimiter(Options options, MonotonicTime now, double random);

    // Takes a token from the budget of the use. Returns false if the request must not be sent now. During an outage, no writes are admitted, and reads only one
    // at a time.
    bool admit(PlatformUse use, MonotonicTime now);

    // Called when the platform has responded, whatever the response contains.
    void onResponse(MonotonicTime now);

    // Called when the platform did not respond or responded that it is down. The random number is from [0, 1).
    void onFailure(MonotonicTime now, double random);

    bool isOutage() const;

    // Time until a request that was not admitted may be tried again.
    std::chrono::milliseconds timeUntilAdmission(PlatformUse use, MonotonicTime now) const;

    void setNodeCount(int nodes, MonotonicTime now);

private:
    RequestBudget &budget(PlatformUse use);
    double initialTokens(PlatformUse use) const;

    const Options m_options;
    mutable std::mutex m_mutex;
    std::vector<RequestBudget> m_budgets;
    int m_failures = 0;
    MonotonicTime m_nextProbe;
    // The latest random number, from which the initial tokens of the budgets are derived.
    double m_random;
};

} // namespace Jujube
