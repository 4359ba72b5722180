#include <LibRelay/ChangeSource.h>

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Jujube
{

namespace
{

auto readingOrder(const std::string &node, double linkMbps)
{
    return std::tuple(-linkMbps, XXH3_64bits(node.data(), node.size()), node);
}

bool isUntil(const std::map<std::string, MonotonicTime> &times, const std::string &address, MonotonicTime now)
{
    const auto found = times.find(address);
    return found != times.end() && now < found->second;
}

} // namespace

ChangeSource::ChangeSource(Options options)
    : m_options(std::move(options))
{
}

bool ChangeSource::isBefore(const Relay &relay) const
{
    return readingOrder(relay.node, relay.linkMbps) < readingOrder(m_options.node, m_options.linkMbps);
}

ChangeSource::Decision ChangeSource::decide(const std::vector<Relay> &region, MonotonicTime now, uint64_t random)
{
    m_waitsSince = m_waitsSince.value_or(now);
    std::vector<std::string> holders;
    bool isHolderBusy = false;
    bool isReceiving = false;
    size_t before = 0;
    for (const auto &relay : region) {
        before += isBefore(relay) ? 1 : 0;
        isReceiving = isReceiving || relay.isReceiving;
        const bool isHolder = relay.hasChanges || std::ranges::find(m_statedHolders, relay.address) != m_statedHolders.end();
        if (!isHolder || isUntil(m_failedUntil, relay.address, now)) {
            continue;
        }
        if (isUntil(m_busyUntil, relay.address, now)) {
            isHolderBusy = true;
        } else {
            holders.push_back(relay.address);
        }
    }
    if (!holders.empty()) {
        return {.kind = Decision::Kind::Peer, .address = holders[random % holders.size()]};
    }
    if (before < m_options.readersPerRegion) {
        return {.kind = Decision::Kind::Store};
    }
    const auto turn = m_options.takeoverDelay * static_cast<int>(before - m_options.readersPerRegion + 1);
    const auto maxWait = isHolderBusy || isReceiving ? m_options.maxWait : std::min(turn, m_options.maxTakeoverDelay);
    // A relay that has failed to hand its changes over may be one of several that cannot be reached.
    const bool hasFailed = !isHolderBusy && !isReceiving && !m_failedUntil.empty();
    return {.kind = hasFailed || now - *m_waitsSince >= maxWait ? Decision::Kind::Store : Decision::Kind::Wait};
}

bool ChangeSource::isReadByOthers(const std::vector<Relay> &region) const
{
    const auto before = std::ranges::count_if(region, [this](const Relay &relay) { return isBefore(relay); });
    const auto reads = [this](const Relay &relay) { return isBefore(relay) && (relay.hasChanges || relay.isReceiving); };
    return static_cast<size_t>(before) >= m_options.readersPerRegion && std::ranges::any_of(region, reads);
}

void ChangeSource::recordFailure(const std::string &address, MonotonicTime now)
{
    m_failedUntil[address] = now + m_options.failureDelay;
}

void ChangeSource::recordBusy(const std::string &address, const std::vector<std::string> &holders, MonotonicTime now)
{
    m_busyUntil[address] = now + m_options.busyDelay;
    for (const auto &holder : holders) {
        if (std::ranges::find(m_statedHolders, holder) == m_statedHolders.end()) {
            m_statedHolders.push_back(holder);
        }
    }
}

void ChangeSource::recordReceived()
{
    m_waitsSince.reset();
    m_statedHolders.clear();
}

void ChangeSource::recordCaughtUp()
{
    recordReceived();
    m_failedUntil.clear();
    m_busyUntil.clear();
}

} // namespace Jujube
