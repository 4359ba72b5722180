#include "PlannedWorld.h"

#include "../../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds TickInterval {20};
constexpr std::chrono::milliseconds ReadyTimeout {20000};
constexpr std::chrono::milliseconds ReadyTimeoutPerRelay {100};
constexpr std::chrono::milliseconds CalmStart {1500};
// Time for the last stops and requests.
constexpr std::chrono::milliseconds LastRequests {16000};
// A relay is stopped again at the earliest this long after its start.
constexpr std::chrono::milliseconds LeastRunningTime {4000};
constexpr double RetrySlack = 50;
constexpr int EventsOfGeneration = 30;

constexpr std::array DataCentres {"lahore-a", "karachi-a", "islamabad-a"};
constexpr const char *Regions = "lahore-a:lahore,karachi-a:karachi,islamabad-a:islamabad";
constexpr std::array RegionNames {"lahore", "karachi", "islamabad"};

std::chrono::milliseconds intervalBefore(const MessageHead &head, int event)
{
    const auto work = PlannedWork::parse(head.target);
    const auto interval = std::max(work.time - work.pause, std::chrono::milliseconds(0)) / EventsOfGeneration;
    return event == work.pausesBefore ? interval + work.pause : interval;
}

} // namespace

PlannedWorld::PlannedWorld(PlannedOptions options)
    : m_options(std::move(options))
    , m_startedAt(monotonicNow())
    , m_log(m_options.directory + "/faults.log")
    , m_random(m_options.seed)
    , m_ledger({.events = EventsOfGeneration, .retrySlack = RetrySlack, .bounds = fleetBounds(m_options.relays), .timed = m_options.timed, .plannedOnly = true})
    , m_losses({.document = fleetBounds(m_options.relays).document})
    , m_storeAddress(ownLoopbackEndpoint())
    , m_store(std::make_unique<SoakStore>(m_storeAddress))
    , m_client(m_loop)
    , m_document({.version = 1,
                  .keys = {"key-1"},
                  .timeouts = {{"draft", PlannedRoutes::Generation},
                               {"hint", PlannedRoutes::Generation},
                               {"commit", PlannedRoutes::OneTime},
                               {"status", PlannedRoutes::Repeatable}}})
    , m_tick(m_loop)
{
}

PlannedWorld::~PlannedWorld()
{
    m_loop.stop();
    m_store->stop();
}

uint64_t PlannedWorld::below(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_random);
}

PlannedResult PlannedWorld::run()
{
    m_store->put("op", "config", m_document.toText());
    startTargets();
    startRelays();
    m_nextTick = monotonicNow() + TickInterval;
    tick();
    waitReady();
    startCallers();
    runFor(CalmStart);
    const auto until = monotonicNow() + m_options.length;
    stopNext(until);
    changeDocument(until);
    runFor(m_options.length);
    for (const auto &caller : m_callers) {
        caller->stop();
    }
    const auto end = monotonicNow() + LastRequests;
    while (monotonicNow() < end && !std::all_of(m_callers.begin(), m_callers.end(), [](const auto &caller) { return caller->isIdle(); })) {
        runFor(TickInterval);
    }
    m_ledger.finish();
    for (const auto &text : m_losses.finish()) {
        lose(text);
    }
    PlannedResult result {.violations = m_ledger.violations(),
                          .requests = m_ledger.sentCount(),
                          .stops = m_stops,
                          .counts = m_losses.counts(),
                          .statuses = m_ledger.statuses(),
                          .worstLateness = m_worstLateness};
    for (const auto &relay : m_relays) {
        const auto time = relay->processorTime();
        result.relayTime.used += time.used;
        result.relayTime.waited += time.waited;
    }
    return result;
}

void PlannedWorld::startTargets()
{
    for (const auto *service : {"desk", "engine"}) {
        for (size_t number = 0; number < m_options.targets; ++number) {
            startTarget(service, number);
        }
    }
}

