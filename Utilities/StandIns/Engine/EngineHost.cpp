#include <StandIns/Engine/EngineHost.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>
#include <StandIns/Engine/TokenSource.h>
#include <unistd.h>

namespace Jujube
{

using std::chrono::milliseconds;

namespace
{

constexpr size_t KeptCacheEvents = 4096;
// Cache events are best effort: one in this many is lost.
constexpr uint64_t CacheEventLossInterval = 50;
// After a pause of the process, the steps that it missed are not made up for.
constexpr milliseconds LargestStepDelay {100};
constexpr int CrashExitCode = 70;

} // namespace

EngineHost::EngineHost(Options options)
    : m_options(std::move(options))
    , m_model(m_options.model)
    , m_models(m_options.models.begin(), m_options.models.end())
{
    const auto now = monotonicNow();
    if (m_options.cold.count() > 0) {
        m_model.turnCold(now, m_options.cold);
    }
    refreshReport(now);
    m_thread = std::thread([this] { run(); });
}

EngineHost::~EngineHost()
{
    stop();
    m_thread.join();
}

void EngineHost::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_wake.notify_all();
    m_output.notify_all();
}

absl::StatusOr<EngineModel::GenerationPointer> EngineHost::submit(GenerationRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (!m_models.contains(request.model)) {
        return makeError(ErrorKind::UnknownModel, absl::StrCat("the engine has no model \"", request.model, "\""));
    }
    const auto now = monotonicNow();
    auto generation = m_model.submit(std::move(request), now);
    if (!generation) {
        return makeError(ErrorKind::VersionConflict, "the engine runs a later attempt of this generation");
    }
    if (!m_crashPrompt.empty() && generation->request.prompt.find(m_crashPrompt) != std::string::npos) {
        m_crashing.push_back(generation);
    }
    if (!m_stepDue) {
        m_stepDue = now;
    }
    m_wake.notify_all();
    m_output.notify_all();
    return generation;
}

EngineModel::GenerationPointer EngineHost::find(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_model.find(id);
}

bool EngineHost::cancel(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const bool found = m_model.cancel(id);
    m_output.notify_all();
    return found;
}

uint64_t EngineHost::connectionEpoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_silenceEpoch;
}

EngineHost::Output EngineHost::waitForOutput(const Generation &generation, size_t from, uint64_t epoch, milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    const auto ended = [&generation] { return generation.state == Generation::State::Done || generation.state == Generation::State::Cancelled; };
    const auto silenced = [this, epoch] { return epoch < m_silenceEpoch; };
    m_output.wait_for(lock, timeout, [&] { return m_stopping || (!silenced() && (ended() || generation.tokens.size() > from)); });
    Output output {.silenced = silenced(), .cold = m_model.isCold(monotonicNow()), .splitLines = m_linesSplit};
    output.aborted = m_stopping || generation.state == Generation::State::Cancelled;
    if (output.aborted || output.silenced) {
        return output;
    }
    if (generation.tokens.size() > from) {
        output.tokens.assign(generation.tokens.begin() + static_cast<std::ptrdiff_t>(from), generation.tokens.end());
    }
    output.done = generation.state == Generation::State::Done;
    return output;
}

void EngineHost::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto now = monotonicNow();
        if (m_stepDue && *m_stepDue <= now) {
            runDueStep(now);
        }
        if (m_reportDue <= now) {
            refreshReport(now);
        }
        crashIfDue(now);
        m_wake.wait_until(lock, m_stepDue ? std::min(*m_stepDue, m_reportDue) : m_reportDue);
    }
}

void EngineHost::runDueStep(MonotonicTime now)
{
    const auto duration = m_model.step(now);
    publishCacheEvents(now);
    m_output.notify_all();
    if (duration.count() == 0) {
        m_stepDue.reset();
        return;
    }
    // Counted from the due time, so that late wake-ups do not add up.
    const auto start = now - *m_stepDue < LargestStepDelay ? *m_stepDue : now;
    m_stepDue = start + duration;
}

