#include "PolicyFixture.h"

#include <LibPolicy/RetryBudget.h>

#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace Jujube
{

namespace
{

// RapidCheck reads its settings once, at the first property. The seed is fixed unless the environment sets another one.
[[maybe_unused]] const int SeedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);

constexpr size_t Targets = 6;
constexpr int ColdLimit = 3;

// Drives a policy with random changes of the fleet and random requests, and keeps its own model of which targets may be chosen.
class Driver
{
public:
    Driver(PlacementPolicyKind kind, uint64_t seed)
        : m_random(seed)
        , m_fixture(Targets, optionsFor(kind), ColdLimit)
    {
    }

    void step()
    {
        m_fixture.now += std::chrono::milliseconds(m_random.below(400));
        switch (m_random.below(8)) {
        case 0:
            reportLoad();
            break;
        case 1:
            changeDataCentre();
            break;
        case 2:
            changeVm();
            break;
        case 3:
            changePermits();
            break;
        case 4:
            endRandomGeneration();
            break;
        default:
            request();
        }
    }

    // All decisions in order.
    std::vector<std::string> log;
    std::vector<std::string> violations;

private:
    struct Target {
        uint64_t incarnation = 1;
        uint64_t vmIncarnation = 1;
        bool leavingByReport = false;
        bool leavingByVm = false;
        bool cold = false;
        MonotonicTime reported;
        int permits = 0;
        int running = 0;
        int own = 0;
    };

    static PlacementOptions optionsFor(PlacementPolicyKind kind)
    {
        PlacementOptions options;
        options.kind = kind;
        return options;
    }

    size_t randomTarget()
    {
        return m_random.below(Targets);
    }

    void reportLoad()
    {
        const auto index = randomTarget();
        auto &target = m_targets[index];
        if (m_random.below(6) == 0) {
            ++target.incarnation;
            target.leavingByReport = false;
        }
        target.leavingByReport = target.leavingByReport || m_random.below(10) == 0;
        target.cold = m_random.below(3) == 0;
        target.running = static_cast<int>(m_random.below(4));
        m_fixture.report(index,
                         {.incarnation = target.incarnation,
                          .running = target.running,
                          .memoryUsed = m_random.below(10000),
                          .cold = target.cold,
                          .leaving = target.leavingByReport && m_random.below(2) == 0});
        if (m_random.below(2) == 0 && target.leavingByReport) {
            // Ensures that the policy has received the flag at least once.
            m_fixture.report(index, {.incarnation = target.incarnation, .running = target.running, .cold = target.cold, .leaving = true});
        } else {
            target.leavingByReport = m_fixture.policy->fleet().target(static_cast<TargetIndex>(index)).leavingByReport;
        }
        target.reported = m_fixture.now;
    }

    void changeDataCentre()
    {
        const std::string name = m_random.below(2) == 0 ? "lahore" : "karachi";
        m_out[name] = m_random.below(2) == 0;
        m_fixture.policy->fleet().setDataCentreOut(name, m_out[name], m_fixture.now);
    }

    void changeVm()
    {
        const auto index = randomTarget();
        auto &target = m_targets[index];
        const bool isNew = m_random.below(3) == 0;
        const bool leaving = m_random.below(3) == 0;
        target.vmIncarnation += isNew ? 1 : 0;
        target.leavingByVm = leaving || (target.leavingByVm && !isNew);
        m_fixture.policy->fleet().setVmState("t" + std::to_string(index), target.vmIncarnation, leaving);
    }

    void changePermits()
    {
        const auto index = randomTarget();
        m_targets[index].permits = static_cast<int>(m_random.below(ColdLimit + 2));
        m_fixture.policy->fleet().setColdPermits("t" + std::to_string(index), m_targets[index].permits);
    }

    void endRandomGeneration()
    {
        if (m_running.empty()) {
            return;
        }
        const auto entry = std::next(m_running.begin(), m_random.below(static_cast<uint32_t>(m_running.size())));
        --m_targets[entry->second].own;
        m_fixture.policy->tokensProduced(entry->first, m_random.below(2000), m_fixture.now);
        if (m_random.below(3) == 0) {
            m_fixture.policy->generationFailed(entry->first, FailureReason::Cancelled, m_fixture.now);
        } else {
            m_fixture.policy->generationFinished(entry->first, m_fixture.now);
        }
        m_running.erase(entry);
    }

    void request()
    {
        const auto number = m_random.below(200);
        auto placementRequest
            = m_fixture.request("r" + std::to_string(number), number % 3 == 0 ? WorkspaceTier::Trial : WorkspaceTier::Paying, "w" + std::to_string(number % 5));
        placementRequest.kind = number % 2 == 0 ? GenerationKind::Draft : GenerationKind::Suggestion;
        placementRequest.accepted = number % 7 == 0;
        placementRequest.prefixHashes = {number % 4};
        if (m_running.contains(placementRequest.id)) {
            return;
        }
        placementRequest.excludedTargets = {"t" + std::to_string(randomTarget())};
        m_fixture.policy->prefixStored("t" + std::to_string(randomTarget()), number % 4);
        const auto result = m_fixture.place(placementRequest);
        log.push_back(placementRequest.id + " " + result);
        if (result == "wait" || result == "reject") {
            return;
        }
        const size_t index = std::stoul(result.substr(1));
        check(placementRequest, index);
        ++m_targets[index].own;
        m_running[placementRequest.id] = index;
    }

    void check(const PlacementRequest &placementRequest, size_t index)
    {
        const auto &target = m_targets[index];
        const auto &description = m_fixture.policy->fleet().target(static_cast<TargetIndex>(index)).description;
        const auto require = [&](bool holds, const std::string &text) {
            if (!holds) {
                violations.push_back(placementRequest.id + " on " + description.name + ": " + text);
            }
        };
        require(!target.leavingByReport && !target.leavingByVm, "is leaving");
        require(!m_out[description.dataCentre], "is out of service");
        require(description.name != placementRequest.excludedTargets.front(), "is excluded");
        const bool stale = target.reported != MonotonicTime() && m_fixture.now - target.reported > LoadReportLifetime;
        if (target.cold || stale) {
            require(target.own < target.permits, "has no permit");
            require(std::max(target.own, target.running) < ColdLimit, "is at its cold limit");
        }
    }

    SplitMix m_random;
    PolicyFixture m_fixture;
    std::array<Target, Targets> m_targets;
    std::map<std::string, bool> m_out;
    std::map<std::string, size_t> m_running;
};

// One engine whose generations take several seconds, and workspaces whose callers retry at the time that they are given.
struct BusyEngine {
    PolicyFixture fixture {1};
    SplitMix random;
    std::multimap<MonotonicTime, PlacementRequest> scheduledRequests;
    std::multimap<MonotonicTime, std::string> ends;
    std::map<std::string, int> served;
    int64_t used = 0;

    explicit BusyEngine(uint64_t seed)
        : random(seed)
    {
    }

    void place(const PlacementRequest &placementRequest)
    {
        const auto decision = fixture.policy->place(placementRequest, fixture.now, random.next());
        if (std::holds_alternative<PlaceOnTarget>(decision)) {
            ++served[placementRequest.workspace];
            used += placementRequest.promptTokens;
            ends.emplace(fixture.now + std::chrono::seconds(5 + random.below(20)), placementRequest.id);
            auto next = placementRequest;
            next.id += "+";
            scheduledRequests.emplace(fixture.now + 10ms, next);
        } else if (const auto *wait = std::get_if<WaitUntil>(&decision)) {
            scheduledRequests.emplace(wait->time, placementRequest);
        } else {
            scheduledRequests.emplace(fixture.now + std::get<RejectRequest>(decision).retryAfter, placementRequest);
        }
    }

    void run(std::chrono::seconds length)
    {
        for (const auto end = fixture.now + length; fixture.now < end; fixture.now += 50ms) {
            while (!ends.empty() && ends.begin()->first <= fixture.now) {
                const auto id = ends.begin()->second;
                used -= fixture.policy->own(id)->promptTokens;
                fixture.policy->tokensProduced(id, 200, fixture.now);
                fixture.policy->generationFinished(id, fixture.now);
                ends.erase(ends.begin());
            }
            // The report advances the time of the fixture by 300 ms.
            fixture.report(0, {.running = static_cast<int>(ends.size()), .memoryUsed = used});
            while (!scheduledRequests.empty() && scheduledRequests.begin()->first <= fixture.now) {
                const auto placementRequest = scheduledRequests.begin()->second;
                scheduledRequests.erase(scheduledRequests.begin());
                place(placementRequest);
            }
        }
    }
};

} // namespace

