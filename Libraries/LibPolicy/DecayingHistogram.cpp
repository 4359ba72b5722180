#include <LibPolicy/DecayingHistogram.h>

#include <algorithm>
#include <cmath>

namespace Jujube
{

namespace
{

const double MaxLength = std::exp2(static_cast<double>(LengthBins) / LengthBinsPerDoubling);

} // namespace

double lengthPosition(double tokens)
{
    if (tokens <= 1) {
        return 0;
    }
    return std::min(std::log2(tokens) * LengthBinsPerDoubling, static_cast<double>(LengthBins));
}

DecayingHistogram::DecayingHistogram()
    : m_histogram(std::make_tuple(Axis(LengthBins, 1.0, MaxLength)))
{
}

void DecayingHistogram::add(double tokens, double weight, MonotonicTime now, std::chrono::duration<double> halfLife, double maxObservations)
{
    discount(now, halfLife);
    // Lengths beyond the axis are counted in the last bin.
    m_histogram(std::clamp(tokens, 1.0, MaxLength * 0.999), boost::histogram::weight(weight));
    rebuildTails(maxObservations);
}

void DecayingHistogram::addCensored(double position, MonotonicTime now, std::chrono::duration<double> halfLife, double maxObservations)
{
    const double known = tail(position);
    if (known <= 0) {
        return;
    }
    discount(now, halfLife);
    const double factor = 1 + 1 / known;
    const auto first = std::min(static_cast<int>(position), LengthBins - 1);
    const double longerPart = 1 - (position - first);
    m_histogram.at(first) *= 1 + longerPart / known;
    for (int bin = first + 1; bin < LengthBins; ++bin) {
        m_histogram.at(bin) *= factor;
    }
    rebuildTails(maxObservations);
}

double DecayingHistogram::tail(double position) const
{
    const auto bin = static_cast<int>(position);
    if (bin >= LengthBins) {
        return 0;
    }
    const double weight = m_tails[bin] - m_tails[bin + 1];
    return m_tails[bin + 1] + weight * (1 - (position - bin));
}

double DecayingHistogram::total() const
{
    return m_tails[0];
}

double DecayingHistogram::remainingAt(MonotonicTime now, std::chrono::duration<double> halfLife) const
{
    const std::chrono::duration<double> elapsed = now - m_updated;
    return elapsed.count() > 0 ? std::exp2(-elapsed / halfLife) : 1.0;
}

void DecayingHistogram::discount(MonotonicTime now, std::chrono::duration<double> halfLife)
{
    m_histogram *= remainingAt(now, halfLife);
    m_updated = std::max(m_updated, now);
}

void DecayingHistogram::rebuildTails(double maxObservations)
{
    double sum = 0;
    for (int bin = LengthBins - 1; bin >= 0; --bin) {
        sum += m_histogram.at(bin);
        m_tails[bin] = sum;
    }
    if (sum <= maxObservations) {
        return;
    }
    const double factor = maxObservations / sum;
    m_histogram *= factor;
    for (auto &value : m_tails) {
        value *= factor;
    }
}

} // namespace Jujube
