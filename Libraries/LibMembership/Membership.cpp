#include <LibMembership/Membership.h>

#include <absl/strings/str_cat.h>
#include <LibCore/Error.h>

namespace Jujube
{

namespace
{

// Holds a few seconds of heartbeats at the maximum membership, and is small enough that a flood uses little memory.
constexpr size_t RingCapacity = 256;
// Maximum deviation from the interval between rounds, in milliseconds. It keeps members that started together from sending at the same time.
constexpr int64_t MaxJitterMs = 100;

std::string withPort(const std::string &address, uint16_t port)
{
    return absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
}

} // namespace

absl::StatusOr<std::unique_ptr<Membership>> Membership::start(Options options)
{
    if (options.self.name.empty()) {
        return makeError(ErrorKind::InvalidValue, "the member's name is empty");
    }
    if (options.clusterKey.empty()) {
        return makeError(ErrorKind::InvalidValue, "the cluster key is empty");
    }
    auto socket = HeartbeatSocket::open(options.listen, RingCapacity);
    if (!socket.ok()) {
        return socket.status();
    }
    if (options.self.gossipAddress.empty()) {
        options.self.gossipAddress = (*socket)->address();
    }
    return std::unique_ptr<Membership>(new Membership(std::move(options), *std::move(socket)));
}

Membership::Membership(Options options, std::unique_ptr<HeartbeatSocket> socket)
    : m_options(std::move(options))
    , m_socket(std::move(socket))
    , m_codec(m_options.clusterKey)
    , m_view({.self = m_options.self, .seeds = m_options.seeds, .tuning = m_options.tuning})
    , m_random(std::random_device {}())
    , m_thread([this] { run(); })
{
}

Membership::~Membership()
{
    m_stopping = true;
    m_socket->received().close();
    m_thread.join();
    sendAll(m_view.depart(monotonicNow(), timestamp(), m_random));
}

void Membership::setOwnState(const OwnState &state)
{
    updateOwnState([&state](OwnState &own) { own = state; });
}

void Membership::updateOwnState(const std::function<void(OwnState &)> &change)
{
    const std::lock_guard lock(m_mutex);
    const auto before = m_own;
    change(m_own);
    m_view.setOwnState(m_own);
    // A new document and a drain must be known to all members within seconds, so they are sent without waiting for the next round.
    if (m_own.documentVersion > before.documentVersion || m_own.leaving != before.leaving) {
        m_isRoundRequested = true;
        m_socket->received().tryPush({});
    }
}

void Membership::applyVmList(std::vector<VmListEntry> list, MonotonicTime now)
{
    for (auto &entry : list) {
        if (entry.identity.gossipAddress.empty() && m_options.peerPort != 0) {
            entry.identity.gossipAddress = withPort(entry.identity.address, m_options.peerPort);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_view.applyVmList(list, now);
}

void Membership::reportCrash(const CrashReport &report, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_view.reportCrash(report, now);
}

std::vector<Member> Membership::members(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    return m_view.members(now);
}

std::vector<Member> Membership::liveMembers(MonotonicTime now) const
{
    auto all = members(now);
    std::erase_if(all, [](const Member &member) { return member.state != MemberState::Live; });
    return all;
}

Reachability Membership::reachability(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    return m_view.reachability(now);
}

HolderState Membership::holderState(const MemberIdentity &holder) const
{
    const std::lock_guard lock(m_mutex);
    return m_view.holderState(holder);
}

std::optional<MonotonicTime> Membership::confirmedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_view.confirmedAt();
}

void Membership::run()
{
    auto nextRound = monotonicNow();
    while (!m_stopping) {
        const auto now = monotonicNow();
        if (now >= nextRound || m_isRoundRequested.exchange(false)) {
            sendRound();
            const auto jitter = static_cast<int64_t>(m_random() % (2 * MaxJitterMs)) - MaxJitterMs;
            nextRound = now + m_options.tuning.round + std::chrono::milliseconds(jitter);
        }
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(nextRound - monotonicNow()) + std::chrono::milliseconds(1);
        if (const auto datagram = m_socket->received().popFor(std::max(wait, std::chrono::milliseconds(0)))) {
            handleDatagram(*datagram);
        }
        reportEvents();
    }
}

void Membership::handleDatagram(const Datagram &datagram)
{
    if (datagram.source.empty()) {
        // An empty datagram only wakes the thread.
        return;
    }
    const auto heartbeat = m_codec.decode(datagram.payload);
    if (!heartbeat) {
        m_rejectedDatagrams += 1;
        return;
    }
    const HybridTime remote {.wallMs = heartbeat->hybridWallMs, .counter = static_cast<uint32_t>(heartbeat->hybridCounter)};
    if (m_options.hooks.observe) {
        m_options.hooks.observe(remote, wallMsNow());
    } else {
        m_clock.observe(remote, wallMsNow());
    }
    const auto time = timestamp();
    std::vector<OutgoingHeartbeat> responses;
    {
        const std::lock_guard lock(m_mutex);
        responses = m_view.receive(*heartbeat, datagram.source, monotonicNow(), time);
    }
    sendAll(responses);
}

void Membership::sendRound()
{
    const auto time = timestamp();
    std::vector<OutgoingHeartbeat> heartbeats;
    {
        const std::lock_guard lock(m_mutex);
        heartbeats = m_view.round(monotonicNow(), time, m_random);
    }
    sendAll(heartbeats);
}

void Membership::sendAll(const std::vector<OutgoingHeartbeat> &heartbeats)
{
    for (const auto &outgoing : heartbeats) {
        m_socket->send(outgoing.address, m_codec.encode(outgoing.heartbeat));
    }
}

void Membership::reportEvents()
{
    std::vector<MembershipEvent> events;
    std::vector<CrashReport> crashes;
    {
        const std::lock_guard lock(m_mutex);
        events = m_view.takeEvents();
        if (!events.empty()) {
            crashes = m_view.crashReports();
        }
    }
    const auto &hooks = m_options.hooks;
    const auto callIfSet = [](const auto &hook, const auto &...arguments) {
        if (hook) {
            hook(arguments...);
        }
    };
    for (const auto &event : events) {
        switch (event.change) {
        case MembershipChange::Joined:
            callIfSet(hooks.onJoined, event.member);
            break;
        case MembershipChange::Leaving:
            callIfSet(hooks.onLeaving, event.member);
            break;
        case MembershipChange::Lost:
            callIfSet(hooks.onLost, event.member);
            break;
        case MembershipChange::DocumentOffered:
            callIfSet(hooks.onDocumentOffered, event.documentVersion, event.member);
            break;
        case MembershipChange::CrashReported:
            callIfSet(hooks.onCrashReports, crashes);
            break;
        case MembershipChange::Replaced:
            callIfSet(hooks.onReplaced, event.member);
            break;
        }
    }
}

HybridTime Membership::timestamp()
{
    return m_options.hooks.tick ? m_options.hooks.tick(wallMsNow()) : m_clock.tick(wallMsNow());
}

} // namespace Jujube
