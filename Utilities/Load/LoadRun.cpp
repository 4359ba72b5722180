#include <Load/LoadRun.h>

#include <absl/strings/str_cat.h>
#include <atomic>
#include <future>
#include <LibCore/Identifier.h>
#include <Load/GatewayDirectory.h>
#include <Load/Report.h>
#include <Load/StartProbe.h>
#include <Load/TimerQueue.h>

namespace Jujube
{

namespace
{

// Time between the preparation and the first arrival.
constexpr std::chrono::milliseconds LeadTime {200};
constexpr std::string_view DataCentreOut = "data_centre_out";
constexpr std::string_view DataCentreIn = "data_centre_in";
// A data centre that is taken out of service gets no new work after a few seconds (docs/design.md, section 2, I3).
constexpr std::chrono::seconds OutOfServiceGrace {5};

void announceFault(const LoadRun::Options &options, const ScenarioFault &fault, const std::vector<std::string> &failed)
{
    if (options.announce) {
        options.announce({{"at_ms", fault.at.count()}, {"action", fault.action}, {"data_centre", fault.dataCentre}, {"failed", failed}});
    }
}

// Runs functions that wait for answers outside the thread of the timers. Those that are running are waited for at destruction.
class Background
{
public:
    explicit Background(TimerQueue &timers)
        : m_timers(timers)
    {
    }

    void add(MonotonicTime due, std::function<void()> function)
    {
        m_timers.add(due, [this, function = std::move(function)] { m_running.push_back(std::async(std::launch::async, function)); });
    }

private:
    TimerQueue &m_timers;
    std::vector<std::future<void>> m_running;
};

void scheduleFaults(const LoadRun::Options &options, MonotonicTime begin, HttpClient &client, StartProbe &probe, Background &background)
{
    for (const auto &fault : options.scenario.faults) {
        background.add(begin + fault.at, [&options, &fault, &client, &probe] {
            if (fault.action == DataCentreIn) {
                probe.end(fault.dataCentre);
            }
            const auto failed = fault.body.empty() ? std::vector<std::string>() : injectFault(fault, options.engines, client);
            announceFault(options, fault, failed);
        });
        if (fault.action == DataCentreOut) {
            background.add(begin + fault.at + OutOfServiceGrace, [&fault, &probe] { probe.begin(fault.dataCentre); });
        }
    }
}

// One environment for each client. The callers refer to them.
std::vector<Caller::Environment> makeEnvironments(const LoadRun::Options &options,
                                                  const GatewayDirectory *directory,
                                                  TimerQueue &timers,
                                                  std::atomic<size_t> &finished,
                                                  std::vector<std::unique_ptr<HttpClient>> &clients)
{
    const auto chooseAddress = [&options, directory](uint64_t number, size_t failures) {
        return directory ? directory->choose(number, failures) : options.engines[number % options.engines.size()].address;
    };
    const auto later = [&timers](std::chrono::milliseconds delay, std::function<void()> function) { timers.add(monotonicNow() + delay, std::move(function)); };
    const auto onFinished = [&finished, &timers] {
        ++finished;
        timers.wake();
    };
    const auto runName = randomIdentifier();
    std::vector<Caller::Environment> environments;
    for (size_t i = 0; i < options.clients; ++i) {
        clients.push_back(std::make_unique<HttpClient>());
        environments.push_back({.client = *clients.back(),
                                .chooseAddress = chooseAddress,
                                .later = later,
                                .onFinished = onFinished,
                                .direct = directory == nullptr,
                                .runName = runName,
                                .patience = options.scenario.patience});
    }
    return environments;
}

} // namespace

nlohmann::json LoadRun::run(const Options &options)
{
    const auto &scenario = options.scenario;
    const auto arrivals = planArrivals(scenario, options.seed);
    std::unique_ptr<GatewayDirectory> directory;
    if (!options.gateways.empty()) {
        directory = std::make_unique<GatewayDirectory>(options.gateways, scenario.workspaces.front().key);
    }
    TimerQueue timers;
    std::atomic<size_t> finished = 0;
    HttpClient control;
    const auto before = readStatistics(options.engines, control);
    const auto begin = monotonicNow() + LeadTime;
    const MeasuringWindow window {.begin = begin + scenario.warmup, .end = begin + scenario.duration};
    std::vector<std::unique_ptr<HttpClient>> clients;
    const auto environments = makeEnvironments(options, directory.get(), timers, finished, clients);
    std::vector<std::unique_ptr<Caller>> callers;
    callers.reserve(arrivals.size());
    for (const auto &arrival : arrivals) {
        callers.push_back(std::make_unique<Caller>(environments[arrival.number % environments.size()], scenario, arrival));
        const auto due = begin + arrival.at;
        timers.add(due, [caller = callers.back().get(), due, window] { caller->begin(due, window); });
    }
    StartProbe probe(options.engines, control);
    auto background = std::make_unique<Background>(timers);
    scheduleFaults(options, begin, control, probe, *background);
    timers.run(begin + scenario.duration, [] { return false; });
    timers.run(begin + scenario.duration + scenario.drain, [&finished, &callers] { return finished == callers.size(); });
    // Ends the remaining streams; their callers count as unfinished.
    clients.clear();
    background.reset();
    std::vector<const CallerResult *> results;
    results.reserve(callers.size());
    for (const auto &caller : callers) {
        results.push_back(&caller->result());
    }
    const auto after = readStatistics(options.engines, control);
    auto report = Report({.scenario = scenario, .seed = options.seed, .begin = begin}).make(results, before, after);
    report["starts_while_out_of_service"] = probe.starts();
    return report;
}

} // namespace Jujube
