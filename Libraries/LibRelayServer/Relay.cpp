#include <LibRelayServer/Relay.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <ctime>
#include <LibCore/AbslView.h>
#include <LibRelayServer/RelayExchange.h>
#include <LibRelayServer/StreamVersions.h>
#include <utility>

namespace Jujube
{

namespace
{

constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view RolloutsPath = "/rollouts";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

constexpr std::chrono::milliseconds TickInterval {100};
// Callers keep using addresses and connections for a while after the directory has stopped listing this relay.
constexpr std::chrono::milliseconds MinDrainTime {2600};
// With fewer addresses in the caller's region, addresses of other regions are added.
constexpr size_t MinAddresses = 2;
constexpr size_t MaxAddresses = 64;
// Minimum time of a suspension that is handled as a freeze.
constexpr std::chrono::milliseconds MinFreezeTime {400};
// Number of ticks between reads from a peer whose target list differs, while the store is unavailable.
constexpr uint64_t TicksPerPeerRead = 3;
// Relays whose tables nobody confirms read the store at different moments within this time.
constexpr uint64_t MaxOwnReadDelayMs = 100;
// Age that is reported for a target list that this relay has never read itself.
constexpr std::chrono::hours AgeOfUnreadTable {1};
constexpr uint64_t TicksPerExpiry = 10;
constexpr uint64_t TicksPerSettingsCheck = 20;
constexpr uint64_t TicksPerEngineCheck = 3;

// Total time for which the machine was suspended, which CLOCK_BOOTTIME counts and CLOCK_MONOTONIC does not.
std::chrono::nanoseconds suspendedTime()
{
    timespec boot {};
    timespec monotonic {};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &monotonic);
    return std::chrono::seconds(boot.tv_sec - monotonic.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec - monotonic.tv_nsec);
}

} // namespace

Relay::Relay(boost::asio::io_context &loop, RelayOptions options, PlatformAdapter adapter, LineWriter &lines, SettingsHooks settings)
    : m_core(loop, std::move(options), std::move(adapter), lines)
    , m_settings(std::move(settings))
    , m_peers(m_core,
              {.onDocumentVersion = [this](const PeerHeartbeat &heartbeat) { onPeerDocument(heartbeat); },
               .onTargetState = [this](const PeerHeartbeat &heartbeat, MonotonicTime now) { onPeerTargets(heartbeat, now); },
               .addTableState =
                   [this](PeerHeartbeat &heartbeat, MonotonicTime now) {
                       const auto document = m_documents->state(now);
                       heartbeat.documentEra = document.era;
                       heartbeat.targetsEra = m_targets->era();
                       heartbeat.documentTableVersion = document.changeVersion;
                       heartbeat.documentVersion = document.version;
                       heartbeat.documentHistoryFrom = document.historyFrom;
                       heartbeat.documentAge = document.age;
                       heartbeat.receivingDocument = m_documents->isReceiving();
                       heartbeat.linkMbps = m_core.options.linkMbps;
                       heartbeat.targetsDigest = m_core.targets.digest();
                       heartbeat.targetsVersion = m_targets->version();
                       heartbeat.targetsAge = m_targets->state(now).age.value_or(AgeOfUnreadTable);
                       heartbeat.reading = isReadingSuccessfully(now);
                       heartbeat.trying = isTryingStore(readStateOf(*m_targets), now) && isTryingStore(readStateOf(*m_documents), now);
                   },
               .isReading = [this] { return m_readers.isReading(); }})
    , m_timer(loop)
    , m_lastRunAt(monotonicNow())
    , m_lastSuspendedTime(suspendedTime())
    , m_documentSource({.node = m_core.options.node, .linkMbps = m_core.options.linkMbps})
    , m_readers({.node = m_core.options.node})
{
}

