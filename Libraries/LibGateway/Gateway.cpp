#include <LibGateway/Gateway.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <glog/logging.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;
constexpr int GatewayListTtlSeconds = 30;
constexpr std::string_view GenerationsPath = "/v1/generations";
constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::string_view GatewaysPath = "/v1/gateways";
// Threads kept free for operators and short calls while streams occupy the others.
constexpr int ReservedThreads = 8;

void logEvent(const Event &event)
{
    LOG(INFO) << event.toJson().dump();
}

Problem problemOf(ErrorKind kind, std::string detail)
{
    return {.kind = kind, .detail = std::move(detail), .retryAfter = errorKindInfo(kind).retryAfter};
}

} // namespace

Gateway::Gateway(GatewayOptions options)
    : m_incarnation(options.incarnation > 0 ? options.incarnation : wallMsNow())
{
    m_parts.options = std::move(options);
}

Gateway::~Gateway()
{
    if (m_server) {
        m_server->stop();
    }
    m_services.reset();
    m_permits.reset();
    // The callbacks of the document updater use the other parts, so its thread has to end first.
    m_parts.documents.reset();
}

absl::StatusOr<std::unique_ptr<Gateway>> Gateway::start(GatewayOptions options)
{
    std::unique_ptr<Gateway> gateway(new Gateway(std::move(options)));
    if (auto status = gateway->startParts(); !status.ok()) {
        return status;
    }
    return gateway;
}

absl::Status Gateway::startParts()
{
    const auto &options = m_parts.options;
    m_parts.events = std::make_unique<EventLog>(EventLog::Options {.process = options.name, .dataCentre = options.dataCentre, .onEvent = logEvent});
    m_parts.metrics = std::make_unique<Metrics>();
    m_parts.http = std::make_unique<HttpClient>();
    m_parts.cursors = std::make_unique<CursorCodec>(CursorCodec::Options {.key = options.cursorKey, .previousKey = options.previousCursorKey});
    m_parts.crashes = std::make_unique<CrashTracker>(CrashTracker::Options {
        .events = m_parts.events.get(),
        .publish = [this](const CrashReport &report) { m_parts.membership->reportCrash(report, monotonicNow()); },
    });
    m_generations = std::make_unique<GenerationHandler>(m_parts);
    m_services = std::make_unique<ServiceHandler>(m_parts);
    auto server = HttpServer::start({
        .listen = options.listen,
        .threads = options.threads,
        .handler = [this](const HttpRequest &request, HttpResponder &responder) { handle(request, responder); },
    });
    if (!server.ok()) {
        return server.status();
    }
    m_server = *std::move(server);
    m_parts.fleet = std::make_unique<FleetManager>(FleetManager::Options {
        .dataCentre = options.dataCentre,
        .region = options.region,
        .platform = options.platform,
        .placement = {.kind = options.policy},
        .loadInterval = options.loadInterval,
        .vmListInterval = options.vmListInterval,
        .http = m_parts.http.get(),
        .events = m_parts.events.get(),
        .metrics = m_parts.metrics.get(),
        .onVmList = [this](const std::vector<Vm> &vms) { onVmList(vms); },
    });
    if (auto status = startMembership(); !status.ok()) {
        return status;
    }
    startDocuments();
    startPermits();
    m_parts.record({.kind = EventKind::ProcessStarted, .detail = absl::StrCat("listening on ", address())});
    return absl::OkStatus();
}

absl::Status Gateway::startMembership()
{
    const auto &options = m_parts.options;
    const auto gossip = options.gossip.empty() ? address() : options.gossip;
    auto *events = m_parts.events.get();
    const auto peerEvent = [events](EventKind kind) {
        return [events, kind](const Member &member) {
            events->record({.kind = kind, .dataCentre = member.identity.dataCentre, .detail = member.identity.name}, wallMsNow());
        };
    };
    auto membership = Membership::start({
        .self =
            {
                .name = options.name,
                .dataCentre = options.dataCentre,
                .region = options.region,
                .address = address(),
                .gossipAddress = gossip,
                .incarnation = m_incarnation,
            },
        .listen = gossip,
        .seeds = options.peers,
        .clusterKey = options.clusterKey,
        .hooks =
            {
                .onJoined = peerEvent(EventKind::PeerJoined),
                .onLost = peerEvent(EventKind::PeerLost),
                .onDocumentOffered =
                    [this](int64_t, const Member &) {
                        if (m_parts.documents) {
                            m_parts.documents->wake();
                        }
                    },
                .onCrashReports = [this](const std::vector<CrashReport> &reports) { m_parts.crashes->addReports(reports, monotonicNow()); },
                .tick = [events](int64_t wallMs) { return events->tick(wallMs); },
                .observe = [events](const HybridTime &remote, int64_t wallMs) { events->observe(remote, wallMs); },
            },
    });
    if (!membership.ok()) {
        return membership.status();
    }
    m_parts.membership = *std::move(membership);
    return absl::OkStatus();
}