void EngineHost::refreshReport(MonotonicTime now)
{
    m_reportDue = now + m_options.reportInterval;
    if (m_reportsFrozen) {
        return;
    }
    m_report = {
        {"name", m_options.name},
        {"incarnation", m_options.incarnation},
        {"running", m_model.running()},
        {"waiting", m_model.waiting()},
        {"memory_used", m_model.memoryUsed()},
        {"memory_limit", m_options.model.memoryTokens},
        {"cold", m_model.isCold(now)},
        {"leaving", m_model.isLeaving()},
        {"models", m_models},
        {"versions", m_versions},
        {"role", m_role},
        {"preemptions", m_model.statistics().preemptions},
    };
}

void EngineHost::publishCacheEvents(MonotonicTime now)
{
    for (auto &event : m_model.takeCacheEvents()) {
        const bool lost = (event.sequence + m_options.seed) % CacheEventLossInterval == 0;
        if (!lost && !m_cacheEventsDropped) {
            m_cacheEvents.push_back({std::move(event), now + m_options.reportInterval});
        }
    }
    while (m_cacheEvents.size() > KeptCacheEvents) {
        m_cacheEvents.pop_front();
    }
}

void EngineHost::crashIfDue(MonotonicTime now) const
{
    const auto hasRun
        = [](const auto &generation) { return generation->tokens.size() > generation->givenTokens && generation->state != Generation::State::Cancelled; };
    if (std::any_of(m_crashing.begin(), m_crashing.end(), hasRun)) {
        _exit(CrashExitCode);
    }
    if (m_exitDue && *m_exitDue <= now) {
        _exit(0);
    }
}

nlohmann::json EngineHost::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_report;
}

nlohmann::json EngineHost::cacheEventsAfter(uint64_t sequence) const
{
    const std::lock_guard lock(m_mutex);
    const auto now = monotonicNow();
    auto events = nlohmann::json::array();
    for (const auto &[event, visibleFrom] : m_cacheEvents) {
        if (event.sequence > sequence && visibleFrom <= now) {
            events.push_back({{"seq", event.sequence}, {"kind", event.stored ? "stored" : "evicted"}, {"prefix", event.prefix}});
        }
    }
    return {{"events", events}};
}

nlohmann::json EngineHost::statistics() const
{
    const std::lock_guard lock(m_mutex);
    const auto &counts = m_model.statistics();
    auto preemptions = nlohmann::json::array();
    for (const auto &[key, count] : counts.preemptionsBy) {
        const auto &[workspace, priority, beneficiary] = key;
        preemptions.push_back({{"workspace", workspace}, {"priority", priority}, {"beneficiary", beneficiary}, {"count", count}});
    }
    return {
        {"name", m_options.name},
        {"incarnation", m_options.incarnation},
        {"generations", counts.generations},
        {"tokens_produced", counts.tokensProduced},
        {"recomputed_tokens", counts.recomputedTokens},
        {"steps", counts.steps},
        {"max_running", counts.maxRunning},
        {"max_running_while_cold", counts.maxRunningWhileCold},
        {"cold_limit", m_options.model.coldLimit},
        {"started_over_cold_limit", counts.startedOverColdLimit},
        {"last_start_over_cold_limit_ms", counts.lastStartOverColdLimit.count()},
        {"started_after_leaving", counts.startedAfterLeaving},
        {"last_start_after_leaving_ms", counts.lastStartAfterLeaving.count()},
        {"preemptions", counts.preemptions},
        {"preemptions_by", preemptions},
        {"orders_accepted", m_ordersAccepted},
        {"orders_rejected", m_ordersRejected},
        {"orders_out_of_date", m_ordersOutOfDate},
        {"highest_fencing", m_highestFencing},
    };
}

} // namespace Jujube