void PlannedWorld::startTarget(const std::string &service, size_t number)
{
    const bool isEngine = service == "engine";
    const auto address = ownLoopbackEndpoint();
    const auto id = absl::StrCat("i-", service, "-", number);
    StandInTarget::Options options {.id = id,
                                    .address = address,
                                    .events = isEngine ? EventsOfGeneration : 0,
                                    .workOf = [](const MessageHead &head) { return PlannedWork::parse(head.target).time; },
                                    .intervalBefore = intervalBefore,
                                    .body = isEngine ? [](const std::string &) { return soakEvents(EventsOfGeneration); } : soakBody,
                                    .onArrival =
                                        [this, id, service](const MessageHead &head, StandInTarget::Arrival arrival) {
                                            const auto now = monotonicNow();
                                            m_ledger.onArrival(now, id, service, head, arrival);
                                            if (arrival != StandInTarget::Arrival::NotRun) {
                                                m_losses.onRun(now, std::string(head.value("X-Attempt-Id")), id);
                                            }
                                        },
                                    .onDone = [this](const std::string &request) { m_losses.onTargetDone(monotonicNow(), request); }};
    m_targets.push_back({.id = id, .server = std::make_unique<StandInTarget>(m_loop, std::move(options))});
    const StandInTargetRow row {.service = service, .address = address.toText(), .dataCentre = DataCentres[number % DataCentres.size()]};
    m_store->put("servers", id, row.toText());
}

void PlannedWorld::startRelays()
{
    std::vector<std::string> seeds;
    constexpr size_t MostSeeds = 3;
    for (size_t number = 0; number < m_options.relays; ++number) {
        m_relays.push_back(std::make_unique<SoakRelay>(m_loop,
                                                       *m_store,
                                                       SoakRelay::Options {.name = absl::StrCat("n", number),
                                                                           .dataCentre = DataCentres[number % DataCentres.size()],
                                                                           .region = RegionNames[number % RegionNames.size()],
                                                                           .regions = Regions,
                                                                           .storeAddress = m_storeAddress,
                                                                           .seeds = seeds,
                                                                           .directory = m_options.directory,
                                                                           .retrySlack = RetrySlack,
                                                                           .program = m_options.relayProgram,
                                                                           .processors = m_options.processors}));
        if (seeds.size() < MostSeeds) {
            seeds.push_back(m_relays.back()->peers.toText());
        }
        m_relays.back()->start();
    }
}

void PlannedWorld::startCallers()
{
    for (size_t number = 0; number < m_options.callers; ++number) {
        PlannedCaller::Options options {.name = absl::StrCat("c", number), .seed = m_options.seed * m_options.callers + number};
        PlannedCaller::Hooks hooks {.chooseRelay = [this](uint64_t random) { return chooseRelay(random); },
                                    .onLost = [this](const std::string &text) { lose(text); }};
        m_callers.push_back(std::make_unique<PlannedCaller>(m_loop, m_ledger, m_losses, std::move(options), std::move(hooks)));
        m_callers.back()->start();
    }
}

std::optional<PlannedCaller::Relay> PlannedWorld::chooseRelay(uint64_t random) const
{
    // Some callers still have the address of a relay that is stopping.
    constexpr uint64_t OldAddressInterval = 10;
    const bool usesOldAddress = random % OldAddressInterval == 0;
    std::vector<const SoakRelay *> choice;
    for (const auto &relay : m_relays) {
        if (relay->state() == SoakRelay::State::Running || (usesOldAddress && relay->state() == SoakRelay::State::Ending)) {
            choice.push_back(relay.get());
        }
    }
    if (choice.empty()) {
        return std::nullopt;
    }
    const auto *relay = choice[random / OldAddressInterval % choice.size()];
    return PlannedCaller::Relay {.name = relay->options().name, .address = relay->callers};
}

void PlannedWorld::after(std::chrono::milliseconds time, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, time);
    timer->async_wait([timer, action = std::move(action)](const LoopError &error) {
        if (!error) {
            action();
        }
    });
}

void PlannedWorld::stopNext(MonotonicTime until)
{
    if (monotonicNow() > until) {
        return;
    }
    // At least half of the relays go on.
    std::vector<SoakRelay *> choice;
    size_t stopping = 0;
    for (const auto &relay : m_relays) {
        const bool isRunning = relay->state() == SoakRelay::State::Running;
        stopping += isRunning ? 0 : 1;
        if (isRunning && monotonicNow() > m_runningSince[relay.get()] + LeastRunningTime) {
            choice.push_back(relay.get());
        }
    }
    if (!choice.empty() && stopping < m_relays.size() / 2) {
        stop(*choice[below(choice.size())]);
    }
    after(std::chrono::milliseconds(below(m_options.longestPause.count())), [this, until] { stopNext(until); });
}

void PlannedWorld::stop(SoakRelay &relay)
{
    constexpr uint64_t DisturbedInterval = 3;
    const auto now = monotonicNow();
    log(absl::StrCat("SIGTERM of ", relay.options().name));
    relay.terminate(now);
    m_losses.onTerm(now, relay.options().name);
    noteStops(now);
    ++m_stops;
    if (below(DisturbedInterval) == 0) {
        constexpr uint64_t MostMsAfterTerm = 6000;
        after(std::chrono::milliseconds(below(MostMsAfterTerm)), [this, &relay] { disturbStop(relay); });
    }
}

