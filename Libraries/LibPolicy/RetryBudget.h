#pragma once

#include <LibCore/Time.h>

namespace Jujube
{

struct RetryBudgetOptions {
    // Retries per successful request.
    double share = 0.1;
    // Maximum number of retries that one gateway can accumulate.
    double maxSaved = 20;
    // Retries per second that all gateways together may make even without any success, so that a fleet that has just started can retry at all.
    double minRetriesPerSecond = 10;
};

// Bounds the retries of one gateway by its successes. Every gateway keeps to its own budget, so the retries of the whole fleet stay below the share of all
// successes plus the minimum rate, even if every request fails.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    void recordSuccess();

    // Takes one retry out of the budget. Returns false if there is none left; the error must then be returned instead.
    bool tryRetry(int liveGateways, MonotonicTime now);

    double available() const;

private:
    RetryBudgetOptions m_options;
    double m_available = 0;
    MonotonicTime m_updated;
    bool m_started = false;
};

} // namespace Jujube
