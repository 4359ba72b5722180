#include <csignal>
#include <iostream>
#include <LibCore/Settings.h>
#include <Load/LoadRun.h>
#include <Load/Report.h>

using namespace Jujube;

namespace
{

constexpr int64_t AnyNumber = 1'000'000'000;
constexpr int64_t MostClients = 16;

std::vector<Setting> settingList()
{
    return {
        {.name = "scenario", .help = "Scenario file", .required = true},
        {.name = "seed", .help = "Replaces the scenario's seed if not 0", .defaultValue = "0", .check = checkNumber(0, AnyNumber)},
        {.name = "gateways", .help = "Addresses of gateways that callers know; empty to read the engines directly", .check = checkAddressList()},
        {.name = "engines", .help = "Engines for statistics, faults and direct reading, as lahore/engine-1=127.0.0.1:8301,..."},
        {.name = "load-percent", .help = "Replaces the scenario's load factor if not 0", .defaultValue = "0", .check = checkNumber(0, AnyNumber)},
        {.name = "clients", .help = "Threads that carry the callers' streams", .defaultValue = "2", .check = checkNumber(1, MostClients)},
        {.name = "format", .help = "Form of the report", .defaultValue = "text", .check = checkOneOf({"text", "json"})},
        {.name = "print-scenario", .help = "Only print the scenario as JSON", .defaultValue = "off", .check = checkSwitch()},
    };
}

absl::StatusOr<LoadRun::Options> readOptions(const Settings &settings)
{
    constexpr double Percent = 100;
    auto scenario = Scenario::load(settings.text("scenario"));
    if (!scenario.ok()) {
        return scenario.status();
    }
    LoadRun::Options options {
        .scenario = *std::move(scenario), .gateways = settings.list("gateways"), .clients = static_cast<size_t>(settings.number("clients"))};
    const auto seed = static_cast<uint64_t>(settings.number("seed"));
    options.seed = seed > 0 ? seed : options.scenario.seed;
    if (const auto percent = settings.number("load-percent"); percent > 0) {
        options.scenario.loadFactor = static_cast<double>(percent) / Percent;
    }
    for (const auto &entry : settings.list("engines")) {
        auto engine = EngineEntry::parse(entry);
        if (!engine.ok()) {
            return engine.status();
        }
        options.engines.push_back(*std::move(engine));
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain(
        {.program = "jujube-load", .description = "Runs a load scenario and reports on it", .version = JUJUBE_VERSION, .settings = settingList()},
        argc,
        argv,
        exitCode);
    if (!settings) {
        return exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto options = readOptions(*settings);
    if (!options.ok()) {
        std::cerr << options.status().message() << '\n';
        return 2;
    }
    if (settings->isOn("print-scenario")) {
        std::cout << options->scenario.toJson().dump() << '\n';
        return 0;
    }
    if (options->gateways.empty() && options->engines.empty()) {
        std::cerr << "either gateways or engines are needed\n";
        return 2;
    }
    // Faults are announced as they happen, so that a script can carry out those that concern the operators.
    options->announce = [](const nlohmann::json &fault) { std::cerr << "fault " << fault.dump() << std::endl; };
    const auto report = LoadRun::run(*options);
    std::cout << (settings->text("format") == "json" ? report.dump() + "\n" : Report::toText(report));
    return 0;
}
