#include <LibLoop/TargetChannelPool.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Margin before the other end closes an idle connection. A request that crosses the close may or may not have been read.
constexpr std::chrono::milliseconds KeepAliveMargin {700};
constexpr std::chrono::milliseconds MostIdle {10000};
constexpr size_t MostIdlePerAddress = 4;

bool isFresh(const TargetChannel &channel, MonotonicTime now)
{
    return now - channel.idleSince() < std::min(channel.keepAlive() - KeepAliveMargin, MostIdle);
}

} // namespace

TargetChannelPool::~TargetChannelPool()
{
    clear();
}

std::shared_ptr<TargetChannel> TargetChannelPool::fresh(const Endpoint &address) const
{
    return std::make_shared<TargetChannel>(m_loop, address);
}

std::shared_ptr<TargetChannel> TargetChannelPool::acquire(const Endpoint &address, MonotonicTime now)
{
    const auto found = m_idle.find(address.toText());
    while (found != m_idle.end() && !found->second.empty()) {
        auto channel = found->second.back();
        found->second.pop_back();
        if (channel->isReusable() && isFresh(*channel, now)) {
            return channel;
        }
        channel->abort();
    }
    return fresh(address);
}

void TargetChannelPool::release(const std::shared_ptr<TargetChannel> &channel)
{
    if (!channel->isReusable()) {
        return;
    }
    const auto key = channel->address().toText();
    auto &idle = m_idle[key];
    if (idle.size() >= MostIdlePerAddress) {
        channel->abort();
        return;
    }
    idle.push_back(channel);
    channel->watchIdle([this, key, raw = channel.get()] { drop(key, raw); });
}

void TargetChannelPool::drop(const std::string &key, const TargetChannel *channel)
{
    const auto found = m_idle.find(key);
    if (found != m_idle.end()) {
        std::erase_if(found->second, [&](const auto &idle) { return idle.get() == channel; });
    }
}

void TargetChannelPool::forget(const Endpoint &address)
{
    const auto found = m_idle.find(address.toText());
    if (found == m_idle.end()) {
        return;
    }
    for (const auto &channel : found->second) {
        channel->abort();
    }
    m_idle.erase(found);
}

void TargetChannelPool::expire(MonotonicTime now)
{
    for (auto &[key, idle] : m_idle) {
        std::erase_if(idle, [&](const auto &channel) {
            const bool stale = !isFresh(*channel, now);
            if (stale) {
                channel->abort();
            }
            return stale;
        });
    }
    absl::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void TargetChannelPool::clear()
{
    for (auto &[key, idle] : m_idle) {
        for (const auto &channel : idle) {
            channel->abort();
        }
    }
    m_idle.clear();
}

} // namespace Jujube
