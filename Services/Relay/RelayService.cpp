#include "RelayService.h"

#include "ReloadSignal.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <LibRelayServer/Relay.h>
#include <platform/PlatformAdapter.h>
#include <string_view>

namespace Jujube
{

namespace
{

constexpr int ExitInvalidSettings = 2;
constexpr int ExitCannotStart = 3;
constexpr std::string_view FileFlag = "--settings-file";

// The path of the settings file is needed before the other settings can be read from it.
std::string settingsFile(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        const std::string_view word = argv[index];
        if (word == FileFlag && index + 1 < argc) {
            return argv[index + 1];
        }
        if (word.starts_with(FileFlag) && word.size() > FileFlag.size() && word[FileFlag.size()] == '=') {
            return std::string(word.substr(FileFlag.size() + 1));
        }
    }
    const char *value = std::getenv("JUJUBE_SETTINGS_FILE");
    return value ? value : "";
}

Settings::Options settingsOptions(const std::map<std::string, std::string> &file)
{
    return {.program = "jujube-relay",
            .description = "Relays callers' requests to targets, on the routes of the document in the store",
            .version = JUJUBE_VERSION,
            .settings = RelayOptions::settings(),
            .environment = [file](const std::string &name) -> std::optional<std::string> {
                const auto found = file.find(name);
                if (found != file.end()) {
                    return found->second;
                }
                const char *value = std::getenv(name.c_str());
                return value ? std::optional<std::string>(value) : std::nullopt;
            }};
}

absl::StatusOr<std::map<std::string, std::string>> fileValues(const std::string &path)
{
    if (path.empty()) {
        return std::map<std::string, std::string>();
    }
    return readSettingsFile(path);
}

} // namespace

int runRelay(int argc, char **argv)
{
    const auto path = settingsFile(argc, argv);
    // Taken before the file is read, so that a change during the start is noticed later.
    std::error_code unknown;
    auto written = std::filesystem::last_write_time(path, unknown);
    const auto file = fileValues(path);
    if (!file.ok()) {
        std::cerr << file.status().message() << '\n';
        return ExitInvalidSettings;
    }
    int exitCode = 0;
    const auto settings = Settings::parseForMain(settingsOptions(*file), argc, argv, exitCode);
    if (!settings) {
        return exitCode;
    }
    const auto readOptions = [path, argc, argv]() -> absl::StatusOr<RelayOptions> {
        const auto values = fileValues(path);
        if (!values.ok()) {
            return values.status();
        }
        const auto parsed = Settings::parse(settingsOptions(*values), argc, argv);
        if (!parsed.ok()) {
            return parsed.status();
        }
        return RelayOptions::fromSettings(*parsed);
    };
    const auto haveChanged = [path, written]() mutable {
        std::error_code error;
        const auto now = std::filesystem::last_write_time(path, error);
        return !error && std::exchange(written, now) != now;
    };
    std::signal(SIGPIPE, SIG_IGN);
    LineWriter lines({});
    boost::asio::io_context loop(1);
    // Signals that arrive during the start are handled once the loop runs.
    boost::asio::signal_set stopSignals(loop, SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignals(loop, SIGHUP);
    const UnblockedReloadSignal unblockedReloadSignal;
    auto relay = Relay::start(loop, RelayOptions::fromSettings(*settings), createPlatformAdapter(), lines, {.read = readOptions, .haveChanged = haveChanged});
    if (!relay.ok()) {
        std::cerr << relay.status().message() << '\n';
        return ExitCannotStart;
    }
    stopSignals.async_wait([&relay](const LoopError &error, int) {
        if (!error) {
            (*relay)->drain();
        }
    });
    std::function<void(const LoopError &, int)> onReload = [&](const LoopError &error, int) {
        if (!error) {
            (*relay)->reloadSettings();
            reloadSignals.async_wait(onReload);
        }
    };
    reloadSignals.async_wait(onReload);
    loop.run();
    return 0;
}

} // namespace Jujube
