#include <LibGateway/DocumentUpdater.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr auto PeerConnectTimeout = 500ms;
constexpr auto PeerTimeout = 2000ms;
// Upper limit of the jitter in percent of the interval. Jitter keeps the gateways from reading at the same time.
constexpr int JitterPercent = 20;
constexpr int Percent = 100;

std::shared_ptr<const DocumentInForce> makeDocumentInForce(const DocumentTracker &tracker)
{
    auto inForce = std::make_shared<DocumentInForce>();
    inForce->version = static_cast<int64_t>(tracker.version());
    inForce->digest = tracker.digest();
    inForce->bytes = tracker.bytes();
    inForce->document = *tracker.document();
    for (const auto &[name, workspace] : inForce->document.workspaces) {
        inForce->workspaceByKeyHash[workspace.keySha256] = name;
    }
    return inForce;
}

} // namespace

DocumentUpdater::DocumentUpdater(Options options)
    : m_options(std::move(options))
    , m_table({.address = m_options.platform, .transport = m_options.transport})
    , m_objects({.address = m_options.platform, .transport = m_options.transport})
    , m_connectivityTracker({.self = m_options.self})
    , m_random(std::random_device {}())
{
    m_thread = std::thread([this] { run(); });
}

DocumentUpdater::~DocumentUpdater()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeup.notify_all();
    m_thread.join();
}

std::shared_ptr<const DocumentInForce> DocumentUpdater::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

void DocumentUpdater::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_updateRequested = true;
    }
    m_wakeup.notify_all();
}

Connectivity DocumentUpdater::connectivity(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    return m_connectivityTracker.connectivity(now);
}

nlohmann::json DocumentUpdater::statusJson(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json json {
        {"environment", m_options.environment},
        {"gateway", m_options.self},
        {"version", m_documentTracker.version()},
        {"digest", m_documentTracker.digest()},
        {"connectivity", nameOf(m_connectivityTracker.connectivity(now))},
    };
    if (const auto age = m_documentTracker.age(now)) {
        json["age_ms"] = age->count();
    }
    if (const auto age = m_documentTracker.confirmedAge(now)) {
        json["confirmed_age_ms"] = age->count();
    }
    return json;
}

void DocumentUpdater::run()
{
    while (true) {
        update();
        std::unique_lock lock(m_mutex);
        const auto jitter = m_options.interval * static_cast<int>(m_random() % JitterPercent) / Percent;
        m_wakeup.wait_for(lock, m_options.interval - jitter, [this] { return m_stopping || m_updateRequested; });
        m_updateRequested = false;
        if (m_stopping) {
            return;
        }
    }
}

void DocumentUpdater::update()
{
    const auto peers = m_options.peers ? m_options.peers() : PeerSnapshot {};
    recordPeerContacts(peers);
    if (!readTable()) {
        fetchFromPeers(peers);
    }
    recordConnectivityChanges();
    if (m_options.onUpdateFinished) {
        std::unique_lock lock(m_mutex);
        const auto version = m_documentTracker.version();
        const auto confirmedAge = m_documentTracker.confirmedAge(monotonicNow());
        const auto platformAt = m_platformReadAt;
        lock.unlock();
        m_options.onUpdateFinished(version, confirmedAge, platformAt);
    }
}

void DocumentUpdater::recordPeerContacts(const PeerSnapshot &peers)
{
    const std::lock_guard lock(m_mutex);
    const auto now = monotonicNow();
    m_connectivityTracker.setMembers(peers.members);
    for (const auto &contact : peers.contacts) {
        m_connectivityTracker.addPeerReport({.peer = contact.name, .age = contact.age, .platformAge = peers.platformAge}, now);
    }
}

