#include "SoakWorld.h"

#include "../../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <ctime>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds TickInterval {20};
constexpr std::chrono::milliseconds ReadyTimeout {20000};
constexpr std::chrono::milliseconds ReadyTimeoutPerRelay {100};
// Without promises in time, the relays only have to get ready some time after the faults.
constexpr std::chrono::milliseconds ShortRecovery {3000};
// Requests of this time after the faults show whether the relays serve again.
constexpr std::chrono::milliseconds RecoveredTime {3000};
constexpr double LeastServedAfterRecovery = 0.25;
// Time until the last requests have ended.
constexpr std::chrono::milliseconds LastRequests {7000};
constexpr double RetrySlack = 50;
// How long a target is down after the request that crashes targets.
constexpr std::chrono::milliseconds FatalDowntime {1200};
constexpr int EventsOfGeneration = 30;
// Routes of the document move between the plain services.
constexpr const char *SecondService = "annex";
// One relay in so many starts while the faults are on.
constexpr size_t LateRelayInterval = 12;
// One target of a service in so many sends its responses with neither a length nor chunks.
constexpr size_t UnframedInterval = 3;
constexpr std::chrono::milliseconds NotableLateness {100};

struct Place {
    const char *dataCentre;
    const char *region;
};

constexpr std::array Places {Place {"lahore-a", "lahore"}, Place {"karachi-a", "karachi"}, Place {"islamabad-a", "islamabad"}};

} // namespace

SoakWorld::SoakWorld(SoakOptions options)
    : m_options(std::move(options))
    , m_bounds(fleetBounds(m_options.relays))
    , m_startedAt(monotonicNow())
    , m_log(m_options.directory + "/faults.log")
    , m_ledger({.events = EventsOfGeneration, .retrySlack = RetrySlack, .bounds = m_bounds, .timed = m_options.timed})
    , m_storeAddress(ownLoopbackEndpoint())
    , m_store(std::make_unique<SoakStore>(m_storeAddress))
    , m_client(m_loop)
    , m_random(m_options.seed)
    , m_prompts(m_options.seed)
    , m_restoreRandom(m_options.seed)
    , m_tick(m_loop)
{
}

SoakWorld::~SoakWorld()
{
    m_loop.stop();
    m_store->stop();
}

SoakResult SoakWorld::run()
{
    for (size_t number = 0; number < m_options.routes; ++number) {
        m_document.addedRoutes.push_back(absl::StrCat("idle-", number));
    }
    if (m_options.tableChanges > 0) {
        m_document.addedServices.emplace_back(SecondService);
    }
    confirmDocument();
    startTargets();
    startRelays();
    m_nextTick = monotonicNow() + TickInterval;
    tick();
    waitReady();
    startCallers();
    constexpr std::chrono::milliseconds CalmStart {3000};
    runFor(CalmStart);
    const auto plan = makeFaultPlan({.seed = m_options.seed,
                                     .relays = m_relays.size(),
                                     .targets = m_targets.size(),
                                     .dataCentres = Places.size(),
                                     .length = m_options.length,
                                     .rate = m_options.faultRate,
                                     .tableChanges = m_options.tableChanges,
                                     .restores = m_options.restores});
    for (const auto &fault : plan) {
        after(fault.at, [this, fault] { apply(fault); });
    }
    startLateRelays();
    m_isProbing = m_options.tableChanges > 0;
    probeNext();
    after(m_options.length / 3, [this] { sendFatalRequests(monotonicNow() + m_options.length / 3); });
    if (m_options.badPart) {
        sendBadPartRequests(monotonicNow() + m_options.length);
    }
    runFor(m_options.length);
    runFor(m_options.timed ? SoakBounds::Recovery : ShortRecovery);
    waitReady();
    const auto recoveredAt = monotonicNow();
    runFor(RecoveredTime);
    for (const auto &caller : m_callers) {
        caller->stop();
    }
    m_isProbing = false;
    const auto sentUntil = monotonicNow();
    const auto processorTime = relayTime();
    runFor(LastRequests);
    const auto [served, owed] = m_ledger.servedBetween(recoveredAt, sentUntil);
    if (static_cast<double>(served) < LeastServedAfterRecovery * static_cast<double>(owed)) {
        m_ledger.report("recover", absl::StrCat(served, " of ", owed, " requests served after the last fault"));
    }
    m_ledger.finish();
    logViolations();
    return {.violations = m_ledger.violations(),
            .requests = m_ledger.sentCount(),
            .served = served,
            .owed = owed,
            .statuses = m_ledger.statuses(),
            .worstLateness = m_worstLateness,
            .lateTurns = m_lateTurns,
            .worstStoreLateness = m_worstStoreLateness,
            .force = measureForce(),
            .documentBytes = m_documentBytes,
            .storeCalls = m_store->calls(),
            .badPartRequests = m_ledger.badPart().sentCount(),
            .badPartCrashes = m_ledger.badPart().crashCount(),
            .badPartLate = m_ledger.badPart().lateCount(),
            .sound = m_ledger.badPart().soundCounts(),
            .processorTime = std::chrono::milliseconds(std::clock() * 1000 / CLOCKS_PER_SEC),
            .relayTime = processorTime};
}

