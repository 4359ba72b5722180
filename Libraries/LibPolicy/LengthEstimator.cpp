#include <LibPolicy/LengthEstimator.h>

#include <LibCore/AbslView.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Jujube
{

namespace
{

// 550 workspaces, 7 models and 2 kinds need 7,700 histograms. The rest allows for workspaces that are added and removed. A histogram takes about 1.2 KB.
constexpr size_t MaxHistograms = 10000;

// A histogram with less weight than this is removed when the maximum number is reached. A tail with less weight is not used in a forecast.
constexpr double NegligibleWeight = 0.05;

// If less than this share of the prior lies above the tokens already produced, its histogram is too coarse to be conditioned on them.
constexpr double NegligibleTail = 1e-9;

// Separates the parts of a key. It does not occur in names of models and workspaces.
constexpr char Separator = '\x1f';

std::string modelKey(std::string_view model)
{
    return std::string(model);
}

std::string kindKey(const LengthKey &key)
{
    auto text = modelKey(key.model);
    text += Separator;
    text += key.kind == GenerationKind::Draft ? 'd' : 's';
    return text;
}

std::string workspaceKey(const LengthKey &key)
{
    auto text = kindKey(key);
    text += Separator;
    text += key.workspace;
    return text;
}

DecayingHistogram logNormal(double median, double sigma)
{
    DecayingHistogram histogram;
    const auto survivalAt = [&](double tokens) { return 0.5 * std::erfc(std::log(tokens / median) / (sigma * std::numbers::sqrt2)); };
    for (int bin = 0; bin < LengthBins; ++bin) {
        const double low = std::exp2(static_cast<double>(bin) / LengthBinsPerDoubling);
        const double high = std::exp2((bin + 1.0) / LengthBinsPerDoubling);
        const double below = bin == 0 ? 1.0 : survivalAt(low);
        histogram.add(std::sqrt(low * high), below - survivalAt(high), {}, std::chrono::hours(1), 1.0);
    }
    return histogram;
}

} // namespace

LengthEstimator::LengthEstimator(const LengthEstimatorOptions &options)
    : m_options(options)
    , m_priors {logNormal(options.draftMedian, options.sigma), logNormal(options.suggestionMedian, options.sigma)}
{
}

void LengthEstimator::addFinished(const LengthKey &key, int64_t tokens, MonotonicTime now)
{
    evictStale(now);
    for (const auto &name : {modelKey(key.model), kindKey(key), workspaceKey(key)}) {
        m_histograms[name].add(static_cast<double>(tokens), 1.0, now, m_options.halfLife, m_options.maxObservations);
    }
}

void LengthEstimator::addCensored(const LengthKey &key, int64_t tokens, MonotonicTime now)
{
    const double position = lengthPosition(static_cast<double>(tokens));
    for (const auto &name : {modelKey(key.model), kindKey(key), workspaceKey(key)}) {
        const auto known = m_histograms.find(name);
        if (known != m_histograms.end()) {
            known->second.addCensored(position, now, m_options.halfLife, m_options.maxObservations);
        }
    }
}

StepValues LengthEstimator::survival(const LengthKey &key, int64_t produced, int64_t maxTokens, MonotonicTime now) const
{
    Positions positions;
    positions[0] = lengthPosition(static_cast<double>(produced));
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        positions[step + 1] = lengthPosition(static_cast<double>(produced) + ForecastSteps[step]);
    }
    StepValues values;
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        // Without any observations, a generation is assumed to continue for about as long as it has already run.
        const double known = static_cast<double>(std::max<int64_t>(produced, 1));
        values[step] = known / (known + ForecastSteps[step]);
    }
    const auto &root = prior(key.kind);
    if (root.tail(positions[0]) > NegligibleTail) {
        for (size_t step = 0; step < ForecastStepCount; ++step) {
            values[step] = root.tail(positions[step + 1]) / root.tail(positions[0]);
        }
    }
    for (const auto &name : {modelKey(key.model), kindKey(key), workspaceKey(key)}) {
        if (const auto *histogram = find(name)) {
            mix(values, *histogram, positions, histogram->remainingAt(now, m_options.halfLife));
        }
    }
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        if (maxTokens > 0 && static_cast<double>(produced) + ForecastSteps[step] >= static_cast<double>(maxTokens)) {
            values[step] = 0;
        }
    }
    return values;
}

