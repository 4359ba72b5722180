#include <gtest/gtest.h>
#include <LibRelay/DrainAdmission.h>
#include <LibRelay/MigrationSchedule.h>
#include <LibRelay/PeerTable.h>
#include <LibRelay/ServiceRetryBudget.h>
#include <memory>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

} // namespace

// Guards against a retry storm when every request fails at all relays: in any window, retries stay below the ratio plus the slack, also if each relay sees one
// relay less than there are.
TEST(ServiceRetryBudget, RetriesOfAllRelaysStayBelowTheLimit)
{
    const ServiceRetryBudget::Options options {.ratio = 0.2, .slack = 54, .window = 10s};
    for (const int gateways : {1, 2, 7, 77}) {
        std::mt19937 random(static_cast<unsigned>(gateways));
        std::vector<ServiceRetryBudget> budgets(static_cast<size_t>(gateways), ServiceRetryBudget(options));
        std::vector<MonotonicTime> requests;
        std::vector<MonotonicTime> retries;
        for (auto now = Start; now < Start + 40s; now += 25ms) {
            auto &budget = budgets[random() % budgets.size()];
            budget.recordRequest(now);
            requests.push_back(now);
            for (int attempt = 0; attempt < 3; ++attempt) {
                if (budget.tryRetry({.count = std::max(1, gateways - 1)}, now)) {
                    retries.push_back(now);
                }
            }
        }
        for (auto end = Start + 10s; end <= Start + 40s; end += 500ms) {
            const auto inWindow = [&](const std::vector<MonotonicTime> &times) {
                return std::count_if(times.begin(), times.end(), [&](MonotonicTime time) { return time > end - 10s && time <= end; });
            };
            ASSERT_LE(static_cast<double>(inWindow(retries)), 0.2 * static_cast<double>(inWindow(requests)) + 54) << gateways;
        }
    }
}

// Guards against relays that lose each other and then together use the slack of a service several times.
TEST(ServiceRetryBudget, RelaysThatLoseEachOtherShareTheSlack)
{
    constexpr int Relays = 7;
    constexpr double Slack = 54;
    std::vector<std::unique_ptr<PeerTable>> tables;
    for (int index = 0; index < Relays; ++index) {
        const auto name = std::to_string(index);
        tables.push_back(std::make_unique<PeerTable>(PeerTable::Options {.ownAddress = name + ":1", .ownName = name}, Start));
    }
    for (int second = 0; second < 20; ++second) {
        const auto now = Start + std::chrono::seconds(second);
        // From the fifth second on, three relays do not reach the four others.
        const auto reaches = [&](int from, int to) { return second < 5 || (from < 3) == (to < 3); };
        for (int from = 0; from < Relays; ++from) {
            tables[from]->expire(now);
            const auto name = std::to_string(from);
            const PeerHeartbeat heartbeat {
                .node = name, .incarnation = 1, .sequence = second + 1, .peers = name + ":1", .knownRelays = tables[from]->knownRelayCount()};
            for (int to = 0; to < Relays; ++to) {
                if (from != to && reaches(from, to)) {
                    tables[to]->handleHeartbeat(heartbeat, now);
                }
            }
        }
    }
    int retries = 0;
    for (const auto &table : tables) {
        ServiceRetryBudget budget({.ratio = 0.2, .slack = Slack, .window = 10s});
        while (budget.tryRetry(table->sharingRelays(), Start + 20s)) {
            ++retries;
        }
    }
    EXPECT_LE(retries, Slack);
}

// Guards against a relay that cannot retry at all after a time without requests.
TEST(ServiceRetryBudget, SlackAllowsRetriesWithoutRequests)
{
    ServiceRetryBudget budget({.ratio = 0.2, .slack = 50, .window = 10s});
    EXPECT_TRUE(budget.tryRetry({.count = 7}, Start));
}

// Guards against copies that queue behind each other on the link of an engine that leaves within two seconds with several drafts.
TEST(MigrationSchedule, CopiesOneGenerationAtATimeMostValuableFirst)
{
    MigrationSchedule schedule;
    schedule.addLeavingTarget("t", 0ms, Start);
    schedule.add("t", "small", 1);
    schedule.add("t", "large", 9);
    schedule.add("t", "medium", 5);
    EXPECT_EQ(schedule.takeDue(Start), std::vector<std::string> {"large"});
    EXPECT_TRUE(schedule.takeDue(Start + 1s).empty());
    schedule.remove("large");
    EXPECT_EQ(schedule.takeDue(Start + 1s), std::vector<std::string> {"medium"});
    // A generation that ends by itself leaves the queue.
    schedule.remove("small");
    schedule.remove("medium");
    EXPECT_TRUE(schedule.takeDue(Start + 1s).empty());
}

// Guards against relays that order their copies at the same moment.
TEST(MigrationSchedule, WaitsForTurnsOfEarlierRelays)
{
    MigrationSchedule schedule;
    schedule.addLeavingTarget("t", 300ms, Start);
    schedule.add("t", "a", 1);
    EXPECT_TRUE(schedule.takeDue(Start + 299ms).empty());
    EXPECT_EQ(schedule.nextDueTime(), Start + 300ms);
    EXPECT_EQ(schedule.takeDue(Start + 300ms).size(), 1U);
}

// Guards against engines that wait for each other although their links are separate.
TEST(MigrationSchedule, EnginesDoNotWaitForEachOther)
{
    MigrationSchedule schedule;
    schedule.addLeavingTarget("t", 0ms, Start);
    schedule.addLeavingTarget("u", 0ms, Start);
    schedule.add("t", "a", 1);
    schedule.add("u", "b", 1);
    EXPECT_EQ(schedule.takeDue(Start).size(), 2U);
}

// Guards against accepting a request that may outlast the process, as happens in rolling restarts while callers keep their connections.
TEST(DrainAdmission, RejectsRequestsThatMayOutlastTheProcess)
{
    constexpr auto DraftTime = 39s;
    constexpr auto SuggestionTime = 6s;
    constexpr auto CallTime = 2s;
    const auto stopAt = Start + 7400ms;
    EXPECT_FALSE(endsBeforeStop(Start + DraftTime, stopAt));
    EXPECT_TRUE(endsBeforeStop(Start + SuggestionTime, stopAt));
    EXPECT_TRUE(endsBeforeStop(Start + 5s + CallTime, stopAt));
    EXPECT_FALSE(endsBeforeStop(Start + 5500ms + CallTime, stopAt));
    EXPECT_FALSE(endsBeforeStop(Start + 6500ms + CallTime, stopAt));
}
