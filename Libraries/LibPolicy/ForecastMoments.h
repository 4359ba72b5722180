#pragma once

#include <LibPolicy/ForecastSteps.h>

namespace Jujube
{

// Mean and variance of an amount of cache memory, in tokens, at each forecast step.
struct ForecastMoments {
    StepValues mean {};
    StepValues variance {};

    ForecastMoments &operator+=(const ForecastMoments &other)
    {
        for (size_t step = 0; step < ForecastStepCount; ++step) {
            mean[step] += other.mean[step];
            variance[step] += other.variance[step];
        }
        return *this;
    }

    ForecastMoments &operator-=(const ForecastMoments &other)
    {
        for (size_t step = 0; step < ForecastStepCount; ++step) {
            mean[step] -= other.mean[step];
            variance[step] -= other.variance[step];
        }
        return *this;
    }
};

// Memory of `count` independent generations that hold `memory` tokens each, keep growing, and free everything when they end.
ForecastMoments momentsOf(double count, double memory, const StepValues &survival);

// Memory that does not change.
ForecastMoments constantMoments(double memory);

// Maximum mean over all steps.
double peakMean(const ForecastMoments &moments);

// Minimum distance between mean and limit over all steps, in standard deviations. Negative if a mean is above the limit. The memory of many independent
// generations is close to normally distributed, so this determines the probability of an overflow.
double overflowMargin(const ForecastMoments &present, const ForecastMoments &added, double limit);

// Probability of an overflow for a margin in standard deviations.
double overflowProbability(double margin);

} // namespace Jujube