// Guards against a placement on a target that is leaving, out of service, excluded, or cold without a permit or above its limit, under any policy.
RC_GTEST_PROP(Properties, NeverPlacesOnForbiddenTargets, (uint64_t seed))
{
    for (const auto kind : {PlacementPolicyKind::RoundRobin,
                            PlacementPolicyKind::LeastOutstanding,
                            PlacementPolicyKind::LeastReportedMemory,
                            PlacementPolicyKind::MemoryForecast}) {
        Driver driver(kind, seed);
        for (int i = 0; i < 300; ++i) {
            driver.step();
        }
        RC_ASSERT(driver.violations == std::vector<std::string> {});
    }
}

// Guards against decisions that depend on a clock, on addresses or on the order of a hash map.
RC_GTEST_PROP(Properties, SameInputsGiveTheSameDecisions, (uint64_t seed))
{
    Driver first(PlacementPolicyKind::MemoryForecast, seed);
    Driver second(PlacementPolicyKind::MemoryForecast, seed);
    for (int i = 0; i < 300; ++i) {
        first.step();
        second.step();
    }
    RC_ASSERT(first.log == second.log);
}

// Guards against trial work in memory that paying drafts are forecast to need: trial work must leave free at least the part of the peak paying demand that is
// not yet on the target.
RC_GTEST_PROP(Properties, TrialLeavesTheForecastPayingDemandFree, (uint64_t seed))
{
    SplitMix random(seed);
    PolicyFixture fixture(Targets);
    std::array<int64_t, Targets> used {};
    // The survey in the second round includes all reports of the first.
    for (int round = 0; round < 2; ++round) {
        for (size_t i = 0; i < Targets; ++i) {
            if (round == 0) {
                // One target has lost most of its work, for example by a restart.
                used[i] = i == 0 ? random.below(2000) : 5000 + random.below(4500);
            }
            fixture.report(i, {.running = 10, .memoryUsed = used[i]});
        }
    }
    // All of it is assumed to be paying work, because the gateway has no trial work of its own.
    const int64_t demand = std::accumulate(used.begin(), used.end(), int64_t {0}) / static_cast<int64_t>(Targets);
    auto trial = fixture.request("trial", WorkspaceTier::Trial, "trial");
    trial.promptTokens = 100 + random.below(5000);
    const auto result = fixture.place(trial);
    if (result != "wait" && result != "reject") {
        const size_t index = std::stoul(result.substr(1));
        const int64_t missing = std::max<int64_t>(0, demand - used[index]);
        RC_ASSERT(used[index] + trial.promptTokens <= 10000 - missing);
    }
}

