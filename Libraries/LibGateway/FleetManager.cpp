#include <LibGateway/FleetManager.h>

#include <LibCore/Json.h>

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr auto LoadConnectTimeout = 500ms;
constexpr auto LoadTimeout = 1000ms;
// The reports of all targets may be read at the same time.
constexpr size_t MaxLoadReportBytes = size_t {256} * 1024;
// Average age of a load report when it is read: half of the interval at which targets make them.
constexpr auto AssumedReportAge = 100ms;

LoadReport parseLoadReport(const nlohmann::json &json)
{
    LoadReport report;
    report.incarnation = json.value("incarnation", uint64_t {0});
    report.running = json.value("running", 0);
    report.waiting = json.value("waiting", 0);
    report.memoryUsed = json.value("memory_used", int64_t {0});
    report.memoryLimit = json.value("memory_limit", int64_t {0});
    report.cold = json.value("cold", false);
    report.leaving = json.value("leaving", false);
    report.preemptions = json.value("preemptions", uint64_t {0});
    return report;
}

TargetDescription describeTarget(const EnvironmentDocument &document, const std::string &name, const TargetEntry &entry)
{
    const auto dataCentre = document.dataCentres.find(entry.dataCentre);
    TargetDescription description {
        .name = name,
        .dataCentre = entry.dataCentre,
        .region = dataCentre == document.dataCentres.end() ? std::string() : dataCentre->second.region,
        .models = entry.models,
        .memoryTokens = static_cast<int64_t>(entry.memoryTokens),
        .coldLimit = static_cast<int>(entry.coldLimit),
    };
    if (!entry.service.empty()) {
        description.models = {serviceModelName(entry.service)};
    }
    return description;
}

} // namespace

std::string serviceModelName(const std::string &service)
{
    return "service:" + service;
}

FleetManager::FleetManager(Options options)
    : m_options(std::move(options))
    , m_vmList({.address = m_options.platform, .transport = [http = m_options.http](HttpCall call) { return http->call(std::move(call)); }})
    , m_policy(makePlacementPolicy(m_options.placement))
    , m_random(std::random_device {}())
{
    m_thread = std::thread([this] { run(); });
}

FleetManager::~FleetManager()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopSignal.notify_all();
    m_readyChanged.notify_all();
    m_thread.join();
    std::unique_lock lock(m_mutex);
    m_stopSignal.wait(lock, [this] { return m_pendingLoadReads == 0; });
}

void FleetManager::apply(const std::shared_ptr<const DocumentInForce> &document, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    auto &fleet = m_policy->fleet();
    if (m_document) {
        for (const auto &[name, entry] : m_document->document.targets) {
            if (!document->document.targets.contains(name)) {
                fleet.removeTarget(name);
            }
        }
    }
    for (const auto &[name, entry] : document->document.targets) {
        fleet.setTarget(describeTarget(document->document, name, entry));
    }
    for (const auto &[name, dataCentre] : document->document.dataCentres) {
        const bool out = dataCentre.state == DataCentreState::Out;
        const auto before = m_document ? m_document->document.dataCentres.find(name) : document->document.dataCentres.end();
        const bool wasKnown = m_document && before != m_document->document.dataCentres.end();
        const bool wasOut = wasKnown && before->second.state == DataCentreState::Out;
        if (out != wasOut) {
            m_options.events->record({.kind = out ? EventKind::DataCentreOut : EventKind::DataCentreIn, .dataCentre = name}, wallMsNow());
        }
        // Set only on changes: setting an in-service data centre to "in" again would restart its slow start.
        if (out != wasOut || !wasKnown) {
            fleet.setDataCentreOut(name, out, now);
        }
    }
    m_document = document;
    wakeReadyGenerations(now);
}

PlacementDecision FleetManager::place(PlacementRequest request, MonotonicTime now)
{
    request.dataCentre = m_options.dataCentre;
    request.region = m_options.region;
    const std::lock_guard lock(m_mutex);
    m_ready.erase(request.id);
    return m_policy->place(request, now, m_random());
}

void FleetManager::generationStarted(const std::string &id, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_policy->generationStarted(id, now);
}

void FleetManager::tokensProduced(const std::string &id, int64_t count, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_policy->tokensProduced(id, count, now);
}

