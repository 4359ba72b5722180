#include <LibPolicy/MemoryForecastPolicy.h>

#include <algorithm>
#include <cmath>

namespace Jujube
{

namespace
{

// The forecast of an own generation is renewed after this many tokens, which is half of the forecast step of 64 tokens.
constexpr int64_t TokensPerForecast = 32;

// Minimum interval between surveys that load reports trigger. A decision makes a survey only if the last one is older than MaxSurveyAge, which means that no
// reports arrived.
constexpr std::chrono::milliseconds SurveyInterval {250};
constexpr std::chrono::seconds MaxSurveyAge {2};

// Maximum number of requests per model that takeReady() returns. The gateway calls it again after it has placed them.
constexpr size_t MaxReadyRequests = 8;

// Maximum wait estimate while a target is cold, bounds of a Retry-After, and the maximum jitter as a share of the delay, so that callers do not all retry at
// once.
constexpr double ColdRetrySeconds = 5;
constexpr double MinRetrySeconds = 1;
constexpr double MaxRetrySeconds = 120;
constexpr double RetryJitter = 0.25;

// Retry-After while no target is in service, when there is nothing to estimate the wait from.
constexpr double NoTargetRetrySeconds = 2;

// After this share of the maximum wait, the estimate of the remaining wait is used even if no other request is ahead.
constexpr double TrustedWaitShare = 0.25;

// Maximum time between two placement attempts of a waiting request.
constexpr std::chrono::duration<double> MaxPollInterval {1};

bool isTrial(WorkClass workClass)
{
    return workClass == WorkClass::TrialDraft || workClass == WorkClass::TrialSuggestion;
}

GenerationKind kindOf(WorkClass workClass)
{
    return workClass == WorkClass::PayingDraft || workClass == WorkClass::TrialDraft ? GenerationKind::Draft : GenerationKind::Suggestion;
}

LengthKey keyOf(const OwnGeneration &generation)
{
    return {.model = generation.model, .workspace = generation.workspace, .kind = kindOf(generation.workClass)};
}

double secondsOf(MonotonicTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

MemoryForecastPolicy::MemoryForecastPolicy(const PlacementOptions &options)
    : PlacementPolicy(options)
    , m_lengths(options.forecast.lengths)
{
}

void MemoryForecastPolicy::abandoned(std::string_view id, MonotonicTime now)
{
    for (auto &[name, state] : m_models) {
        state->admissionQueue().remove(std::string(id), QueueOutcome::Abandoned, now);
    }
}

void MemoryForecastPolicy::prefixStored(std::string_view target, uint64_t prefixHash)
{
    if (const auto index = fleet().find(target)) {
        m_prefixes.stored(*index, prefixHash);
    }
}

void MemoryForecastPolicy::prefixEvicted(std::string_view target, uint64_t prefixHash)
{
    if (const auto index = fleet().find(target)) {
        m_prefixes.evicted(*index, prefixHash);
    }
}

void MemoryForecastPolicy::setLiveGateways(int count)
{
    m_gateways = std::max(count, 1);
}

std::vector<std::string> MemoryForecastPolicy::takeReady(MonotonicTime now)
{
    std::vector<std::string> ready;
    for (auto &[name, state] : m_models) {
        if (!state->capacityMayHaveChanged) {
            continue;
        }
        state->capacityMayHaveChanged = false;
        std::ranges::move(state->admissionQueue().next(MaxReadyRequests, now), std::back_inserter(ready));
    }
    return ready;
}

size_t MemoryForecastPolicy::waitingCount() const
{
    size_t count = 0;
    for (const auto &[name, state] : m_models) {
        count += state->admissionQueue().size();
    }
    return count;
}

const LengthEstimator &MemoryForecastPolicy::lengths() const
{
    return m_lengths;
}

double MemoryForecastPolicy::overflowProbabilityOf(TargetIndex index, MonotonicTime now) const
{
    return overflowProbability(overflowMargin(presentForecastOn(index, now), {}, static_cast<double>(fleet().target(index).memoryLimit())));
}

PlacementDecision MemoryForecastPolicy::decide(const PlacementRequest &request, MonotonicTime now, uint64_t random)
{
    SplitMix numbers(random);
    auto &state = model(request.model);
    surveyIfOlder(state, request.model, MaxSurveyAge, now);
    auto need = needOf(request, now);
    auto &entry = state.admissionQueue().enqueue(request, need.memory, now);
    const auto maxMemory = static_cast<double>(state.lastSurvey().maxMemoryLimit);
    if (maxMemory > 0 && need.memoryNow >= maxMemory) {
        return reject(request, state, request.accepted ? ErrorKind::GenerationLost : ErrorKind::InvalidValue, 0, now, numbers);
    }
    state.admissionQueue().setServiceRate(state.releaseRate(m_gateways, now), now);
    const bool isFirst = !settings().admission || state.admissionQueue().isFirst(entry, now);
    if (isFirst) {
        setAdmissionClass(need, state.admissionQueue().isAged(entry, now), state);
        const auto choice = choose(request, need, state, now, numbers);
        if (choice && (choice->fits || !settings().admission)) {
            state.admissionQueue().remove(request.id, QueueOutcome::Served, now);
            // The next request may fit, too.
            state.capacityMayHaveChanged = true;
            return PlaceOnTarget {.target = fleet().target(choice->target).description.name, .overflowProbability = choice->probability};
        }
    }
    return waitOrReject(request, state, entry, isFirst, now, numbers);
}

void MemoryForecastPolicy::onPlaced(const OwnGeneration &generation, MonotonicTime now)
{
    const auto included = forecast(keyOf(generation), generation.promptTokens, generation.producedTokens, generation.maxTokens, now);
    forecastOf(generation.target).addOwn(included.moments, generation.workClass, included.memory);
    model(generation.model).addOwn(included.memory, generation.workClass);
    m_own[&generation] = included;
}

void MemoryForecastPolicy::onTokens(const OwnGeneration &generation, MonotonicTime now)
{
    const auto known = m_own.find(&generation);
    if (known == m_own.end() || generation.producedTokens - known->second.producedTokens < TokensPerForecast) {
        return;
    }
    auto &target = forecastOf(generation.target);
    auto &state = model(generation.model);
    target.removeOwn(known->second.moments, generation.workClass, known->second.memory);
    state.removeOwn(known->second.memory, generation.workClass);
    known->second = forecast(keyOf(generation), generation.promptTokens, generation.producedTokens, generation.maxTokens, now);
    target.addOwn(known->second.moments, generation.workClass, known->second.memory);
    state.addOwn(known->second.memory, generation.workClass);
}

void MemoryForecastPolicy::onEnded(const OwnGeneration &generation, std::optional<FailureReason> reason, MonotonicTime now)
{
    const auto known = m_own.find(&generation);
    if (known != m_own.end()) {
        forecastOf(generation.target).removeOwn(known->second.moments, generation.workClass, known->second.memory);
        model(generation.model).removeOwn(known->second.memory, generation.workClass);
        m_own.erase(known);
    }
    model(generation.model).recordRelease(static_cast<double>(generation.memory()), now);
    const bool atLimit = generation.maxTokens > 0 && generation.producedTokens >= generation.maxTokens;
    if (!reason && !atLimit) {
        m_lengths.addFinished(keyOf(generation), generation.producedTokens, now);
    } else if (reason == FailureReason::Cancelled || atLimit) {
        // A generation that is moved or lost continues on another target and is recorded when it ends there.
        m_lengths.addCensored(keyOf(generation), generation.producedTokens, now);
    }
}

void MemoryForecastPolicy::onLoadReported(TargetIndex index, const TargetView &before, MonotonicTime now)
{
    const auto &target = fleet().target(index);
    StepValues residual;
    residual.fill(1.0);
    for (const auto &name : target.description.models) {
        auto &state = model(name);
        surveyIfOlder(state, name, SurveyInterval, now);
        state.capacityMayHaveChanged = true;
        if (settings().forecastLengths && name == target.description.models.front()) {
            residual = state.lastSurvey().residual;
        }
    }
    const auto others = othersOn(index, before);
    if (settings().estimateOthers && settings().forecastLengths) {
        forecastOf(index).observeOthers(others, residual);
    } else {
        forecastOf(index).setOthersAsReported(others.memory);
    }
}

ModelState &MemoryForecastPolicy::model(std::string_view name)
{
    auto known = m_models.find(name);
    if (known == m_models.end()) {
        known = m_models.emplace(name, std::make_unique<ModelState>(settings())).first;
    }
    return *known->second;
}

void MemoryForecastPolicy::surveyIfOlder(ModelState &state, std::string_view name, MonotonicTime::duration age, MonotonicTime now)
{
    if (!state.lastSurvey().made || now - state.lastSurvey().time > age) {
        state.survey(fleet(), name, m_lengths, m_gateways, now);
    }
}

MemoryForecastPolicy::OwnForecast
MemoryForecastPolicy::forecast(const LengthKey &key, int64_t promptTokens, int64_t producedTokens, int64_t maxTokens, MonotonicTime now) const
{
    const auto memory = static_cast<double>(promptTokens + producedTokens);
    if (!settings().forecastLengths) {
        return {.moments = constantMoments(memory), .memory = memory, .producedTokens = producedTokens};
    }
    const auto survival = m_lengths.survival(key, producedTokens, maxTokens, now);
    return {
        .moments = momentsOf(1, memory, survival),
        .memory = memory + meanOfSurvival(survival) / 2,
        .producedTokens = producedTokens,
    };
}

MemoryForecastPolicy::Need MemoryForecastPolicy::needOf(const PlacementRequest &request, MonotonicTime now) const
{
    const LengthKey key {.model = request.model, .workspace = request.workspace, .kind = request.kind};
    const auto forecasted = forecast(key, request.promptTokens, request.producedTokens, request.maxTokens, now);
    Need need;
    need.workClass = workClassOf(request.tier, request.kind);
    need.isolated = request.isolated;
    need.memoryNow = static_cast<double>(request.promptTokens + request.producedTokens);
    need.memory = forecasted.memory;
    need.moments = forecasted.moments;
    if (settings().prefixHints) {
        need.prefix = m_prefixes.find(request.prefixHashes);
    }
    for (const auto &name : request.excludedTargets) {
        if (const auto index = fleet().find(name)) {
            need.excluded.push_back(*index);
        }
    }
    return need;
}

// Aged work is admitted like the first class. Otherwise it would never be admitted, because other gateways fill the targets up to the limits of that class. It
// runs with its own priority, so it is still preempted first.
void MemoryForecastPolicy::setAdmissionClass(Need &need, bool aged, const ModelState &state) const
{
    const auto &ranks = settings().rank;
    const auto highest = static_cast<WorkClass>(std::ranges::min_element(ranks) - ranks.begin());
    const auto admittedAs = aged ? highest : need.workClass;
    need.maxOverflowProbability = settings().classes[indexOf(admittedAs)].maxOverflowProbability;
    need.headroom = settings().classes[indexOf(admittedAs)].headroom;
    need.leavesReserve = settings().reserveForPaying && isTrial(need.workClass) && !aged;
    need.protectedCount = 0;
    for (size_t i = 0; i < WorkClassCount; ++i) {
        if (!settings().nestedClasses || ranks[i] <= ranks[indexOf(admittedAs)]) {
            need.protectedClasses[need.protectedCount++] = static_cast<WorkClass>(i);
        }
    }
    need.othersShare = state.shareOf({need.protectedClasses.data(), need.protectedCount});
}

PlacementDecision
MemoryForecastPolicy::waitOrReject(const PlacementRequest &request, ModelState &state, QueuedRequest &entry, bool isFirst, MonotonicTime now, SplitMix &random)
{
    if (!state.lastSurvey().anyLive && !request.accepted) {
        return reject(request, state, ErrorKind::TargetUnavailable, NoTargetRetrySeconds, now, random);
    }
    const auto &admissionQueue = state.admissionQueue();
    const bool anyCold = state.lastSurvey().anyCold;
    const double forecast = admissionQueue.expectedWait(entry, now).count();
    // The forecast does not include the end of a cold start, after which the whole memory of the target is available.
    const double wait = anyCold ? std::min(forecast, ColdRetrySeconds) : forecast;
    const double maxWait = std::chrono::duration<double>(settings().classes[indexOf(entry.workClass)].maxWait).count();
    const double waited = secondsOf(now - entry.arrived);
    // If no other request is ahead, the estimate is unreliable, because memory may become free at any moment.
    const bool isReliable = !anyCold && (admissionQueue.needAhead(entry) > 0 || waited > maxWait * TrustedWaitShare);
    const bool exceedsMaxWait = settings().earlyRejection && isReliable && !admissionQueue.isAged(entry, now) && waited + wait > maxWait;
    if (!request.accepted && (exceedsMaxWait || waited >= maxWait)) {
        const std::chrono::duration<double> retryDelay(std::min(wait, MaxRetrySeconds));
        state.admissionQueue().expectRetry(entry.workClass, entry.need, now + std::chrono::duration_cast<MonotonicTime::duration>(retryDelay));
        return reject(request, state, ErrorKind::Overloaded, wait, now, random);
    }
    const std::chrono::duration<double> minDelay = options().pollTime;
    const double poll = isFirst ? minDelay.count() : std::clamp(wait / 2, minDelay.count(), MaxPollInterval.count());
    const std::chrono::duration<double> delay(poll * (1 + RetryJitter * random.unit()));
    entry.retryAt = now + std::chrono::duration_cast<MonotonicTime::duration>(delay);
    return WaitUntil {entry.retryAt};
}

PlacementDecision
MemoryForecastPolicy::reject(const PlacementRequest &request, ModelState &state, ErrorKind kind, double waitSeconds, MonotonicTime now, SplitMix &random)
{
    // Only a rejection for lack of capacity shortens the aging time of the workspace's next request.
    const bool lacksRoom = kind == ErrorKind::Overloaded || kind == ErrorKind::TargetUnavailable;
    state.admissionQueue().remove(request.id, lacksRoom ? QueueOutcome::Rejected : QueueOutcome::Abandoned, now);
    state.capacityMayHaveChanged = true;
    const double seconds = std::clamp(waitSeconds, MinRetrySeconds, MaxRetrySeconds) * (1 + RetryJitter * random.unit());
    return RejectRequest {.kind = kind, .retryAfter = std::chrono::seconds(static_cast<int64_t>(std::ceil(seconds)))};
}

// Subtracts this gateway's own work from what the target reported. The rest is the work of other gateways.
OthersObservation MemoryForecastPolicy::othersOn(TargetIndex index, const TargetView &before) const
{
    const auto &target = fleet().target(index);
    double ownMemory = 0;
    int ownRunning = 0;
    double unstartedMemory = 0;
    int unstarted = 0;
    for (const auto *own : ownOn(index)) {
        if (own->placedAt > target.loadTakenAt) {
            continue;
        }
        if (own->started) {
            ownMemory += static_cast<double>(own->memory());
            ++ownRunning;
        } else {
            unstartedMemory += static_cast<double>(own->memory());
            ++unstarted;
        }
    }
    // A request without a response either waits at the engine or is in prefill, which already takes memory.
    const int unstartedRunning = unstarted - std::min(unstarted, target.load.waiting);
    if (unstarted > 0) {
        ownMemory += unstartedMemory * unstartedRunning / unstarted;
    }
    ownRunning += unstartedRunning;
    const bool sameIncarnation = before.hasReport && before.load.incarnation == target.load.incarnation;
    return {
        .memory = std::max(0.0, static_cast<double>(target.load.memoryUsed) - ownMemory),
        .running = static_cast<double>(std::max(0, target.load.running - ownRunning)),
        .waiting = static_cast<double>(std::max(0, target.load.waiting - (unstarted - unstartedRunning))),
        .sincePrevious = sameIncarnation ? target.loadTakenAt - before.loadTakenAt : MonotonicTime::duration(0),
    };
}

TargetForecast &MemoryForecastPolicy::forecastOf(TargetIndex index)
{
    if (m_forecasts.size() <= index) {
        m_forecasts.resize(fleet().slotCount());
    }
    return m_forecasts[index];
}

} // namespace Jujube
