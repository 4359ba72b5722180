#pragma once

#include <LibPolicy/FleetView.h>
#include <LibPolicy/LengthEstimator.h>
#include <LibPolicy/RateMeter.h>
#include <LibPolicy/WaitingRoom.h>

namespace Jujube
{

// What the targets of a model looked like when they were last surveyed. A survey visits every target, so it is made a few times a second and not for every
// decision.
struct ModelSurvey {
    bool made = false;
    MonotonicTime time;
    // At least one target is neither leaving nor out of service.
    bool anyLive = false;
    // At least one live target may be cold. Its room appears at once when it is warm, so no estimate of a wait is sure.
    bool anyCold = false;
    // Cache memory in tokens of the usable targets, and the part in use.
    double capacity = 0;
    double used = 0;
    int64_t largestLimit = 0;
    // Number of fitting targets that a decision compares.
    size_t choices = 2;
    // Mean time that a generation runs.
    std::chrono::duration<double> meanDuration {0};
    StepValues residual {};
};

// Everything that "memory-forecast" keeps per model.
class ModelState
{
public:
    explicit ModelState(const MemoryForecastOptions &options);

    void survey(const FleetView &fleet, std::string_view model, const LengthEstimator &lengths, int gateways, MonotonicTime now);
    const ModelSurvey &lastSurvey() const;

    WaitingRoom &room();
    const WaitingRoom &room() const;

    // Memory that this gateway's generations hold or will hold on average, in tokens.
    void addOwn(double memory, WorkClass workClass);
    void removeOwn(double memory, WorkClass workClass);

    // A generation of this gateway ended and freed memory.
    void noteRelease(double memory, MonotonicTime now);

    // Rate at which memory becomes free for this gateway, in tokens per second. Always above zero.
    double releaseRate(int gateways, MonotonicTime now) const;

    // Part of the used memory that is assumed to belong to the given classes. Other gateways serve the same workspaces, so this gateway's own share is the
    // estimate.
    double shareOf(std::span<const WorkClass> classes) const;
    double payingShare() const;

    // Highest recent memory of paying work in the whole fleet, in tokens.
    double payingDemand(MonotonicTime now) const;

    // Something ended or was reported since takeReady() last looked.
    bool roomMayHaveChanged = true;

private:
    size_t choicesFor(double othersPerTarget, double runningPerTarget, double lagSeconds) const;

    const MemoryForecastOptions &m_options;
    ModelSurvey m_survey;
    WaitingRoom m_room;
    RateMeter m_releases;
    std::array<double, WorkClassCount> m_own {};
    double m_payingPeak = 0;
    MonotonicTime m_payingPeakAt;
};

} // namespace Jujube