void FleetManager::generationFinished(const std::string &id, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_policy->generationFinished(id, now);
    wakeReadyGenerations(now);
}

void FleetManager::generationFailed(const std::string &id, FailureReason reason, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_policy->generationFailed(id, reason, now);
    wakeReadyGenerations(now);
}

void FleetManager::abandoned(const std::string &id, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_policy->abandoned(id, now);
}

void FleetManager::noteCold(const std::string &target, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_policy->fleet().noteCold(target, now);
}

void FleetManager::waitUntilReady(const std::string &id, MonotonicTime until)
{
    std::unique_lock lock(m_mutex);
    m_readyChanged.wait_until(lock, until, [this, &id] { return m_stopping || m_ready.contains(id); });
    m_ready.erase(id);
}

void FleetManager::wakeReadyGenerations(MonotonicTime now)
{
    const auto ready = m_policy->takeReady(now);
    m_ready.insert(ready.begin(), ready.end());
    if (!ready.empty()) {
        m_readyChanged.notify_all();
    }
}

std::optional<std::string> FleetManager::chooseServiceTarget(const std::string &service, const std::set<std::string> &excluded)
{
    const std::lock_guard lock(m_mutex);
    const auto &fleet = m_policy->fleet();
    // Index 0: this gateway's data centre. 1: its region. 2: all other targets.
    std::array<std::vector<std::string>, 3> byDistance;
    for (const auto &group : fleet.targetsOf(serviceModelName(service))) {
        const auto &dataCentre = fleet.dataCentre(group.dataCentre);
        const size_t distance = dataCentre.name == m_options.dataCentre ? 0 : dataCentre.region == m_options.region ? 1 : 2;
        for (const auto index : group.targets) {
            const auto &target = fleet.target(index);
            // Plain services have no cold start, so only leaving targets and data centres out of service are excluded.
            if (!target.isLeaving() && !dataCentre.out && !excluded.contains(target.description.name)) {
                byDistance.at(distance).push_back(target.description.name);
            }
        }
    }
    for (const auto &names : byDistance) {
        if (!names.empty()) {
            return names[m_serviceRoundRobin++ % names.size()];
        }
    }
    return std::nullopt;
}

std::optional<std::string> FleetManager::addressOf(const std::string &target) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_document) {
        return std::nullopt;
    }
    const auto found = m_document->document.targets.find(target);
    return found == m_document->document.targets.end() ? std::nullopt : std::optional(found->second.address);
}

uint64_t FleetManager::incarnationOf(const std::string &target) const
{
    const std::lock_guard lock(m_mutex);
    const auto index = m_policy->fleet().find(target);
    return index ? m_policy->fleet().target(*index).load.incarnation : 0;
}

bool FleetManager::isLeaving(const std::string &target) const
{
    const std::lock_guard lock(m_mutex);
    const auto index = m_policy->fleet().find(target);
    return index && m_policy->fleet().target(*index).isLeaving();
}

bool FleetManager::hasLoadReport() const
{
    const std::lock_guard lock(m_mutex);
    const auto &fleet = m_policy->fleet();
    bool anyLive = false;
    for (TargetIndex index = 0; index < fleet.slotCount(); ++index) {
        if (!fleet.isLive(index)) {
            continue;
        }
        anyLive = true;
        if (fleet.target(index).hasReport) {
            return true;
        }
    }
    return !anyLive;
}

std::vector<EngineColdState> FleetManager::engineColdStates(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EngineColdState> targets;
    if (!m_document) {
        return targets;
    }
    const auto &fleet = m_policy->fleet();
    for (TargetIndex index = 0; index < fleet.slotCount(); ++index) {
        if (!fleet.isLive(index)) {
            continue;
        }
        const auto &target = fleet.target(index);
        const bool usable = target.hasReport && !target.isLeaving() && !fleet.dataCentre(target.dataCentre).out;
        const bool isEngine = target.description.coldLimit > 0 && target.load.memoryLimit > 0;
        if (isEngine) {
            const auto entry = m_document->document.targets.find(target.description.name);
            const auto address = entry == m_document->document.targets.end() ? std::string() : entry->second.address;
            targets.push_back(
                {.name = target.description.name, .address = address, .mayBeCold = usable && fleet.mayBeCold(index, now), .ownRunning = target.ownRunning});
        }
    }
    return targets;
}