void PlannedWorld::disturbStop(SoakRelay &relay)
{
    constexpr std::array Settings {"JUJUBE_DIRECTORY_LIFETIME_MS=1500\n", "JUJUBE_GRACE_S=5\n", "JUJUBE_GRACE_S=20\n"};
    const auto drawn = below(Settings.size() * 2);
    if (relay.state() != SoakRelay::State::Ending) {
        return;
    }
    if (drawn >= Settings.size()) {
        log(absl::StrCat("SIGTERM once more of ", relay.options().name));
        relay.terminateAgain();
        return;
    }
    changeSettings(relay, Settings[drawn]);
}

void PlannedWorld::changeSettings(SoakRelay &relay, const std::string &settings)
{
    log(absl::StrCat("SIGHUP of ", relay.options().name, " with ", settings.substr(0, settings.find('\n'))));
    relay.changeSettings(settings);
    m_losses.onReload(monotonicNow(), relay.options().name);
}

void PlannedWorld::changeDocument(MonotonicTime until)
{
    constexpr std::chrono::milliseconds ShortestPause {2000};
    constexpr uint64_t MostFurtherMs = 10000;
    after(ShortestPause + std::chrono::milliseconds(below(MostFurtherMs)), [this, until] {
        if (monotonicNow() > until) {
            return;
        }
        writeDocument();
        // Relays that go on may get SIGHUP as well.
        auto &relay = *m_relays[below(m_relays.size())];
        if (relay.state() == SoakRelay::State::Running) {
            changeSettings(relay, "JUJUBE_DIRECTORY_LIFETIME_MS=1500\n");
        }
        changeDocument(until);
    });
}

void PlannedWorld::writeDocument()
{
    ++m_document.version;
    m_document.addedRoutes.push_back(absl::StrCat("added-", m_document.version));
    const auto sentAt = monotonicNow();
    m_store->put("op", "config", m_document.toText());
    m_losses.onDocument(sentAt, monotonicNow());
    log(absl::StrCat("document ", m_document.version));
}

void PlannedWorld::tick()
{
    const auto now = monotonicNow();
    m_worstLateness = std::max(m_worstLateness, std::chrono::duration_cast<std::chrono::milliseconds>(now - m_nextTick));
    m_nextTick = now + TickInterval;
    noteStops(now);
    for (const auto &relay : m_relays) {
        const bool wasRunning = relay->state() == SoakRelay::State::Running;
        if (const auto mistake = relay->follow(now); !mistake.empty()) {
            m_ledger.report("fault", mistake);
            log(mistake);
        }
        if (!wasRunning && relay->state() == SoakRelay::State::Running) {
            m_runningSince[relay.get()] = now;
        }
    }
    m_client.expire(now);
    m_tick.expires_at(m_nextTick);
    m_tick.async_wait([this](const LoopError &error) {
        if (!error) {
            tick();
        }
    });
}

void PlannedWorld::noteStops(MonotonicTime now)
{
    for (const auto &relay : m_relays) {
        const auto &name = relay->options().name;
        if (relay->state() == SoakRelay::State::Down) {
            m_ledger.onDown(now, name);
            m_ledger.disturb(name, now);
        } else if (relay->state() == SoakRelay::State::Ending) {
            m_ledger.disturbAsPlanned(name, now);
        }
    }
}

void PlannedWorld::runFor(std::chrono::milliseconds time)
{
    m_loop.restart();
    m_loop.run_for(time);
}

void PlannedWorld::waitReady()
{
    const auto end = monotonicNow() + ReadyTimeout + ReadyTimeoutPerRelay * m_relays.size();
    for (const auto &relay : m_relays) {
        const auto isReady = std::make_shared<bool>(false);
        while (!*isReady && monotonicNow() < end) {
            constexpr std::chrono::milliseconds AskAgain {50};
            m_client.call(relay->ready, {.target = "/-/readyz"}, [isReady](const LoopAnswer &answer) { *isReady = *isReady || answer.isSuccess(); });
            runFor(AskAgain);
        }
        if (!*isReady) {
            m_ledger.report("recover", absl::StrCat(relay->options().name, " does not get ready"));
        }
    }
}

void PlannedWorld::lose(const std::string &text)
{
    m_ledger.report("lost", text);
    log(absl::StrCat("lost: ", text));
}

void PlannedWorld::log(const std::string &text)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_startedAt).count();
    m_log << time << " ms: " << text << std::endl;
}

} // namespace Jujube
