#include <LibRelayServer/RelayCore.h>

#include <LibRelayServer/RelayExchange.h>
#include <tuple>
#include <vector>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// The process exits this long before it would be killed.
constexpr std::chrono::milliseconds GraceMargin {600};
// Answers of one target that break off within this time belong to one crash.
constexpr std::chrono::milliseconds BrokenPause {100};
constexpr std::chrono::milliseconds StateTimeout {400};
constexpr double MillisecondsPerSecond = 1000;
// Time of a copy beside the transfer: two orders, the way to the engine and back, and the news that the turn has ended. If a turn begins too early, the run
// that stops waits for the other copy on the link.
constexpr std::chrono::milliseconds CopyOverhead {200};

} // namespace

RelayCore::RelayCore(boost::asio::io_context &loopInUse, RelayOptions relayOptions, RelayDialect relayDialect, LineWriter &lines)
    : loop(loopInUse)
    , options(std::move(relayOptions))
    , dialect(std::move(relayDialect))
    , channels(loopInUse)
    , client(loopInUse)
    , targets({})
    , balancer({.region = options.region, .regions = options.regions, .cooldowns = {.maxCooldown = options.longestQuiet}})
    , peers({.ownAddress = options.peers.toText(), .ownName = options.node, .region = options.region, .regions = options.regions}, monotonicNow())
    , m_lines(lines)
    , m_random(std::random_device {}())
    , m_brokenTimer(loopInUse)
    , m_moveTimer(loopInUse)
{
}

ServiceRetryBudget &RelayCore::retryBudget(const std::string &service)
{
    auto &budget = m_retryBudgets[service];
    if (!budget) {
        budget = std::make_unique<ServiceRetryBudget>(options.retries);
    }
    return *budget;
}

uint64_t RelayCore::random()
{
    return m_random();
}

double RelayCore::randomUnit()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

int RelayCore::liveRelays(MonotonicTime now) const
{
    return peers.liveRelayCount(now);
}

MonotonicTime RelayCore::stopAt() const
{
    return *drainingSince + options.grace - GraceMargin;
}

LogLine RelayCore::line(EventKind kind) const
{
    return {kind, wallMsNow(), options.node};
}

void RelayCore::log(LogLine &line)
{
    m_lines.add(line.take());
}

void RelayCore::announceLeaving(const std::string &target, std::string_view reason, MonotonicTime now)
{
    auto entry = line(EventKind::TargetLeft);
    entry.add("target", target).add("reason", reason);
    log(entry);
    metrics.count("relay_targets_left_total");
    moves.addLeavingTarget(target, waitForPeers(target, now), now);
    dropBackupsAt(target);
    for (auto *exchange : running) {
        if (exchange->target() == target) {
            exchange->queueMove();
        }
    }
    runMoves();
}

void RelayCore::dropBackupsAt(const std::string &target)
{
    for (auto *exchange : running) {
        exchange->onBackupLeaving(target);
    }
}

void RelayCore::recordLeaving(const std::string &target, int64_t incarnation, std::string_view reason, MonotonicTime now)
{
    if (targets.recordLeaving(target, incarnation, now)) {
        announceLeaving(target, reason, now);
        onTurnEnded();
    }
}

std::chrono::milliseconds RelayCore::waitForPeers(const std::string &target, MonotonicTime now) const
{
    const auto *known = targets.find(target);
    const auto *service = known && routes ? routes->findService(known->entry.service) : nullptr;
    if (!service || !service->engine || service->engine->linkMbps <= 0) {
        return {};
    }
    const auto &engine = *service->engine;
    std::chrono::milliseconds wait {0};
    // Relays beside the target go first: their copies are ordered and stopped in the shortest time.
    const bool ownIsFar = options.dataCentre != known->entry.dataCentre;
    for (const auto *peer : peers.livePeers(now)) {
        const auto movable = balancer.peerLoad(peer->heartbeatMessage.node, target).movable;
        const bool isFar = peer->heartbeatMessage.dataCentre != known->entry.dataCentre;
        if (movable > 0 && std::tie(isFar, peer->heartbeatMessage.node) < std::tie(ownIsFar, options.node)) {
            wait += std::chrono::milliseconds(static_cast<int64_t>(MillisecondsPerSecond * engine.secondsToSend(movable))) + CopyOverhead;
        }
    }
    return wait;
}

void RelayCore::noteBroken(const std::string &target, uint64_t digest)
{
    const auto *known = targets.find(target);
    if (!known || known->leavingSince) {
        return;
    }
    const bool isFirst = m_broken.empty();
    m_broken[target].push_back(digest);
    if (!isFirst) {
        return;
    }
    // Others that shared the target break off at the same time.
    m_brokenTimer.expires_after(BrokenPause);
    m_brokenTimer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        for (const auto &[broken, digests] : std::exchange(m_broken, {})) {
            checkTarget(broken, digests);
        }
    });
}

void RelayCore::checkTarget(const std::string &target, const std::vector<uint64_t> &broken)
{
    const auto *known = targets.find(target);
    const auto endpoint = known ? Endpoint::parse(known->entry.address) : std::nullopt;
    const bool isProbe = broken.empty();
    if (!endpoint || (isProbe && balancer.cooldowns().until(target, monotonicNow()))) {
        return;
    }
    auto call = dialect.stateCall();
    call.timeout = StateTimeout;
    call.freshConnection = true;
    client.call(*endpoint, call, [this, target, incarnation = known->entry.incarnation, broken](const LoopAnswer &answer) {
        const auto now = monotonicNow();
        if (answer.end == ChannelEnd::NotSent) {
            balancer.markUnreachable(target, now);
            if (broken.empty()) {
                return;
            }
            crashes.merge({.target = target, .incarnation = static_cast<uint64_t>(incarnation), .members = broken, .running = static_cast<int>(broken.size())},
                          now);
            auto entry = line(EventKind::CrashSuspected);
            entry.add("target", target).add("requests", static_cast<int64_t>(broken.size())).add("reason", answer.error);
            log(entry);
            return;
        }
        const auto state = answer.isSuccess() ? dialect.decodeState(answer.body) : absl::StatusOr<EngineState>(EngineState {});
        if (state.ok() && state->leaving) {
            recordLeaving(target, state->incarnation, "own report", now);
        }
    });
}

void RelayCore::checkTurns(MonotonicTime now)
{
    bool released = false;
    for (const auto &target : moves.waitingTargets(now)) {
        if (waitForPeers(target, now).count() == 0) {
            moves.grantTurn(target, now);
            released = true;
        }
    }
    if (released) {
        runMoves();
    }
}

std::shared_ptr<RelayExchange> RelayCore::findRunning(const std::string &request) const
{
    for (auto *exchange : running) {
        if (exchange->requestId() == request) {
            return exchange->shared_from_this();
        }
    }
    return nullptr;
}

void RelayCore::runMoves()
{
    const auto now = monotonicNow();
    for (auto due = moves.takeDue(now); !due.empty(); due = moves.takeDue(now)) {
        for (const auto &request : due) {
            const auto exchange = findRunning(request);
            if (!exchange) {
                moves.remove(request);
            } else if (!exchange->startMove(now)) {
                moves.remove(request);
                exchange->retryMoveLater();
            }
        }
    }
    const auto next = moves.nextDueTime();
    if (!next) {
        return;
    }
    m_moveTimer.expires_at(*next);
    m_moveTimer.async_wait([this](const LoopError &error) {
        if (!error) {
            runMoves();
        }
    });
}

} // namespace Jujube
