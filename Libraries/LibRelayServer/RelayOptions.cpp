#include <LibRelayServer/RelayOptions.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fstream>
#include <LibCore/Error.h>

namespace Jujube
{

namespace
{

constexpr int64_t MaxMilliseconds = 600000;
constexpr int64_t MaxConnections = 60000;
constexpr double MaxExposureSlack = 1e6;
constexpr std::string_view RolloutFeature = "rollout";
constexpr std::string_view OverloadFeature = "pressure";

SettingCheck checkDecimal()
{
    return [](const std::string &value) -> std::optional<std::string> {
        double number = 0;
        if (!absl::SimpleAtod(value, &number) || number < 0) {
            return "must be a number that is not negative";
        }
        return std::nullopt;
    };
}

SettingCheck checkDecimalUpTo(double max)
{
    return [max](const std::string &value) -> std::optional<std::string> {
        double number = 0;
        // Comparisons with a value that is not a number are false.
        if (!absl::SimpleAtod(value, &number) || !(number >= 0 && number <= max)) {
            return absl::StrCat("must be a number from 0 to ", max);
        }
        return std::nullopt;
    };
}

SettingCheck checkRegions()
{
    return [](const std::string &value) -> std::optional<std::string> {
        for (const auto part : absl::StrSplit(value, ',', absl::SkipEmpty())) {
            const std::vector<std::string> words = absl::StrSplit(part, ':');
            if (words.size() != 2 || words[0].empty() || words[1].empty()) {
                return "must be a list of DATA-CENTRE:REGION, separated by commas";
            }
        }
        return std::nullopt;
    };
}

double decimal(const Settings &settings, const std::string &name)
{
    double value = 0;
    // The value was validated when the settings were parsed.
    static_cast<void>(absl::SimpleAtod(settings.text(name), &value));
    return value;
}

std::chrono::milliseconds seconds(const Settings &settings, const std::string &name)
{
    constexpr double MillisecondsPerSecond = 1000;
    return std::chrono::milliseconds(static_cast<int64_t>(decimal(settings, name) * MillisecondsPerSecond));
}

Endpoint endpoint(const Settings &settings, const std::string &name)
{
    return Endpoint::parse(settings.text(name)).value_or(Endpoint {});
}

} // namespace

std::vector<Setting> RelayOptions::settings()
{
    return {
        {.name = "settings-file", .help = "File with NAME=value lines, read before the environment", .defaultValue = ""},
        {.name = "node", .help = "Name of this relay", .defaultValue = "", .required = true},
        {.name = "data-centre", .help = "Data centre of this relay", .defaultValue = "", .required = true},
        {.name = "region", .help = "Region of this relay", .defaultValue = "", .required = true},
        {.name = "regions", .help = "Region of each data centre, as DATA-CENTRE:REGION, separated by commas", .defaultValue = "", .check = checkRegions()},
        {.name = "listen", .help = "Address for callers", .defaultValue = "", .check = checkAddress(), .required = true},
        {.name = "ready-listen", .help = "Address for readiness probes", .defaultValue = "", .check = checkAddress(), .required = true},
        {.name = "directory-listen",
         .help = "Address where callers look up which relays to use",
         .defaultValue = "",
         .check = checkAddress(),
         .required = true},
        {.name = "peer-listen", .help = "Address for other relays, TCP and UDP", .defaultValue = "", .check = checkAddress(), .required = true},
        {.name = "metrics-listen", .help = "Address of GET /metrics and GET /rollouts", .defaultValue = "", .check = checkAddress(), .required = true},
        {.name = "store", .help = "Address of the platform's table service", .defaultValue = "", .check = checkAddress(), .required = true},
        {.name = "seeds", .help = "Addresses of some other relays", .defaultValue = "", .check = checkAddressList()},
        {.name = "grace-s", .help = "Time from SIGTERM until the process is killed, in seconds", .defaultValue = "8", .check = checkDecimal()},
        {.name = "directory-lifetime-ms",
         .help = "Time for which callers may cache a response of the directory",
         .defaultValue = "2000",
         .check = checkNumber(1, MaxMilliseconds)},
        {.name = "retry-ratio", .help = "Retries allowed for each request of a service", .defaultValue = "0.2", .check = checkDecimal()},
        {.name = "retry-slack",
         .help = "Retries that all relays together may make in a window in addition to the ratio",
         .defaultValue = "50",
         .check = checkDecimal()},
        {.name = "retry-window-s", .help = "Window of the retry budget, in seconds", .defaultValue = "10", .check = checkDecimal()},
        {.name = "longest-quiet-ms",
         .help = "Maximum cooldown that a target may request with Retry-After",
         .defaultValue = "60000",
         .check = checkNumber(0, MaxMilliseconds)},
        {.name = "max-channels", .help = "Maximum number of open connections of callers", .defaultValue = "3000", .check = checkNumber(1, MaxConnections)},
        {.name = "link-mbps", .help = "Rate of this VM's link in Mbit/s; 0 if it is unknown", .defaultValue = "0", .check = checkDecimal()},
        {.name = "first-start",
         .help = "Whether the whole system starts for the first time, so that callers have no streams of before: on or off",
         .defaultValue = "off",
         .check = checkSwitch()},
        {.name = "features",
         .help = "Features that the platform uses, separated by commas: rollout, pressure (admission under overload); others are ignored",
         .defaultValue = ""},
        {.name = "overload-wait",
         .help = "Part of a route's latency goal for which a less urgent generation may wait for an engine under overload, with the feature pressure",
         .defaultValue = "0.15",
         .check = checkDecimal()},
        {.name = "exposure-share",
         .help = "Part of a service's requests that a bad version may get during its rollout, from 0 to 1",
         .defaultValue = "0.1",
         .check = checkDecimalUpTo(1)},
        {.name = "exposure-slack",
         .help = "Number of requests that a bad version may get in addition to the part",
         .defaultValue = "50",
         .check = checkDecimalUpTo(MaxExposureSlack)},
        {.name = "rollback-ms",
         .help = "Time from the 50th bad response of a version after which it gets no requests, in ms",
         .defaultValue = "5000",
         .check = checkNumber(1, MaxMilliseconds)},
        {.name = "rollout-migration",
         .help = "Whether runs on engines of the old version are migrated to the new one in a rollout: on or off",
         .defaultValue = "on",
         .check = checkSwitch()},
    };
}

RelayOptions RelayOptions::fromSettings(const Settings &settings)
{
    RelayOptions options {
        .node = settings.text("node"),
        .dataCentre = settings.text("data-centre"),
        .region = settings.text("region"),
        .callers = endpoint(settings, "listen"),
        .ready = endpoint(settings, "ready-listen"),
        .directory = endpoint(settings, "directory-listen"),
        .peers = endpoint(settings, "peer-listen"),
        .metrics = endpoint(settings, "metrics-listen"),
        .store = endpoint(settings, "store"),
        .seeds = settings.list("seeds"),
        .grace = seconds(settings, "grace-s"),
        .directoryLifetime = settings.milliseconds("directory-lifetime-ms"),
        .retries = {.ratio = decimal(settings, "retry-ratio"), .slack = decimal(settings, "retry-slack"), .window = seconds(settings, "retry-window-s")},
        .maxCooldown = settings.milliseconds("longest-quiet-ms"),
        .maxConnections = static_cast<size_t>(settings.number("max-channels")),
        .linkMbps = decimal(settings, "link-mbps"),
        .rollouts = {.exposureShare = decimal(settings, "exposure-share"),
                     .exposureSlack = decimal(settings, "exposure-slack"),
                     .rollbackTime = settings.milliseconds("rollback-ms"),
                     .migratesRuns = settings.isOn("rollout-migration")}};
    options.isFirstStart = settings.isOn("first-start");
    options.maxOverloadWait = decimal(settings, "overload-wait");
    for (const auto &feature : settings.list("features")) {
        options.features.emplace_back(absl::StripAsciiWhitespace(feature));
    }
    for (const auto &part : settings.list("regions")) {
        const std::vector<std::string> words = absl::StrSplit(part, ':');
        options.regions[words[0]] = words[1];
    }
    options.regions[options.dataCentre] = options.region;
    return options;
}

bool RelayOptions::hasRollouts() const
{
    return std::ranges::find(features, RolloutFeature) != features.end();
}

bool RelayOptions::hasOverloadAdmission() const
{
    return std::ranges::find(features, OverloadFeature) != features.end();
}

absl::StatusOr<std::map<std::string, std::string>> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("cannot read the settings file ", path));
    }
    std::map<std::string, std::string> values;
    std::vector<std::string> errors;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        const std::string text(absl::StripAsciiWhitespace(line));
        if (text.empty() || text.front() == '#') {
            continue;
        }
        const auto equals = text.find('=');
        if (equals == std::string::npos || equals == 0) {
            errors.push_back(absl::StrCat(path, ":", number, ": not of the form NAME=value"));
            continue;
        }
        values[text.substr(0, equals)] = text.substr(equals + 1);
    }
    if (!errors.empty()) {
        return makeError(ErrorKind::InvalidValue, absl::StrJoin(errors, "\n"));
    }
    return values;
}

} // namespace Jujube
