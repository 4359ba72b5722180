#pragma once

#include <LibPolicy/ForecastMoments.h>
#include <LibPolicy/PlacementTypes.h>

#include <array>
#include <chrono>
#include <span>

namespace Jujube
{

// Work of other gateways on a target, as derived from a load report.
struct OthersObservation {
    // Cache memory in tokens, running and waiting requests.
    double memory = 0;
    double running = 0;
    double waiting = 0;
    // Since the previous report of the same incarnation. Zero for the first one.
    std::chrono::duration<double> sincePrevious {0};
};

// Forecast of the memory of one target. Generations of this gateway are forecast one by one, those of other gateways as a population that was last observed in
// a load report.
class TargetForecast
{
public:
    void addOwn(const ForecastMoments &moments, WorkClass workClass, double memory);
    void removeOwn(const ForecastMoments &moments, WorkClass workClass, double memory);

    // `residual` is the residual survival of a generation of unknown age. It is all ones if lengths are not forecast.
    void observeOthers(const OthersObservation &observation, const StepValues &residual);

    // Uses the reported memory unchanged: neither growth nor arrivals since the report are estimated.
    void setOthersAsReported(double memory);

    // Memory at each step, `lag` after the load report was taken.
    ForecastMoments at(std::chrono::duration<double> lag) const;

    // The part of this memory that belongs to the given classes. `othersShare` is the share of others' memory that is assumed to belong to them.
    ForecastMoments at(std::chrono::duration<double> lag, std::span<const WorkClass> classes, double othersShare) const;

    // Mean of this part at the first step only.
    double presentMean(std::chrono::duration<double> lag, std::span<const WorkClass> classes, double othersShare) const;

    double ownMemory(WorkClass workClass) const;
    double othersMemory() const;

private:
    std::array<ForecastMoments, WorkClassCount> m_own;
    std::array<double, WorkClassCount> m_ownMemory {};
    ForecastMoments m_others;
    double m_othersMemory = 0;
    bool m_seen = false;
    // Change of others' memory between reports: drift in tokens per second, and variance in tokens squared per second as for a random walk.
    double m_drift = 0;
    double m_variancePerSecond = 0;
};

} // namespace Jujube
