#pragma once

#include <LibLoop/TargetChannelPool.h>

namespace Jujube
{

// A short call to the store, to a peer or to an engine's control interface.
struct LoopCall {
    std::string method = "GET";
    std::string target;
    std::vector<HeaderField> fields;
    std::string body;
    std::chrono::milliseconds timeout {1000};
    // Time to connect, if it is shorter than the timeout.
    std::optional<std::chrono::milliseconds> connectTimeout;
    // Called for each part of the answer. If it is set, the timeout starts anew with each part, so that a long answer may take its time on a slow link, until
    // the longest time of all.
    std::function<void()> onProgress;
    std::chrono::milliseconds longest {10000};
    // Asked at each part of the answer. Once it returns false, the call ends as Broken.
    std::function<bool()> isWanted;
    // A longer answer ends the call as Broken. Many calls may be in progress at the same time.
    size_t mostAnswerBytes = 256 << 10;
    // Uses a connection of its own, so that a connection that has gone silent cannot affect the call.
    bool freshConnection = false;
};

struct LoopAnswer {
    ChannelEnd end = ChannelEnd::NotSent;
    // Zero if no whole answer arrived.
    int status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    std::string error;
    ConnectFailure connectFailure = ConnectFailure::None;
    // Whether the call was ended because the answer was longer than the call allows.
    bool isTooLong = false;
    // Whether the call was ended because its answer was not wanted any more.
    bool isUnwanted = false;

    bool isSuccess() const
    {
        return end == ChannelEnd::Complete && status / 100 == 2;
    }

    // The value of the first field of this name, in any case. Empty if there is none.
    std::string_view value(std::string_view name) const;
};

// Makes short calls with a timeout over pooled connections and delivers whole answers. Used on the loop's thread only.
class LoopClient
{
public:
    using AnswerHook = std::function<void(const LoopAnswer &)>;

    explicit LoopClient(boost::asio::io_context &loop);

    void call(const Endpoint &address, const LoopCall &call, AnswerHook onAnswer);

    void expire(MonotonicTime now)
    {
        m_pool.expire(now);
    }

    // Closes idle connections, for example after the process was frozen.
    void closeIdle()
    {
        m_pool.clear();
    }

private:
    boost::asio::io_context &m_loop;
    TargetChannelPool m_pool;
};

} // namespace Jujube
