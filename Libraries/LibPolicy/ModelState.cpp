#include <LibPolicy/ModelState.h>

#include <algorithm>
#include <numeric>

namespace Jujube
{

namespace
{

// Short enough to follow the loss of a data centre, long enough to average over single generations.
constexpr std::chrono::seconds ReleaseHalfLife {5};

// Work that gateways with the same view may place on a target before its next report: this many generations, or this share of the generations that run there,
// whichever is more.
constexpr double TolerableSurge = 2;
constexpr double TolerableSurgeShare = 0.1;

// Memory in tokens, about three drafts. If this gateway's own work holds less, the difference is assumed to belong to paying drafts. Otherwise a gateway with
// little work, all of it trial work, would conclude that other gateways have no paying work either.
constexpr double MinOwnMemory = 2000;

// In tokens per second. Keeps wait estimates finite.
constexpr double MinReleaseRate = 1;

} // namespace

ModelState::ModelState(const MemoryForecastOptions &options)
    : m_options(options)
    , m_admissionQueue(options)
    , m_releases(ReleaseHalfLife)
{
}

void ModelState::survey(const FleetView &fleet, std::string_view model, const LengthEstimator &lengths, int gateways, MonotonicTime now)
{
    ModelSurvey survey {.made = true, .time = now};
    double running = 0;
    double own = 0;
    double lag = 0;
    int reporting = 0;
    for (const auto &group : fleet.targetsOf(model)) {
        for (const auto index : group.targets) {
            const auto &target = fleet.target(index);
            // Targets that are out of service are included, because they may return.
            survey.maxMemoryLimit = std::max(survey.maxMemoryLimit, target.memoryLimit());
            if (target.isLeaving() || fleet.dataCentre(group.dataCentre).out) {
                continue;
            }
            survey.anyLive = true;
            survey.anyCold = survey.anyCold || fleet.mayBeCold(index, now);
            if (fleet.mayBeCold(index, now) || !fleet.isUsable(index, now)) {
                continue;
            }
            const double share = m_options.slowStart ? fleet.slowStartShare(index, now) : 1.0;
            survey.capacity += static_cast<double>(target.memoryLimit()) * share;
            survey.used += static_cast<double>(target.load.memoryUsed);
            running += target.load.running + target.load.waiting;
            own += target.ownRunning;
            lag += std::chrono::duration<double>(now - target.loadTakenAt).count();
            ++reporting;
        }
    }
    survey.meanDuration = std::chrono::duration<double>(lengths.meanLength(model, now) / m_options.tokensPerSecond);
    survey.residual = lengths.residualSurvival(model, now);
    const double count = std::max(reporting, 1);
    m_survey = survey;
    m_survey.choices = choicesFor(std::max(0.0, running - own) / count, running / count, lag / count);
    const double paying = survey.used * payingShare() + m_admissionQueue.payingNeed() * gateways;
    m_payingPeak = std::max(paying, payingDemand(now));
    m_payingPeakAt = now;
}

const ModelSurvey &ModelState::lastSurvey() const
{
    return m_survey;
}

AdmissionQueue &ModelState::admissionQueue()
{
    return m_admissionQueue;
}

const AdmissionQueue &ModelState::admissionQueue() const
{
    return m_admissionQueue;
}

void ModelState::addOwn(double memory, WorkClass workClass)
{
    m_own[indexOf(workClass)] += memory;
}

void ModelState::removeOwn(double memory, WorkClass workClass)
{
    m_own[indexOf(workClass)] = std::max(0.0, m_own[indexOf(workClass)] - memory);
}

void ModelState::recordRelease(double memory, MonotonicTime now)
{
    m_releases.add(memory, now);
    capacityMayHaveChanged = true;
}

double ModelState::releaseRate(int gateways, MonotonicTime now) const
{
    const double seconds = std::max(m_survey.meanDuration.count(), 0.1);
    const double share = m_survey.used / seconds / std::max(gateways, 1);
    return std::max({m_releases.perSecond(now), share, MinReleaseRate});
}

double ModelState::shareOf(std::span<const WorkClass> classes) const
{
    const double all = std::accumulate(m_own.begin(), m_own.end(), 0.0);
    const double assumed = std::max(0.0, MinOwnMemory - all);
    double part = 0;
    for (const auto workClass : classes) {
        part += m_own[indexOf(workClass)] + (workClass == WorkClass::PayingDraft ? assumed : 0.0);
    }
    return part / (all + assumed);
}

double ModelState::payingShare() const
{
    constexpr std::array Paying {WorkClass::PayingDraft, WorkClass::PayingSuggestion};
    return shareOf(Paying);
}

double ModelState::payingDemand(MonotonicTime now) const
{
    const std::chrono::duration<double> elapsed = now - m_payingPeakAt;
    return m_payingPeak * std::exp2(-std::max(elapsed.count(), 0.0) / std::chrono::duration<double>(m_options.demandHalfLife).count());
}

// Every gateway receives the same load reports. If each always chose the best of many targets, all of them would place their work on the same few targets until
// the next reports. If d targets are compared, one target can receive up to d times its share of the arrivals. The number of compared targets is therefore
// bounded by the arrivals from other gateways within the lag of the reports (see Mitzenmacher, "How useful is old information?", 2000).
size_t ModelState::choicesFor(double othersPerTarget, double runningPerTarget, double lagSeconds) const
{
    const double arrivals = othersPerTarget / std::max(m_survey.meanDuration.count(), 0.1) * lagSeconds;
    const double tolerable = std::max(TolerableSurge, TolerableSurgeShare * runningPerTarget);
    const double maxChoices = static_cast<double>(std::max<size_t>(m_options.maxCandidates, 2));
    return static_cast<size_t>(std::clamp(tolerable / std::max(arrivals, 1e-3), 2.0, maxChoices));
}

} // namespace Jujube
