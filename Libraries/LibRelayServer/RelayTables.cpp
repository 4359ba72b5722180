#include <LibRelayServer/Relay.h>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>
#include <LibCore/Json.h>
#include <LibCore/JsonNumber.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <LibRelayServer/StreamVersions.h>
#include <LibRelayServer/TargetEntryCheck.h>

// The document and the target list of a relay, from the store or from peers that have read it.
namespace Jujube
{

namespace
{

constexpr std::string_view TargetsPath = "/targets";
// A table that has never been confirmed has no age.
constexpr std::chrono::milliseconds MaxLoggedAge = std::chrono::minutes(1);
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

// Maximum time between two reads by a relay that reads the store all the time: the time for which the store holds a read, the delay between two reads, and the
// way there and back.
constexpr std::chrono::milliseconds MaxReadInterval {1150};
// If the target list of a relay that reads the store differs for this time, the whole list is read.
constexpr std::chrono::milliseconds MaxDifferenceTime {4000};
// Beyond its interval, a heartbeat comes this much later at most from a relay that is not frozen or cut off.
constexpr std::chrono::milliseconds MaxHeartbeatDelay {300};
// Heartbeats of such a relay that may be lost or late before others read the store themselves.
constexpr int HeartbeatsUntilOwnRead = 2;
// Maximum delay before a relay reads a change of which a peer has notified it. All relays are notified at the same moment.
constexpr uint64_t MaxCatchUpDelayMs = 200;
// A relay that reads the store all the time is about to receive the change anyway.
constexpr std::chrono::milliseconds ReaderCatchUpDelay {150};
constexpr std::chrono::milliseconds PeerReadTimeout {500};
// After the store has come back from an older copy, the operator writes again what the copy lacks. Until then a data centre that it lacks stays out of service.
constexpr std::chrono::seconds OperatorRewriteTime {5};
// The platform removes the entry of a target that is silent for some of its heartbeats. One that the store has restored and still lists after this time is of a
// target that is alive.
constexpr std::chrono::seconds SilentTargetRemovalTime {8};

std::string_view sourceOf(const TableFollower &follower)
{
    return follower.source().empty() ? std::string_view("store") : std::string_view(follower.source());
}

} // namespace

std::chrono::milliseconds Relay::maxTableAge(MonotonicTime now) const
{
    return MaxReadInterval + HeartbeatsUntilOwnRead * m_peers.readerHeartbeatInterval(now) + m_ownReadDelay;
}

void Relay::followStore()
{
    const auto &adapter = m_core.adapter;
    const auto optionsFor = [this](const std::string &table) {
        return TableFollower::Options {.table = table,
                                       .shouldRead = [this](MonotonicTime now) { return shouldRead(now); },
                                       .isReading = [this] { return m_readers.isReading(); },
                                       .maxAge = [this](MonotonicTime now) { return maxTableAge(now); },
                                       .liveRelays = [this] { return m_core.liveRelays(monotonicNow()); }};
    };
    const auto onUnavailable
        = [this](const std::string &table) { return [this, table](const std::string &error) { logStore(EventKind::PlatformLost, table, error); }; };
    const auto onAvailable = [this](const std::string &table) {
        return [this, table](std::chrono::milliseconds outage) { logStore(EventKind::PlatformRegained, table, absl::StrCat("after ", outage.count(), " ms")); };
    };
    auto documentOptions = optionsFor(adapter.documentTable);
    documentOptions.awaitsPeers = [this](MonotonicTime now) { return awaitsDocumentFromPeers(now); };
    documentOptions.leavesReadToPeers = [this](MonotonicTime now) { return leavesDocumentToPeers(now); };
    m_documents = std::make_unique<TableFollower>(
        m_core.loop,
        m_core.client,
        adapter,
        m_core.options.store,
        std::move(documentOptions),
        TableFollower::Hooks {.onChange = [this](const StoreRow &row, const TableFollower::ReadContext &context) { onDocumentRow(row, context); },
                              .onTable = [](const StoreRows &, const TableFollower::ReadContext &) {},
                              .onEra = [this](int64_t era) { onDocumentEra(era, monotonicNow()); },
                              .onUnavailable = onUnavailable(adapter.documentTable),
                              .onAvailable = onAvailable(adapter.documentTable),
                              .onReceiving = [this] { m_peers.scheduleHeartbeat(NotificationScope::Region); }});
    m_documentServer
        = std::make_unique<TableChangesServer>(TableChangesServer::Options {.linkMbps = m_core.options.linkMbps},
                                               TableChangesServer::Hooks {.onSent =
                                                                              [this](size_t bytes) {
                                                                                  m_core.metrics.count("relay_table_changes_sent_total");
                                                                                  m_core.metrics.count("relay_table_changes_bytes_sent_total", {}, bytes);
                                                                              },
                                                                          .onBusy = [this] { m_core.metrics.count("relay_table_changes_busy_total"); }},
                                               *m_documents);
    m_targets = std::make_unique<TableFollower>(
        m_core.loop,
        m_core.client,
        adapter,
        m_core.options.store,
        optionsFor(adapter.targetTable),
        TableFollower::Hooks {.onChange = [this](const StoreRow &row, const TableFollower::ReadContext &context) { onTargetRow(row, context, monotonicNow()); },
                              .onTable
                              = [this](const StoreRows &rows, const TableFollower::ReadContext &context) { onTargetTable(rows, context, monotonicNow()); },
                              .onEra = [this](int64_t era) { onTargetsEra(era); },
                              .onUnavailable = onUnavailable(adapter.targetTable),
                              .onAvailable = onAvailable(adapter.targetTable)});
}

void Relay::logStore(EventKind kind, const std::string &table, std::string_view detail)
{
    auto line = m_core.line(kind);
    line.add("table", table).add("detail", detail);
    m_core.log(line);
    m_core.metrics.count("relay_store_changes_total", absl::StrCat("event=\"", toAbsl(nameOf(kind)), "\""));
}

void Relay::logPeerReadFailure(const std::string &table, const std::string &peer, const LoopAnswer &response, MonotonicTime::duration took)
{
    auto line = m_core.line(EventKind::PeerReadFailed);
    line.add("table", table)
        .add("peer", peer)
        .add("status", response.status)
        .add("reason", response.error)
        .add("after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    m_core.log(line);
    m_core.metrics.count("relay_peer_read_failures_total", absl::StrCat("table=\"", table, "\""));
}

void Relay::updateLag(TableLag &lag, const std::string &table, bool hasCaughtUp, MonotonicTime now)
{
    if (const auto lasted = hasCaughtUp ? lag.recordCaughtUp(now) : std::nullopt) {
        m_core.metrics.observe(absl::StrCat("relay_table_lag_seconds_", table), std::chrono::duration<double>(*lasted).count());
    }
}

void Relay::reportLag(TableLag &lag, const TableFollower &follower, const std::string &table, MonotonicTime now)
{
    if (!lag.takeReport(now)) {
        return;
    }
    auto line = m_core.line(EventKind::TableBehind);
    line.add("table", table)
        .add("version", follower.version())
        .add("peer", lag.peer())
        .add("peer_version", lag.version())
        .add("for_ms", lag.duration(now).count())
        .add("age_ms", follower.age(now).count());
    addDelays(line, now);
    m_core.log(line);
}

void Relay::addDelays(LogLine &line, MonotonicTime now) const
{
    line.add("loop_delay_ms", m_loopDelay.value(now).count())
        .add("datagram_wait_ms", m_peers.longestDatagramWait(now).count())
        .add("peer_bytes_received_per_s", static_cast<int64_t>(m_peers.receivedBytesPerSecond(now)))
        .add("peer_bytes_sent_per_s", static_cast<int64_t>(m_peers.sentBytesPerSecond(now)));
}

void Relay::exportTables(MonotonicTime now)
{
    const auto exportTable = [&](const TableFollower &follower, const std::string &table, const TableLag &lag) {
        const auto label = absl::StrCat("table=\"", table, "\"");
        m_core.metrics.set("relay_table_version", static_cast<double>(follower.version()), label);
        m_core.metrics.set("relay_table_era", static_cast<double>(follower.era()), label);
        m_core.metrics.set("relay_table_age_seconds", std::chrono::duration<double>(follower.age(now)).count(), label);
        m_core.metrics.set("relay_table_behind_seconds", std::chrono::duration<double>(lag.duration(now)).count(), label);
    };
    exportTable(*m_documents, m_core.adapter.documentTable, m_documentLag);
    exportTable(*m_targets, m_core.adapter.targetTable, m_targetsLag);
    m_core.metrics.set("relay_document_version", m_core.routes ? static_cast<double>(m_core.routes->document().version) : 0);
    m_core.metrics.set("relay_reads_store", m_readers.isReading() ? 1 : 0);
    m_core.metrics.set("relay_loop_delay_seconds", std::chrono::duration<double>(m_loopDelay.value(now)).count());
    m_core.metrics.set("relay_datagram_wait_seconds", std::chrono::duration<double>(m_peers.longestDatagramWait(now)).count());
}

void Relay::onPeerRequest(const std::shared_ptr<CallerChannel> &channel, const CallerRequest &request)
{
    const auto &target = request.head.target;
    if (target == TableChangesServer::pathOf(m_core.adapter.documentTable)) {
        m_documentServer->respond(channel, request.head, monotonicNow());
    } else if (target == TargetsPath && m_core.targets.size() > 0) {
        const PeerHeartbeat heartbeat {
            .node = m_core.options.node, .targetsEra = m_targets->era(), .targetsVersion = m_targets->version(), .targets = m_core.targets.allEntries()};
        channel->send({.status = StatusOk}, encodePeerHeartbeat(heartbeat, MaxPeerResponseBytes));
    } else {
        channel->send({.status = StatusNotFound}, {});
    }
}

void Relay::requestTargetsIfUnavailable(MonotonicTime now)
{
    // Targets are requested while the store cannot be read and a peer has a newer list.
    if (m_targets->hasRows() && !m_targets->isUnavailable()) {
        return;
    }
    const Peer *best = nullptr;
    for (const auto *peer : m_core.peers.livePeers(now)) {
        const auto position = [](const PeerHeartbeat &heartbeat) { return std::pair(heartbeat.targetsEra, heartbeat.targetsVersion); };
        if (!best || position(peer->latestHeartbeat) > position(best->latestHeartbeat)) {
            best = peer;
        }
    }
    if (best && (best->latestHeartbeat.targetsDigest != m_core.targets.digest() || best->latestHeartbeat.targetsEra > m_targets->era())) {
        requestTargetsFromPeer(best->latestHeartbeat);
    }
}

std::pair<int64_t, int64_t> Relay::newestDocumentPosition(MonotonicTime now) const
{
    std::pair<int64_t, int64_t> newest;
    for (const auto *peer : m_core.peers.livePeers(now)) {
        newest = std::max(newest, std::pair(peer->latestHeartbeat.documentEra, peer->latestHeartbeat.documentTableVersion));
    }
    return newest;
}

std::vector<ChangeSource::Relay> Relay::documentHolders(const std::pair<int64_t, int64_t> &position, MonotonicTime now) const
{
    std::vector<ChangeSource::Relay> relays;
    const auto peers = m_documents->failingSince() ? m_core.peers.livePeers(now) : m_core.peers.livePeersInRegion(now);
    for (const auto *peer : peers) {
        const auto &heartbeat = peer->latestHeartbeat;
        const auto [era, version] = position;
        relays.push_back({.node = heartbeat.node,
                          .address = heartbeat.peers,
                          .linkMbps = heartbeat.linkMbps,
                          .hasChanges = version > 0 && heartbeat.documentEra == era && heartbeat.documentTableVersion >= version,
                          .isReceiving = heartbeat.receivingDocument && now - peer->receivedAt < heartbeat.heartbeatInterval + MaxHeartbeatDelay});
    }
    return relays;
}

std::optional<ChangeSource::Decision> Relay::chooseDocumentSource(MonotonicTime now)
{
    const auto position = newestDocumentPosition(now);
    const auto [era, version] = position;
    if (!m_documents->isBehind(era, version)) {
        m_documentSource.recordCaughtUp();
        return std::nullopt;
    }
    // What the store has lost when a new era begins, only it can tell.
    const bool mustRead = m_readers.isReading() || era != m_documents->era();
    if (m_documents->hasRows() && !m_documents->failingSince() && mustRead) {
        return std::nullopt;
    }
    return m_documentSource.decide(documentHolders(position, now), now, m_core.random());
}

bool Relay::leavesDocumentToPeers(MonotonicTime now) const
{
    return !m_readers.isReading() && m_documentSource.isReadByOthers(documentHolders(newestDocumentPosition(now), now));
}

bool Relay::awaitsDocumentFromPeers(MonotonicTime now)
{
    if (m_documentRead != 0) {
        return true;
    }
    if (!m_documents->hasRows() && leavesDocumentToPeers(now)) {
        return true;
    }
    const auto decision = chooseDocumentSource(now);
    return decision && decision->kind != ChangeSource::Decision::Kind::Store;
}

void Relay::readDocumentChanges(MonotonicTime now)
{
    if (m_documentRead != 0) {
        return;
    }
    const auto decision = chooseDocumentSource(now);
    if (!decision || decision->kind == ChangeSource::Decision::Kind::Wait) {
        return;
    }
    if (decision->kind == ChangeSource::Decision::Kind::Peer) {
        readDocumentFromPeer(decision->address, now);
    } else if (m_documents->hasRows() && !m_documents->failingSince()) {
        m_documents->readSoon(std::chrono::milliseconds(0));
    }
}

void Relay::readDocumentFromPeer(const std::string &address, MonotonicTime now)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        m_documentSource.recordFailure(address, now);
        return;
    }
    const auto [era, wanted] = newestDocumentPosition(now);
    const auto after = m_documents->hasRows() ? m_documents->version() : 0;
    const auto call = TableChangesServer::buildCall(m_core.adapter.documentTable,
                                                    {.era = m_documents->era(), .after = after, .wanted = wanted, .receiver = m_core.options.peers.toText()});
    m_documentRead = ++m_documentReads;
    m_core.client.call(*endpoint, call, [this, address, number = m_documentRead, requestedAt = now](const LoopAnswer &response) {
        if (number == m_documentRead) {
            m_documentRead = 0;
            onDocumentFromPeer(address, requestedAt, response, monotonicNow());
        }
    });
}

