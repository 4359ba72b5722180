#pragma once

#include <csignal>

namespace Jujube
{

// SIGINT and SIGTERM, blocked in the constructing thread and in those that it starts afterwards, so that only wait() receives them. To be made before the
// first thread.
class StopSignals
{
public:
    StopSignals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGINT);
        sigaddset(&m_signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }

    // Waits for one of the signals.
    void wait() const
    {
        int signal = 0;
        sigwait(&m_signals, &signal);
    }

private:
    sigset_t m_signals {};
};

} // namespace Jujube
