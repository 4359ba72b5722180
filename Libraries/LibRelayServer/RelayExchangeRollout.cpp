#include <LibRelayServer/RelayExchange.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibRelayServer/RolloutAgent.h>

// What a request's attempts show of the versions of their targets, for rollouts.
namespace Jujube
{

namespace
{

constexpr int FirstServerError = 500;
constexpr int FirstRedirect = 300;
constexpr int FirstSuccess = 200;
// A request without a response counts with the time that it has taken so far when that exceeds this time and this many latency goals of its route, so that a
// version that does not respond at all is found long before the deadlines of the requests.
constexpr std::chrono::milliseconds MinLongWait {3000};
constexpr int LongWaitGoals = 3;

} // namespace

void RelayExchange::beginRolloutSample(const RelayAttempt &attempt, MonotonicTime now)
{
    m_rolloutSampler.reset();
    m_eventsBefore = m_session->eventCount();
    const auto &service = m_admission.service->name;
    if (attempt.attempt == 1) {
        m_core.rollouts->recordRequest(service, attempt.target.id);
    }
    // What goes on with a generation takes less time than what begins one.
    if (attempt.kvCacheSource.empty() && !attempt.lastEventId) {
        m_rolloutSampler = m_core.rollouts->beginSample(service, m_admission.route->name, attempt.target.id, now);
    }
}

RolloutSamples *RelayExchange::rolloutSamples()
{
    return m_rolloutSampler ? m_core.rollouts->samplesOf(m_admission.service->name, *m_rolloutSampler) : nullptr;
}

void RelayExchange::sampleHead(const TargetResponse &response, MonotonicTime now)
{
    auto *samples = rolloutSamples();
    if (!samples) {
        return;
    }
    const bool isSuccess = response.status >= FirstSuccess && response.status < FirstRedirect;
    const bool isFailure = response.status >= FirstServerError ? response.sealed : isSuccess && !response.sealed;
    if (response.notRun || response.misdirected || (!response.sealed && !isFailure)) {
        // A rejection, or a response of something else than the target.
        m_rolloutSampler.reset();
    } else if (isFailure) {
        sampleFailure();
    } else if (!response.isStream) {
        m_rolloutSampler->recordDelay(*samples, now);
    }
}

void RelayExchange::sampleEnd(ChannelEnd end, MonotonicTime now)
{
    auto *samples = rolloutSamples();
    if (!samples) {
        return;
    }
    if (end == ChannelEnd::Complete) {
        m_rolloutSampler->recordEnd(*samples, now);
    } else if (end == ChannelEnd::Broken && !m_session->isMigrating() && !m_core.targets.isLeaving(m_target) && !isKnownPoison(now)) {
        sampleFailure();
    }
    m_rolloutSampler.reset();
}

void RelayExchange::sampleFailure()
{
    auto *samples = rolloutSamples();
    if (samples && m_rolloutSampler->recordBad(*samples) && m_rolloutSampler->key().isNew) {
        m_core.metrics.count("relay_rollout_bad_total", absl::StrCat("service=\"", m_admission.service->name, "\""));
    }
}

void RelayExchange::sampleDeadline(MonotonicTime now)
{
    // An attempt that had less than half of the request's time says little about its target.
    if (m_rolloutSampler && !m_rolloutSampler->isCounted() && now - m_rolloutSampler->sentAt() >= (m_admission.deadline - m_request.arrivedAt) / 2) {
        sampleFailure();
    }
}

void RelayExchange::noteLongWait(MonotonicTime now)
{
    auto *samples = rolloutSamples();
    if (samples && now - m_rolloutSampler->sentAt() >= std::max(MinLongWait, LongWaitGoals * m_admission.route->latencyGoal)) {
        m_rolloutSampler->recordDelay(*samples, now);
    }
}

bool RelayExchange::isKnownPoison(MonotonicTime now) const
{
    return m_triedPart || m_core.crashSuspects.verdict(m_digest, now).action == CrashVerdict::Action::Reject
        || m_core.promptParts.verdict(m_promptParts, now).action == PromptPartVerdict::Action::Reject;
}

std::vector<std::string> RelayExchange::versionsInUse() const
{
    std::vector<std::string> versions {m_targetVersion};
    const auto source = m_session ? m_session->migrationSource() : std::nullopt;
    const auto *known = source ? m_core.targets.find(source->id) : nullptr;
    if (known) {
        versions.push_back(known->entry.softwareVersion);
    }
    return versions;
}

} // namespace Jujube
