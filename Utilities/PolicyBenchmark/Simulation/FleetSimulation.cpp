#include "FleetSimulation.h"

#include <LibPolicy/SplitMix.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>

namespace Jujube
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds Tick {50};
constexpr milliseconds StallThreshold {200};
// Tokens that an engine prefills per tick and generation.
constexpr int64_t PrefillTokensPerTick = 400;
// An engine admits a generation only if its memory divided by this stays free, so that it does not preempt the generation at once.
constexpr int64_t WatermarkDivisor = 100;
constexpr int MaxRejections = 6;
constexpr int PayingWorkspaces = 7;
constexpr int Workspaces = 10;
constexpr int DataCentres = 3;
constexpr double MeanPrompt = 300;

struct Job {
    PlacementRequest request;
    WorkClass workClass = WorkClass::PayingDraft;
    int gateway = 0;
    int64_t length = 0;
    int64_t produced = 0;
    int rejections = 0;
    MonotonicTime arrived;
    MonotonicTime lastToken;
    MonotonicTime nextPlacement;
    bool hasGivenUp = false;
    int engine = -1;
    uint64_t admitted = 0;
    // Tokens that still have to be prefilled before the next token is produced.
    int64_t prefillLeft = 0;

    int64_t memory() const
    {
        return request.promptTokens + produced;
    }
};

struct Engine {
    std::vector<Job *> running;
    std::vector<Job *> waiting;
    int64_t used = 0;
    uint64_t preemptions = 0;
    std::deque<LoadReport> history;
};

class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_engines(options.engines)
    {
        for (int i = 0; i < options.gateways; ++i) {
            m_policies.push_back(makePlacementPolicy(options.placement));
            m_policies.back()->setLiveGateways(options.gateways);
            addTargets(*m_policies.back());
        }
    }

    SimulationResult run()
    {
        const auto end = m_start + m_options.warmUp + m_options.length;
        const auto outage = m_start + m_options.warmUp + m_options.length / 3;
        for (m_now = m_start; m_now < end; m_now += Tick) {
            if (m_options.outage.count() > 0) {
                const bool out = m_now >= outage && m_now < outage + m_options.outage;
                for (auto &policy : m_policies) {
                    policy->fleet().setDataCentreOut("dc0", out, m_now);
                }
            }
            addArrivals();
            retryPlacements();
            for (auto &engine : m_engines) {
                step(engine);
            }
            report();
            if (++m_ticks % (m_options.moveInterval / Tick) == 0) {
                move();
            }
        }
        m_result.firstTokenP95 = percentile(m_firstTokens, 0.95);
        m_result.trialFirstTokenP95 = percentile(m_trialFirstTokens, 0.95);
        m_result.gapP99 = percentile(m_gaps, 0.99);
        return m_result;
    }

