#include <LibRelayServer/StreamVersions.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace Jujube
{

namespace
{

// Time for which peers are awaited. They answer within a round trip.
constexpr std::chrono::milliseconds MaxQuestionTime {200};
// Delay before streams that have begun are reported, so that a datagram covers several.
constexpr std::chrono::milliseconds ReportDelay {20};
// A handover looks at so many origins at a time, so that requests do not wait for it.
constexpr size_t OriginsInHandoverStep = 500;
constexpr std::chrono::milliseconds HandoverStepInterval {20};
constexpr std::chrono::milliseconds StoreReadInterval {500};
constexpr uint64_t TicksPerExpiry = 10;

} // namespace

StreamVersions::StreamVersions(RelayCore &core, bool isFirstStart, int64_t incarnation, Hooks hooks)
    : m_core(core)
    , m_isFirstStart(isFirstStart)
    , m_hooks(std::move(hooks))
    , m_origins({})
    , m_keepers({.ownNode = core.options.node, .ownAddress = core.options.peers.toText(), .ownIncarnation = incarnation})
    , m_history({.settleTime = MaxListAge + MaxAgeError}, monotonicNow())
    , m_store(core.loop,
              core.client,
              core.adapter,
              core.options.store,
              {},
              {.onRead = [this](const std::map<std::string, StoredVersions> &stored) { onStoreRead(stored, monotonicNow()); },
               .onReadFailed =
                   [this](const std::string &) {
                       for (const auto &pending : m_pending) {
                           pending->awaitsStore = false;
                       }
                       settle(monotonicNow());
                   },
               .onUnreadable = [this](const std::string &service, const std::string &) { m_unreadable.insert(service); }},
              wallMsNow)
    , m_traffic({})
    , m_reportTimer(core.loop)
    , m_handoverTimer(core.loop)
{
}

std::vector<uint64_t> StreamVersions::keysOf(const Question &question) const
{
    std::vector<uint64_t> keys;
    for (const auto &service : question.services) {
        keys.push_back(StreamOrigins::keyOf(question.workspace, service, question.attempt));
    }
    return keys;
}

std::optional<StreamVersions::Origin> StreamVersions::known(const Question &question, const std::vector<uint64_t> &keys, MonotonicTime now) const
{
    if (!question.attempt.empty()) {
        for (size_t index = 0; index < keys.size(); ++index) {
            if (const auto version = m_origins.version(keys[index], now)) {
                return Origin {.service = question.services[index], .version = *version};
            }
        }
    }
    if (question.services.size() != 1 || m_hooks.listAge(now) >= MaxListAge) {
        return std::nullopt;
    }
    const auto &service = question.services.front();
    const auto version = m_history.onlyVersion(service, now);
    return version ? std::optional(Origin {.service = service, .version = *version}) : std::nullopt;
}

void StreamVersions::find(const Question &question, Hook hook, MonotonicTime now)
{
    recordVersions(now);
    auto keys = keysOf(question);
    if (const auto origin = known(question, keys, now)) {
        hook(origin);
        return;
    }
    const auto pending = std::make_shared<PendingQuestion>();
    pending->question = question;
    pending->hook = std::move(hook);
    pending->keys = std::move(keys);
    pending->timer = std::make_unique<boost::asio::steady_timer>(m_core.loop);
    m_pending.push_back(pending);
    ask(pending, now);
    pending->timer->expires_after(MaxQuestionTime);
    pending->timer->async_wait([this, weak = std::weak_ptr(pending)](const LoopError &error) {
        if (const auto late = weak.lock(); late && !error) {
            late->awaited = 0;
            late->awaitsStore = false;
            late->isLate = true;
            settle(monotonicNow());
        }
    });
    settle(now);
}

void StreamVersions::ask(const PendingPointer &pending, MonotonicTime now)
{
    if (!pending->question.attempt.empty()) {
        updateRelays(now);
        askPeers(pending, now);
        m_core.metrics.count("relay_stream_version_questions_total");
    }
    const bool lacksHistory = std::ranges::any_of(pending->question.services, [&](const auto &service) { return !m_history.candidates(service, now); });
    if (lacksHistory) {
        pending->awaitsStore = true;
        m_store.read();
    }
}

void StreamVersions::askPeers(const PendingPointer &pending, MonotonicTime now)
{
    std::map<std::string, std::vector<uint64_t>> questions;
    for (const auto key : pending->keys) {
        for (const auto &address : m_keepers.relaysToAsk(key, now)) {
            if (!pending->asked.contains(address)) {
                questions[address].push_back(key);
            }
        }
    }
    for (const auto &[address, keys] : questions) {
        pending->asked.insert(address);
        ++pending->awaited;
        m_hooks.sendDatagram(address, encodeStreamOriginReport({.node = m_core.options.node, .peers = m_core.options.peers.toText(), .questions = keys}));
    }
}

void StreamVersions::settle(MonotonicTime now)
{
    // Until then, relays may answer that have not been heard yet.
    const bool hasDiscoveredPeers = m_core.peers.hasDiscoveredPeers(now);
    std::vector<PendingPointer> done;
    for (const auto &pending : m_pending) {
        const bool isAnswered = pending->awaited == 0 && (hasDiscoveredPeers || pending->isLate) && !pending->awaitsStore;
        if (isAnswered || known(pending->question, pending->keys, now)) {
            done.push_back(pending);
        }
    }
    for (const auto &pending : done) {
        finish(pending, now);
    }
}

void StreamVersions::finish(const PendingPointer &pending, MonotonicTime now)
{
    std::erase(m_pending, pending);
    pending->timer->cancel();
    const auto origin = known(pending->question, pending->keys, now);
    if (!origin) {
        m_core.metrics.count("relay_stream_versions_unknown_total");
    }
    pending->hook(origin);
}

void StreamVersions::updateRelays(MonotonicTime now)
{
    std::vector<StreamOriginKeepers::Relay> live;
    for (const auto *peer : m_core.peers.livePeers(now)) {
        const auto &heartbeat = peer->latestHeartbeat;
        live.push_back({.node = heartbeat.node, .address = heartbeat.peers, .incarnation = heartbeat.incarnation, .heardAt = peer->receivedAt});
    }
    if (m_keepers.update(std::move(live), now)) {
        for (const auto &pending : m_pending) {
            if (!pending->question.attempt.empty()) {
                askPeers(pending, now);
            }
        }
    }
}

void StreamVersions::record(
    const std::string &workspace, const std::string &service, const std::string &attempt, const std::string &version, MonotonicTime until, MonotonicTime now)
{
    m_origins.recordOwn(StreamOrigins::keyOf(workspace, service, attempt), version, until, now);
    if (m_history.hasSeveral(service, now) || !m_wasListCurrent) {
        scheduleReports();
    }
}

std::optional<std::set<std::string>> StreamVersions::settledVersions(const std::string &service, MonotonicTime now) const
{
    return m_history.settledVersions(service, now);
}

void StreamVersions::scheduleReports()
{
    if (std::exchange(m_isReportScheduled, true)) {
        return;
    }
    m_reportTimer.expires_at(std::max(monotonicNow() + ReportDelay, m_traffic.nextAt(monotonicNow())));
    m_reportTimer.async_wait([this](const LoopError &error) {
        if (!error) {
            m_isReportScheduled = false;
            sendReports(monotonicNow());
        }
    });
}

void StreamVersions::sendReports(MonotonicTime now)
{
    if (!areOriginsInUse()) {
        return;
    }
    updateRelays(now);
    std::map<std::string, std::vector<StreamOrigin>> reports;
    for (const auto &origin : m_origins.takeReports(MaxStreamsInDatagram, now)) {
        for (const auto &address : m_keepers.keepersOf(origin.key)) {
            reports[address].push_back(origin);
        }
    }
    const bool areSent = !reports.empty();
    m_traffic.recordSent(sendOrigins(reports), now);
    if (areSent && m_origins.hasReports(now)) {
        scheduleReports();
    }
}

void StreamVersions::onRelaysChanged(MonotonicTime now)
{
    if (areOriginsInUse()) {
        updateRelays(now);
    }
    beginHandover(now);
}

size_t StreamVersions::sendOrigins(const std::map<std::string, std::vector<StreamOrigin>> &origins)
{
    size_t bytes = 0;
    for (const auto &[address, streams] : origins) {
        const StreamOriginReport report {.node = m_core.options.node, .peers = m_core.options.peers.toText(), .streams = streams};
        for (const auto &datagram : encodeStreamOriginReports(report)) {
            m_hooks.sendDatagram(address, datagram);
            bytes += datagram.size();
        }
    }
    return bytes;
}

void StreamVersions::beginHandover(MonotonicTime now)
{
    using Scope = StreamOriginKeepers::HandoverScope;
    const bool wereInUse = std::exchange(m_wereOriginsInUse, areOriginsInUse());
    if (!m_toHandOver.empty() || !m_keepers.needsHandover()) {
        return;
    }
    if (!areOriginsInUse() || !wereInUse) {
        // The relay's own origins are reported to all relays when they come into use.
        m_keepers.beginHandover(Scope::None);
        return;
    }
    m_keepers.beginHandover(m_core.peers.hasDiscoveredPeers(now) ? Scope::All : Scope::SinceOwnStart);
    m_toHandOver = m_origins.keys();
    continueHandover(now);
}

void StreamVersions::continueHandover(MonotonicTime now)
{
    std::map<std::string, std::vector<StreamOrigin>> origins;
    for (size_t count = 0; count < OriginsInHandoverStep && !m_toHandOver.empty(); ++count) {
        const auto key = m_toHandOver.back();
        m_toHandOver.pop_back();
        const auto record = m_origins.known(key, now);
        if (!record) {
            continue;
        }
        for (const auto &address : m_keepers.receiversOf(key, record->isOwn, record->recordedAt)) {
            auto &streams = origins[address];
            streams.insert(streams.end(), record->origins.begin(), record->origins.end());
            m_core.metrics.count("relay_stream_origins_handed_over_total");
        }
    }
    m_traffic.recordSent(sendOrigins(origins), now);
    if (m_toHandOver.empty()) {
        return;
    }
    m_handoverTimer.expires_at(std::max(now + HandoverStepInterval, m_traffic.nextAt(now)));
    m_handoverTimer.async_wait([this](const LoopError &error) {
        if (!error) {
            continueHandover(monotonicNow());
        }
    });
}

void StreamVersions::onReport(const StreamOriginReport &report, MonotonicTime now)
{
    for (const auto &stream : report.streams) {
        m_origins.recordReported(stream, now);
    }
    const auto isAnswer = [&](uint64_t key) {
        return std::ranges::find(report.unknown, key) != report.unknown.end()
            || std::ranges::find(report.streams, key, &StreamOrigin::key) != report.streams.end();
    };
    for (const auto &pending : m_pending) {
        if (pending->awaited > 0 && std::ranges::any_of(pending->keys, isAnswer)) {
            --pending->awaited;
        }
    }
    if (!report.questions.empty()) {
        StreamOriginReport answer {.node = m_core.options.node, .peers = m_core.options.peers.toText()};
        for (const auto key : report.questions) {
            auto origins = m_origins.find(key, now);
            if (origins.empty()) {
                answer.unknown.push_back(key);
            }
            std::ranges::move(origins, std::back_inserter(answer.streams));
        }
        for (const auto &datagram : encodeStreamOriginReports(answer)) {
            m_hooks.sendDatagram(report.peers, datagram);
        }
    }
    settle(now);
}

const std::vector<std::string> &StreamVersions::services()
{
    if (m_routes == m_core.routes) {
        return m_services;
    }
    m_routes = m_core.routes;
    std::set<std::string> names;
    for (const auto &route : m_routes->document().routes) {
        for (const auto &share : route.shares) {
            if (route.kind == RouteKind::Stream && route.resumable) {
                names.insert(share.service);
            }
        }
    }
    m_services.assign(names.begin(), names.end());
    return m_services;
}

void StreamVersions::recordVersions(MonotonicTime now)
{
    const auto listAge = m_hooks.listAge(now);
    if (listAge >= MaxListAge) {
        if (std::exchange(m_wasListCurrent, false)) {
            // If the store is away for all relays, none of them can conclude by which version a stream began.
            m_origins.reportAll(now);
            scheduleReports();
        }
        return;
    }
    if (!std::exchange(m_wasListCurrent, true)) {
        m_history.interrupt(now);
        m_hasStored = false;
    }
    for (const auto &service : services()) {
        std::set<std::string> serving;
        for (const auto *target : m_core.targets.ofService(service)) {
            if (!target->leavingSince) {
                serving.insert(target->entry.softwareVersion);
            }
        }
        if (m_history.record(service, serving, now)) {
            m_toStore.insert(service);
        }
        m_history.settleUntil(service, now - listAge);
        settleVersions(service, now);
        if (!m_history.hasSeveral(service, now)) {
            m_withSeveral.erase(service);
        } else if (m_withSeveral.insert(service).second) {
            // Streams that began while there was one version have not been reported.
            m_origins.reportAll(now);
            scheduleReports();
        }
    }
}

void StreamVersions::settleVersions(const std::string &service, MonotonicTime now)
{
    for (const auto &version : m_history.unsettledVersions(service)) {
        // Whoever knows the list up to the first of these entries knows of the version.
        std::optional<int64_t> listedAt;
        for (const auto *target : m_core.targets.ofService(service)) {
            if (target->entry.softwareVersion == version && target->entry.version > 0) {
                listedAt = std::min(listedAt.value_or(target->entry.version), target->entry.version);
            }
        }
        if (listedAt && m_hooks.isKnownToAll(*listedAt, now)) {
            m_history.settle(service, version);
        }
    }
}

void StreamVersions::readStore(MonotonicTime now)
{
    if (now >= m_nextStoreRead) {
        m_nextStoreRead = now + StoreReadInterval;
        m_store.read();
    }
}

void StreamVersions::onStoreRead(const std::map<std::string, StoredVersions> &stored, MonotonicTime now)
{
    for (const auto &service : services()) {
        const auto found = stored.find(service);
        if (found != stored.end()) {
            m_history.merge(service, found->second, now);
        } else if (m_isFirstStart && !m_unreadable.contains(service)) {
            m_history.merge(service, {}, now);
        }
        // Another relay may have stored less than this one knows.
        if (found == stored.end() || found->second.versions.size() < m_history.toStore(service, now).versions.size()) {
            m_toStore.insert(service);
        }
    }
    m_hasStored = m_wasListCurrent;
    for (const auto &pending : m_pending) {
        pending->awaitsStore = false;
    }
    settle(now);
}

void StreamVersions::updateStore(MonotonicTime now)
{
    if (!m_hooks.isReader() || m_toStore.empty() || !m_wasListCurrent) {
        return;
    }
    if (!m_hasStored) {
        readStore(now);
        return;
    }
    for (const auto &service : std::exchange(m_toStore, {})) {
        m_store.write(service, m_history.toStore(service, now));
    }
}

void StreamVersions::onStoreRestored(MonotonicTime now)
{
    m_toStore.insert(services().begin(), services().end());
    updateStore(now);
}

void StreamVersions::onSuspended(std::chrono::nanoseconds time, MonotonicTime now)
{
    m_history.onSuspended(time, now);
    m_wasListCurrent = false;
}

void StreamVersions::tick(MonotonicTime now)
{
    if (!m_core.routes) {
        return;
    }
    recordVersions(now);
    updateStore(now);
    onRelaysChanged(now);
    if (m_origins.hasReports(now)) {
        scheduleReports();
    }
    if (++m_ticks % TicksPerExpiry == 0) {
        m_origins.expire(now);
        m_history.expire(now);
        m_core.metrics.set("relay_stream_origins", static_cast<double>(m_origins.size()));
        m_core.metrics.set("relay_services_with_several_versions", static_cast<double>(m_withSeveral.size()));
        size_t unsettled = 0;
        for (const auto &service : services()) {
            unsettled += m_history.unsettledVersions(service).size();
        }
        m_core.metrics.set("relay_unsettled_versions", static_cast<double>(unsettled));
    }
}

} // namespace Jujube
