#include "../Support/ChildProcess.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/stat.h>
#include <thread>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Only a broken relay takes this long.
constexpr auto Patience = 20s;

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = Patience)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

// A relay process without a store, with its settings and its log in a directory of its own.
class RelaySignals : public testing::Test
{
protected:
    RelaySignals()
    {
        auto name = (std::filesystem::temp_directory_path() / "jujube-relay-signals-XXXXXX").string();
        m_directory = mkdtemp(name.data());
        m_file = m_directory / "settings";
    }

    ~RelaySignals() override
    {
        m_relay.reset();
        std::filesystem::remove_all(m_directory);
    }

    std::string settings(const std::string &seed) const
    {
        std::string text
            = absl::StrCat("JUJUBE_NODE=n1\nJUJUBE_DATA_CENTRE=a\nJUJUBE_REGION=a\nJUJUBE_STORE=", m_store.toText(), "\nJUJUBE_SEEDS=", seed, "\n");
        const std::pair<const char *, Endpoint> addresses[] = {{"LISTEN", m_callers},
                                                               {"READY_LISTEN", m_ready},
                                                               {"DIRECTORY_LISTEN", m_directoryAddress},
                                                               {"PEER_LISTEN", m_peers},
                                                               {"METRICS_LISTEN", m_metrics}};
        for (const auto &[setting, endpoint] : addresses) {
            absl::StrAppend(&text, "JUJUBE_", setting, "=", endpoint.toText(), "\n");
        }
        return text;
    }

    static void write(const std::filesystem::path &path, const std::string &text)
    {
        std::ofstream(path, std::ios::trunc) << text;
    }

    // Ends the former relay first, because it holds the same addresses.
    void start(const std::vector<int> &blockedSignals = {})
    {
        m_relay.reset();
        m_relay = std::make_unique<ChildProcess>("jujube-relay", std::vector<std::string> {"--settings-file", m_file}, log(), blockedSignals);
    }

    // Starts a relay that waits in its first read of the settings. Returns the end to which the settings are to be written.
    int startReadingSettings()
    {
        EXPECT_EQ(mkfifo(m_file.c_str(), S_IRUSR | S_IWUSR), 0);
        start();
        int file = -1;
        EXPECT_TRUE(waitUntil([&] {
            file = open(m_file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return file >= 0;
        }));
        return file;
    }

    void finishSettings(int file, const std::string &text) const
    {
        EXPECT_EQ(::write(file, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        close(file);
    }

    std::string log() const
    {
        return m_directory / "log";
    }

    bool serves() const
    {
        return waitUntil([this] {
            boost::asio::io_context loop;
            Tcp::socket socket(loop);
            LoopError error;
            socket.connect(m_metrics.tcp(), error);
            boost::asio::write(socket, boost::asio::buffer("GET /metrics HTTP/1.0\r\n\r\n", 25), error);
            std::array<char, 12> status {};
            const auto size = boost::asio::read(socket, boost::asio::buffer(status), error);
            return std::string_view(status.data(), size) == "HTTP/1.1 200";
        });
    }

    // Whether the relay has read its settings again and found this seed.
    bool reloads(const std::string &seed) const
    {
        return waitUntil([&] {
            std::ifstream file(log());
            std::string line;
            while (std::getline(file, line)) {
                if (absl::StrContains(line, "settings_reloaded") && absl::StrContains(line, seed)) {
                    return true;
                }
            }
            return false;
        });
    }

    std::filesystem::path m_directory;
    std::filesystem::path m_file;
    const Endpoint m_callers = ownLoopbackEndpoint();
    const Endpoint m_ready = ownLoopbackEndpoint();
    const Endpoint m_directoryAddress = ownLoopbackEndpoint();
    const Endpoint m_peers = ownLoopbackEndpoint();
    const Endpoint m_metrics = ownLoopbackEndpoint();
    const Endpoint m_store = ownLoopbackEndpoint();
    const std::string m_first = "127.0.0.1:1001";
    const std::string m_second = "127.0.0.1:1002";
    std::unique_ptr<ChildProcess> m_relay;
};

} // namespace

// Guards against a relay that SIGHUP ends while it reads its settings, and against one that loses the signal and keeps the former settings.
TEST_F(RelaySignals, ReloadWhileTheSettingsAreReadIsDoneLater)
{
    const int file = startReadingSettings();
    m_relay->signal(SIGHUP);
    const auto changed = m_directory / "changed";
    write(changed, settings(m_second));
    // With the same time as the first file, so that only the signal tells of the change.
    std::filesystem::last_write_time(changed, std::filesystem::last_write_time(m_file));
    std::filesystem::rename(changed, m_file);
    finishSettings(file, settings(m_first));
    ASSERT_TRUE(serves());
    ASSERT_TRUE(reloads(m_second));
    EXPECT_EQ(m_relay->poll(), std::nullopt);
}

// Guards against a change of the settings file that is never noticed because it was made while the relay read the file.
TEST_F(RelaySignals, ChangeWhileTheSettingsAreReadIsNoticed)
{
    const int file = startReadingSettings();
    const auto changed = m_directory / "changed";
    write(changed, settings(m_second));
    std::filesystem::last_write_time(changed, std::filesystem::last_write_time(m_file) + 1s);
    std::filesystem::rename(changed, m_file);
    finishSettings(file, settings(m_first));
    ASSERT_TRUE(serves());
    EXPECT_TRUE(reloads(m_second));
}

// Guards against a relay that SIGHUP ends before main(), while the libraries of the program are initialised.
TEST_F(RelaySignals, ReloadBeforeMainIsDoneLater)
{
    write(m_file, settings(m_first));
    // A library of this program raises the signal when it is initialised.
    m_relay = std::make_unique<ChildProcess>("raising-relay", std::vector<std::string> {"--settings-file", m_file}, log());
    ASSERT_TRUE(serves());
    ASSERT_TRUE(reloads(m_first));
    EXPECT_EQ(m_relay->poll(), std::nullopt);
}

// Guards against a signal that is lost at any moment from the first one on, when whoever starts the relay has blocked it until the relay is ready for it.
TEST_F(RelaySignals, ReloadAtAnyMomentOfTheStartIsDone)
{
    write(m_file, settings(m_first));
    for (auto delay = 0us; delay < 100ms; delay = delay * 2 + 500us) {
        SCOPED_TRACE(absl::StrCat("delay in microseconds: ", delay.count()));
        std::filesystem::remove(log());
        start({SIGHUP});
        std::this_thread::sleep_for(delay);
        m_relay->signal(SIGHUP);
        ASSERT_TRUE(serves());
        ASSERT_TRUE(reloads(m_first));
        EXPECT_EQ(m_relay->poll(), std::nullopt);
    }
}

// Guards against an exit code that tells of a crash because SIGHUP arrived during the last steps of a graceful shutdown.
TEST_F(RelaySignals, ReloadDuringTheExitDoesNotChangeTheExitCode)
{
    write(m_file, settings(m_first));
    start();
    ASSERT_TRUE(serves());
    m_relay->signal(SIGTERM);
    std::optional<int> code;
    EXPECT_TRUE(waitUntil([&] {
        for (int count = 0; count < 200 && !code; ++count) {
            m_relay->signal(SIGHUP);
            code = m_relay->poll();
        }
        return code.has_value();
    }));
    EXPECT_EQ(code, 0);
}
