#pragma once

#include <LibCore/Time.h>

namespace Jujube
{

// A token bucket for one use of the platform. It starts with a fraction of a token that differs between processes, so that processes that start together do
// not send together.
class RequestBudget
{
public:
    struct Options {
        double perSecond = 1;
        // Maximum number of tokens that accumulate while nothing is sent; at least 1.
        double burst = 1;
    };

    // The fraction is from [0, 1).
    RequestBudget(Options options, MonotonicTime now, double fraction = 0);

    // Takes a token. Returns false if there is none.
    bool tryTake(MonotonicTime now);

    // Time until tryTake() succeeds, zero if it would now.
    std::chrono::milliseconds timeUntilToken(MonotonicTime now) const;

    // Replaces all tokens by a fraction of a token, from [0, 1), at the end of an outage.
    void reset(MonotonicTime now, double fraction);

    // Sets a new rate, for example because the number of nodes changed. Accumulated tokens are kept.
    void setRate(double perSecond, MonotonicTime now);

private:
    double tokensAt(MonotonicTime now) const;

    Options m_options;
    double m_tokens = 0;
    MonotonicTime m_updated;
};

} // namespace Jujube