void Relay::onDocumentFromPeer(const std::string &address, MonotonicTime requestedAt, const LoopAnswer &response, MonotonicTime now)
{
    const auto &table = m_core.adapter.documentTable;
    if (response.status == StatusUnavailable) {
        m_documentSource.recordBusy(address, TableChangesServer::holdersOf(response), now);
        readDocumentChanges(now);
        return;
    }
    const auto changes = response.isSuccess() ? decodeTableChanges(response.body) : std::nullopt;
    if (!changes) {
        logPeerReadFailure(table, address, response, now - requestedAt);
        m_documentSource.recordFailure(address, now);
        readDocumentChanges(now);
        return;
    }
    const auto age = TableChangesServer::ageOf(response);
    if (m_documents->merge(*changes, address, age ? std::optional(requestedAt - *age) : std::nullopt)) {
        m_documentSource.recordReceived();
        logStore(EventKind::TableReplaced, table, absl::StrCat("from peer ", address, " as of ", changes->rows.version));
    } else if (chooseDocumentSource(now)) {
        m_documentSource.recordFailure(address, now);
    }
}

void Relay::onPeerDocument(const PeerHeartbeat &heartbeat)
{
    const auto now = monotonicNow();
    if (m_documents->isBehind(heartbeat.documentEra, heartbeat.documentTableVersion)) {
        m_documentLag.recordBehind(heartbeat.node, heartbeat.documentTableVersion, now);
        const bool mustRead = m_readers.isReading() || heartbeat.documentEra != m_documents->era();
        if (m_documents->hasRows() && mustRead) {
            m_documents->readSoon(catchUpDelay(now));
        } else {
            readDocumentChanges(now);
        }
        return;
    }
    if (heartbeat.documentEra == m_documents->era()) {
        updateLag(m_documentLag, m_core.adapter.documentTable, m_documents->version() >= m_documentLag.version(), now);
    }
    m_documents->noteState({.era = heartbeat.documentEra,
                            .version = heartbeat.documentVersion,
                            .changeVersion = heartbeat.documentTableVersion,
                            .historyFrom = heartbeat.documentHistoryFrom,
                            .age = heartbeat.documentAge},
                           now);
}