void Gateway::startDocuments()
{
    const auto &options = m_parts.options;
    m_parts.documents = std::make_unique<DocumentUpdater>(DocumentUpdater::Options {
        .environment = options.environment,
        .self = options.name,
        .platform = options.platform,
        .transport = [this](HttpCall call) { return m_parts.http->call(std::move(call)); },
        .interval = options.documentInterval,
        .events = m_parts.events.get(),
        .peers = [this] { return peerSnapshot(); },
        .onInForce = [this](const std::shared_ptr<const DocumentInForce> &document) { m_parts.fleet->apply(document, monotonicNow()); },
        .onUpdateFinished = [this](uint64_t version,
                                   std::optional<std::chrono::milliseconds> confirmedAge,
                                   std::optional<MonotonicTime> platformAt) { publishOwnState(version, confirmedAge, platformAt); },
    });
}

void Gateway::startPermits()
{
    m_table = std::make_unique<TableClient>(
        TableClient::Options {.address = m_parts.options.platform, .transport = [this](HttpCall call) { return m_parts.http->call(std::move(call)); }});
    m_permits = std::make_unique<PermitManager>(PermitManager::Options {
        .self = {.name = m_parts.options.name, .address = address(), .incarnation = static_cast<uint64_t>(m_incarnation)},
        .table = m_table.get(),
        .fleet = m_parts.fleet.get(),
        .events = m_parts.events.get(),
    });
}

DocumentUpdater::PeerSnapshot Gateway::peerSnapshot() const
{
    const auto now = monotonicNow();
    DocumentUpdater::PeerSnapshot snapshot;
    for (const auto &member : m_parts.membership->members(now)) {
        if (member.state == MemberState::Gone) {
            continue;
        }
        snapshot.members.insert(member.identity.name);
        if (const auto age = member.age(now)) {
            snapshot.contacts.push_back({
                .name = member.identity.name,
                .address = member.identity.address,
                .age = *age,
                .documentVersion = static_cast<uint64_t>(member.documentVersion),
            });
        }
    }
    snapshot.platformAge = m_parts.membership->reachability(now).platformAge;
    return snapshot;
}

void Gateway::onVmList(const std::vector<Vm> &vms) const
{
    if (!m_parts.membership) {
        return;
    }
    std::vector<VmListEntry> list;
    for (const auto &vm : vms) {
        if (vm.role == "gateway") {
            list.push_back({
                .identity = {.name = vm.name, .dataCentre = vm.dataCentre, .address = vm.address, .incarnation = static_cast<int64_t>(vm.incarnation)},
                .leaving = vm.state == VmState::Leaving,
            });
        }
    }
    m_parts.membership->applyVmList(std::move(list), monotonicNow());
}

void Gateway::publishOwnState(uint64_t version, std::optional<std::chrono::milliseconds> confirmedAge, std::optional<MonotonicTime> platformAt)
{
    const auto now = monotonicNow();
    m_parts.membership->updateOwnState([&](OwnState &state) {
        state.openStreams = m_parts.openRequests;
        state.documentVersion = static_cast<int64_t>(version);
        state.confirmedAt = confirmedAge ? std::optional(now - *confirmedAge) : std::nullopt;
        state.platformAt = platformAt;
    });
    m_parts.liveGateways = static_cast<int>(m_parts.membership->liveMembers(now).size()) + 1;
    m_parts.fleet->setLiveGateways(m_parts.liveGateways);
}

void Gateway::drain()
{
    m_parts.draining = true;
    m_parts.record({.kind = EventKind::ProcessDraining});
    m_parts.membership->updateOwnState([](OwnState &state) { state.leaving = true; });
}

bool Gateway::isDrained()
{
    return m_parts.openRequests == 0 && m_services->waitUntilRecorded(0ms);
}

void Gateway::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (!m_parts.documents) {
        responder.sendProblem(problemOf(ErrorKind::PlatformUnavailable, "the gateway is starting"));
        return;
    }
    if (!handleOperator(request, responder)) {
        handleCaller(request, responder);
    }
}

void Gateway::handleCaller(const HttpRequest &request, HttpResponder &responder)
{
    // Counted before the draining flag is read, so that a graceful shutdown waits for every admitted request.
    const OpenRequest open(m_parts.openRequests);
    const auto caller = authenticate(request, *m_parts.documents);
    if (!caller.ok()) {
        respondWithProblem(m_parts, responder, Problem::fromStatus(caller.status()), {});
        return;
    }
    if (request.path == GatewaysPath && request.method == "GET") {
        listGateways(responder);
        return;
    }
    if (m_parts.draining) {
        respondWithProblem(m_parts, responder, problemOf(ErrorKind::Draining, "this gateway is shutting down"), {});
        return;
    }
    if (m_parts.openRequests > m_parts.options.threads - ReservedThreads) {
        respondWithProblem(m_parts, responder, problemOf(ErrorKind::Overloaded, "this gateway has no thread for another request"), {});
        return;
    }
    if (const auto problem = m_admission.admit(caller->workspace, caller->settings().limits, m_parts.liveGateways, monotonicNow())) {
        respondWithProblem(m_parts, responder, *problem, {});
        return;
    }
    serveCaller(request, *caller, responder);
    m_admission.release(caller->workspace);
}