void SoakWorld::startTargets()
{
    std::vector<std::string> services {"desk", "engine"};
    services.insert(services.end(), m_document.addedServices.begin(), m_document.addedServices.end());
    for (const auto &service : services) {
        for (size_t number = 0; number < m_options.targets; ++number) {
            auto target = std::make_unique<Target>();
            target->id = absl::StrCat("i-", service, "-", number);
            target->service = service;
            target->dataCentre = Places[number % Places.size()].dataCentre;
            target->address = ownLoopbackEndpoint();
            target->endsResponsesWithConnection = number % UnframedInterval == UnframedInterval - 1;
            target->link = std::make_unique<LoopbackProxy>(m_loop, ownLoopbackEndpoint(), target->address);
            startTarget(*target);
            m_targets.push_back(std::move(target));
        }
    }
}

void SoakWorld::startTarget(Target &target)
{
    const bool isEngine = target.service == "engine";
    StandInTarget::Options options {
        .id = target.id,
        .address = target.address,
        .born = target.born,
        .events = isEngine ? EventsOfGeneration : 0,
        .eventInterval = std::chrono::milliseconds(20),
        .work = std::chrono::milliseconds(60),
        .body = isEngine ? [](const std::string &) { return soakEvents(EventsOfGeneration); } : soakBody,
        .isFatal = [isEngine](const MessageHead &head) { return isEngine ? hasPart(head.value("X-Prefix-Hash"), BadPart) : head.target == FatalTarget; },
        .onFatal =
            [this, &target, isEngine] {
                if (isEngine) {
                    crashOnBadPart(target);
                    return;
                }
                crashTarget(target);
                after(FatalDowntime, [this, &target] { restartTarget(target); });
            },
        .crashOf = [this, isEngine](const MessageHead &) { return isEngine ? drawCrash() : StandInTarget::Crash(); },
        .canCopyTo = [this](const std::string &to) { return takesCopies(to); },
        .onArrival = [this, &target](const MessageHead &head, StandInTarget::Arrival arrival) { noteArrival(target, head, arrival); }};
    target.server = std::make_unique<StandInTarget>(m_loop, std::move(options));
    if (target.endsResponsesWithConnection) {
        target.server->setEndsResponsesWithConnection();
    }
    target.link->setListening(true);
    target.isDown = false;
    if (const auto evacuated = m_evacuatedSince.find(target.dataCentre); evacuated != m_evacuatedSince.end()) {
        m_ledger.forbidTarget(target.id, "evacuation", evacuated->second + SoakBounds::Evacuation);
    }
    registerTarget(target, "ready");
}

void SoakWorld::noteArrival(const Target &target, const MessageHead &head, StandInTarget::Arrival arrival)
{
    m_ledger.onArrival(monotonicNow(), target.id, target.service, head, arrival);
    if (target.service == "engine" && arrival != StandInTarget::Arrival::NotRun) {
        after(SoakBounds::TwoTargets, [this, request = std::string(head.value("X-Attempt-Id")), current = target.id] {
            for (const auto &other : m_targets) {
                if (other->id != current && !other->isDown && other->server->isRunning(request)) {
                    m_ledger.onRunElsewhere(monotonicNow(), request, other->id, current);
                }
            }
        });
    }
}

bool SoakWorld::takesCopies(const std::string &address) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &target) { return target->link->address().toText() == address && !target->isDown; });
}

void SoakWorld::registerTarget(const Target &target, const std::string &state)
{
    const StandInTargetRow row {
        .service = target.service, .address = target.link->address().toText(), .dataCentre = target.dataCentre, .state = state, .born = target.born};
    const auto text = row.toText();
    m_entries[target.id] = text;
    m_store->put("servers", target.id, text);
}

void SoakWorld::restartTarget(Target &target)
{
    // The target may have been started again by the end of another fault.
    if (target.isDown) {
        ++target.born;
        startTarget(target);
    }
}

