#pragma once

#include "PlannedCaller.h"
#include "SoakRelay.h"
#include "SoakStore.h"

#include <fstream>
#include <LibLoop/LoopClient.h>
#include <platform/StandIns/StandInRows.h>

namespace Jujube
{

struct PlannedOptions {
    uint64_t seed = 1;
    size_t relays = 8;
    size_t callers = 120;
    // Targets of each of the two services.
    size_t targets = 10;
    // Time with planned work.
    std::chrono::milliseconds length {30000};
    // Pause after the stop of a relay before the next one begins, at most. Stops overlap where it is shorter than a stop.
    std::chrono::milliseconds longestPause {2500};
    std::string relayProgram = "jujube-relay";
    // Processors for all relays together. Zero for all that the machine has.
    int processors = 0;
    // Whether promises with a time bound are checked. Requests that are lost always count.
    bool timed = true;
    // Settings and logs of the relays and the log of the run are written here.
    std::string directory;
};

struct PlannedResult {
    std::vector<std::string> violations;
    size_t requests = 0;
    size_t stops = 0;
    PlannedLosses::Counts counts;
    std::map<int, size_t> statuses;
    std::chrono::milliseconds worstLateness {0};
    // Of the relays that run at the end, since the start of each.
    ChildProcess::ProcessorTime relayTime;
};

// Runs relays as processes under planned work only: SIGTERMs in series, second SIGTERMs and changed settings during a stop, and documents that change. Nothing
// fails. Targets work for up to longer than the grace time, and pause for some seconds.
class PlannedWorld
{
public:
    explicit PlannedWorld(PlannedOptions options);
    ~PlannedWorld();

    PlannedResult run();

private:
    struct Target {
        std::string id;
        std::unique_ptr<StandInTarget> server;
    };

    uint64_t below(uint64_t bound);
    void startTargets();
    void startTarget(const std::string &service, size_t number);
    void startRelays();
    void startCallers();
    std::optional<PlannedCaller::Relay> chooseRelay(uint64_t random) const;
    void after(std::chrono::milliseconds time, std::function<void()> action);
    // Stops one relay or several, then goes on with the next ones, until the time is over.
    void stopNext(MonotonicTime until);
    void stop(SoakRelay &relay);
    // What happens to a relay while it stops: SIGTERM once more, or changed settings.
    void disturbStop(SoakRelay &relay);
    void changeSettings(SoakRelay &relay, const std::string &settings);
    void changeDocument(MonotonicTime until);
    void writeDocument();
    void tick();
    void noteStops(MonotonicTime now);
    void runFor(std::chrono::milliseconds time);
    void waitReady();
    void log(const std::string &text);
    void lose(const std::string &text);

    const PlannedOptions m_options;
    boost::asio::io_context m_loop;
    MonotonicTime m_startedAt;
    std::ofstream m_log;
    std::mt19937_64 m_random;
    SoakLedger m_ledger;
    PlannedLosses m_losses;
    Endpoint m_storeAddress;
    std::unique_ptr<SoakStore> m_store;
    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<SoakRelay>> m_relays;
    // When the relays were seen to run.
    std::map<const SoakRelay *, MonotonicTime> m_runningSince;
    std::vector<std::unique_ptr<PlannedCaller>> m_callers;
    LoopClient m_client;
    StandInDocument m_document;
    size_t m_stops = 0;
    boost::asio::steady_timer m_tick;
    MonotonicTime m_nextTick;
    std::chrono::milliseconds m_worstLateness {0};
};

} // namespace Jujube
