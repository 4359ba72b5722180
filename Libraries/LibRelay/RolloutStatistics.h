#pragma once

#include <cstdint>

namespace Jujube
{

// Responses that show what a test looks for, of all that it counts.
struct RolloutCount {
    int64_t hits = 0;
    int64_t trials = 0;

    RolloutCount &operator+=(const RolloutCount &other);
    RolloutCount operator-(const RolloutCount &other) const;

    bool operator==(const RolloutCount &) const = default;
};

// What is known of the share of hits: a beta distribution, whose parameters are the hits and misses that were seen, and prior ones. Both are above zero.
struct RolloutExpectation {
    double hits = 1;
    double misses = 1;

    // From these responses alone.
    static RolloutExpectation of(const RolloutCount &count);

    // Mean and variance of the share of hits.
    double share() const;
    double variance() const;
    // Probability of as many hits or more, and of as few or fewer.
    double upperTail(const RolloutCount &count) const;
    double lowerTail(const RolloutCount &count) const;
    // Whether so many hits or more have a lower probability than `level`, which is at most 0.01.
    bool isExceeded(const RolloutCount &count, double level) const;
};

// Probability of `count` or more successes in `trials` trials, if their common probability has a beta distribution with these parameters: the tail of the
// beta-binomial distribution. With large parameters it is that of the binomial one.
double betaBinomialTail(int64_t count, int64_t trials, double successes, double failures);

} // namespace Jujube
