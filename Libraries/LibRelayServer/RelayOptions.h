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

// The validated settings of a relay.
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
    // Time for which callers may cache a response of the directory.
    std::chrono::milliseconds directoryLifetime {2000};
    ServiceRetryBudget::Options retries;
    // Maximum cooldown for which a target may ask.
    std::chrono::milliseconds maxCooldown {60000};
    size_t maxConnections = 3000;
    // Rate of this VM's link in Mbit/s. Zero if it is unknown.
    double linkMbps = 0;
    // Whether the whole system starts for the first time, so that no stream can have begun before.
    bool isFirstStart = false;
    // Features in use, by the platform's names. Unknown names have no effect.
    std::vector<std::string> features;

    struct Rollouts {
        // Requests that a bad version may get: a part of all requests of its service, and a number beyond it.
        double exposureShare = 0.1;
        double exposureSlack = 50;
        // Time from the 50th bad response of a version after which it gets no requests.
        std::chrono::milliseconds rollbackTime {5000};
        // Whether runs on engines of the old version are migrated to engines of the new one.
        bool migratesRuns = true;
    };
    Rollouts rollouts;

    // Whether the platform orders rollouts. Otherwise versions of targets are not evaluated.
    bool hasRollouts() const;
    // Whether the features contain the admission of generations under overload.
    bool hasOverloadAdmission() const;

    // Part of a route's latency goal for which a generation may wait for an engine.
    double maxOverloadWait = 0.15;

    static std::vector<Setting> settings();
    static RelayOptions fromSettings(const Settings &settings);
};

// Parses a settings file into values of environment variables. Lines have the form NAME=value; '#' begins a comment line. Errors: ErrorKind::InvalidValue with
// all malformed lines, or if the file cannot be read.
absl::StatusOr<std::map<std::string, std::string>> readSettingsFile(const std::string &path);

} // namespace Jujube