std::chrono::milliseconds Relay::catchUpDelay(MonotonicTime now)
{
    if (m_readers.isReading()) {
        return ReaderCatchUpDelay;
    }
    const auto maxDelayMs = std::min(MaxCatchUpDelayMs, static_cast<uint64_t>(m_core.liveRelays(now)));
    return std::chrono::milliseconds(static_cast<int64_t>(m_core.random() % maxDelayMs));
}

void Relay::onPeerTargets(const PeerHeartbeat &heartbeat, MonotonicTime now)
{
    for (const auto &entry : heartbeat.targets) {
        applyPeerTarget(entry, heartbeat.targetsEra, now);
    }
    if (heartbeat.targetsEra > m_targets->era() && !m_targets->failingSince()) {
        // What the store has lost, and what it has got since, only it can tell.
        m_targets->readSoon(catchUpDelay(now));
    }
    const bool isEqual = heartbeat.targetsDigest == m_core.targets.digest();
    if (heartbeat.reading && !isEqual && m_targets->isBehind(heartbeat.targetsEra, heartbeat.targetsVersion)) {
        m_targetsLag.recordBehind(heartbeat.node, heartbeat.targetsVersion, now);
    } else if (heartbeat.reading && isEqual) {
        updateLag(m_targetsLag, m_core.adapter.targetTable, true, now);
    }
    // While the lists differ, this relay's one is not confirmed, and it reads the changes itself before long.
    if (isEqual) {
        m_targets->noteCurrent(heartbeat.targetsEra, heartbeat.targetsVersion, heartbeat.targetsAge, now);
    }
    if (!heartbeat.reading) {
        return;
    }
    if (isEqual) {
        m_targetListDiffersSince.reset();
    } else if (!m_targetListDiffersSince) {
        m_targetListDiffersSince = now;
    } else if (now - *m_targetListDiffersSince >= MaxDifferenceTime) {
        // The changes have not removed the difference.
        m_targetListDiffersSince.reset();
        m_targets->readTable();
    }
}

