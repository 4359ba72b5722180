#pragma once

#include "../../Support/ChildProcess.h"
#include "LoopbackProxy.h"
#include "SoakStore.h"

#include <atomic>
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
        Endpoint storeAddress;
        std::vector<std::string> seeds;
        // Settings files and logs go here.
        std::string directory;
        double retrySlack = 0;
        // The program, of this build unless the path is absolute.
        std::string program = "jujube-relay";
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

    SoakRelay(boost::asio::io_context &loop, SoakStore &store, Options options);

    void start();
    // Sends SIGKILL without waiting for the end, so that many relays end at once.
    void beginKill() const;
    // SIGKILL.
    void kill(MonotonicTime now, std::chrono::milliseconds downtime);
    // SIGTERM.
    void terminate(MonotonicTime now);
    void pause();
    void resume();
    // From now on, or no longer, the process runs for a part of the time only.
    void setSlow(bool isSlow);
    // Writes another settings file, and sends SIGHUP. A process that the dynamic linker is still loading, which no program can protect from the signal, gets it
    // as soon as the kernel shows that it is prepared for it.
    void reload(unsigned variant, bool withSignal);
    // Appends settings to the file and sends SIGHUP, to a relay that ends as well.
    void changeSettings(const std::string &further) const;
    // Sends SIGTERM once more to a relay that ends.
    void terminateAgain() const;

    // Follows the process: restarts it when its time has come. Returns a description if it ended by itself or badly.
    std::string follow(MonotonicTime now);

    // Of the running process.
    ChildProcess::ProcessorTime processorTime() const
    {
        return m_process ? m_process->processorTime() : ChildProcess::ProcessorTime();
    }
    bool wasStarted() const
    {
        return m_startedAt != MonotonicTime();
    }
    bool isSlow() const
    {
        return m_isSlow;
    }
    // When the relay last asked the store to respond at the next change, which the relays do that read for all.
    MonotonicTime heldReadAt() const
    {
        return MonotonicTime(MonotonicTime::duration(m_heldReadAt.load()));
    }
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
    void onStoreCall(std::string_view bytes);
    void writeSettings(const std::string &further) const;
    void sendReload();

    std::atomic<MonotonicTime::rep> m_heldReadAt {0};
    const Options m_options;
    const Endpoint m_metrics;
    State m_state = State::Down;
    std::unique_ptr<ChildProcess> m_process;
    // SIGHUP is still to be sent.
    bool m_reloadWanted = false;
    MonotonicTime m_startedAt;
    MonotonicTime m_stoppedAt;
    // A relay that never ran is started by its owner.
    MonotonicTime m_restartAt = MonotonicTime::max();
    bool m_isSlow = false;
    int m_turn = 0;
};

} // namespace Jujube