// Guards against starvation: with paying work that would fill the engine several times over, every workspace of every class is served again and again.
RC_GTEST_PROP(Properties, NoWorkspaceStarves, (uint64_t seed))
{
    BusyEngine engine(seed);
    for (int i = 0; i < 60; ++i) {
        auto placementRequest = engine.fixture.request("r" + std::to_string(i), WorkspaceTier::Paying, "paying" + std::to_string(i % 3));
        placementRequest.promptTokens = 600;
        engine.scheduledRequests.emplace(engine.fixture.now, placementRequest);
    }
    for (const std::string workspace : {"trial0", "trial1"}) {
        auto placementRequest = engine.fixture.request(workspace, WorkspaceTier::Trial, workspace);
        placementRequest.promptTokens = 600;
        engine.scheduledRequests.emplace(engine.fixture.now, placementRequest);
    }
    engine.run(300s);
    const auto before = engine.served;
    engine.run(600s);
    for (const std::string workspace : {"paying0", "paying1", "paying2", "trial0", "trial1"}) {
        RC_ASSERT(engine.served[workspace] > (before.contains(workspace) ? before.at(workspace) : 0));
    }
    RC_ASSERT(engine.served["paying0"] > engine.served["trial0"]);
}

// Guards against a retry storm: for every order of successes and failures, the retries of all gateways stay below the share of the successes plus the minimum
// rate.
RC_GTEST_PROP(Properties, BudgetsBoundRetries, (uint64_t seed))
{
    constexpr int Gateways = 5;
    SplitMix random(seed);
    const RetryBudgetOptions options;
    std::array<RetryBudget, Gateways> budgets;
    MonotonicTime now = Start;
    int successes = 0;
    int retries = 0;
    const auto percentFailing = random.below(101);
    for (int i = 0; i < 5000; ++i) {
        now += std::chrono::milliseconds(random.below(5));
        auto &budget = budgets[random.below(Gateways)];
        if (random.below(100) < percentFailing) {
            retries += budget.tryRetry(Gateways, now) ? 1 : 0;
        } else {
            budget.recordSuccess();
            ++successes;
        }
    }
    const double seconds = std::chrono::duration<double>(now - Start).count();
    RC_ASSERT(retries <= options.share * successes + options.minRetriesPerSecond * (seconds + 1) + Gateways);
}

} // namespace Jujube
