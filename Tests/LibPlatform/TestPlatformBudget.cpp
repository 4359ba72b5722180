#include <LibPlatform/PlatformRateLimiter.h>

#include <absl/strings/str_format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <sstream>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr double WritesLimit = 300;
constexpr double ReadsLimit = 2000;
const MonotonicTime Start {1000s};

double fleetRate(bool writes, int nodes)
{
    double sum = 0;
    for (const auto &info : platformUses()) {
        sum += info.isWrite == writes ? ratePerFleet(info.use, nodes) : 0;
    }
    return sum;
}

// The maximum numbers of reads and writes in one second after an outage, if every node always wants to send requests of every use.
struct Peak {
    int reads = 0;
    int writes = 0;
};

Peak peakAfterOutage(int nodes, std::chrono::milliseconds outage)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<std::unique_ptr<PlatformRateLimiter>> gates;
    for (int i = 0; i < nodes; ++i) {
        gates.push_back(std::make_unique<PlatformRateLimiter>(PlatformRateLimiter::Options {.nodes = nodes}, Start, unit(random)));
    }
    const auto outageEnd = Start + 60s + outage;
    Peak peak;
    for (auto second = Start + 60s; second < outageEnd + 30s; second += 1s) {
        Peak counted;
        for (auto now = second; now < second + 1s; now += 50ms) {
            for (int node = 0; node < nodes; ++node) {
                auto &gate = *gates[static_cast<size_t>(node)];
                for (const auto &info : platformUses()) {
                    const bool hasUse = !info.isExclusive || node == 0;
                    while (hasUse && gate.admit(info.use, now)) {
                        ++(info.isWrite ? counted.writes : counted.reads);
                        if (now < outageEnd) {
                            gate.onFailure(now, unit(random));
                        } else {
                            gate.onResponse(now);
                        }
                    }
                }
            }
        }
        if (second >= outageEnd) {
            peak.reads = std::max(peak.reads, counted.reads);
            peak.writes = std::max(peak.writes, counted.writes);
        }
    }
    return peak;
}

} // namespace

// Guards against budgets that exceed the platform's capacity at any size of the fleet.
TEST(PlatformBudget, StaysBelowThePlatformsLimits)
{
    for (const int nodes : {1, 8, 40, 390, 1000}) {
        EXPECT_LE(fleetRate(true, nodes), WritesLimit) << nodes;
        EXPECT_LE(fleetRate(false, nodes), ReadsLimit) << nodes;
    }
}

// Guards against a surge of requests at the end of an outage, from tokens that accumulated on all nodes while the platform was down.
TEST(PlatformBudget, EndOfAnOutageCausesNoSurge)
{
    for (const int nodes : {8, 390}) {
        const auto peak = peakAfterOutage(nodes, 120s);
        EXPECT_LE(peak.writes, WritesLimit) << nodes;
        EXPECT_LE(peak.reads, ReadsLimit) << nodes;
        EXPECT_GT(peak.writes, 0) << nodes;
    }
}

// Guards against budgets in docs/platform-budget.md that differ from those in force.
TEST(PlatformBudget, PageStatesTheBudgetsInForce)
{
    std::stringstream page;
    page << std::ifstream(JUJUBE_SOURCE_DIRECTORY "/docs/platform-budget.md").rdbuf();
    for (const auto &info : platformUses()) {
        const auto row = absl::StrFormat("| `%s` | %s | %.3g | %.4g | %.3g | %.4g |",
                                         std::string(info.name),
                                         info.isWrite ? "write" : "read",
                                         ratePerNode(info.use, 8),
                                         ratePerFleet(info.use, 8),
                                         ratePerNode(info.use, 390),
                                         ratePerFleet(info.use, 390));
        EXPECT_NE(page.str().find(row), std::string::npos) << row;
    }
    for (const int nodes : {8, 390}) {
        const auto sum = absl::StrFormat("At %d nodes: %.4g reads/s and %.4g writes/s.", nodes, fleetRate(false, nodes), fleetRate(true, nodes));
        EXPECT_NE(page.str().find(sum), std::string::npos) << sum;
    }
}

// Guards against writes that are sent during an outage, each with an unknown effect, and against many probes at once.
TEST(PlatformRateLimiter, ProbesWithSingleReadsDuringAnOutage)
{
    PlatformRateLimiter gate({.nodes = 8}, Start, 0);
    auto now = Start + 60s;
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(gate.isOutage());
        gate.onFailure(now, 0.5);
    }
    EXPECT_TRUE(gate.isOutage());
    EXPECT_FALSE(gate.admit(PlatformUse::DocumentHead, now));
    now += gate.timeUntilAdmission(PlatformUse::DocumentHead, now);
    EXPECT_FALSE(gate.admit(PlatformUse::Claim, now));
    EXPECT_TRUE(gate.admit(PlatformUse::DocumentHead, now));
    EXPECT_FALSE(gate.admit(PlatformUse::VmList, now));
    gate.onResponse(now);
    // Twelve tokens would have accumulated in the second before the outage alone.
    int admitted = 0;
    while (gate.admit(PlatformUse::Claim, now)) {
        ++admitted;
    }
    EXPECT_EQ(admitted, 0);
    EXPECT_TRUE(gate.admit(PlatformUse::Claim, now + 1s));
}

// Guards against a budget that is refilled or corrupted by a time earlier than the last one, as another thread may have read it.
TEST(RequestBudget, AllowsItsRateAndBurst)
{
    RequestBudget budget({.perSecond = 2, .burst = 3}, Start);
    EXPECT_FALSE(budget.tryTake(Start));
    EXPECT_EQ(budget.timeUntilToken(Start), 500ms);
    EXPECT_TRUE(budget.tryTake(Start + 500ms));
    EXPECT_FALSE(budget.tryTake(Start + 400ms));
    int taken = 0;
    while (budget.tryTake(Start + 100s)) {
        ++taken;
    }
    EXPECT_EQ(taken, 3);
}

// Guards against unbounded retries, and against clients that failed together retrying together.
TEST(RetrySchedule, IsBoundedAndJittered)
{
    const RetrySchedule schedule {.maxAttempts = 3, .base = 200ms, .cap = 300ms};
    EXPECT_EQ(schedule.delayAfter(1, 0), 100ms);
    EXPECT_EQ(schedule.delayAfter(1, 0.5), 150ms);
    EXPECT_EQ(schedule.delayAfter(2, 0), 150ms);
    EXPECT_EQ(schedule.delayAfter(3, 0), std::nullopt);
}

} // namespace Jujube