void Relay::requestTargetsFromPeer(const PeerHeartbeat &heartbeat)
{
    const auto endpoint = Endpoint::parse(heartbeat.peers);
    if (!endpoint || m_isRequestingTargets || heartbeat.targetsVersion == 0) {
        return;
    }
    m_isRequestingTargets = true;
    const LoopCall call {.target = std::string(TargetsPath), .timeout = PeerReadTimeout, .mostAnswerBytes = MaxPeerResponseBytes, .freshConnection = true};
    m_core.client.call(*endpoint, call, [this, node = heartbeat.node, requestedAt = monotonicNow()](const LoopAnswer &response) {
        m_isRequestingTargets = false;
        const auto peer = response.isSuccess() ? decodePeerHeartbeat(response.body) : std::nullopt;
        if (!peer) {
            logPeerReadFailure(m_core.adapter.targetTable, node, response, monotonicNow() - requestedAt);
        } else {
            logStore(EventKind::TableReplaced, m_core.adapter.targetTable, absl::StrCat("from peer ", node, " as of ", peer->targetsVersion));
            applyPeerTargets(*peer, monotonicNow());
        }
    });
}

void Relay::applyPeerTargets(const PeerHeartbeat &peer, MonotonicTime now)
{
    if (peer.targetsEra < m_targets->era()) {
        return;
    }
    m_targets->enterEra(peer.targetsEra);
    absl::flat_hash_set<std::string> listed;
    for (const auto &entry : peer.targets) {
        listed.insert(entry.id);
        applyPeerTarget(entry, peer.targetsEra, now);
    }
    removeUnlisted(listed, false, peer.targetsVersion, "not listed by peer", now);
    m_hasPeerTargets = true;
}

