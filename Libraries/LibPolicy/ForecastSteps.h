#pragma once

#include <array>
#include <cstddef>

namespace Jujube
{

// Points in the future at which memory is forecast, in tokens that each running generation will have produced by then. All sequences of a batch advance
// together, so time on an engine is measured in tokens.
constexpr std::array<double, 11> ForecastSteps {0, 16, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384};
constexpr size_t ForecastStepCount = ForecastSteps.size();

using StepValues = std::array<double, ForecastStepCount>;

} // namespace Jujube