StepValues LengthEstimator::residualSurvival(std::string_view model, MonotonicTime now) const
{
    const auto *histogram = find(modelKey(model));
    const double discount = histogram == nullptr ? 0 : histogram->remainingAt(now, m_options.halfLife);
    // Integral of the survival function above each bin edge, from the longest length down.
    std::array<double, LengthBins + 1> integrals {};
    for (int bin = LengthBins - 1; bin >= 0; --bin) {
        const double low = bin == 0 ? 0 : std::exp2(static_cast<double>(bin) / LengthBinsPerDoubling);
        const double high = std::exp2((bin + 1.0) / LengthBinsPerDoubling);
        const double mean = (modelTail(histogram, discount, bin) + modelTail(histogram, discount, bin + 1)) / 2;
        integrals[bin] = integrals[bin + 1] + (high - low) * mean;
    }
    StepValues values;
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        const double position = lengthPosition(ForecastSteps[step]);
        const auto bin = std::min(static_cast<int>(position), LengthBins - 1);
        const double part = position - bin;
        values[step] = (integrals[bin] * (1 - part) + integrals[bin + 1] * part) / integrals[0];
    }
    return values;
}

double LengthEstimator::meanLength(std::string_view model, MonotonicTime now) const
{
    const auto *histogram = find(modelKey(model));
    const double discount = histogram == nullptr ? 0 : histogram->remainingAt(now, m_options.halfLife);
    double mean = 0;
    for (int bin = 0; bin < LengthBins; ++bin) {
        const double middle = std::exp2((bin + 0.5) / LengthBinsPerDoubling);
        mean += middle * (modelTail(histogram, discount, bin) - modelTail(histogram, discount, bin + 1));
    }
    return mean;
}

const DecayingHistogram *LengthEstimator::find(std::string_view key) const
{
    const auto known = m_histograms.find(toAbsl(key));
    return known == m_histograms.end() ? nullptr : &known->second;
}

const DecayingHistogram &LengthEstimator::prior(GenerationKind kind) const
{
    return m_priors[static_cast<size_t>(kind)];
}

void LengthEstimator::mix(StepValues &values, const DecayingHistogram &histogram, const Positions &positions, double discount) const
{
    const double longer = histogram.tail(positions[0]);
    const double observations = longer * discount;
    if (observations < NegligibleWeight) {
        return;
    }
    const double share = observations / (observations + m_options.shrinkage);
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        const double observed = histogram.tail(positions[step + 1]) / longer;
        values[step] += share * (observed - values[step]);
    }
}

double LengthEstimator::modelTail(const DecayingHistogram *histogram, double discount, double position) const
{
    const double assumed = (m_priors[0].tail(position) / m_priors[0].total() + m_priors[1].tail(position) / m_priors[1].total()) / 2;
    if (histogram == nullptr) {
        return assumed;
    }
    const double observations = histogram->total() * discount;
    return (histogram->tail(position) * discount + m_options.shrinkage * assumed) / (observations + m_options.shrinkage);
}

void LengthEstimator::evictStale(MonotonicTime now)
{
    if (m_histograms.size() < MaxHistograms) {
        return;
    }
    absl::erase_if(m_histograms,
                   [&](const auto &entry) { return entry.second.total() * entry.second.remainingAt(now, m_options.halfLife) < NegligibleWeight; });
    if (m_histograms.size() >= MaxHistograms) {
        // Learning starts again to bound the memory. The priors are used until a few hundred generations have been observed.
        m_histograms.clear();
    }
}

double meanOfSurvival(const StepValues &survival)
{
    double mean = 0;
    for (size_t step = 1; step < ForecastStepCount; ++step) {
        mean += (ForecastSteps[step] - ForecastSteps[step - 1]) * (survival[step] + survival[step - 1]) / 2;
    }
    return mean;
}

} // namespace Jujube
