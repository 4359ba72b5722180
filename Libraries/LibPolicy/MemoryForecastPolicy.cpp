#include <LibPolicy/MemoryForecastPolicy.h>

#include <algorithm>
#include <cmath>

namespace Jujube
{

namespace
{

// A forecast of an own generation is renewed after this many tokens: half of the first forecast step.
constexpr int64_t TokensPerForecast = 32;

// Surveys follow load reports at this interval. A decision makes one only if there were no reports for a while.
constexpr std::chrono::milliseconds SurveyInterval {250};
constexpr std::chrono::seconds OldestSurvey {2};

// Requests that takeReady() names at once per model. The gateway calls again after it has placed them.
constexpr size_t ReadyAtOnce = 8;

// Bounds of a Retry-After, and the part of it by which it is spread so that callers do not all come back at once.
constexpr double ColdRetry = 5; // seconds
constexpr double ShortestRetry = 1;
constexpr double LongestRetry = 120;
constexpr double RetrySpread = 0.25;

// When no target is in service there is nothing to estimate the end of it from.
constexpr double NoTargetRetry = 2;

// After this part of the longest wait, the estimate of the rest is believed even if nothing is ahead.
constexpr double SurePart = 0.25;

// Longest time between two asks of a waiting request.
constexpr std::chrono::duration<double> LongestPoll {1};

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
        state->room().leave(std::string(id), WaitingOutcome::Gone, now);
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
        if (!state->roomMayHaveChanged) {
            continue;
        }
        state->roomMayHaveChanged = false;
        std::ranges::move(state->room().next(ReadyAtOnce, now), std::back_inserter(ready));
    }
    return ready;
}

size_t MemoryForecastPolicy::waitingCount() const
{
    size_t count = 0;
    for (const auto &[name, state] : m_models) {
        count += state->room().size();
    }
    return count;
}

const LengthEstimator &MemoryForecastPolicy::lengths() const
{
    return m_lengths;
}

double MemoryForecastPolicy::overflowProbabilityOf(TargetIndex index, MonotonicTime now) const
{
    return overflowProbability(overflowMargin(presentOn(index, now), {}, static_cast<double>(fleet().target(index).memoryLimit())));
}

PlacementDecision MemoryForecastPolicy::decide(const PlacementRequest &request, MonotonicTime now, uint64_t random)
{
    SplitMix numbers(random);
    auto &state = model(request.model);
    surveyIfOlder(state, request.model, OldestSurvey, now);
    auto need = needOf(request, now);
    auto &entry = state.room().enter(request, need.memory, now);
    const auto largest = static_cast<double>(state.lastSurvey().largestLimit);
    if (largest > 0 && need.memoryNow >= largest) {
        return refuse(request, state, request.accepted ? ErrorKind::GenerationLost : ErrorKind::InvalidValue, 0, now, numbers);
    }
    state.room().setServiceRate(state.releaseRate(m_gateways, now), now);
    const bool isFirst = !settings().admission || state.room().isFirst(entry, now);
    if (isFirst) {
        allowClass(need, state.room().isAged(entry, now), state);
        const auto choice = choose(request, need, state, now, numbers);
        if (choice && (choice->fits || !settings().admission)) {
            state.room().leave(request.id, WaitingOutcome::Served, now);
            // There may be room for the next one, too.
            state.roomMayHaveChanged = true;
            return PlaceOnTarget {.target = fleet().target(choice->target).description.name, .overflowProbability = choice->probability};
        }
    }
    return waitOrRefuse(request, state, entry, isFirst, now, numbers);
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
    model(generation.model).noteRelease(static_cast<double>(generation.memory()), now);
    const bool atLimit = generation.maxTokens > 0 && generation.producedTokens >= generation.maxTokens;
    if (!reason && !atLimit) {
        m_lengths.finished(keyOf(generation), generation.producedTokens, now);
    } else if (reason == FailureReason::Cancelled || atLimit) {
        // A generation that is moved or lost goes on elsewhere and is counted when it ends there.
        m_lengths.cutOff(keyOf(generation), generation.producedTokens, now);
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
        state.roomMayHaveChanged = true;
        if (settings().forecastLengths && name == target.description.models.front()) {
            residual = state.lastSurvey().residual;
        }
    }
    const auto others = othersOn(index, before);
    if (settings().estimateOthers && settings().forecastLengths) {
        forecastOf(index).observeOthers(others, residual);
    } else {
        forecastOf(index).takeOthersAsReported(others.memory);
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

// Aged work is admitted like the highest class. Otherwise other gateways, which fill the targets up to the margins of that class, would keep it out for
// ever. It runs with its own priority, so it is still the first to give way.
void MemoryForecastPolicy::allowClass(Need &need, bool aged, const ModelState &state) const
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
MemoryForecastPolicy::waitOrRefuse(const PlacementRequest &request, ModelState &state, WaitingEntry &entry, bool isFirst, MonotonicTime now, SplitMix &random)
{
    if (!state.lastSurvey().anyLive && !request.accepted) {
        return refuse(request, state, ErrorKind::TargetUnavailable, NoTargetRetry, now, random);
    }
    const auto &room = state.room();
    const bool anyCold = state.lastSurvey().anyCold;
    const double forecast = room.expectedWait(entry, now).count();
    // The forecast knows nothing of the end of a cold start, after which room appears at once.
    const double wait = anyCold ? std::min(forecast, ColdRetry) : forecast;
    const double maxWait = std::chrono::duration<double>(settings().classes[indexOf(entry.workClass)].maxWait).count();
    const double waited = secondsOf(now - entry.arrived);
    // The estimate of a request that nothing is ahead of says little; memory may become free at any moment.
    const bool isSure = !anyCold && (room.needAhead(entry) > 0 || waited > maxWait * SurePart);
    const bool hopeless = settings().earlyRefusal && isSure && !room.isAged(entry, now) && waited + wait > maxWait;
    if (!request.accepted && (hopeless || waited >= maxWait)) {
        const std::chrono::duration<double> comeBack(std::min(wait, LongestRetry));
        state.room().promise(entry.workClass, entry.need, now + std::chrono::duration_cast<MonotonicTime::duration>(comeBack));
        return refuse(request, state, ErrorKind::Overloaded, wait, now, random);
    }
    const std::chrono::duration<double> shortest = options().pollTime;
    const double poll = isFirst ? shortest.count() : std::clamp(wait / 2, shortest.count(), LongestPoll.count());
    const std::chrono::duration<double> delay(poll * (1 + RetrySpread * random.unit()));
    entry.askAgain = now + std::chrono::duration_cast<MonotonicTime::duration>(delay);
    return WaitUntil {entry.askAgain};
}

PlacementDecision
MemoryForecastPolicy::refuse(const PlacementRequest &request, ModelState &state, ErrorKind kind, double waitSeconds, MonotonicTime now, SplitMix &random)
{
    // Only a refusal for lack of room counts in favour of the next request of the workspace.
    const bool lacksRoom = kind == ErrorKind::Overloaded || kind == ErrorKind::TargetUnavailable;
    state.room().leave(request.id, lacksRoom ? WaitingOutcome::Refused : WaitingOutcome::Gone, now);
    state.roomMayHaveChanged = true;
    const double seconds = std::clamp(waitSeconds, ShortestRetry, LongestRetry) * (1 + RetrySpread * random.unit());
    return RejectRequest {.kind = kind, .retryAfter = std::chrono::seconds(static_cast<int64_t>(std::ceil(seconds)))};
}

// Splits what the target reported into this gateway's work and that of others.
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
    // A request that has not answered yet either waits at the engine or is having its prompt read, which already takes memory.
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
