#include <LibPolicy/ForecastMoments.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Jujube
{

namespace
{

// Avoids a division by zero where nothing is uncertain. In tokens squared.
constexpr double MinVariance = 1.0;

} // namespace

ForecastMoments momentsOf(double count, double memory, const StepValues &survival)
{
    ForecastMoments moments;
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        const double grown = memory + ForecastSteps[step];
        moments.mean[step] = count * grown * survival[step];
        moments.variance[step] = count * grown * grown * survival[step] * (1 - survival[step]);
    }
    return moments;
}

ForecastMoments constantMoments(double memory)
{
    ForecastMoments moments;
    moments.mean.fill(memory);
    return moments;
}

double peakMean(const ForecastMoments &moments)
{
    return *std::ranges::max_element(moments.mean);
}

double overflowMargin(const ForecastMoments &present, const ForecastMoments &added, double limit)
{
    double margin = std::numeric_limits<double>::infinity();
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        const double mean = present.mean[step] + added.mean[step];
        const double variance = std::max(present.variance[step] + added.variance[step], MinVariance);
        margin = std::min(margin, (limit - mean) / std::sqrt(variance));
    }
    return margin;
}

double overflowProbability(double margin)
{
    return 0.5 * std::erfc(margin / std::numbers::sqrt2);
}

} // namespace Jujube