absl::StatusOr<std::unique_ptr<Relay>>
Relay::start(boost::asio::io_context &loop, RelayOptions options, PlatformAdapter adapter, LineWriter &lines, SettingsHooks settings)
{
    auto relay = std::unique_ptr<Relay>(new Relay(loop, std::move(options), std::move(adapter), lines, std::move(settings)));
    relay->m_ownReadDelay = std::chrono::milliseconds(static_cast<int64_t>(relay->m_core.random() % MaxOwnReadDelayMs));
    relay->followStore();
    relay->createRollouts();
    relay->createStreamVersions();
    relay->m_core.onMigrationEnded = [raw = relay.get()] { raw->m_peers.scheduleHeartbeat(NotificationScope::All); };
    relay->m_core.onCrashObserved = [raw = relay.get()] { raw->m_peers.scheduleHeartbeat(NotificationScope::All); };
    relay->m_core.documentAge = [raw = relay.get()](MonotonicTime now) { return raw->m_documents->age(now); };
    relay->m_core.detectFreeze = [raw = relay.get()](MonotonicTime now) { raw->detectFreeze(now); };
    relay->m_core.onRequestLimitLowered = [raw = relay.get()] { raw->m_peers.scheduleHeartbeat(NotificationScope::All); };
    relay->m_core.onLoadChanged = [raw = relay.get()](bool isGeneration) { raw->m_peers.scheduleLoadUpdate(isGeneration); };
    if (auto status = relay->listen(); !status.ok()) {
        return status;
    }
    if (auto status = relay->m_peers.start(); !status.ok()) {
        return status;
    }
    relay->m_documents->start();
    relay->m_targets->start();
    if (relay->m_rollouts) {
        relay->m_rollouts->start();
    }
    auto line = relay->m_core.line(EventKind::ProcessStarted);
    line.add("listen", relay->m_core.options.callers.toText())
        .add("metrics", relay->m_core.options.metrics.toText())
        .add("data_centre", relay->m_core.options.dataCentre);
    relay->m_core.log(line);
    relay->tick();
    return relay;
}

void Relay::createRollouts()
{
    if (!m_core.options.hasRollouts()) {
        return;
    }
    m_rollouts = std::make_unique<RolloutAgent>(
        m_core,
        m_peers.incarnation(),
        RolloutAgent::Hooks {.isReader = [this] { return m_readers.isReading(); },
                             .isReading = [this](MonotonicTime now) { return isReadingSuccessfully(now); },
                             .ordersKnownTo = [this] { return m_documents->hasRows() ? m_documents->version() : 0; },
                             .hasTargets = [this] { return m_targets->hasRows() || m_hasPeerTargets; },
                             .notifyPeers = [this] { m_peers.scheduleHeartbeat(NotificationScope::All); },
                             .sendDatagram = [this](const std::string &address, const std::string &datagram) { m_peers.sendDatagramTo(address, datagram); }});
    m_core.rollouts = m_rollouts.get();
}

void Relay::createStreamVersions()
{
    m_streamVersions = std::make_unique<StreamVersions>(
        m_core,
        m_core.options.isFirstStart,
        m_peers.incarnation(),
        StreamVersions::Hooks {.listAge = [this](MonotonicTime now) { return m_targets->hasRows() ? m_targets->age(now) : AgeOfUnreadTable; },
                               .isKnownToAll = [this](int64_t version, MonotonicTime now) { return isListVersionKnownToAll(version, now); },
                               .isReader = [this] { return m_readers.isReading(); },
                               .sendDatagram = [this](const std::string &address, const std::string &datagram) { m_peers.sendDatagramTo(address, datagram); }});
    m_core.streamVersions = m_streamVersions.get();
}

bool Relay::isListVersionKnownToAll(int64_t version, MonotonicTime now) const
{
    const auto peers = m_core.peers.livePeers(now);
    const auto isKnownTo
        = [&](const Peer *peer) { return peer->latestHeartbeat.targetsEra == m_targets->era() && peer->latestHeartbeat.targetsVersion >= version; };
    const bool areAllLive = m_core.peers.hasDiscoveredPeers(now) && static_cast<int>(peers.size()) + 1 >= m_core.peers.sharingRelays().count;
    return areAllLive && std::ranges::all_of(peers, isKnownTo);
}

