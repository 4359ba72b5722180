#pragma once

#include <LibPolicy/AdmissionQueue.h>
#include <LibPolicy/FleetView.h>
#include <LibPolicy/LengthEstimator.h>
#include <LibPolicy/RateMeter.h>

namespace Jujube
{

// Summary of the targets of a model. A survey visits every target, so it is made a few times a second and not for every decision.
struct ModelSurvey {
    bool made = false;
    MonotonicTime time;
    // At least one target is neither leaving nor out of service.
    bool anyLive = false;
    // At least one live target may be cold. All of its memory is available as soon as it is warm, so no wait estimate is reliable.
    bool anyCold = false;
    // Cache memory in tokens of the usable targets, and the part in use.
    double capacity = 0;
    double used = 0;
    int64_t maxMemoryLimit = 0;
    // Number of fitting targets that a decision compares.
    size_t choices = 2;
    // Mean run time of a generation.
    std::chrono::duration<double> meanDuration {0};
    StepValues residual {};
};

// State that the policy "memory-forecast" keeps per model.
class ModelState
{
public:
    explicit ModelState(const MemoryForecastOptions &options);

    void survey(const FleetView &fleet, std::string_view model, const LengthEstimator &lengths, int gateways, MonotonicTime now);
    const ModelSurvey &lastSurvey() const;

    AdmissionQueue &admissionQueue();
    const AdmissionQueue &admissionQueue() const;

    // Account for the mean memory that this gateway's generations hold from now to their ends, in tokens.
    void addOwn(double memory, WorkClass workClass);
    void removeOwn(double memory, WorkClass workClass);

    // Records that a generation of this gateway ended and freed memory.
    void recordRelease(double memory, MonotonicTime now);

    // Rate at which memory becomes free for this gateway, in tokens per second. Always above zero.
    double releaseRate(int gateways, MonotonicTime now) const;

    // Share of the used memory that is assumed to belong to the given classes. Other gateways serve the same workspaces, so the share in this gateway's own
    // memory is the estimate.
    double shareOf(std::span<const WorkClass> classes) const;
    double payingShare() const;

    // Recent maximum of the memory that paying work uses and waits for in the whole fleet, in tokens. Decays with `demandHalfLife`.
    double payingDemand(MonotonicTime now) const;

    // A generation ended, a request left the queue or a load report arrived since the last call of takeReady().
    bool capacityMayHaveChanged = true;

private:
    size_t choicesFor(double othersPerTarget, double runningPerTarget, double lagSeconds) const;

    const MemoryForecastOptions &m_options;
    ModelSurvey m_survey;
    AdmissionQueue m_admissionQueue;
    RateMeter m_releases;
    std::array<double, WorkClassCount> m_own {};
    double m_payingPeak = 0;
    MonotonicTime m_payingPeakAt;
};

} // namespace Jujube
