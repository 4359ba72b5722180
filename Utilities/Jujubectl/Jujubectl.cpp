#include "Jujubectl.h"

#include "ApplyCommands.h"
#include "DocumentCommands.h"
#include "GatewayCommands.h"
#include "RolloutCommands.h"

#include <LibCore/Error.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cstdlib>

namespace Jujube
{

namespace
{

using Command = absl::StatusOr<ExitCode> (*)(CommandContext &);

struct CommandInfo {
    std::string_view name;
    Command run;
    bool needsPlatform = true;
};

constexpr std::array<CommandInfo, 9> Commands {{
    {"check", runCheck, false},
    {"diff", runDiff, false},
    {"show", runShow},
    {"apply", runApply},
    {"promote", runPromote},
    {"status", runStatus, false},
    {"history", runHistory},
    {"gateways", runGateways, false},
    {"rollouts", runRollouts, false},
}};

constexpr const char *Description = "Checks, applies and promotes environment documents, and prints rollouts.\n"
                                    "\n"
                                    "  check FILE...             check files without the platform\n"
                                    "  diff [OLD] NEW            compare files or version numbers; OLD defaults to the version in force\n"
                                    "  show [VERSION]            print a version, by default the one in force\n"
                                    "  apply FILE                make a file the next version of its environment\n"
                                    "  promote FROM TO           make the document of one environment the next version of another one\n"
                                    "  status ENVIRONMENT        print the version and its age on every gateway\n"
                                    "  history ENVIRONMENT       print the latest versions\n"
                                    "  gateways                  print the gateways\n"
                                    "  rollouts                  print the rollouts that the relay at --relay knows\n"
                                    "\n"
                                    "Exit codes: 0 done, 1 failed, 2 invalid settings or arguments, 3 invalid document, 4 version conflict,\n"
                                    "5 platform unavailable and nothing changed, 6 outcome unknown, 7 not found, 8 not in force on all gateways\n";

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user && *user ? user : "unknown";
}

absl::StatusOr<ExitCode> runCommand(const Settings &settings, const Jujubectl::Hooks &hooks)
{
    const auto &words = settings.positional();
    const auto *command = Commands.end();
    if (!words.empty()) {
        command = std::find_if(Commands.begin(), Commands.end(), [&words](const CommandInfo &info) { return info.name == words[0]; });
    }
    if (command == Commands.end()) {
        return makeError(ErrorKind::InvalidValue, words.empty() ? "a command is required" : absl::StrCat("unknown command \"", words[0], "\""));
    }
    if (command->needsPlatform && settings.text("platform").empty()) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("--platform: a value is required for ", words[0]));
    }
    HttpClient client;
    PlatformAccess platform(client, {.address = settings.text("platform"), .timeout = settings.milliseconds("timeout-ms"), .pause = hooks.pause});
    EnvironmentStore store(platform);
    const std::vector<std::string> arguments(words.begin() + 1, words.end());
    CommandContext context {
        .settings = settings,
        .out = hooks.out,
        .client = client,
        .platform = platform,
        .store = store,
        .pause = hooks.pause,
        .wallMsNow = hooks.wallMsNow,
        .arguments = arguments,
    };
    return command->run(context);
}

} // namespace

Settings::Options Jujubectl::settingsOptions()
{
    constexpr int64_t MaxVersion = INT64_MAX;
    constexpr int64_t MaxTimeoutMs = 600'000;
    constexpr int64_t MaxWaitSeconds = 600;
    constexpr int64_t MaxHistory = 10'000;
    return {
        .program = "jujubectl",
        .description = Description,
        .version = JUJUBE_VERSION,
        .settings = {
            {.name = "platform", .help = "Address of the platform's HTTP interface", .check = checkAddress()},
            {.name = "gateways", .help = "Gateways to ask instead of those of the VM list", .check = checkAddressList()},
            {.name = "environment", .help = "Environment, if it is not the one that the document names"},
            {.name = "base-version", .help = "Version that the document was edited from, if not the accepted one", .check = checkNumber(0, MaxVersion)},
            {.name = "digest", .help = "Digest that promote has to find on FROM"},
            {.name = "author", .help = "Name recorded with a new version", .defaultValue = defaultAuthor()},
            {.name = "timeout-ms", .help = "Limit for one request", .defaultValue = "3000", .check = checkNumber(1, MaxTimeoutMs)},
            {.name = "wait-s", .help = "How long apply and promote wait for all gateways", .defaultValue = "5", .check = checkNumber(0, MaxWaitSeconds)},
            {.name = "limit", .help = "Number of versions that history prints", .defaultValue = "20", .check = checkNumber(1, MaxHistory)},
            {.name = "relay", .help = "Metrics address of the relay that rollouts asks", .check = checkAddress()},
            {.name = "json",
             .help = "Whether rollouts prints what the relay sent: on or off",
             .defaultValue = "off",
             .check = checkSwitch(),
             .valueOfBareFlag = "on"},
        },
        .environment = nullptr,
    };
}

ExitCode Jujubectl::run(const Settings &settings, const Hooks &hooks)
{
    const auto result = runCommand(settings, hooks);
    if (result.ok()) {
        return *result;
    }
    const std::string message(absl::StripTrailingAsciiWhitespace(result.status().message()));
    // Messages of several lines start on a line of their own, so that editors find the "file:line:column" of each.
    const auto *separator = message.find('\n') == std::string::npos ? ": " : ":\n";
    hooks.error << "jujubectl: " << errorKindInfo(errorKindOf(result.status())).name << separator << message << '\n';
    return exitCodeOf(result.status());
}

} // namespace Jujube
