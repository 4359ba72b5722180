#pragma once

#include <LibPolicy/ForecastMoments.h>
#include <LibPolicy/PlacementTypes.h>

#include <array>
#include <chrono>
#include <span>

namespace Jujube
{

// What a load report says about the work of other gateways on a target.
struct OthersObservation {
    // Cache memory in tokens, running and waiting requests.
    double memory = 0;
    double running = 0;
    double waiting = 0;
    // Since the previous report of the same incarnation. Zero for the first one.
    std::chrono::duration<double> sincePrevious {0};
};

// Forecast of the memory of one target: the generations of this gateway one by one, and those of other gateways as a population that was last seen in a
// load report.
class TargetForecast
{
public:
    void addOwn(const ForecastMoments &moments, WorkClass workClass, double memory);
    void removeOwn(const ForecastMoments &moments, WorkClass workClass, double memory);

    // `residual` is the residual survival of a generation of unknown age. It is all ones if lengths are not forecast.
    void observeOthers(const OthersObservation &observation, const StepValues &residual);

    // Reported memory is taken as it is: neither growth nor arrivals since the report are estimated.
    void takeOthersAsReported(double memory);

    // Memory at each step, `lag` after the load report was taken.
    ForecastMoments at(std::chrono::duration<double> lag) const;

    // The part of it that belongs to the given classes. `othersShare` is the part of others' memory that is assumed to belong to them.
    ForecastMoments at(std::chrono::duration<double> lag, std::span<const WorkClass> classes, double othersShare) const;

    // The mean of the same at the first step only.
    double held(std::chrono::duration<double> lag, std::span<const WorkClass> classes, double othersShare) const;

    double ownMemory(WorkClass workClass) const;
    double othersMemory() const;

private:
    std::array<ForecastMoments, WorkClassCount> m_own;
    std::array<double, WorkClassCount> m_ownMemory {};
    ForecastMoments m_others;
    double m_othersMemory = 0;
    bool m_seen = false;
    // How others' memory changed between reports: tokens per second, and variance in tokens squared per second as of a random walk.
    double m_drift = 0;
    double m_variancePerSecond = 0;
};

} // namespace Jujube