bool DocumentUpdater::readTable()
{
    const auto sentAt = monotonicNow();
    const auto result = m_table.get(documentHeadKey(m_options.environment));
    if (result.end == ReadEnd::Failed) {
        return false;
    }
    uint64_t versionInForce = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_platformReadAt = sentAt;
        m_connectivityTracker.platformResponded(sentAt);
        versionInForce = m_documentTracker.version();
    }
    if (result.end == ReadEnd::Absent) {
        return true;
    }
    const auto head = DocumentHead::parse(result.row.value);
    if (!head.ok()) {
        record(EventKind::DocumentRefused, absl::StrCat("the head in the table is damaged: ", head.status().message()));
        return true;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_documentTracker.tableHeadReceived(head->version, head->digest, sentAt);
    }
    if (head->version > versionInForce) {
        fetchFromObjectStore(*head, sentAt);
    }
    return true;
}

void DocumentUpdater::fetchFromObjectStore(const DocumentHead &head, MonotonicTime readSentAt)
{
    const auto object = m_objects.get(head.object);
    if (object.end != ReadEnd::Found) {
        record(EventKind::DocumentRefused, absl::StrCat("version ", head.version, ": the object store did not deliver its bytes"));
        return;
    }
    offer({.source = DocumentSource::Table, .version = head.version, .digest = head.digest, .bytes = object.bytes}, readSentAt);
}

void DocumentUpdater::fetchFromPeers(const PeerSnapshot &peers)
{
    uint64_t versionInForce = 0;
    {
        const std::lock_guard lock(m_mutex);
        versionInForce = m_documentTracker.version();
    }
    const PeerContact *best = nullptr;
    for (const auto &contact : peers.contacts) {
        if (contact.documentVersion > versionInForce && (!best || contact.documentVersion > best->documentVersion)) {
            best = &contact;
        }
    }
    if (!best || !m_options.transport) {
        return;
    }
    const auto url = absl::StrCat("http://", best->address, "/environment/document");
    const auto response = m_options.transport({.url = url, .connectTimeout = PeerConnectTimeout, .totalTimeout = PeerTimeout});
    uint64_t version = 0;
    const auto versionHeader = response.headers.find("jujube-document-version");
    const auto digestHeader = response.headers.find("jujube-document-digest");
    if (!response.isSuccess() || versionHeader == response.headers.end() || digestHeader == response.headers.end()
        || !absl::SimpleAtoi(versionHeader->second, &version)) {
        return;
    }
    offer({.source = DocumentSource::Peer, .version = version, .digest = digestHeader->second, .bytes = response.body, .confirmedAge = std::nullopt},
          monotonicNow());
}

void DocumentUpdater::offer(const DocumentOffer &offer, MonotonicTime now)
{
    std::shared_ptr<const DocumentInForce> accepted;
    OfferResult result {};
    std::string problem;
    {
        const std::lock_guard lock(m_mutex);
        result = m_documentTracker.offer(offer, now);
        if (result == OfferResult::Accepted) {
            m_current = makeDocumentInForce(m_documentTracker);
            accepted = m_current;
        }
        problem = m_documentTracker.lastParseError();
    }
    if (accepted) {
        record(EventKind::DocumentInForce, absl::StrCat("version ", accepted->version, " digest ", accepted->digest));
        m_options.onInForce(accepted);
    } else if (result != OfferResult::AlreadyInForce) {
        record(EventKind::DocumentRefused, absl::StrCat("version ", offer.version, ": ", std::string(nameOf(result)), " ", problem));
    }
}

void DocumentUpdater::recordConnectivityChanges()
{
    const auto now = monotonicNow();
    const auto connectivity = this->connectivity(now);
    const auto previous = std::exchange(m_lastConnectivity, connectivity);
    const bool reachable = connectivity == Connectivity::Connected;
    if (std::exchange(m_platformReachable, reachable) != reachable) {
        record(reachable ? EventKind::PlatformRegained : EventKind::PlatformLost, std::string(nameOf(connectivity)));
    }
    if ((connectivity == Connectivity::Isolated) != (previous == Connectivity::Isolated)) {
        record(connectivity == Connectivity::Isolated ? EventKind::GatewayIsolated : EventKind::GatewayReconnected, std::string(nameOf(connectivity)));
    }
}

void DocumentUpdater::record(EventKind kind, std::string detail) const
{
    m_options.events->record({.kind = kind, .detail = std::move(detail)}, wallMsNow());
}

} // namespace Jujube
