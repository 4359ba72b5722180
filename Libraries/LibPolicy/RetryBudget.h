#pragma once

#include <LibCore/Time.h>

namespace Jujube
{

struct RetryBudgetOptions {
    // Retries per successful request.
    double share = 0.1;
    // Retries that can be saved up by one gateway.
    double mostSaved = 20;
    // Retries per second that all gateways together may make without any success, so that a fleet that has just started can retry at all.
    double floorPerSecond = 10;
};

// Bounds the retries of one gateway by its successes. As every gateway keeps to its own budget, retries of the whole fleet stay below the share of all
// successes plus the floor, also when everything fails.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    void noteSuccess();

    // Takes one retry out of the budget. Returns false if there is none left; the caller then answers with the error.
    bool tryRetry(int liveGateways, MonotonicTime now);

    double available() const;

private:
    RetryBudgetOptions m_options;
    double m_available = 0;
    MonotonicTime m_updated;
    bool m_started = false;
};

} // namespace Jujube
