#include "SimulatedCluster.h"

#include <algorithm>
#include <iostream>
#include <LibCore/Settings.h>

namespace
{

using namespace Jujube;
using namespace std::chrono_literals;

constexpr std::chrono::seconds StartTime {90};
constexpr std::chrono::seconds MeasuredTime {60};
constexpr std::chrono::seconds LongestWait {60};
constexpr std::chrono::seconds PartitionTime {180};

Settings::Options settingsOptions()
{
    return {.program = "jujube-membership-simulation",
            .description = "Runs the membership of many gateways on virtual time and prints its cost, ages and detection times",
            .version = JUJUBE_VERSION,
            .settings = {{.name = "members", .help = "number of members", .defaultValue = "390", .check = checkNumber(8, 2000)},
                         {.name = "loss-percent", .help = "share of lost datagrams", .defaultValue = "0", .check = checkNumber(0, 90)},
                         {.name = "seed", .help = "seed of the random numbers", .defaultValue = "1", .check = checkNumber(0, 1000000)}},
            .environment = [](const std::string &) -> std::optional<std::string> { return std::nullopt; }};
}

double share(std::vector<double> &values, double part)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(part * static_cast<double>(values.size() - 1))];
}

// Runs in steps of a second until the condition holds. Prints the number of seconds.
void runUntil(SimulatedCluster &cluster, const std::string &what, const std::function<bool()> &condition)
{
    for (auto waited = 0s; waited <= LongestWait; waited += 1s) {
        if (condition()) {
            std::cout << what << ": " << waited.count() << " s\n";
            return;
        }
        cluster.run(1s);
    }
    std::cout << what << ": not within " << LongestWait.count() << " s\n";
}

size_t countReachable(SimulatedCluster &cluster, size_t by)
{
    return cluster.node(by).view->reachability(cluster.now()).reachable;
}

// Whether every running member reaches the number of members that a function gives for it.
bool eachReaches(SimulatedCluster &cluster, const std::function<size_t(const SimulatedCluster::Node &)> &expected)
{
    for (size_t i = 0; i < cluster.size(); ++i) {
        if (cluster.node(i).running && countReachable(cluster, i) != expected(cluster.node(i))) {
            return false;
        }
    }
    return true;
}

size_t countLost(SimulatedCluster &cluster)
{
    size_t lost = 0;
    for (size_t i = 0; i < cluster.size(); ++i) {
        for (const auto &event : cluster.node(i).events) {
            lost += event.change == MembershipChange::Lost ? 1 : 0;
        }
    }
    return lost;
}

void measureSteadyState(SimulatedCluster &cluster)
{
    uint64_t sentBefore = 0;
    uint64_t farBefore = 0;
    for (size_t i = 0; i < cluster.size(); ++i) {
        sentBefore += cluster.node(i).sentBytes;
        farBefore += cluster.node(i).crossRegionBytes;
    }
    cluster.run(MeasuredTime);
    uint64_t sent = 0;
    uint64_t far = 0;
    std::vector<double> ages;
    for (size_t i = 0; i < cluster.size(); ++i) {
        sent += cluster.node(i).sentBytes;
        far += cluster.node(i).crossRegionBytes;
        for (const auto &member : cluster.node(i).view->members(cluster.now())) {
            if (const auto age = member.age(cluster.now())) {
                ages.push_back(std::chrono::duration<double>(*age).count());
            }
        }
    }
    const auto memberSeconds = static_cast<double>(cluster.size()) * static_cast<double>(MeasuredTime.count());
    std::cout << "sent by each member: " << static_cast<double>(sent - sentBefore) / memberSeconds << " B/s, to other regions "
              << static_cast<double>(far - farBefore) / memberSeconds << " B/s\n";
    std::cout << "ages of members: median " << share(ages, 0.5) << " s, 99th percentile " << share(ages, 0.99) << " s, most " << share(ages, 1) << " s\n";
    std::cout << "members reported lost without reason: " << countLost(cluster) << '\n';
}

void measureDeath(SimulatedCluster &cluster)
{
    auto &dead = cluster.node(cluster.size() / 2);
    dead.running = false;
    const auto isEverywhere = [&cluster, &dead](const std::function<bool(MemberState)> &accepts) {
        for (size_t i = 0; i < cluster.size(); ++i) {
            const auto seen = cluster.seen(cluster.node(i), dead.identity.name);
            if (cluster.node(i).running && seen && !accepts(seen->state)) {
                return false;
            }
        }
        return true;
    };
    runUntil(cluster, "a dead member is no longer live anywhere after", [&] { return isEverywhere([](auto state) { return state != MemberState::Live; }); });
    runUntil(cluster, "and gone everywhere after further", [&] { return isEverywhere([](auto state) { return state == MemberState::Gone; }); });
}

void measurePartition(SimulatedCluster &cluster)
{
    const auto isApart = [](const SimulatedCluster::Node &node) { return node.identity.region == "region-2"; };
    const auto before = cluster.drops;
    cluster.drops = [isApart](const auto &from, const auto &to) { return isApart(from) != isApart(to); };
    const auto sideOf = [&cluster, isApart](const SimulatedCluster::Node &node) {
        size_t count = 0;
        for (size_t i = 0; i < cluster.size(); ++i) {
            count += cluster.node(i).running && isApart(cluster.node(i)) == isApart(node) ? 1 : 0;
        }
        return count;
    };
    runUntil(cluster, "a region apart is out of reach for all others after", [&] { return eachReaches(cluster, sideOf); });
    cluster.run(PartitionTime);
    cluster.drops = before;
    const auto running = cluster.size() - 1;
    runUntil(cluster, "and in reach again after", [&] { return eachReaches(cluster, [running](const auto &) { return running; }); });
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = Settings::parseForMain(settingsOptions(), argc, argv, exitCode);
    if (!settings) {
        return exitCode;
    }
    std::cout << std::unitbuf;
    SimulatedCluster cluster(static_cast<uint64_t>(settings->number("seed")));
    std::mt19937_64 random(static_cast<uint64_t>(settings->number("seed")));
    const auto loss = static_cast<uint64_t>(settings->number("loss-percent"));
    cluster.drops = [&random, loss](const auto &, const auto &) { return random() % 100 < loss; };
    cluster.addFleet(static_cast<size_t>(settings->number("members")));
    runUntil(cluster, "all members started at once know all others after", [&] { return eachReaches(cluster, [&](const auto &) { return cluster.size(); }); });
    cluster.run(StartTime);
    measureSteadyState(cluster);
    measureDeath(cluster);
    measurePartition(cluster);
    return 0;
}