bool Relay::shouldRead(MonotonicTime now)
{
    std::vector<std::string> readers;
    for (const auto *peer : m_core.peers.livePeers(now)) {
        if (peer->latestHeartbeat.trying) {
            readers.push_back(peer->latestHeartbeat.node);
        }
    }
    const bool wasReading = m_readers.isReading();
    const bool reads = m_readers.decide(readers, m_core.liveRelays(now), now, m_core.random());
    if (reads != wasReading) {
        auto line = m_core.line(EventKind::StoreReaderChanged);
        line.add("reads", reads ? 1 : 0).add("other_readers", static_cast<int64_t>(readers.size()));
        m_core.log(line);
        m_peers.scheduleHeartbeat(NotificationScope::All);
    }
    return reads;
}

void Relay::onDocumentEra(int64_t era, MonotonicTime now)
{
    logStore(EventKind::StoreRestored, m_core.adapter.documentTable, absl::StrCat("era ", era));
    m_documentLag.recordCaughtUp(now);
    for (auto &[dataCentre, until] : m_unlistedDataCentres) {
        until = now + OperatorRewriteTime;
    }
}

void Relay::onTargetsEra(int64_t era)
{
    logStore(EventKind::StoreRestored, m_core.adapter.targetTable, absl::StrCat("era ", era));
    m_core.targets.forgetVersions();
    m_streamVersions->onStoreRestored(monotonicNow());
    m_formerEntries.clear();
}

