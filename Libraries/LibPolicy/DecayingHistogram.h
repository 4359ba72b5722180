#pragma once

#include <LibCore/Time.h>

#include <array>
#include <boost/histogram.hpp>

namespace Jujube
{

// Bins of the length distributions: four per doubling, from 1 token to 2^17.
constexpr int LengthBinsPerDoubling = 4;
constexpr int LengthBins = 17 * LengthBinsPerDoubling;

// Position of a length on the logarithmic axis, in bins. Lengths beyond the axis are clamped to its ends.
double lengthPosition(double tokens);

// A distribution of output lengths that discounts old observations.
class DecayingHistogram
{
public:
    DecayingHistogram();

    // Adds an observation after discounting the older ones by their age and, if there are more than `maxObservations`, by their number.
    void add(double tokens, double weight, MonotonicTime now, std::chrono::duration<double> halfLife, double maxObservations);

    // Adds a generation that ended early, so that only a lower bound of its length is known (a censored observation). Its weight is distributed over the
    // greater lengths in proportion to their observed weights, as in the estimator of Kaplan and Meier. Leaving it out would underestimate the lengths.
    void addCensored(double position, MonotonicTime now, std::chrono::duration<double> halfLife, double maxObservations);

    // Weight of the observations longer than the length at the position.
    double tail(double position) const;
    double total() const;

    // Share of the weight that is left at a later time.
    double remainingAt(MonotonicTime now, std::chrono::duration<double> halfLife) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

    void discount(MonotonicTime now, std::chrono::duration<double> halfLife);
    void rebuildTails(double maxObservations);

    Histogram m_histogram;
    // Sum of the bins from each one to the end.
    std::array<double, LengthBins + 1> m_tails {};
    MonotonicTime m_updated;
};

} // namespace Jujube