void SoakWorld::crashTarget(Target &target)
{
    if (target.isDown) {
        return;
    }
    m_ledger.disturbTarget(target.id, monotonicNow());
    m_ledger.onTargetEnded(monotonicNow(), target.id);
    target.server->crash();
    target.link->setListening(false);
    target.isDown = true;
    m_crashed.push_back(std::move(target.server));
}

void SoakWorld::startRelays()
{
    std::vector<std::string> regions;
    regions.reserve(Places.size());
    for (const auto &place : Places) {
        regions.push_back(absl::StrCat(place.dataCentre, ":", place.region));
    }
    std::vector<std::string> seeds;
    constexpr size_t MostSeeds = 3;
    for (size_t number = 0; number < m_options.relays; ++number) {
        const auto &place = Places[number % Places.size()];
        m_relays.push_back(std::make_unique<SoakRelay>(m_loop,
                                                       *m_store,
                                                       SoakRelay::Options {.name = absl::StrCat("n", number),
                                                                           .dataCentre = place.dataCentre,
                                                                           .region = place.region,
                                                                           .regions = absl::StrJoin(regions, ","),
                                                                           .storeAddress = m_storeAddress,
                                                                           .seeds = seeds,
                                                                           .directory = m_options.directory,
                                                                           .retrySlack = RetrySlack,
                                                                           .program = m_options.relayProgram,
                                                                           .processors = m_options.processors}));
        if (seeds.size() < MostSeeds) {
            seeds.push_back(m_relays.back()->peers.toText());
        }
        if (m_options.tableChanges > 0 && number % LateRelayInterval == LateRelayInterval - 1) {
            m_lateRelays.push_back(m_relays.back().get());
        } else {
            m_relays.back()->start();
        }
    }
}

void SoakWorld::startLateRelays()
{
    for (size_t number = 0; number < m_lateRelays.size(); ++number) {
        after(m_options.length * number / m_lateRelays.size(), [this, relay = m_lateRelays[number]] {
            if (relay->state() == SoakRelay::State::Down) {
                relay->start();
            }
        });
    }
}

void SoakWorld::startCallers()
{
    for (size_t number = 0; number < m_options.callers; ++number) {
        const auto &place = Places[number % Places.size()];
        SoakCaller::Options options {.name = absl::StrCat("c", number),
                                     .region = place.region,
                                     .dataCentre = place.dataCentre,
                                     .keepsAddresses = number % 2 == 0,
                                     .seed = m_options.seed * m_options.callers + number};
        SoakCaller::Hooks hooks {.directories = [this, dataCentre = std::string(place.dataCentre)] { return directoriesFor(dataCentre); },
                                 .relayAt = [this](const std::string &address) { return relayAt(address); },
                                 .onDirectory
                                 = [this](const std::string &relay, const std::vector<std::string> &addresses) { checkDirectory(relay, addresses); },
                                 .onLeft = [this](const std::string &id) { after(SoakBounds::AfterLeaving, [this, id] { checkStopsAfterLeaving(id); }); }};
        m_callers.push_back(std::make_unique<SoakCaller>(m_loop, m_ledger, std::move(options), std::move(hooks)));
        m_callers.back()->start();
    }
}

std::vector<std::pair<std::string, Endpoint>> SoakWorld::directoriesFor(const std::string &dataCentre)
{
    std::vector<std::pair<std::string, Endpoint>> near;
    std::vector<std::pair<std::string, Endpoint>> far;
    for (const auto &relay : m_relays) {
        auto &list = relay->options().dataCentre == dataCentre ? near : far;
        list.emplace_back(relay->options().name, relay->directory);
    }
    // Each call begins at another one, so that a directory that is down is not asked for ever.
    std::rotate(near.begin(), near.begin() + static_cast<ptrdiff_t>(m_directoryCalls++ % near.size()), near.end());
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

std::optional<SoakCaller::Relay> SoakWorld::relayAt(const std::string &address) const
{
    for (const auto &relay : m_relays) {
        if (relay->callers.toText() == address) {
            return SoakCaller::Relay {.name = relay->options().name, .link = relay->callerLink.address()};
        }
    }
    return std::nullopt;
}

void SoakWorld::checkDirectory(const std::string &name, const std::vector<std::string> &addresses)
{
    const auto Unlisted = m_bounds.contact + std::chrono::milliseconds(3000);
    const auto now = monotonicNow();
    for (const auto &relay : m_relays) {
        const bool isListed = std::find(addresses.begin(), addresses.end(), relay->callers.toText()) != addresses.end();
        if (isListed && relay->state() == SoakRelay::State::Down && now > relay->stoppedAt() + Unlisted && m_ledger.isInTouch(name, now)) {
            m_ledger.reportTimed("directory", absl::StrCat(name, " lists ", relay->options().name, ", which is down"));
        }
    }
}

void SoakWorld::checkStopsAfterLeaving(const std::string &id)
{
    for (const auto &target : m_targets) {
        if (target->server && target->server->isRunning(id)) {
            m_ledger.onStillRunning(monotonicNow(), id, target->id);
        }
    }
}

void SoakWorld::after(std::chrono::milliseconds time, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, time);
    timer->async_wait([timer, action = std::move(action)](const LoopError &error) {
        if (!error) {
            action();
        }
    });
}

