#pragma once

#include "../../Support/ChildProcess.h"
#include "LoopbackProxy.h"

#include <LibCore/Time.h>
#include <memory>
#include <string>
#include <vector>

namespace Jujube
{

// One relay process with its settings file and its proxies.
class SoakRelay
{
public:
    struct Options {
        std::string name;
        std::string dataCentre;
        std::string region;
        // All data centres, as the settings list them.
        std::string regions;
        Endpoint store;
        std::vector<std::string> seeds;
        // Settings files and logs go here.
        std::string directory;
        double retrySlack = 0;
        // Number of processors on which the process may run. Zero for all.
        int processors = 0;
    };

    enum class State {
        Running,
        Paused,
        // SIGTERM was sent.
        Ending,
        Down,
    };

    SoakRelay(boost::asio::io_context &loop, Options options);

    void start();
    // SIGKILL.
    void kill(MonotonicTime now, std::chrono::milliseconds downtime);
    // SIGTERM.
    void terminate(MonotonicTime now);
    void pause();
    void resume();
    // Writes another settings file, and sends SIGHUP.
    void reload(unsigned variant, bool withSignal);

    // Follows the process: restarts it when its time has come. Returns a description if it ended by itself or badly.
    std::string follow(MonotonicTime now);

    State state() const
    {
        return m_state;
    }
    const Options &options() const
    {
        return m_options;
    }
    // When SIGTERM was sent, or the process was killed, last.
    MonotonicTime stoppedAt() const
    {
        return m_stoppedAt;
    }

    const Endpoint callers;
    const Endpoint ready;
    const Endpoint directory;
    const Endpoint peers;
    LoopbackProxy callerLink;
    LoopbackProxy storeLink;

private:
    void writeSettings(const std::string &further) const;

    const Options m_options;
    const Endpoint m_metrics;
    State m_state = State::Down;
    std::unique_ptr<ChildProcess> m_process;
    MonotonicTime m_startedAt;
    MonotonicTime m_stoppedAt;
    MonotonicTime m_restartAt;
};

} // namespace Jujube