CallerChannel::Hooks Relay::hooksFor(std::function<void(const std::shared_ptr<CallerChannel> &, CallerRequest)> onRequest)
{
    return {.onRequest = std::move(onRequest),
            .limits = [this] { return m_core.routes ? m_core.routes->document().limits : CallerLimits {}; },
            .isClosing = [this] { return m_core.isDraining(); },
            .onRejected =
                [this](int status) {
                    m_core.metrics.count("relay_unreadable_requests_total", absl::StrCat("status=\"", status, "\""));
                    auto line = m_core.line(EventKind::RelayRejected);
                    line.add("outcome", "unreadable").add("status", status);
                    m_core.log(line);
                }};
}

absl::Status Relay::listen()
{
    const auto open = [this](std::unique_ptr<CallerListener> &listener, const Endpoint &address, auto onRequest) -> absl::Status {
        auto started
            = CallerListener::start(m_core.loop, {.address = address, .maxChannels = m_core.options.maxConnections, .hooks = hooksFor(std::move(onRequest))});
        if (!started.ok()) {
            return started.status();
        }
        listener = *std::move(started);
        return absl::OkStatus();
    };
    auto status = open(m_callers, m_core.options.callers, [this](const std::shared_ptr<CallerChannel> &channel, CallerRequest request) {
        std::make_shared<RelayExchange>(m_core, channel, std::move(request))->start();
    });
    if (status.ok()) {
        status = open(m_ready, m_core.options.ready, [this](const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request) {
            onReadyRequest(*channel, request);
        });
    }
    if (status.ok()) {
        status = open(m_directory, m_core.options.directory, [this](const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request) {
            onDirectoryRequest(*channel, request);
        });
    }
    if (status.ok()) {
        status = open(m_peerCalls, m_core.options.peers, [this](const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request) {
            onPeerRequest(channel, request);
        });
    }
    if (status.ok()) {
        status = open(m_metrics, m_core.options.metrics, [this](const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request) {
            onMetricsRequest(*channel, request);
        });
    }
    return status;
}

void Relay::onMetricsRequest(CallerChannel &channel, const CallerRequest &request) const
{
    if (m_rollouts && request.head.target == RolloutsPath) {
        channel.send({.status = StatusOk, .fields = {{.name = "Content-Type", .value = "application/json"}}},
                     RolloutStatusReport::toJson(m_rollouts->statusReports(monotonicNow())));
        return;
    }
    if (request.head.target != MetricsPath) {
        channel.send({.status = StatusNotFound}, {});
        return;
    }
    channel.send({.status = StatusOk, .fields = {{.name = "Content-Type", .value = "text/plain; version=0.0.4"}}}, m_core.metrics.toText());
}

void Relay::onReadyRequest(CallerChannel &channel, const CallerRequest &request) const
{
    if (request.head.target != m_core.adapter.readyPath) {
        channel.send({.status = StatusNotFound}, {});
        return;
    }
    channel.send({.status = m_core.isAccepting(monotonicNow()) ? StatusOk : StatusUnavailable}, {});
}

std::vector<std::string> Relay::addressesFor(const std::string &dataCentre, const std::string &region, MonotonicTime now) const
{
    std::vector<std::string> nearest;
    std::vector<std::string> others;
    const auto add = [&](const std::string &address, const std::string &where) {
        const auto found = m_core.options.regions.find(where);
        const bool isNear = where == dataCentre || (found != m_core.options.regions.end() && found->second == region);
        (isNear ? nearest : others).push_back(address);
    };
    if (!m_core.isDraining()) {
        add(m_core.options.callers.toText(), m_core.options.dataCentre);
    }
    for (const auto *peer : m_core.peers.livePeers(now)) {
        if (peer->latestHeartbeat.accepting) {
            add(peer->latestHeartbeat.callers, peer->latestHeartbeat.dataCentre);
        }
    }
    if (nearest.size() < MinAddresses) {
        nearest.insert(nearest.end(), others.begin(), others.end());
    }
    if (nearest.empty()) {
        nearest.push_back(m_core.options.callers.toText());
    }
    if (nearest.size() > MaxAddresses) {
        nearest.resize(MaxAddresses);
    }
    return nearest;
}

