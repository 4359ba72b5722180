#pragma once

#include "PlannedLosses.h"
#include "SoakLedger.h"

#include <functional>
#include <LibLoop/TargetChannel.h>
#include <memory>
#include <random>
#include <string>

namespace Jujube
{

// Longest waits of the routes in runs of planned work.
namespace PlannedRoutes
{
constexpr std::chrono::milliseconds Generation {39000};
constexpr std::chrono::milliseconds OneTime {3000};
constexpr std::chrono::milliseconds Repeatable {2000};
} // namespace PlannedRoutes

// What a target has to do for a request, which the request states in its query.
struct PlannedWork {
    // Time until the whole answer is made, pauses included.
    std::chrono::milliseconds time {0};
    // The event before which an engine pauses. Zero if it does not.
    int pausesBefore = 0;
    std::chrono::milliseconds pause {0};

    std::string toQuery() const;
    static PlannedWork parse(std::string_view target);
};

// A caller that keeps its connection to a relay, whether or not that relay is stopping, and sends one request after the other on it with pauses of up to some
// seconds. It respects `Connection: close`. Used on the loop's thread only.
class PlannedCaller
{
public:
    struct Relay {
        std::string name;
        Endpoint address;
    };

    struct Options {
        std::string name;
        uint64_t seed = 0;
    };

    struct Hooks {
        // The relay for a new connection. Nothing if all are down.
        std::function<std::optional<Relay>(uint64_t random)> chooseRelay;
        // A request was lost.
        std::function<void(const std::string &text)> onLost;
    };

    PlannedCaller(boost::asio::io_context &loop, SoakLedger &ledger, PlannedLosses &losses, Options options, Hooks hooks);

    void start();
    // Sends nothing more.
    void stop();
    bool isIdle() const
    {
        return m_id.empty();
    }

private:
    uint64_t below(uint64_t bound);
    void pauseThenSend(std::chrono::milliseconds pause);
    void send();
    SoakLedger::Sent drawRequest();
    // A duration that is shorter than this one in every second case.
    std::chrono::milliseconds drawAround(std::chrono::milliseconds median);
    SoakLedger::Sent drawGeneration(SoakKind kind);
    SoakLedger::Sent drawCall(SoakKind kind);
    std::string textOf(const SoakLedger::Sent &sent);
    void onHead(const MessageHead &head);
    void onEnd(ChannelEnd end);

    boost::asio::io_context &m_loop;
    SoakLedger &m_ledger;
    PlannedLosses &m_losses;
    const Options m_options;
    const Hooks m_hooks;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_pause;
    std::optional<Relay> m_relay;
    std::shared_ptr<TargetChannel> m_channel;
    // Empty while no request is on its way.
    std::string m_id;
    SoakLedger::Answer m_answer;
    // The estimate that goes with the request that is drawn.
    int64_t m_lengthHint = 0;
    uint64_t m_sent = 0;
    bool m_stopped = false;
};

} // namespace Jujube