private:
    bool isMeasured() const
    {
        return m_now >= m_start + m_options.warmUp;
    }

    static double percentile(std::vector<double> &values, double part)
    {
        if (values.empty()) {
            return 0;
        }
        const auto position = values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
        std::ranges::nth_element(values, position);
        return *position;
    }

    void addTargets(PlacementPolicy &policy) const
    {
        for (size_t i = 0; i < m_engines.size(); ++i) {
            const auto dataCentre = "dc" + std::to_string(i % DataCentres);
            policy.fleet().setTarget({.name = std::to_string(i), .dataCentre = dataCentre, .region = dataCentre, .models = {"m"}});
        }
    }

    void addArrivals()
    {
        std::poisson_distribution<int> arrivals(m_options.rate * std::chrono::duration<double>(Tick).count());
        std::uniform_real_distribution<double> unit;
        for (int i = arrivals(m_random); i > 0; --i) {
            auto job = std::make_unique<Job>();
            const bool trial = unit(m_random) < m_options.trialShare;
            const bool suggestion = unit(m_random) < m_options.suggestionShare;
            // A few workspaces send most of the requests.
            const int paying = static_cast<int>(PayingWorkspaces * unit(m_random) * unit(m_random));
            const int workspace = trial ? PayingWorkspaces + static_cast<int>((Workspaces - PayingWorkspaces) * unit(m_random)) : paying;
            const double median = suggestion ? 40 : 250 * (1 + workspace % 4);
            std::lognormal_distribution<double> lengths(std::log(median), suggestion ? 0.6 : 0.8);
            std::lognormal_distribution<double> prompts(std::log(MeanPrompt), 0.5);
            job->length = std::clamp<int64_t>(static_cast<int64_t>(lengths(m_random)), 1, 10000);
            job->gateway = static_cast<int>(m_options.gateways * unit(m_random));
            job->arrived = m_now;
            auto &request = job->request;
            request.id = std::to_string(++m_sequence);
            request.workspace = "w" + std::to_string(workspace);
            request.tier = trial ? WorkspaceTier::Trial : WorkspaceTier::Paying;
            request.kind = suggestion ? GenerationKind::Suggestion : GenerationKind::Draft;
            request.model = "m";
            request.promptTokens = std::clamp<int64_t>(static_cast<int64_t>(prompts(m_random)), 10, 3000);
            request.dataCentre = "dc" + std::to_string(job->gateway % DataCentres);
            request.region = request.dataCentre;
            job->workClass = workClassOf(request.tier, request.kind);
            place(*job);
            m_jobs.emplace(request.id, std::move(job));
        }
    }

    void place(Job &job)
    {
        auto &policy = *m_policies[job.gateway];
        const auto decision = policy.place(job.request, m_now, m_random());
        if (const auto *placed = std::get_if<PlaceOnTarget>(&decision)) {
            job.engine = std::stoi(placed->target);
            job.prefillLeft = job.memory();
            m_engines[job.engine].waiting.push_back(&job);
        } else if (const auto *wait = std::get_if<WaitUntil>(&decision)) {
            job.nextPlacement = wait->time;
            m_scheduledPlacements.emplace(job.nextPlacement, job.request.id);
        } else {
            if (isMeasured()) {
                ++m_result.rejected[indexOf(job.workClass)];
            }
            const auto retry = std::get<RejectRequest>(decision).retryAfter;
            if (++job.rejections > MaxRejections) {
                if (isMeasured()) {
                    ++m_result.givenUp[indexOf(job.workClass)];
                }
                job.hasGivenUp = true;
                m_givenUpIds.push_back(job.request.id);
                return;
            }
            job.nextPlacement = m_now + retry;
            m_scheduledPlacements.emplace(job.nextPlacement, job.request.id);
        }
    }

    // Places a request that still waits. A time that was scheduled by an earlier decision than the last one is ignored.
    void placeIfWaiting(const std::string &id, std::optional<MonotonicTime> due = std::nullopt)
    {
        const auto known = m_jobs.find(id);
        const bool isVoid = known == m_jobs.end() || known->second->hasGivenUp || (due && *due != known->second->nextPlacement);
        if (!isVoid && known->second->engine < 0) {
            place(*known->second);
        }
    }

    void retryPlacements()
    {
        for (auto &policy : m_policies) {
            for (auto ready = policy->takeReady(m_now); !ready.empty(); ready = policy->takeReady(m_now)) {
                for (const auto &id : ready) {
                    placeIfWaiting(id);
                }
            }
        }
        while (!m_scheduledPlacements.empty() && m_scheduledPlacements.begin()->first <= m_now) {
            const auto [due, id] = *m_scheduledPlacements.begin();
            m_scheduledPlacements.erase(m_scheduledPlacements.begin());
            placeIfWaiting(id, due);
        }
        for (const auto &id : m_givenUpIds) {
            m_jobs.erase(id);
        }
        m_givenUpIds.clear();
    }

    void step(Engine &engine)
    {
        admit(engine);
        for (size_t i = 0; i < engine.running.size(); ++i) {
            auto &job = *engine.running[i];
            if (job.prefillLeft > 0) {
                job.prefillLeft -= PrefillTokensPerTick;
                continue;
            }
            produce(engine, job);
            if (job.produced >= job.length) {
                finish(engine, i--);
            }
        }
        while (engine.used > m_options.memory) {
            preempt(engine);
        }
    }

    void admit(Engine &engine)
    {
        std::ranges::stable_sort(engine.waiting, {}, [](const Job *job) { return job->workClass; });
        while (!engine.waiting.empty() && engine.used + engine.waiting.front()->memory() + m_options.memory / WatermarkDivisor <= m_options.memory) {
            auto *job = engine.waiting.front();
            engine.waiting.erase(engine.waiting.begin());
            engine.used += job->memory();
            job->admitted = ++m_sequence;
            engine.running.push_back(job);
        }
    }

    void produce(Engine &engine, Job &job)
    {
        const bool payingDraft = job.workClass == WorkClass::PayingDraft;
        const std::chrono::duration<double> gap = m_now - (job.produced == 0 ? job.arrived : job.lastToken);
        if (isMeasured() && job.produced == 0) {
            (payingDraft ? m_firstTokens : m_trialFirstTokens).push_back(gap.count());
        } else if (isMeasured() && payingDraft) {
            m_gaps.push_back(1000 * gap.count());
            m_result.stallSeconds += std::max(0.0, gap.count() - std::chrono::duration<double>(StallThreshold).count());
        }
        ++job.produced;
        ++engine.used;
        job.lastToken = m_now;
        m_policies[job.gateway]->tokensProduced(job.request.id, 1, m_now);
    }

    void finish(Engine &engine, size_t position)
    {
        auto &job = *engine.running[position];
        engine.running.erase(engine.running.begin() + static_cast<std::ptrdiff_t>(position));
        engine.used -= job.memory();
        if (isMeasured()) {
            ++m_result.finished[indexOf(job.workClass)];
            m_result.usefulTokens += job.length;
        }
        m_policies[job.gateway]->generationFinished(job.request.id, m_now);
        m_jobs.erase(std::string(job.request.id));
    }

    void preempt(Engine &engine)
    {
        const auto victim = std::ranges::max_element(engine.running, {}, [](const Job *job) { return std::make_pair(job->workClass, job->admitted); });
        auto *job = *victim;
        engine.running.erase(victim);
        engine.used -= job->memory();
        job->prefillLeft = job->memory();
        engine.waiting.push_back(job);
        ++engine.preemptions;
        if (isMeasured()) {
            ++m_result.preempted[indexOf(job->workClass)];
        }
    }

    void move()
    {
        for (auto &policy : m_policies) {
            for (const auto &advice : policy->adviseMoves(m_now, m_random())) {
                moveOne(*policy, *m_jobs.at(advice.id));
            }
        }
    }

    void moveOne(PlacementPolicy &policy, Job &job)
    {
        auto request = job.request;
        request.producedTokens = job.produced;
        request.accepted = true;
        request.excludedTargets = {std::to_string(job.engine)};
        const auto decision = policy.place(request, m_now, m_random());
        const auto *placed = std::get_if<PlaceOnTarget>(&decision);
        if (placed == nullptr) {
            policy.abandoned(request.id, m_now);
            return;
        }
        auto &old = m_engines[job.engine];
        if (std::erase(old.running, &job) > 0) {
            old.used -= job.memory();
        }
        std::erase(old.waiting, &job);
        job.engine = std::stoi(placed->target);
        job.prefillLeft = job.memory();
        m_engines[job.engine].waiting.push_back(&job);
        if (isMeasured()) {
            ++m_result.moved[indexOf(job.workClass)];
        }
    }

    void report()
    {
        // Load reports reach the gateways two ticks after they were measured.
        constexpr size_t LagTicks = 2;
        for (size_t i = 0; i < m_engines.size(); ++i) {
            auto &engine = m_engines[i];
            engine.history.push_back({.incarnation = 1,
                                      .running = static_cast<int>(engine.running.size()),
                                      .waiting = static_cast<int>(engine.waiting.size()),
                                      .memoryUsed = engine.used,
                                      .memoryLimit = m_options.memory,
                                      .preemptions = engine.preemptions});
            if (engine.history.size() <= LagTicks) {
                continue;
            }
            engine.history.pop_front();
            for (size_t gateway = 0; gateway < m_policies.size(); ++gateway) {
                if ((m_ticks + i + 3 * gateway) % (m_options.reportInterval / Tick) == 0) {
                    m_policies[gateway]->loadReported(std::to_string(i), engine.history.front(), LagTicks * Tick, m_now);
                }
            }
        }
    }

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<PlacementPolicy>> m_policies;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::multimap<MonotonicTime, std::string> m_scheduledPlacements;
    std::vector<std::string> m_givenUpIds;
    const MonotonicTime m_start {std::chrono::hours(1)};
    MonotonicTime m_now;
    uint64_t m_sequence = 0;
    size_t m_ticks = 0;
    SimulationResult m_result;
    std::vector<double> m_firstTokens;
    std::vector<double> m_trialFirstTokens;
    std::vector<double> m_gaps;
};

} // namespace

SimulationResult runSimulation(const SimulationOptions &options)
{
    return Simulation(options).run();
}

} // namespace Jujube
