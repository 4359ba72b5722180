#include <LibRelayServer/TargetRunsReader.h>

#include <algorithm>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds ReadTimeout {600};
constexpr std::chrono::milliseconds ConnectTimeout {400};
// A lost packet makes one connection time out.
constexpr int MinTimeoutsOfUnreachable = 2;
// Responses of one target do not break off later than this after its end.
constexpr std::chrono::milliseconds ReplacedLifetime {std::chrono::seconds(60)};
// Responses that break off with the target's end do so within this time, also where a packet was lost.
constexpr std::chrono::milliseconds RefusalLifetime {1000};

} // namespace

TargetRunsReader::TargetRunsReader(LoopClient &client, const PlatformAdapter &adapter, Hooks hooks)
    : m_client(client)
    , m_adapter(adapter)
    , m_hooks(std::move(hooks))
{
}

void TargetRunsReader::read(const RelayTarget &target, Hook hook, MonotonicTime now)
{
    if (isGone(target.id, target.incarnation, now)) {
        hook({.kind = TargetRuns::Kind::Gone, .askedAt = now, .requests = {}});
        return;
    }
    const auto [entry, isNew] = m_reads.try_emplace(Key {target.id, target.incarnation}, Read {.askedAt = now, .connectingSince = now, .hooks = {}});
    entry->second.hooks.push_back(std::move(hook));
    if (isNew) {
        call(target, now);
    }
}

void TargetRunsReader::call(const RelayTarget &target, MonotonicTime now)
{
    const auto endpoint = Endpoint::parse(target.address);
    if (!endpoint || !m_hooks.tryTakeCall(target.id, now)) {
        finish(target, {.askedAt = now, .requests = {}}, now);
        return;
    }
    auto call = m_adapter.buildStateCall();
    call.timeout = ReadTimeout;
    call.connectTimeout = ConnectTimeout;
    call.freshConnection = true;
    m_client.call(*endpoint, call, [this, target](const LoopAnswer &answer) {
        const auto answeredAt = monotonicNow();
        auto &read = m_reads.at({target.id, target.incarnation});
        if (answer.connectFailure == ConnectFailure::TimedOut && ++read.connectTimeouts < MinTimeoutsOfUnreachable) {
            read.connectingSince = answeredAt;
            this->call(target, answeredAt);
            return;
        }
        finish(target, runsOf(target, answer, answeredAt), answeredAt);
    });
}

TargetRuns TargetRunsReader::runsOf(const RelayTarget &target, const LoopAnswer &answer, MonotonicTime now)
{
    const Key key {target.id, target.incarnation};
    TargetRuns runs;
    if (answer.connectFailure == ConnectFailure::Refused) {
        runs.kind = TargetRuns::Kind::Gone;
        m_refused[key] = now;
        return runs;
    }
    if (answer.connectFailure == ConnectFailure::TimedOut) {
        const auto &read = m_reads.at(key);
        // A target that sends on its other connections is not out of reach: it accepts no further ones.
        runs.kind = read.aliveAt > read.connectingSince ? TargetRuns::Kind::Unknown : TargetRuns::Kind::Unreachable;
        return runs;
    }
    const auto state = answer.isSuccess() ? m_adapter.decodeState(answer.body) : absl::StatusOr<EngineState>(EngineState {});
    if (!answer.isSuccess() || !state.ok()) {
        return runs;
    }
    // A target whose start is not known cannot be told from its successor, and the statement of an earlier process says nothing.
    if (target.incarnation != 0 && state->incarnation > target.incarnation) {
        runs.kind = TargetRuns::Kind::Gone;
        m_replaced[key] = now;
    } else if ((target.incarnation == 0 || state->incarnation == target.incarnation) && state->runs) {
        runs.kind = TargetRuns::Kind::Listed;
        recordAlive(target.id, target.incarnation, now);
        runs.requests = *state->runs;
        runs.queued = state->queued;
    }
    return runs;
}

void TargetRunsReader::finish(const RelayTarget &target, TargetRuns runs, MonotonicTime now)
{
    const Key key {target.id, target.incarnation};
    const auto read = m_reads.extract(key);
    runs.askedAt = read.mapped().askedAt;
    if (runs.kind == TargetRuns::Kind::Gone || runs.kind == TargetRuns::Kind::Unreachable) {
        m_hooks.onUnreachable(target.id, now);
    }
    for (const auto &hook : read.mapped().hooks) {
        hook(runs);
    }
}

void TargetRunsReader::recordAlive(const std::string &target, int64_t incarnation, MonotonicTime at)
{
    if (m_reads.empty() && m_refused.empty()) {
        return;
    }
    const Key key {target, incarnation};
    if (const auto read = m_reads.find(key); read != m_reads.end()) {
        read->second.aliveAt = std::max(read->second.aliveAt, at);
    }
    if (const auto refused = m_refused.find(key); refused != m_refused.end() && at > refused->second) {
        m_refused.erase(refused);
    }
}

bool TargetRunsReader::isGone(const std::string &target, int64_t incarnation, MonotonicTime now) const
{
    const Key key {target, incarnation};
    const auto refused = m_refused.find(key);
    return m_replaced.contains(key) || (refused != m_refused.end() && now - refused->second < RefusalLifetime);
}

void TargetRunsReader::expire(MonotonicTime now)
{
    absl::erase_if(m_replaced, [now](const auto &entry) { return now - entry.second >= ReplacedLifetime; });
    absl::erase_if(m_refused, [now](const auto &entry) { return now - entry.second >= RefusalLifetime; });
}

} // namespace Jujube
