#include <LibRelayServer/RelayCore.h>

#include <LibRelayServer/RelayExchange.h>
#include <vector>

namespace Jujube
{

namespace
{

// The process exits this long before it would be killed.
constexpr std::chrono::milliseconds GraceMargin {600};
constexpr int64_t BitsPerByte = 8;
constexpr double BitsPerMegabit = 1e6;
constexpr double MillisecondsPerSecond = 1000;
// Time of a copy beside the transfer: two orders and the way to the engine and back.
constexpr std::chrono::milliseconds CopyOverhead {100};

} // namespace

RelayCore::RelayCore(boost::asio::io_context &loopInUse, RelayOptions relayOptions, RelayDialect relayDialect, LineWriter &lines)
    : loop(loopInUse)
    , options(std::move(relayOptions))
    , dialect(std::move(relayDialect))
    , channels(loopInUse)
    , client(loopInUse)
    , targets({})
    , balancer({.region = options.region, .regions = options.regions})
    , peers({.ownAddress = options.peers.toText(), .region = options.region, .regions = options.regions})
    , m_lines(lines)
    , m_random(std::random_device {}())
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

int RelayCore::liveGateways(MonotonicTime now) const
{
    return peers.liveCount(now);
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
    moves.targetLeaves(target, waitForPeers(target, now), now);
    for (const auto &[exchange, runsOn] : running) {
        if (runsOn == target) {
            exchange->queueMove();
        }
    }
    runMoves();
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
    for (const auto *peer : peers.alive(now)) {
        const auto movable = balancer.peerLoad(peer->news.node, target).movable;
        if (peer->news.node < options.node && movable > 0) {
            const double seconds = static_cast<double>(movable * engine.bytesPerToken * BitsPerByte) / (engine.linkMbps * BitsPerMegabit);
            wait += std::chrono::milliseconds(static_cast<int64_t>(seconds * MillisecondsPerSecond)) + CopyOverhead;
        }
    }
    return wait;
}

void RelayCore::checkTurns(MonotonicTime now)
{
    bool released = false;
    for (const auto &target : moves.waitingTargets(now)) {
        if (waitForPeers(target, now).count() == 0) {
            moves.release(target, now);
            released = true;
        }
    }
    if (released) {
        runMoves();
    }
}

std::shared_ptr<RelayExchange> RelayCore::findRunning(const std::string &request) const
{
    for (const auto &[exchange, runsOn] : running) {
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
            if (!exchange || !exchange->startMove(now)) {
                moves.remove(request);
            }
        }
    }
    const auto next = moves.nextTime();
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