void Relay::onDataCentreRow(const std::string &name, const StoreRow &row, const TableFollower::ReadContext &context, MonotonicTime now)
{
    if (row.removed && context.afterRestore && m_core.targets.isOutOfService(name)) {
        m_unlistedDataCentres[name] = now + OperatorRewriteTime;
        auto line = m_core.line(EventKind::DataCentreUnlisted);
        line.add("data_centre", name);
        m_core.log(line);
        return;
    }
    m_unlistedDataCentres.erase(name);
    setDataCentreOut(name, !row.removed, row.version);
}

void Relay::expireUnlistedDataCentres(MonotonicTime now)
{
    absl::erase_if(m_unlistedDataCentres, [&](const auto &entry) {
        const auto &[name, until] = entry;
        if (now < until) {
            return false;
        }
        setDataCentreOut(name, false, m_documents->version());
        return true;
    });
}

void Relay::onDocumentRow(const StoreRow &row, const TableFollower::ReadContext &context)
{
    if (row.key == m_core.adapter.documentKey) {
        applyDocument(row, context);
    } else if (const auto dataCentre = m_core.adapter.decodeOutOfServiceDataCentre(row.key)) {
        onDataCentreRow(*dataCentre, row, context, monotonicNow());
    } else if (const auto service = m_rollouts ? m_core.adapter.decodeRolloutService(row.key) : std::nullopt) {
        m_rollouts->onOrderRow(*service, row, monotonicNow());
    }
    updateLag(m_documentLag, m_core.adapter.documentTable, row.version >= m_documentLag.version(), monotonicNow());
    if (m_readers.isReading()) {
        m_peers.scheduleHeartbeat(NotificationScope::All);
    } else if (m_documents->source().empty()) {
        // Relays of the region wait for those that read the store.
        m_peers.scheduleHeartbeat(NotificationScope::Region);
    }
}

