#include <LibRelayServer/RelayCore.h>

#include <LibRelayServer/RelayExchange.h>
#include <vector>

namespace Jujube
{

RelayCore::RelayCore(boost::asio::io_context &loopInUse, RelayOptions relayOptions, RelayDialect relayDialect, LineWriter &lines)
    : loop(loopInUse)
    , options(std::move(relayOptions))
    , dialect(std::move(relayDialect))
    , channels(loopInUse)
    , client(loopInUse)
    , targets({})
    , balancer({.region = options.region, .regions = options.regions})
    , peers({.ownAddress = options.peers.toText()})
    , m_lines(lines)
    , m_random(std::random_device {}())
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
    std::vector<std::shared_ptr<RelayExchange>> affected;
    for (const auto &[exchange, runsOn] : running) {
        if (runsOn == target) {
            affected.push_back(exchange->shared_from_this());
        }
    }
    for (const auto &exchange : affected) {
        exchange->onTargetLeaving(now);
    }
}

} // namespace Jujube
