#pragma once

#include <absl/status/statusor.h>
#include <LibCore/Settings.h>
#include <LibLoop/Endpoint.h>
#include <LibRelay/ServiceRetryBudget.h>
#include <map>
#include <string>
#include <vector>

namespace Jujube
{

// The settings of a relay, checked and typed.
struct RelayOptions {
    std::string node;
    std::string dataCentre;
    std::string region;
    // Region of each data centre.
    std::map<std::string, std::string> regions;
    Endpoint callers;
    Endpoint ready;
    Endpoint directory;
    Endpoint peers;
    Endpoint metrics;
    Endpoint store;
    std::vector<std::string> seeds;
    // Time from SIGTERM until the process is killed.
    std::chrono::milliseconds grace {8000};
    // How long callers may keep an answer of the directory.
    std::chrono::milliseconds directoryLifetime {2000};
    ServiceRetryBudget::Options retries;
    // Longest time for which a target that asks for it is left alone.
    std::chrono::milliseconds longestQuiet {60000};
    size_t maxChannels = 3000;

    static std::vector<Setting> settings();
    static RelayOptions fromSettings(const Settings &settings);
};

// The content of a settings file as lookups of environment variables: lines NAME=value, '#' begins a comment line.
// Errors: ErrorKind::InvalidValue if the file cannot be read or has a line of another form, with all such lines.
absl::StatusOr<std::map<std::string, std::string>> readSettingsFile(const std::string &path);

} // namespace Jujube
