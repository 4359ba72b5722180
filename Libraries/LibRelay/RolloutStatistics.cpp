#include <LibRelay/RolloutStatistics.h>

#include <algorithm>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>

namespace Jujube
{

namespace
{

// Terms below this part of their sum are left out.
constexpr double Precision = 1e-13;

double logGamma(double value)
{
    // Without the promotion to long double, which is several times slower.
    using Policy = boost::math::policies::policy<boost::math::policies::promote_double<false>>;
    return boost::math::lgamma(value, Policy());
}

double logBeta(double a, double b)
{
    return logGamma(a) + logGamma(b) - logGamma(a + b);
}

// Probability of exactly `k` successes. In logarithms, because the factors exceed the range of numbers from some hundred trials on.
double betaBinomial(double k, double n, double successes, double failures)
{
    const auto logChoose = -std::log(n + 1) - logBeta(k + 1, n - k + 1);
    return std::exp(logChoose + logBeta(successes + k, failures + n - k) - logBeta(successes, failures));
}

} // namespace

RolloutCount &RolloutCount::operator+=(const RolloutCount &other)
{
    hits += other.hits;
    trials += other.trials;
    return *this;
}

RolloutCount RolloutCount::operator-(const RolloutCount &other) const
{
    return {.hits = hits - other.hits, .trials = trials - other.trials};
}

RolloutExpectation RolloutExpectation::of(const RolloutCount &count)
{
    return {.hits = static_cast<double>(count.hits + 1), .misses = static_cast<double>(count.trials - count.hits + 1)};
}

double RolloutExpectation::share() const
{
    return hits / (hits + misses);
}

double RolloutExpectation::variance() const
{
    return share() * (1 - share()) / (hits + misses + 1);
}

double RolloutExpectation::upperTail(const RolloutCount &count) const
{
    return betaBinomialTail(count.hits, count.trials, hits, misses);
}

double RolloutExpectation::lowerTail(const RolloutCount &count) const
{
    return betaBinomialTail(count.trials - count.hits, count.trials, misses, hits);
}

bool RolloutExpectation::isExceeded(const RolloutCount &count, double level) const
{
    // A quick check first, because most counts are near the mean. Closer to it than 1.5 standard deviations, the tail is above each level, as long as the share
    // is at most a half.
    const auto trials = static_cast<double>(count.trials);
    const auto excess = static_cast<double>(count.hits) - trials * share();
    const auto squaredDeviation = trials * share() * (1 - share()) + trials * (trials - 1) * variance();
    const bool isNear = share() <= 0.5 && excess * excess < 2.25 * squaredDeviation;
    if (excess <= 0 || isNear) {
        return false;
    }
    return upperTail(count) < level;
}

double betaBinomialTail(int64_t count, int64_t trials, double successes, double failures)
{
    if (count <= 0) {
        return 1;
    }
    if (count > trials) {
        return 0;
    }
    const auto n = static_cast<double>(trials);
    auto k = static_cast<double>(count);
    if (k <= n * successes / (successes + failures)) {
        return 1 - betaBinomialTail(trials - count + 1, trials, failures, successes);
    }
    // Beyond the mean, the terms fall quickly.
    double term = betaBinomial(k, n, successes, failures);
    double sum = 0;
    for (; k <= n && term > sum * Precision; ++k) {
        sum += term;
        term *= (n - k) / (k + 1) * (successes + k) / (failures + n - k - 1);
    }
    return std::min(sum, 1.0);
}

} // namespace Jujube