void Relay::setDataCentreOut(const std::string &name, bool out, int64_t version)
{
    if (!m_core.targets.setDataCentreOut(name, out, monotonicNow())) {
        return;
    }
    auto line = m_core.line(out ? EventKind::DataCentreOut : EventKind::DataCentreIn);
    line.add("data_centre", name)
        .add("row_version", version)
        .add("source", sourceOf(*m_documents))
        .add("behind_ms", m_documentLag.duration(monotonicNow()).count());
    m_core.log(line);
    if (out) {
        for (const auto &[id, target] : m_core.targets.targets()) {
            if (target.entry.dataCentre == name) {
                m_core.dropBackupsAt(id);
            }
        }
    }
}

void Relay::applyDocument(const StoreRow &row, const TableFollower::ReadContext &context)
{
    if (row.removed) {
        return;
    }
    auto document = m_core.adapter.decodeDocument(row.value);
    if (!document.ok()) {
        auto line = m_core.line(EventKind::DocumentRefused);
        line.add("row_version", row.version).add("reason", std::string(document.status().message()));
        m_core.log(line);
        m_core.metrics.count("relay_documents_refused_total");
        return;
    }
    if (m_core.routes && document->version <= m_core.routes->document().version) {
        return;
    }
    const auto now = monotonicNow();
    auto line = m_core.line(EventKind::DocumentInForce);
    line.add("version", document->version)
        .add("row_version", row.version)
        .add("routes", static_cast<int64_t>(document->routes.size()))
        .add("workspaces", static_cast<int64_t>(document->workspaces.size()))
        .add("source", sourceOf(*m_documents))
        .add("behind_ms", m_documentLag.duration(now).count())
        .add("age_ms", std::min(m_documents->age(now), MaxLoggedAge).count());
    if (context.sentAt) {
        line.add("read_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - *context.sentAt).count());
    }
    addDelays(line, now);
    m_core.log(line);
    m_core.routes = std::make_shared<const RouteTable>(*std::move(document));
    m_core.dropBackupsOutsideHomes();
}

std::optional<TargetEntry> Relay::decodeTarget(const StoreRow &row)
{
    auto entry = m_core.adapter.decodeTarget(row.key, row.value);
    const auto status = entry.ok() ? checkTargetEntry(*entry) : entry.status();
    if (status.ok()) {
        entry->version = row.version;
        return *std::move(entry);
    }
    logUnreadableTarget(row.key, status);
    return std::nullopt;
}

void Relay::logUnreadableTarget(const std::string &id, const absl::Status &status)
{
    auto line = m_core.line(EventKind::RowUnreadable);
    line.add("table", m_core.adapter.targetTable).add("key", id).add("reason", std::string(status.message()));
    m_core.log(line);
    m_core.metrics.count("relay_rows_unreadable_total");
}

void Relay::applyPeerTarget(TargetEntry entry, int64_t era, MonotonicTime now)
{
    if (const auto status = checkTargetEntry(entry); !status.ok()) {
        logUnreadableTarget(entry.id, status);
        return;
    }
    const bool mayBeRestored = era != m_targets->era() || m_targets->awaitsFirstTable() || m_formerEntries.contains(entry.id);
    if (mayBeRestored && !entry.leaving && !entry.reportedLeaving && m_core.targets.isFromBeforeLeaving(entry)) {
        return;
    }
    if (era != m_targets->era()) {
        // The version cannot be compared: what a peer knows of an earlier era is older than all that is known, of a later one newer.
        const auto *known = m_core.targets.find(entry.id);
        entry.version = known && era > m_targets->era() ? known->entry.version : 0;
    }
    applyTarget(entry, TargetTable::Source::Peer, now);
}

void Relay::applyTarget(const TargetEntry &entry, TargetTable::Source source, MonotonicTime now)
{
    const bool fromPeer = source == TargetTable::Source::Peer;
    const std::string_view sourceName = fromPeer ? "peer" : "list";
    const auto *known = m_core.targets.find(entry.id);
    const bool isNew = !known || known->entry.incarnation < entry.incarnation;
    if (isNew && known) {
        m_core.handleTargetReplaced(entry);
    }
    if (isNew) {
        auto line = m_core.line(EventKind::TargetListed);
        line.add("target", entry.id)
            .add("service", entry.service)
            .add("address", entry.address)
            .add("data_centre", entry.dataCentre)
            .add("source", sourceName)
            .add("row_version", entry.version);
        m_core.log(line);
        if (const auto endpoint = Endpoint::parse(entry.address)) {
            m_core.channels.forget(*endpoint);
        }
        m_core.balancer.markReachable(entry.id);
        m_core.balancer.cooldowns().forget(entry.id);
        m_core.continuations.forget(entry.id);
        m_core.balancer.requestLimits().forgetBefore(entry.id, entry.incarnation);
        m_peers.scheduleHeartbeat(notificationScopeForTarget(fromPeer, false, false));
    }
    const bool isLeaving = m_core.targets.set(entry, now, source);
    if (m_rollouts) {
        m_rollouts->onTargetApplied(entry.id);
    }
    if (isLeaving) {
        m_core.handleTargetLeaving(entry.id, sourceName, now);
        m_peers.scheduleHeartbeat(notificationScopeForTarget(fromPeer, true, m_core.balancer.ownLoad(entry.id).movable > 0));
    }
}

void Relay::onTargetTable(const StoreRows &rows, const TableFollower::ReadContext &context, MonotonicTime now)
{
    absl::flat_hash_set<std::string> listed;
    for (const auto &row : rows.rows) {
        listed.insert(row.key);
        onTargetRow(row, context, now);
    }
    const auto missing = removeUnlisted(listed, context.afterOutage, rows.version, "not listed", now);
    logStore(EventKind::TableReplaced, m_core.adapter.targetTable, absl::StrCat(rows.rows.size(), " rows, ", missing, " missing"));
}

size_t Relay::removeUnlisted(const absl::flat_hash_set<std::string> &listed, bool afterOutage, int64_t version, std::string_view reason, MonotonicTime now)
{
    std::vector<std::string> missing;
    for (const auto &[id, target] : m_core.targets.targets()) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        if (m_core.targets.remove(id, afterOutage, version, now)) {
            m_core.handleTargetLeaving(id, reason, now);
        }
    }
    return missing.size();
}

