#pragma once

#include <LibPolicy/DecayingHistogram.h>
#include <LibPolicy/ForecastSteps.h>
#include <LibPolicy/LengthEstimatorOptions.h>
#include <LibPolicy/PlacementTypes.h>

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>

namespace Jujube
{

// Identifies the distributions to which an output length contributes.
struct LengthKey {
    std::string_view model;
    std::string_view workspace;
    GenerationKind kind = GenerationKind::Draft;
};

// Learns output lengths and forecasts how many tokens a generation will still produce, given the tokens that it has already produced. For each model,
// distributions are kept per workspace and kind, per kind and for the whole model. A distribution with few observations of the length in question is mixed with
// the next coarser one, down to a prior.
class LengthEstimator
{
public:
    explicit LengthEstimator(const LengthEstimatorOptions &options);

    // Records that a generation ended by itself after `tokens`.
    void addFinished(const LengthKey &key, int64_t tokens, MonotonicTime now);

    // Records that a generation ended for another reason after `tokens`. It would have become longer.
    void addCensored(const LengthKey &key, int64_t tokens, MonotonicTime now);

    // For each forecast step: the probability that a generation that has produced `produced` tokens produces more further tokens than the step. `maxTokens`
    // bounds the total length if it is above zero.
    StepValues survival(const LengthKey &key, int64_t produced, int64_t maxTokens, MonotonicTime now) const;

    // For each forecast step: the probability that a running generation of unknown age, of any kind, produces more further tokens than the step. This is the
    // distribution of the residual life in a renewal process.
    StepValues residualSurvival(std::string_view model, MonotonicTime now) const;

    // Mean output length over all kinds of a model.
    double meanLength(std::string_view model, MonotonicTime now) const;

private:
    using Positions = std::array<double, ForecastStepCount + 1>;

    const DecayingHistogram *find(std::string_view key) const;
    const DecayingHistogram &prior(GenerationKind kind) const;
    void mix(StepValues &values, const DecayingHistogram &histogram, const Positions &positions, double discount) const;
    double modelTail(const DecayingHistogram *histogram, double discount, double position) const;
    void evictStale(MonotonicTime now);

    LengthEstimatorOptions m_options;
    std::array<DecayingHistogram, 2> m_priors;
    absl::flat_hash_map<std::string, DecayingHistogram> m_histograms;
};

// Mean of a distribution that is given by its survival at the forecast steps.
double meanOfSurvival(const StepValues &survival);

} // namespace Jujube
