#include <StandIns/Engine/EngineModel.h>

#include <algorithm>
#include <StandIns/Engine/TokenSource.h>

namespace Jujube
{

namespace
{

// Growth of the step time per generation in the batch and per token of context, as parts of the base step.
constexpr double StepPerGeneration = 0.012;
constexpr double StepPerContextToken = 5e-6;
// Computing a prompt delays the next token of every generation in the batch, by about 100 ms for a full chunk.
constexpr int64_t MicrosecondsPerPrefillToken = 50;
// Pending prompts are computed in chunks, as engines do it to bound the time between tokens.
constexpr int64_t PrefillTokensPerStep = 2048;
// Every generation above the cold limit adds this many base steps.
constexpr double ColdCollapse = 8;

bool isBefore(const std::shared_ptr<Generation> &a, const std::shared_ptr<Generation> &b)
{
    if (a->request.priority != b->request.priority) {
        return a->request.priority > b->request.priority;
    }
    return a->order < b->order;
}

} // namespace

EngineModel::EngineModel(Options options)
    : m_options(options)
{
}

EngineModel::GenerationPointer EngineModel::submit(GenerationRequest request, MonotonicTime now)
{
    const auto known = m_generations.find(request.id);
    if (known != m_generations.end()) {
        const auto attempt = known->second->request.attempt;
        if (attempt == request.attempt) {
            return known->second;
        }
        if (attempt > request.attempt) {
            return nullptr;
        }
        cancel(request.id);
    }
    countStart(now);
    auto generation = std::make_shared<Generation>();
    generation->tokens = std::move(request.tokens);
    generation->givenTokens = generation->tokens.size();
    generation->request = std::move(request);
    const auto &stored = generation->request;
    generation->length = TokenSource(stored.model, stored.prompt, stored.seed).length(stored.maxTokens);
    generation->promptTokens = promptTokenCount(stored.prompt);
    generation->order = ++m_lastOrder;
    m_generations[stored.id] = generation;
    if (static_cast<int64_t>(generation->tokens.size()) >= generation->length) {
        generation->state = Generation::State::Done;
        generation->endedAt = now;
    } else {
        m_waiting.push_back(generation);
    }
    return generation;
}

void EngineModel::countStart(MonotonicTime now)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    ++m_statistics.generations;
    const auto present = static_cast<int64_t>(m_running.size() + m_waiting.size());
    if (isCold(now) && present >= m_options.coldLimit) {
        ++m_statistics.startedOverColdLimit;
        m_statistics.lastStartOverColdLimit = duration_cast<milliseconds>(now - m_coldSince);
    }
    if (m_leaving) {
        ++m_statistics.startedAfterLeaving;
        m_statistics.lastStartAfterLeaving = duration_cast<milliseconds>(now - m_leavingSince);
    }
}

EngineModel::GenerationPointer EngineModel::find(const std::string &id) const
{
    const auto found = m_generations.find(id);
    return found == m_generations.end() ? nullptr : found->second;
}

bool EngineModel::cancel(const std::string &id)
{
    const auto found = m_generations.find(id);
    if (found == m_generations.end()) {
        return false;
    }
    const auto work = found->second;
    std::erase(m_running, work);
    std::erase(m_waiting, work);
    work->state = Generation::State::Cancelled;
    m_generations.erase(found);
    return true;
}

std::chrono::microseconds EngineModel::step(MonotonicTime now)
{
    produceTokens(now);
    dropOld(now);
    makeRoomForGrowth();
    admit();
    m_prefixCache.shrinkTo(std::max<int64_t>(0, m_options.memoryTokens - memoryUsed()));
    if (m_running.empty()) {
        return std::chrono::microseconds(0);
    }
    const auto running = static_cast<int64_t>(m_running.size());
    m_statistics.maxRunning = std::max(m_statistics.maxRunning, running);
    if (isCold(now)) {
        m_statistics.maxRunningWhileCold = std::max(m_statistics.maxRunningWhileCold, running);
    }
    ++m_statistics.steps;
    return stepDuration(prefill(), now);
}

void EngineModel::produceTokens(MonotonicTime now)
{
    for (const auto &work : m_running) {
        if (work->prefillLeft > 0) {
            continue;
        }
        const auto &request = work->request;
        const TokenSource source(request.model, request.prompt, request.seed);
        work->tokens.push_back(source.tokenAt(static_cast<int64_t>(work->tokens.size())));
        ++m_statistics.tokensProduced;
        if (static_cast<int64_t>(work->tokens.size()) >= work->length) {
            work->state = Generation::State::Done;
            work->endedAt = now;
        }
    }
    std::erase_if(m_running, [](const Work &work) { return work->state == Generation::State::Done; });
}