void FleetManager::setColdPermits(const std::string &target, int permits)
{
    const std::lock_guard lock(m_mutex);
    m_policy->fleet().setColdPermits(target, permits);
    wakeReadyGenerations(monotonicNow());
}

void FleetManager::setLiveGateways(int count)
{
    const std::lock_guard lock(m_mutex);
    m_policy->setLiveGateways(count);
}

void FleetManager::run()
{
    auto nextVmList = monotonicNow();
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        startLoadReads();
        if (monotonicNow() >= nextVmList) {
            readVmList();
            nextVmList = monotonicNow() + m_options.vmListInterval;
        }
        lock.lock();
        m_stopSignal.wait_for(lock, m_options.loadInterval, [this] { return m_stopping; });
    }
}

void FleetManager::startLoadReads()
{
    std::vector<std::pair<std::string, std::string>> targets;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_document) {
            return;
        }
        for (const auto &[name, entry] : m_document->document.targets) {
            targets.emplace_back(name, entry.address);
        }
        m_pendingLoadReads += static_cast<int>(targets.size());
    }
    for (const auto &[name, address] : targets) {
        const auto sentAt = monotonicNow();
        m_options.http->open({.url = absl::StrCat("http://", address, "/load"),
                              .connectTimeout = LoadConnectTimeout,
                              .totalTimeout = LoadTimeout,
                              .answerLimitBytes = MaxLoadReportBytes},
                             {.onBytes = nullptr, .onEnd = [this, name = name, sentAt](const HttpAnswer &response) {
                                  processLoadResponse(name, response, sentAt);
                                  finishLoadRead();
                              }});
    }
}

void FleetManager::finishLoadRead()
{
    const std::lock_guard lock(m_mutex);
    --m_pendingLoadReads;
    m_stopSignal.notify_all();
}

void FleetManager::processLoadResponse(const std::string &target, const HttpAnswer &response, MonotonicTime sentAt)
{
    if (!response.isSuccess()) {
        return;
    }
    const auto json = parseJson(response.body);
    if (!json.ok() || !json->is_object()) {
        return;
    }
    LoadReport report;
    try {
        report = parseLoadReport(*json);
    } catch (const nlohmann::json::exception &) {
        m_options.metrics->count("jujube_invalid_load_reports_total");
        return;
    }
    const auto now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    const auto index = m_policy->fleet().find(target);
    if (!index) {
        return;
    }
    const auto before = m_policy->fleet().target(*index);
    m_policy->loadReported(target, report, now - sentAt + AssumedReportAge, now);
    recordChanges(target, before.load, before.hasReport, report);
    wakeReadyGenerations(now);
}

void FleetManager::recordChanges(const std::string &target, const LoadReport &before, bool hadReport, const LoadReport &after) const
{
    const auto record = [this, &target](EventKind kind) { m_options.events->record({.kind = kind, .target = target}, wallMsNow()); };
    if (after.leaving && !(hadReport && before.leaving)) {
        record(EventKind::TargetLeaving);
    }
    if (hadReport && after.incarnation > before.incarnation) {
        record(EventKind::TargetReturned);
    }
    if (after.cold != (hadReport && before.cold)) {
        record(after.cold ? EventKind::TargetCold : EventKind::TargetWarm);
    }
}

void FleetManager::setVmState(const Vm &vm)
{
    auto &fleet = m_policy->fleet();
    const auto index = fleet.find(vm.name);
    if (!index) {
        return;
    }
    const bool wasLeaving = fleet.target(*index).leavingByVmList;
    fleet.setVmState(vm.name, vm.incarnation, vm.state == VmState::Leaving);
    if (!wasLeaving && fleet.target(*index).leavingByVmList) {
        m_options.events->record({.kind = EventKind::TargetLeaving, .target = vm.name}, wallMsNow());
    }
}

void FleetManager::readVmList()
{
    const auto list = m_vmList.read();
    if (list.end != ReadEnd::Found) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &vm : list.vms) {
            setVmState(vm);
        }
    }
    if (m_options.onVmList) {
        m_options.onVmList(list.vms);
    }
}

} // namespace Jujube
