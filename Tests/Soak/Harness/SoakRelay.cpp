#include "SoakRelay.h"

#include "../../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <csignal>
#include <fstream>

namespace Jujube
{

namespace
{

constexpr std::chrono::seconds Grace {8};
// Time until a process handles signals.
constexpr std::chrono::milliseconds StartTime {500};
// Pause before a process that ended is started again.
constexpr std::chrono::milliseconds RestartPause {300};

} // namespace

SoakRelay::SoakRelay(boost::asio::io_context &loop, SoakStore &store, Options options)
    : callers(ownLoopbackEndpoint())
    , ready(ownLoopbackEndpoint())
    , directory(ownLoopbackEndpoint())
    , peers(ownLoopbackEndpoint())
    , callerLink(loop, ownLoopbackEndpoint(), callers)
    , storeLink(store.loop(),
                ownLoopbackEndpoint(),
                options.storeAddress,
                {.run = [&store](const std::function<void()> &function) { store.run(function); },
                 .onForward = [this](std::string_view bytes) { onStoreCall(bytes); }})
    , m_options(std::move(options))
    , m_metrics(ownLoopbackEndpoint())
{
    writeSettings({});
}

void SoakRelay::onStoreCall(std::string_view bytes)
{
    constexpr std::string_view Wait = "&wait_ms=";
    const auto wait = bytes.find(Wait);
    if (wait != std::string_view::npos && wait + Wait.size() < bytes.size() && bytes[wait + Wait.size()] != '0') {
        m_heldReadAt = monotonicNow().time_since_epoch().count();
    }
}

void SoakRelay::writeSettings(const std::string &further) const
{
    std::ofstream file(absl::StrCat(m_options.directory, "/", m_options.name, ".settings"), std::ios::trunc);
    file << "JUJUBE_NODE=" << m_options.name << "\nJUJUBE_DATA_CENTRE=" << m_options.dataCentre << "\nJUJUBE_REGION=" << m_options.region
         << "\nJUJUBE_REGIONS=" << m_options.regions << "\nJUJUBE_LISTEN=" << callers.toText() << "\nJUJUBE_READY_LISTEN=" << ready.toText()
         << "\nJUJUBE_DIRECTORY_LISTEN=" << directory.toText() << "\nJUJUBE_PEER_LISTEN=" << peers.toText() << "\nJUJUBE_METRICS_LISTEN=" << m_metrics.toText()
         << "\nJUJUBE_STORE=" << storeLink.address().toText() << "\nJUJUBE_SEEDS=" << absl::StrJoin(m_options.seeds, ",")
         << "\nJUJUBE_GRACE_S=" << Grace.count() << "\nJUJUBE_RETRY_SLACK=" << m_options.retrySlack << "\n"
         << further;
}

void SoakRelay::start()
{
    // Faults of the settings end with the process.
    writeSettings({});
    m_process
        = std::make_unique<ChildProcess>(m_options.program,
                                         std::vector<std::string> {"--settings-file", absl::StrCat(m_options.directory, "/", m_options.name, ".settings")},
                                         absl::StrCat(m_options.directory, "/", m_options.name, ".log"));
    if (m_options.processors > 0) {
        m_process->confine(m_options.processors);
    }
    m_state = State::Running;
    m_reloadWanted = false;
    m_startedAt = monotonicNow();
}

void SoakRelay::beginKill() const
{
    if (m_process) {
        m_process->signal(SIGKILL);
    }
}

void SoakRelay::kill(MonotonicTime now, std::chrono::milliseconds downtime)
{
    if (m_process) {
        m_process->kill();
        m_process.reset();
    }
    m_state = State::Down;
    m_stoppedAt = now;
    m_restartAt = now + downtime;
}

void SoakRelay::terminate(MonotonicTime now)
{
    if (m_state == State::Running) {
        setSlow(false);
        m_process->signal(SIGTERM);
        m_state = State::Ending;
        m_stoppedAt = now;
    }
}

void SoakRelay::pause()
{
    if (m_state == State::Running) {
        m_process->signal(SIGSTOP);
        m_state = State::Paused;
    }
}

void SoakRelay::resume()
{
    if (m_state == State::Paused) {
        m_process->signal(SIGCONT);
        m_state = State::Running;
    }
}

void SoakRelay::setSlow(bool isSlow)
{
    m_isSlow = isSlow;
    m_turn = 0;
    if (!isSlow && m_state == State::Running) {
        m_process->signal(SIGCONT);
    }
}

void SoakRelay::reload(unsigned variant, bool withSignal)
{
    constexpr unsigned Forms = 4;
    switch (variant % Forms) {
    case 0:
        writeSettings("JUJUBE_DIRECTORY_LIFETIME_MS=1500\n");
        break;
    case 1:
        writeSettings("JUJUBE_GRACE_S=never\nJUJUBE_UNKNOWN=1\n");
        break;
    case 2:
        writeSettings("not a setting\n");
        break;
    default:
        writeSettings({});
    }
    m_reloadWanted = m_reloadWanted || (withSignal && m_state == State::Running);
    sendReload();
}

void SoakRelay::changeSettings(const std::string &further) const
{
    writeSettings(further);
    if ((m_state == State::Running || m_state == State::Ending) && m_process->isPreparedFor(SIGHUP)) {
        m_process->signal(SIGHUP);
    }
}

void SoakRelay::terminateAgain() const
{
    if (m_state == State::Ending) {
        m_process->signal(SIGTERM);
    }
}

void SoakRelay::sendReload()
{
    if (m_reloadWanted && m_state == State::Running && m_process->isPreparedFor(SIGHUP)) {
        m_process->signal(SIGHUP);
        m_reloadWanted = false;
    }
}

std::string SoakRelay::follow(MonotonicTime now)
{
    if (m_state == State::Down) {
        if (now >= m_restartAt) {
            start();
        }
        return {};
    }
    if (m_state == State::Ending && now > m_stoppedAt + Grace) {
        kill(now, RestartPause);
        return {};
    }
    if (m_isSlow && m_state == State::Running) {
        // The process runs in some of the turns.
        constexpr int Turns = 10;
        constexpr int RunningTurns = 2;
        m_process->signal(m_turn++ % Turns < RunningTurns ? SIGCONT : SIGSTOP);
    }
    sendReload();
    const auto code = m_process->poll();
    if (!code) {
        return {};
    }
    // A process that was asked to end before it could handle signals ends by the signal.
    const bool wasStarting = m_stoppedAt - m_startedAt < StartTime;
    const bool asked = m_state == State::Ending && (*code == 0 || (wasStarting && *code == -SIGTERM));
    kill(now, RestartPause);
    return asked ? std::string() : absl::StrCat(m_options.name, " ended by itself with code ", *code);
}

} // namespace Jujube