void Gateway::serveCaller(const HttpRequest &request, const Caller &caller, HttpResponder &responder)
{
    if (request.path == GenerationsPath && request.method == "POST") {
        m_generations->handle(request, caller, responder);
    } else if (request.path.starts_with(ServicesPrefix)) {
        m_services->handle(request, caller, responder);
    } else if (request.path == GenerationsPath || request.path == GatewaysPath) {
        respondWithProblem(m_parts, responder, {.kind = ErrorKind::MethodNotAllowed, .detail = request.method}, {});
    } else {
        respondWithProblem(m_parts, responder, {.kind = ErrorKind::NotFound, .detail = request.path}, {});
    }
}

bool Gateway::handleOperator(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method != "GET") {
        return false;
    }
    if (request.path == "/livez") {
        responder.send(OkStatus, "text/plain", "ok\n");
    } else if (request.path == "/readyz") {
        sendReadiness(responder);
    } else if (request.path == "/metrics") {
        sendMetrics(responder);
    } else if (request.path == "/events") {
        uint64_t after = 0;
        const auto text = request.queryParameter("after").value_or("0");
        if (!absl::SimpleAtoi(text, &after)) {
            responder.sendProblem({.kind = ErrorKind::InvalidValue, .detail = "\"after\" must be a whole number"});
            return true;
        }
        responder.sendJson(OkStatus, m_parts.events->pageToJson(after));
    } else if (request.path == "/environment") {
        responder.sendJson(OkStatus, m_parts.documents->statusJson(monotonicNow()));
    } else if (request.path == "/environment/document") {
        sendDocument(responder);
    } else {
        return false;
    }
    return true;
}

void Gateway::sendDocument(HttpResponder &responder) const
{
    const auto document = m_parts.documents->current();
    if (!document) {
        responder.sendProblem({.kind = ErrorKind::NotFound, .detail = "no environment document has been read yet"});
        return;
    }
    responder.send(OkStatus,
                   "application/yaml",
                   document->bytes,
                   {{"Jujube-Document-Version", absl::StrCat(document->version)}, {"Jujube-Document-Digest", document->digest}});
}

void Gateway::sendReadiness(HttpResponder &responder) const
{
    const bool ready = !m_parts.draining && m_parts.documents->current() != nullptr && m_parts.fleet->hasLoadReport();
    responder.send(ready ? OkStatus : UnavailableStatus, "text/plain", ready ? "ready\n" : "not ready\n");
}

void Gateway::sendMetrics(HttpResponder &responder) const
{
    m_parts.metrics->set("jujube_open_requests", m_parts.openRequests);
    responder.send(OkStatus, "text/plain; version=0.0.4", m_parts.metrics->toText());
}

void Gateway::listGateways(HttpResponder &responder) const
{
    struct Candidate {
        int distance;
        int openStreams;
        std::string address;
        std::string dataCentre;
    };

    const auto now = monotonicNow();
    const auto &options = m_parts.options;
    const auto document = m_parts.documents->current();
    const auto isOut = [&document](const std::string &name) {
        const auto found = document->document.dataCentres.find(name);
        return found != document->document.dataCentres.end() && found->second.state == DataCentreState::Out;
    };
    std::vector<Candidate> candidates;
    for (const auto &member : m_parts.membership->liveMembers(now)) {
        const auto &identity = member.identity;
        const int distance = identity.dataCentre == options.dataCentre ? 0 : identity.region == options.region ? 1 : 2;
        if (!isOut(identity.dataCentre)) {
            candidates.push_back({.distance = distance, .openStreams = member.openStreams, .address = identity.address, .dataCentre = identity.dataCentre});
        }
    }
    if (!m_parts.draining && !isOut(options.dataCentre)) {
        candidates.push_back({.distance = 0, .openStreams = m_parts.openRequests, .address = address(), .dataCentre = options.dataCentre});
    }
    // FIXME: The list is ordered by the distance from this gateway. A caller in another region has no way to pass its own location.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.distance, a.openStreams, a.address) < std::tie(b.distance, b.openStreams, b.address);
    });
    auto list = nlohmann::json::array();
    for (const auto &candidate : candidates) {
        list.push_back({{"address", candidate.address}, {"data_centre", candidate.dataCentre}});
    }
    responder.sendJson(OkStatus, {{"gateways", list}, {"ttl_s", GatewayListTtlSeconds}});
}

} // namespace Jujube
