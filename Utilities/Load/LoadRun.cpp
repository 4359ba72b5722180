#include <Load/LoadRun.h>

#include <absl/strings/str_cat.h>
#include <atomic>
#include <future>
#include <LibCore/Identifier.h>
#include <Load/GatewayDirectory.h>
#include <Load/Report.h>
#include <Load/TimerQueue.h>

namespace Jujube
{

namespace
{

// Time between the preparation and the first arrival.
constexpr std::chrono::milliseconds LeadTime {200};

void announceFault(const LoadRun::Options &options, const ScenarioFault &fault, const std::vector<std::string> &failed)
{
    if (options.announce) {
        options.announce({{"at_ms", fault.at.count()}, {"action", fault.action}, {"data_centre", fault.dataCentre}, {"failed", failed}});
    }
}

void scheduleFaults(const LoadRun::Options &options, MonotonicTime begin, TimerQueue &timers, HttpClient &client, std::vector<std::future<void>> &injections)
{
    for (const auto &fault : options.scenario.faults) {
        timers.add(begin + fault.at, [&options, &fault, &client, &injections] {
            // Not on the thread of the timers, which must not wait for answers.
            injections.push_back(std::async(std::launch::async, [&options, &fault, &client] {
                const auto failed = fault.body.empty() ? std::vector<std::string>() : injectFault(fault, options.engines, client);
                announceFault(options, fault, failed);
            }));
        });
    }
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
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::vector<Caller::Environment> environments;
    environments.reserve(options.clients);
    const auto runName = randomIdentifier();
    for (size_t i = 0; i < options.clients; ++i) {
        clients.push_back(std::make_unique<HttpClient>());
        environments.push_back({
            .client = *clients.back(),
            .chooseAddress =
                [&options, &directory](uint64_t number, size_t failures) {
                    return directory ? directory->choose(number, failures) : options.engines[number % options.engines.size()].address;
                },
            .later = [&timers](std::chrono::milliseconds delay, std::function<void()> function) { timers.add(monotonicNow() + delay, std::move(function)); },
            .onFinished =
                [&finished, &timers] {
                    ++finished;
                    timers.wake();
                },
            .direct = directory == nullptr,
            .runName = runName,
            .patience = scenario.patience,
        });
    }
    const auto before = readStatistics(options.engines, control);
    const auto begin = monotonicNow() + LeadTime;
    const MeasuringWindow window {.begin = begin + scenario.warmup, .end = begin + scenario.duration};
    std::vector<std::unique_ptr<Caller>> callers;
    callers.reserve(arrivals.size());
    for (const auto &arrival : arrivals) {
        callers.push_back(std::make_unique<Caller>(environments[arrival.number % environments.size()], scenario, arrival));
        const auto due = begin + arrival.at;
        timers.add(due, [caller = callers.back().get(), due, window] { caller->begin(due, window); });
    }
    std::vector<std::future<void>> injections;
    scheduleFaults(options, begin, timers, control, injections);
    timers.run(begin + scenario.duration, [] { return false; });
    timers.run(begin + scenario.duration + scenario.drain, [&finished, &callers] { return finished == callers.size(); });
    // Ends the remaining streams; their callers count as unfinished.
    clients.clear();
    injections.clear();
    const auto after = readStatistics(options.engines, control);
    std::vector<const CallerResult *> results;
    results.reserve(callers.size());
    for (const auto &caller : callers) {
        results.push_back(&caller->result());
    }
    return Report({.scenario = scenario, .seed = options.seed, .begin = begin}).make(results, before, after);
}

} // namespace Jujube
