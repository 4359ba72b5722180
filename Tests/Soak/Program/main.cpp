#include "../Harness/PlannedWorld.h"
#include "../Harness/SoakWorld.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sched.h>
#include <thread>

using namespace Jujube;

namespace
{

constexpr int ExitPromiseBroken = 1;
constexpr int ExitInvalidArguments = 2;

// Runs this process on the processors that the relays do not use, since each wake-up by a relay would otherwise move it behind the relays.
void leaveProcessors(int relayProcessors)
{
    const auto count = static_cast<int>(std::thread::hardware_concurrency());
    if (relayProcessors <= 0 || relayProcessors >= count) {
        return;
    }
    cpu_set_t set;
    CPU_ZERO(&set);
    for (int number = relayProcessors; number < count; ++number) {
        CPU_SET(number, &set);
    }
    sched_setaffinity(0, sizeof(set), &set);
}

void printViolations(const std::vector<std::string> &violations)
{
    std::cout << ", " << violations.size() << " promises broken\n";
    for (const auto &violation : violations) {
        std::cout << "  " << violation << "\n";
    }
    std::cout.flush();
}

// The same as playAll() for a run with planned work only.
std::vector<std::string> playPlanned(const SoakOptions &options)
{
    const auto result = PlannedWorld({.seed = options.seed,
                                      .relays = options.relays,
                                      .callers = options.callers,
                                      .targets = options.targets,
                                      .length = options.length,
                                      .relayProgram = options.relayProgram,
                                      .processors = options.processors,
                                      .timed = options.timed,
                                      .directory = options.directory})
                            .run();
    const auto &counts = result.counts;
    std::cout << "seed " << options.seed << ": " << result.requests << " requests, " << result.stops << " stops, " << counts.duringStops
              << " requests ended during the stop of their relay, " << counts.sentAfterTerm << " of them sent after SIGTERM, " << counts.cut
              << " cut, of these not counted " << counts.overTime << " whose time was over, " << counts.nearGraceEnd
              << " sent early whose target worked near the end of the grace time, " << counts.crossed << " that crossed a close, loop late by "
              << result.worstLateness.count() << " ms, relays used " << std::chrono::duration_cast<std::chrono::seconds>(result.relayTime.used).count()
              << " s of processors and waited for them " << std::chrono::duration_cast<std::chrono::seconds>(result.relayTime.waited).count() << " s, statuses";
    for (const auto &[status, count] : result.statuses) {
        std::cout << " " << status << ":" << count;
    }
    return result.violations;
}

// Plays a run and prints its line. Returns the promises broken.
std::vector<std::string> playAll(const SoakOptions &options)
{
    const auto result = SoakWorld(options).run();
    std::cout << "seed " << options.seed << ": " << result.requests << " requests, " << result.served << " of " << result.owed
              << " served after the faults, loop late by " << result.worstLateness.count() << " ms, " << result.lateTurns << " times over 100 ms, store by "
              << result.worstStoreLateness.count() << " ms, its processor time " << result.processorTime.count() << " ms, relays used "
              << std::chrono::duration_cast<std::chrono::seconds>(result.relayTime.used).count() << " s of processors and waited for them "
              << std::chrono::duration_cast<std::chrono::seconds>(result.relayTime.waited).count() << " s, documents of " << result.documentBytes / 1000
              << " KB, " << result.storeCalls << " calls to the store, documents in force after " << result.force.median.count() << " ms median, "
              << result.force.p99.count() << " ms p99, " << result.force.worst.count() << " ms at most (" << result.force.worstRelay << ", version "
              << result.force.worstVersion << ", " << result.force.count << " times, never " << result.force.missing << "), statuses";
    for (const auto &[status, count] : result.statuses) {
        std::cout << " " << status << ":" << count;
    }
    if (options.badPart) {
        const auto &sound = result.sound;
        std::cout << ", bad part: " << result.badPartRequests << " requests, " << result.badPartCrashes << " crashes, " << result.badPartLate
                  << " at targets too late, sound ones begun " << sound.calmBegun << " of " << sound.calm << " in calm times and " << sound.knownBegun << " of "
                  << sound.known << " beside known crashes";
    }
    return result.violations;
}

// Runs one seed and prints its result. Returns whether it broke no promise; the logs are kept if it did.
bool runSeed(SoakOptions options)
{
    options.directory = absl::StrCat(options.directory, "/seed-", options.seed);
    leaveProcessors(options.processors);
    std::filesystem::remove_all(options.directory);
    std::filesystem::create_directories(options.directory);
    const auto violations = options.plannedOnly ? playPlanned(options) : playAll(options);
    printViolations(violations);
    if (violations.empty()) {
        std::filesystem::remove_all(options.directory);
    }
    return violations.empty();
}

SoakOptions optionsOf(const cxxopts::ParseResult &arguments)
{
    return {.seed = arguments["seed"].as<uint64_t>(),
            .relays = arguments["relays"].as<size_t>(),
            .callers = arguments["callers"].as<size_t>(),
            .targets = arguments["targets"].as<size_t>(),
            .length = std::chrono::seconds(arguments["seconds"].as<int>()),
            .faultRate = arguments["rate"].as<double>(),
            .tableChanges = arguments["table-changes"].as<double>(),
            .restores = arguments["restores"].as<double>(),
            .routes = arguments["routes"].as<size_t>(),
            .relayProgram = arguments["relay-program"].as<std::string>(),
            .badPart = arguments["bad-part"].as<bool>(),
            .processors = arguments["processors"].as<int>(),
            .timed = !arguments["untimed"].as<bool>(),
            .plannedOnly = arguments["planned"].as<bool>(),
            .directory = arguments["out"].as<std::string>()};
}

// Sets an option that is given as NAME=VALUE.
bool setOption(SoakOptions &options, const std::string &text)
{
    const std::pair<std::string, std::string> option = absl::StrSplit(text, absl::MaxSplits('=', 1));
    const auto &[name, value] = option;
    return (name == "targets" && absl::SimpleAtoi(value, &options.targets)) || (name == "table-changes" && absl::SimpleAtod(value, &options.tableChanges))
        || (name == "routes" && absl::SimpleAtoi(value, &options.routes)) || (name == "processors" && absl::SimpleAtoi(value, &options.processors))
        || (name == "restores" && absl::SimpleAtod(value, &options.restores)) || (name == "planned" && absl::SimpleAtob(value, &options.plannedOnly))
        || (name == "bad-part" && absl::SimpleAtob(value, &options.badPart));
}

// The runs of a file with lines "SEED RELAYS CALLERS SECONDS RATE [NAME=VALUE...]", each followed by a comment. Nothing if a line cannot be read.
std::optional<std::vector<SoakOptions>> readCases(const std::string &path, const SoakOptions &base)
{
    std::ifstream file(path);
    std::vector<SoakOptions> cases;
    std::string line;
    while (std::getline(file, line)) {
        const std::vector<std::string> words = absl::StrSplit(line.substr(0, line.find('#')), ' ', absl::SkipEmpty());
        if (words.empty()) {
            continue;
        }
        auto options = base;
        int seconds = 0;
        if (words.size() < 5 || !absl::SimpleAtoi(words[0], &options.seed) || !absl::SimpleAtoi(words[1], &options.relays)
            || !absl::SimpleAtoi(words[2], &options.callers) || !absl::SimpleAtoi(words[3], &seconds) || !absl::SimpleAtod(words[4], &options.faultRate)) {
            std::cerr << path << ": cannot read \"" << line << "\"\n";
            return std::nullopt;
        }
        if (!std::all_of(words.begin() + 5, words.end(), [&](const auto &word) { return setOption(options, word); })) {
            std::cerr << path << ": cannot read the options of \"" << line << "\"\n";
            return std::nullopt;
        }
        options.length = std::chrono::seconds(seconds);
        cases.push_back(options);
    }
    return cases;
}

int run(const cxxopts::ParseResult &arguments)
{
    const auto base = optionsOf(arguments);
    std::optional<std::vector<SoakOptions>> runs;
    if (arguments.count("cases") > 0) {
        runs = readCases(arguments["cases"].as<std::string>(), base);
    } else {
        runs.emplace();
        for (uint64_t number = 0; number < arguments["seeds"].as<uint64_t>(); ++number) {
            runs->push_back(base);
            runs->back().seed += number;
        }
    }
    if (!runs || runs->empty()) {
        return ExitInvalidArguments;
    }
    bool allKept = true;
    for (const auto &options : *runs) {
        allKept = runSeed(options) && allKept;
    }
    return allKept ? 0 : ExitPromiseBroken;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("jujube-soak", "Runs relays as processes under random faults, and checks what callers and targets see");
    auto add = options.add_options();
    add("seed", "First seed", cxxopts::value<uint64_t>()->default_value("1"));
    add("seeds", "How many seeds to run", cxxopts::value<uint64_t>()->default_value("1"));
    add("cases", "File with runs, instead of seeds", cxxopts::value<std::string>());
    add("relays", "Relay processes", cxxopts::value<size_t>()->default_value("24"));
    add("callers", "Callers", cxxopts::value<size_t>()->default_value("40"));
    add("targets", "Targets of each of the two services", cxxopts::value<size_t>()->default_value("4"));
    add("seconds", "Time with faults", cxxopts::value<int>()->default_value("18"));
    add("rate", "Faults a second, each of them possibly a series", cxxopts::value<double>()->default_value("3"));
    add("table-changes", "Changes of the store's tables a second, and faults of the relays that read it", cxxopts::value<double>()->default_value("0"));
    add("restores", "Returns of the store from an older copy a second, at times two within some seconds", cxxopts::value<double>()->default_value("0"));
    add("routes", "Routes of the document beside those that callers use", cxxopts::value<size_t>()->default_value("0"));
    add("processors", "Processors for all relays together, while the soak itself uses the others; 0 for all", cxxopts::value<int>()->default_value("0"));
    add("relay-program", "Relay program; of this build unless the path is absolute", cxxopts::value<std::string>()->default_value("jujube-relay"));
    add("planned", "Planned work only: relays are stopped in series, settings and documents change, and nothing fails");
    add("bad-part", "Send requests with a part of the prompt that crashes engines");
    add("untimed", "Leave promises with a time bound out");
    add("out", "Directory for settings and logs, which are kept of runs that break a promise", cxxopts::value<std::string>()->default_value("soak-runs"));
    add("help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
        return ExitInvalidArguments;
    }
}
