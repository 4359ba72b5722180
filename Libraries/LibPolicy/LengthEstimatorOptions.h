#pragma once

#include <chrono>

namespace Jujube
{

struct LengthEstimatorOptions {
    // Time after which the weight of an observation is halved.
    std::chrono::seconds halfLife {900};
    // Observations beyond this number displace old ones even within the half-life.
    double maxObservations = 4000;
    // Weight of a coarser distribution in a finer one, in observations.
    double shrinkage = 20;
    // Log-normal prior: medians in tokens, and the standard deviation of the natural logarithm.
    double draftMedian = 400;
    double suggestionMedian = 40;
    double sigma = 1.0;
};

} // namespace Jujube