void EngineModel::dropOld(MonotonicTime now)
{
    std::erase_if(m_generations,
                  [this, now](const auto &entry) { return entry.second->state == Generation::State::Done && now - entry.second->endedAt > m_options.keep; });
}

int64_t EngineModel::memoryUsed() const
{
    int64_t used = 0;
    for (const auto &work : m_running) {
        used += work->cacheTokens();
    }
    return used;
}

void EngineModel::makeRoomForGrowth()
{
    // A generation that is alone keeps running even if it does not fit, because cutting it short would change its output.
    while (m_running.size() > 1 && memoryUsed() + static_cast<int64_t>(m_running.size()) > m_options.memoryTokens) {
        preempt(victim(), nullptr);
    }
}

void EngineModel::admit()
{
    std::sort(m_waiting.begin(), m_waiting.end(), isBefore);
    size_t admitted = 0;
    // The bound is fixed, because preempted generations are appended on the way. They stay waiting in this step.
    const auto candidates = m_waiting.size();
    for (; admitted < candidates; ++admitted) {
        const auto work = m_waiting.at(admitted);
        if (m_running.size() >= m_options.maxBatch || !makeRoomFor(*work)) {
            break;
        }
        const auto hashes = promptPrefixHashes(work->request.model, work->request.prompt);
        // At least one token is computed, as the next token depends on it.
        work->prefillLeft = std::max<int64_t>(1, work->cacheTokens() - m_prefixCache.cachedTokens(hashes));
        m_prefixCache.use(hashes);
        work->state = Generation::State::Running;
        m_running.push_back(work);
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(admitted));
}

bool EngineModel::makeRoomFor(const Generation &generation)
{
    const auto fits = [this, &generation](int64_t freed, int64_t count) {
        const auto others = static_cast<int64_t>(m_running.size()) - count;
        return others == 0 || memoryUsed() - freed + others + generation.cacheTokens() + 1 <= m_options.memoryTokens;
    };
    int64_t freed = 0;
    int64_t count = 0;
    for (const auto &work : m_running) {
        if (work->request.priority < generation.request.priority) {
            freed += work->cacheTokens();
            ++count;
        }
    }
    if (!fits(freed, count)) {
        return false;
    }
    while (!fits(0, 0)) {
        preempt(victim(), &generation);
    }
    return true;
}

std::vector<EngineModel::Work>::iterator EngineModel::victim()
{
    return std::max_element(m_running.begin(), m_running.end(), isBefore);
}

void EngineModel::preempt(std::vector<Work>::iterator position, const Generation *beneficiary)
{
    const auto work = *position;
    m_running.erase(position);
    work->state = Generation::State::Waiting;
    m_waiting.push_back(work);
    ++m_statistics.preemptions;
    m_statistics.recomputedTokens += work->cacheTokens();
    if (!beneficiary && !m_running.empty()) {
        beneficiary = std::max_element(m_running.begin(), m_running.end(), [](const Work &a, const Work &b) { return a->order < b->order; })->get();
    }
    const auto workspace = beneficiary ? beneficiary->request.workspace : std::string();
    ++m_statistics.preemptionsBy[{work->request.workspace, work->request.priority, workspace}];
}

int64_t EngineModel::prefill()
{
    int64_t left = PrefillTokensPerStep;
    for (const auto &work : m_running) {
        const auto part = std::min(left, work->prefillLeft);
        work->prefillLeft -= part;
        left -= part;
    }
    return PrefillTokensPerStep - left;
}

std::chrono::microseconds EngineModel::stepDuration(int64_t prefilled, MonotonicTime now) const
{
    const auto running = static_cast<int64_t>(m_running.size());
    double factor = 1 + StepPerGeneration * static_cast<double>(running) + StepPerContextToken * static_cast<double>(memoryUsed());
    if (isCold(now) && running > m_options.coldLimit) {
        factor += ColdCollapse * static_cast<double>(running - m_options.coldLimit);
    }
    const auto base = static_cast<double>(m_options.baseStep.count());
    return std::chrono::microseconds(static_cast<int64_t>(base * factor) + MicrosecondsPerPrefillToken * prefilled);
}

void EngineModel::turnCold(MonotonicTime now, std::chrono::milliseconds duration)
{
    if (!isCold(now)) {
        m_coldSince = now;
    }
    m_coldUntil = now + duration;
    m_prefixCache.clear();
}

void EngineModel::startLeaving(MonotonicTime now)
{
    if (!m_leaving) {
        m_leavingSince = now;
    }
    m_leaving = true;
}

} // namespace Jujube