void Relay::onDirectoryRequest(CallerChannel &channel, const CallerRequest &request)
{
    const std::string_view target = request.head.target;
    const auto question = target.find('?');
    if (target.substr(0, question) != m_core.adapter.directoryPath) {
        channel.send({.status = StatusNotFound}, {});
        return;
    }
    const auto query = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    const auto [dataCentre, region] = m_core.adapter.decodeDirectoryQuery(query);
    const auto addresses = addressesFor(dataCentre, region, monotonicNow());
    m_core.metrics.count("relay_directory_answers_total");
    channel.send({.status = StatusOk, .fields = {{.name = "Content-Type", .value = "application/json"}}},
                 m_core.adapter.encodeDirectory(addresses, m_core.options.directoryLifetime));
}

void Relay::tick()
{
    const auto now = monotonicNow();
    ++m_ticks;
    if (m_tickDueAt != MonotonicTime {}) {
        m_loopDelay.record(now - m_tickDueAt, now);
    }
    detectFreeze(now);
    for (const auto &target : m_core.targets.tick(now)) {
        m_core.handleTargetLeaving(target, "entry expired", now);
    }
    expireUnlistedDataCentres(now);
    applyFormerEntries(now);
    m_documents->check(now);
    m_targets->check(now);
    readDocumentChanges(now);
    if (m_ticks % TicksPerPeerRead == 0) {
        requestTargetsIfUnavailable(now);
    }
    if (m_ticks % TicksPerSettingsCheck == 0 && m_settings.haveChanged()) {
        reloadSettings();
    }
    m_core.updateRequestLimits(now);
    if (m_rollouts) {
        m_rollouts->tick(now);
    }
    m_streamVersions->tick(now);
    if (m_ticks % TicksPerExpiry == 0) {
        m_core.exportRequestLimits(now);
        exportTables(now);
        m_core.balancer.requestLimits().expire([this](const std::string &target) { return m_core.targets.find(target) != nullptr; }, now);
        m_core.channels.expire(now);
        m_core.client.expire(now);
        m_core.targetRuns.expire(now);
        m_core.balancer.expire(now);
        m_core.crashSuspects.expire(now);
        m_core.promptParts.expire(now);
        m_core.logRejectedParts(now);
        m_core.migrations.expire(now);
        m_core.metrics.set("relay_open_channels", static_cast<double>(m_callers->channelCount()));
        m_core.metrics.set("relay_requests_running", static_cast<double>(m_core.running.size()));
    }
    notifyReadingChange(now);
    reportLag(m_documentLag, *m_documents, m_core.adapter.documentTable, now);
    reportLag(m_targetsLag, *m_targets, m_core.adapter.targetTable, now);
    if (m_ticks % TicksPerEngineCheck == 0 && isTargetListStale(listSources(now), now)) {
        checkRunningEngines();
    }
    checkDrain(now);
    m_tickDueAt = monotonicNow() + TickInterval;
    m_timer.expires_at(m_tickDueAt);
    m_timer.async_wait([this](const LoopError &error) {
        if (!error) {
            tick();
        }
    });
}

bool Relay::isReadingSuccessfully(MonotonicTime now) const
{
    return hasRecentStoreRead(readStateOf(*m_targets), now) && hasRecentStoreRead(readStateOf(*m_documents), now);
}

void Relay::notifyReadingChange(MonotonicTime now)
{
    const bool reads = isReadingSuccessfully(now);
    if (reads != m_wasReading) {
        m_wasReading = reads;
        m_peers.scheduleHeartbeat(NotificationScope::All);
    }
}

TargetListState Relay::readStateOf(const TableFollower &follower) const
{
    return {.isReading = m_readers.isReading(),
            .failingSince = follower.failingSince(),
            .readAt = follower.readAt(),
            .readInterval = follower.readInterval(),
            .currentAt = follower.currentAt()};
}

TargetListState Relay::listSources(MonotonicTime now) const
{
    auto sources = readStateOf(*m_targets);
    sources.heartbeatInterval = m_peers.heartbeatInterval(now);
    const auto peers = m_core.peers.livePeers(now);
    sources.hasReadingPeer = std::any_of(peers.begin(), peers.end(), [](const Peer *peer) { return peer->latestHeartbeat.reading; });
    return sources;
}