void SoakWorld::tick()
{
    const auto now = monotonicNow();
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_nextTick);
    const auto storeLate = m_store->takeLateness();
    m_worstLateness = std::max(m_worstLateness, late);
    m_worstStoreLateness = std::max(m_worstStoreLateness, storeLate);
    if (storeLate > NotableLateness) {
        log(absl::StrCat("store late by ", storeLate.count(), " ms"));
    }
    if (late > NotableLateness) {
        ++m_lateTurns;
        log(absl::StrCat("loop late by ", late.count(), " ms"));
    }
    m_nextTick = now + TickInterval;
    noteDisturbances(now);
    for (const auto &relay : m_relays) {
        if (const auto mistake = relay->follow(now); !mistake.empty()) {
            m_ledger.report("fault", mistake);
        }
    }
    logViolations();
    m_client.expire(now);
    m_tick.expires_at(m_nextTick);
    m_tick.async_wait([this](const LoopError &error) {
        if (!error) {
            tick();
        }
    });
}

void SoakWorld::noteDisturbances(MonotonicTime now)
{
    const bool storeIsDisturbed = m_active["store"] > 0;
    for (const auto &relay : m_relays) {
        const auto &name = relay->options().name;
        const bool linksAreHarmed = m_active["callers of " + name] > 0 || m_active["store of " + name] > 0;
        const bool isPlanned = relay->state() == SoakRelay::State::Ending;
        const bool isDown = relay->state() == SoakRelay::State::Down;
        const bool isCut = isDown || relay->isSlow() || relay->state() == SoakRelay::State::Paused;
        if (isDown) {
            m_ledger.onDown(now, name);
        }
        if (isCut || isPlanned) {
            m_ledger.excuseFromLimits(name, now);
        }
        if (storeIsDisturbed || linksAreHarmed || isCut) {
            m_ledger.disturb(name, now);
        } else if (isPlanned) {
            m_ledger.disturbAsPlanned(name, now);
        }
    }
    for (const auto &target : m_targets) {
        if (target->isDown || m_active["link of " + target->id] > 0 || m_active["behaviour of " + target->id] > 0) {
            m_ledger.disturbTarget(target->id, now);
        }
        if (m_active["link of " + target->id] > 0) {
            m_ledger.harmTargetLink(target->id, now);
        }
    }
}

void SoakWorld::runFor(std::chrono::milliseconds time)
{
    m_loop.restart();
    m_loop.run_for(time);
}

void SoakWorld::waitReady()
{
    const auto end = monotonicNow() + ReadyTimeout + ReadyTimeoutPerRelay * m_relays.size();
    for (const auto &relay : m_relays) {
        const auto isReady = std::make_shared<bool>(!relay->wasStarted());
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

ChildProcess::ProcessorTime SoakWorld::relayTime() const
{
    ChildProcess::ProcessorTime sum;
    for (const auto &relay : m_relays) {
        const auto time = relay->processorTime();
        sum.used += time.used;
        sum.waited += time.waited;
    }
    return sum;
}

DocumentForce SoakWorld::measureForce() const
{
    DocumentForceReader reader(m_writes);
    for (const auto &relay : m_relays) {
        const auto &name = relay->options().name;
        reader.read(absl::StrCat(m_options.directory, "/", name, ".log"),
                    [&](MonotonicTime from, MonotonicTime to) { return m_ledger.wasInTouch(name, from, to); });
    }
    return reader.result();
}

void SoakWorld::logViolations()
{
    const auto &violations = m_ledger.violations();
    for (; m_loggedViolations < violations.size(); ++m_loggedViolations) {
        log(violations[m_loggedViolations]);
    }
}

void SoakWorld::log(const std::string &text)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_startedAt).count();
    m_log << time << " ms: " << text << std::endl;
}

} // namespace Jujube