void Relay::onTargetRow(const StoreRow &row, const TableFollower::ReadContext &context, MonotonicTime now)
{
    if (row.removed) {
        m_formerEntries.erase(row.key);
        if (m_core.targets.remove(row.key, context.afterOutage, row.version, now)) {
            m_core.handleTargetLeaving(row.key, "entry removed", now);
            m_peers.scheduleHeartbeat(NotificationScope::All);
        }
        return;
    }
    const auto entry = decodeTarget(row);
    if (!entry || holdFormerEntry(*entry, context, now)) {
        return;
    }
    m_formerEntries.erase(entry->id);
    applyTarget(*entry, TargetTable::Source::Direct, now);
}

bool Relay::holdFormerEntry(const TargetEntry &entry, const TableFollower::ReadContext &context, MonotonicTime now)
{
    const bool mayBeRestored = context.afterRestore || m_formerEntries.contains(entry.id);
    if (!mayBeRestored || !m_core.targets.isFromBeforeLeaving(entry)) {
        return false;
    }
    const auto [held, isNew] = m_formerEntries.try_emplace(entry.id, FormerEntry {.until = now + SilentTargetRemovalTime});
    held->second.entry = entry;
    return true;
}

void Relay::applyFormerEntries(MonotonicTime now)
{
    absl::erase_if(m_formerEntries, [&](const auto &item) {
        if (now < item.second.until) {
            return false;
        }
        applyTarget(item.second.entry, TargetTable::Source::Direct, now);
        return true;
    });
}

} // namespace Jujube