void Relay::checkRunningEngines()
{
    absl::flat_hash_set<std::string> engines;
    for (const auto *exchange : m_core.running) {
        const auto *known = m_core.targets.find(exchange->target());
        if (exchange->isMigratable() && known && !known->leavingSince) {
            engines.insert(exchange->target());
        }
    }
    for (const auto &engine : engines) {
        m_core.metrics.count("relay_engine_state_reads_total");
        m_core.checkState(engine);
    }
}

void Relay::detectFreeze(MonotonicTime now)
{
    const auto suspended = suspendedTime();
    const auto frozen = suspended - std::exchange(m_lastSuspendedTime, suspended);
    // The clock goes on while only the process is stopped.
    const auto stopped = now - std::exchange(m_lastRunAt, now) - TickInterval;
    if (frozen < MinFreezeTime && stopped < MinFreezeTime) {
        return;
    }
    m_core.balancer.requestLimits().onFrozen(frozen, now);
    if (m_rollouts) {
        m_rollouts->onStopped(frozen, stopped, now);
    }
    if (frozen < MinFreezeTime) {
        m_documents->readNow();
        m_targets->readNow();
        return;
    }
    // Its response may have been sent before the suspension.
    m_documentRead = 0;
    m_documents->onSuspended(frozen);
    m_targets->onSuspended(frozen);
    m_streamVersions->onSuspended(frozen, now);
    auto line = m_core.line(EventKind::ProcessWasFrozen);
    line.add("for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(frozen).count());
    m_core.log(line);
    m_core.channels.clear();
    m_core.client.closeIdle();
}

void Relay::drain()
{
    if (m_core.isDraining()) {
        return;
    }
    m_core.draining = {.since = monotonicNow(), .grace = m_core.options.grace};
    auto line = m_core.line(EventKind::ProcessDraining);
    line.add("requests", static_cast<int64_t>(m_core.running.size()));
    m_core.log(line);
    m_peers.scheduleHeartbeat(NotificationScope::All);
}

void Relay::checkDrain(MonotonicTime now)
{
    if (!m_core.isDraining()) {
        return;
    }
    const auto since = now - m_core.draining->since;
    // What is appended to a connection leaves in a later turn of the loop. The process exits at a later look, even if the loop was held up past the exit.
    const bool hadEndedRequests = m_hasEndedRequests;
    if (now >= m_core.stopAt()) {
        endRequests(now);
        m_hasEndedRequests = true;
    }
    const bool idle = m_callers->busyCount() == 0;
    if ((idle && since >= MinDrainTime) || (now >= m_core.exitAt() && hadEndedRequests)) {
        for (const auto *exchange : m_core.running) {
            exchange->logUnfinished(now);
        }
        auto line = m_core.line(EventKind::ProcessStopped);
        line.add("requests", static_cast<int64_t>(m_callers->busyCount())).add("unsent_bytes", static_cast<int64_t>(m_callers->unsentBytes()));
        m_core.log(line);
        m_core.loop.stop();
    }
}

void Relay::endRequests(MonotonicTime now)
{
    std::vector<std::shared_ptr<RelayExchange>> exchanges;
    exchanges.reserve(m_core.running.size());
    for (auto *exchange : m_core.running) {
        exchanges.push_back(exchange->shared_from_this());
    }
    for (const auto &exchange : exchanges) {
        exchange->handleStop(now);
    }
}

void Relay::reloadSettings()
{
    auto options = m_settings.read();
    auto line = m_core.line(EventKind::SettingsReloaded);
    if (!options.ok()) {
        line.add("refused", std::string(options.status().message()));
        m_core.log(line);
        return;
    }
    const auto now = monotonicNow();
    for (const auto &seed : options->seeds) {
        m_core.peers.addAddress(seed, now);
    }
    m_core.options.seeds = options->seeds;
    m_core.options.grace = options->grace;
    m_core.options.directoryLifetime = options->directoryLifetime;
    line.add("seeds", absl::StrJoin(options->seeds, ","));
    m_core.log(line);
}

} // namespace Jujube
