#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibLoop/TargetChannel.h>
#include <vector>

namespace Jujube
{

// Keeps idle connections by address. An idle connection that is closed by the other end, or on which bytes arrive, is dropped.
class TargetChannelPool
{
public:
    explicit TargetChannelPool(boost::asio::io_context &loop)
        : m_loop(loop)
    {
    }
    // Closes the idle connections, which are watched until then.
    ~TargetChannelPool();
    TargetChannelPool(const TargetChannelPool &) = delete;
    TargetChannelPool &operator=(const TargetChannelPool &) = delete;

    // A connection of its own, which is not connected yet.
    std::shared_ptr<TargetChannel> fresh(const Endpoint &address) const;

    // An idle connection that the other end keeps for some time still, or a fresh one.
    std::shared_ptr<TargetChannel> acquire(const Endpoint &address, MonotonicTime now);

    // Takes a connection back after its exchange. One that is not reusable is forgotten.
    void release(const std::shared_ptr<TargetChannel> &channel);

    // Closes the idle connections to an address, for example because another target has it now.
    void forget(const Endpoint &address);

    // Closes connections that have been idle for too long.
    void expire(MonotonicTime now);

    void clear();

private:
    void drop(const std::string &key, const TargetChannel *channel);

    boost::asio::io_context &m_loop;
    absl::flat_hash_map<std::string, std::vector<std::shared_ptr<TargetChannel>>> m_idle;
};

} // namespace Jujube
