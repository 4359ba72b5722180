#include "Harness/PlannedWorld.h"
#include "Harness/SoakWorld.h"

#include <csignal>
#include <filesystem>
#include <gtest/gtest.h>

using namespace Jujube;

// Guards against promises that relays break under random faults. The runs by hand are longer, and check the promises in time as well.
TEST(Soak, ShortRunsBreakNoPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const uint64_t seed : {1, 2}) {
        const auto directory = std::filesystem::temp_directory_path() / ("jujube-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
        std::filesystem::create_directories(directory);
        const auto result
            = SoakWorld({.seed = seed, .relays = 6, .callers = 15, .length = std::chrono::seconds(8), .timed = false, .directory = directory.string()}).run();
        EXPECT_EQ(result.violations, std::vector<std::string>()) << "seed " << seed << ", logs in " << directory;
        EXPECT_GT(result.requests, 0U);
        if (result.violations.empty()) {
            std::filesystem::remove_all(directory);
        }
    }
}

// Guards against relays that handle requests as no document allows, or go back to an older one, while the document, targets and data centres change in series
// and the relays that read the store fail.
TEST(Soak, ChangesOfTablesBreakNoPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory = std::filesystem::temp_directory_path() / ("jujube-soak-" + std::to_string(getpid()) + "-tables");
    std::filesystem::create_directories(directory);
    const auto result = SoakWorld({.seed = 3,
                                   .relays = 8,
                                   .callers = 10,
                                   .length = std::chrono::seconds(12),
                                   .tableChanges = 1.5,
                                   .routes = 340,
                                   .timed = false,
                                   .directory = directory.string()})
                            .run();
    EXPECT_EQ(result.violations, std::vector<std::string>()) << "logs in " << directory;
    EXPECT_GT(result.force.count, 0U);
    if (result.violations.empty()) {
        std::filesystem::remove_all(directory);
    }
}

// Guards against relays that go back to an older document, or hold on to rows that are gone, after the store has come back from an older copy of itself.
TEST(Soak, RestoredStoreBreaksNoPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory = std::filesystem::temp_directory_path() / ("jujube-soak-" + std::to_string(getpid()) + "-restores");
    std::filesystem::create_directories(directory);
    const auto result = SoakWorld({.seed = 5,
                                   .relays = 8,
                                   .callers = 10,
                                   .length = std::chrono::seconds(14),
                                   .tableChanges = 1.5,
                                   .restores = 0.2,
                                   .timed = false,
                                   .directory = directory.string()})
                            .run();
    EXPECT_EQ(result.violations, std::vector<std::string>()) << "logs in " << directory;
    EXPECT_GT(result.force.count, 0U);
    if (result.violations.empty()) {
        std::filesystem::remove_all(directory);
    }
}

// Guards against relays that lose requests when they are stopped in series, get further signals while they stop, or their targets pause.
TEST(Soak, PlannedStopsLoseNoRequest)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory = std::filesystem::temp_directory_path() / ("jujube-soak-" + std::to_string(getpid()) + "-planned");
    std::filesystem::create_directories(directory);
    const auto result = PlannedWorld({.seed = 1, .length = std::chrono::seconds(14), .timed = false, .directory = directory.string()}).run();
    EXPECT_EQ(result.violations, std::vector<std::string>()) << "logs in " << directory;
    EXPECT_GT(result.stops, 2U);
    EXPECT_GT(result.counts.sentAfterTerm, 0U);
    if (result.violations.empty()) {
        std::filesystem::remove_all(directory);
    }
}

// Guards against engines that crash one after the other, and sound generations that suffer, because of one part of prompts that crashes them.
TEST(Soak, BadPartBreaksNoPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory = std::filesystem::temp_directory_path() / ("jujube-soak-" + std::to_string(getpid()) + "-bad-part");
    std::filesystem::create_directories(directory);
    const auto result = SoakWorld({.seed = 4,
                                   .relays = 8,
                                   .callers = 25,
                                   .targets = 8,
                                   .length = std::chrono::seconds(13),
                                   .faultRate = 0.2,
                                   .badPart = true,
                                   .timed = false,
                                   .directory = directory.string()})
                            .run();
    EXPECT_EQ(result.violations, std::vector<std::string>()) << "logs in " << directory;
    // Otherwise the run shows nothing.
    constexpr size_t LeastCompared = 40;
    EXPECT_GT(result.badPartCrashes, 0U);
    EXPECT_GE(result.sound.calm, LeastCompared);
    if (result.violations.empty()) {
        std::filesystem::remove_all(directory);
    }
}
