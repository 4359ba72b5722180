#include <LibPolicy/TargetForecast.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Weight of the newest report in the moving average of the drift. About the last six reports count.
constexpr double DriftWeight = 0.3;

// The drift is not extrapolated beyond this time after a load report.
constexpr std::chrono::duration<double> MaxLag {10};

// Between reports that are closer together than this, rounding dominates the change.
constexpr double MinReportIntervalSeconds = 0.02;

} // namespace

void TargetForecast::addOwn(const ForecastMoments &moments, WorkClass workClass, double memory)
{
    m_own[indexOf(workClass)] += moments;
    m_ownMemory[indexOf(workClass)] += memory;
}

void TargetForecast::removeOwn(const ForecastMoments &moments, WorkClass workClass, double memory)
{
    m_own[indexOf(workClass)] -= moments;
    m_ownMemory[indexOf(workClass)] = std::max(0.0, m_ownMemory[indexOf(workClass)] - memory);
}

void TargetForecast::observeOthers(const OthersObservation &observation, const StepValues &residual)
{
    const double seconds = observation.sincePrevious.count();
    if (seconds <= 0) {
        m_drift = 0;
        m_variancePerSecond = 0;
    } else if (seconds >= MinReportIntervalSeconds && m_seen) {
        const double change = observation.memory - m_othersMemory;
        m_drift += DriftWeight * (change / seconds - m_drift);
        m_variancePerSecond += DriftWeight * (change * change / seconds - m_variancePerSecond);
    }
    m_seen = true;
    m_othersMemory = observation.memory;
    const double count = std::max(observation.running, 1.0);
    const double each = observation.memory / count;
    // Requests that wait at the engine will need about as much as those that run.
    m_others = momentsOf(count + observation.waiting, each, residual);
}

void TargetForecast::setOthersAsReported(double memory)
{
    m_othersMemory = memory;
    m_others = constantMoments(memory);
}

ForecastMoments TargetForecast::at(std::chrono::duration<double> lag) const
{
    constexpr std::array AllClasses {WorkClass::PayingDraft, WorkClass::PayingSuggestion, WorkClass::TrialDraft, WorkClass::TrialSuggestion};
    return at(lag, AllClasses, 1.0);
}

ForecastMoments TargetForecast::at(std::chrono::duration<double> lag, std::span<const WorkClass> classes, double othersShare) const
{
    const double seconds = std::clamp(lag, std::chrono::duration<double>(0), MaxLag).count();
    const double drift = std::max(0.0, m_drift) * seconds;
    const double variance = m_variancePerSecond * seconds;
    ForecastMoments total;
    for (const auto workClass : classes) {
        total += m_own[indexOf(workClass)];
    }
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        // Rounding of sums that were added and removed again can leave small negative remainders.
        total.mean[step] = std::max(0.0, total.mean[step]) + othersShare * (m_others.mean[step] + drift);
        total.variance[step] = std::max(0.0, total.variance[step]) + othersShare * (m_others.variance[step] + variance);
    }
    return total;
}

double TargetForecast::presentMean(std::chrono::duration<double> lag, std::span<const WorkClass> classes, double othersShare) const
{
    double own = 0;
    for (const auto workClass : classes) {
        own += m_own[indexOf(workClass)].mean[0];
    }
    const double seconds = std::clamp(lag, std::chrono::duration<double>(0), MaxLag).count();
    return std::max(0.0, own) + othersShare * (m_others.mean[0] + std::max(0.0, m_drift) * seconds);
}

double TargetForecast::ownMemory(WorkClass workClass) const
{
    return m_ownMemory[indexOf(workClass)];
}

double TargetForecast::othersMemory() const
{
    return m_othersMemory;
}

} // namespace Jujube
