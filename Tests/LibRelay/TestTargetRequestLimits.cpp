#include "RequestLimitFleet.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Relays discover each other within this time.
constexpr auto Discovery = 4s;
// Requests per second that each relay gets, as on the users' deployments.
constexpr double RequestsPerRelay = 6;

constexpr MonotonicTime Start {std::chrono::hours(1)};

testing::AssertionResult keepsLimit(const RequestLimitFleet &fleet)
{
    const auto worst = fleet.worst();
    if (!worst || worst->isBroken()) {
        return testing::AssertionFailure() << (worst ? worst->requests : 0) << " requests in 4 s, allowed " << (worst ? worst->allowed : 0);
    }
    return testing::AssertionSuccess();
}

void updateAlone(TargetRequestLimits &limits, MonotonicTime now)
{
    limits.update([](const std::string &) { return RequestLimitParticipants(); }, now);
}

TargetRequestLimits limitsOfOneRelay(double limit)
{
    TargetRequestLimits limits({});
    limits.record({.target = "t", .incarnation = 1, .limit = limit}, Start);
    updateAlone(limits, Start);
    return limits;
}

// The requests that the limit lets through in a time, at least. A holder sends when its turn has come and it gets a request; that is at least half of the
// smaller of its share and its requests. Three standard deviations are left to chance.
double leastUse(double limit, int relays, double demand, std::chrono::seconds time)
{
    const double holders = std::min<double>(relays, 2 + std::floor(limit));
    const double use = 0.5 * std::min(limit, holders * demand / relays) * static_cast<double>(time.count());
    return use - 3 * std::sqrt(use);
}

// Fleets of all sizes that the users run.
class RequestLimitFleets : public testing::TestWithParam<int>
{
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Relays, RequestLimitFleets, testing::Values(7, 8, 77, 91, 195));

// Guards against relays that together exceed a limit, in fleets in which the share of a relay is far below one request in the window of the rule.
TEST_P(RequestLimitFleets, KeepLimitsOfAnySize)
{
    for (const double limit : {0.0, 0.3, 1.0, 3.2, 5.2, 20.0, 100.0, 400.0}) {
        for (const double demand : {3 * limit + 60, std::max(3 * limit, RequestsPerRelay * GetParam())}) {
            RequestLimitFleet fleet({.relays = GetParam(), .demand = demand, .seed = static_cast<uint64_t>(GetParam())});
            fleet.runFor(Discovery);
            fleet.setLimit(limit);
            fleet.runFor(30s);
            EXPECT_TRUE(keepsLimit(fleet)) << "limit " << limit << ", demand " << demand;
            EXPECT_GE(static_cast<double>(fleet.arrivalsWithin(20s)), leastUse(limit, GetParam(), demand, 20s)) << "limit " << limit << ", demand " << demand;
        }
    }
}

// Guards against a limit that is exceeded after it has fallen, or that is not used after it has risen.
TEST_P(RequestLimitFleets, KeepAndUseChangedLimits)
{
    constexpr double Demand = 200;
    RequestLimitFleet fleet({.relays = GetParam(), .demand = Demand, .seed = 5});
    fleet.runFor(Discovery);
    fleet.setLimit(40);
    fleet.runFor(10s);
    fleet.setLimit(4);
    fleet.runFor(15s);
    fleet.setLimit(0);
    fleet.runFor(15s);
    fleet.setLimit(30);
    // With a limit of zero, one request in ten seconds tells whether it still holds.
    fleet.runFor(40s);
    EXPECT_GE(static_cast<double>(fleet.arrivalsWithin(10s)), leastUse(30, GetParam(), Demand, 10s));
    EXPECT_TRUE(keepsLimit(fleet));
}

// Guards against relays that all return at the moment at which a limit ends, and against a limit that stays after its end.
TEST_P(RequestLimitFleets, ReturnGraduallyAfterALimit)
{
    RequestLimitFleet fleet({.relays = GetParam(), .demand = 600, .seed = 7});
    fleet.runFor(Discovery);
    fleet.setLimit(4);
    fleet.runFor(10s);
    fleet.setLimit(std::nullopt);
    fleet.runFor(2s);
    // Relays learn of the end within these two seconds, and the limit doubles in each: 16 at most in each second.
    EXPECT_LE(fleet.arrivalsWithin(1s), 32U);
    fleet.runFor(10s);
    // All requests reach the target, but for three standard deviations.
    EXPECT_GE(static_cast<double>(fleet.arrivalsWithin(1s)), 600 - 3 * std::sqrt(600));
}

// Guards against relays that forget a limit when they start, and against shares that do not follow the number of relays.
TEST_P(RequestLimitFleets, KeepALimitWhileRelaysJoinLeaveAndRestart)
{
    constexpr double Limit = 5.2;
    const int relays = GetParam();
    RequestLimitFleet fleet({.relays = relays, .demand = 120, .seed = 9});
    fleet.runFor(Discovery);
    fleet.setLimit(Limit);
    fleet.runFor(6s);
    for (int index = 0; index < relays / 2; ++index) {
        fleet.addRelay();
        fleet.runFor(100ms);
    }
    fleet.runFor(5s);
    for (size_t index = 0; index < fleet.relayCount(); ++index) {
        fleet.restartRelay(index);
        fleet.runFor(200ms);
    }
    fleet.runFor(5s);
    const int known = relays + relays / 2;
    while (fleet.relayCount() > static_cast<size_t>(relays) / 2) {
        fleet.removeRelay(0);
    }
    fleet.runFor(60s);
    EXPECT_TRUE(keepsLimit(fleet));
    // More than half of the relays are gone, so the others keep to their part.
    const int left = relays / 2;
    EXPECT_GE(static_cast<double>(fleet.arrivalsWithin(20s)), leastUse(Limit * left / known, left, 120, 20s));
}

// Guards against relays that start together and each take a large part because they have not heard of the others yet.
TEST_P(RequestLimitFleets, KeepALimitWhenAllStartAtOnce)
{
    const double demand = RequestsPerRelay * GetParam();
    RequestLimitFleet fleet({.relays = GetParam(), .demand = demand, .seed = 11});
    fleet.setLimit(5.2);
    fleet.runFor(20s);
    EXPECT_TRUE(keepsLimit(fleet));
    EXPECT_GE(static_cast<double>(fleet.arrivalsWithin(10s)), leastUse(5.2, GetParam(), demand, 10s));
}

// Guards against relays that lose the others and then each use the whole limit.
TEST_P(RequestLimitFleets, KeepALimitWhenRelaysLoseEachOther)
{
    for (const int groups : {2, 3, 5}) {
        RequestLimitFleet fleet({.relays = GetParam(), .demand = 120, .seed = 3});
        fleet.runFor(Discovery);
        fleet.setLimit(5.2);
        fleet.runFor(6s);
        for (size_t index = 0; index < fleet.relayCount(); ++index) {
            fleet.setGroup(index, static_cast<int>(index) % groups);
        }
        fleet.runFor(60s);
        EXPECT_GE(static_cast<double>(fleet.arrivalsWithin(20s)), leastUse(5.2, GetParam(), 120, 20s)) << groups << " groups";
        for (size_t index = 0; index < fleet.relayCount(); ++index) {
            fleet.setGroup(index, 0);
        }
        fleet.runFor(20s);
        EXPECT_TRUE(keepsLimit(fleet)) << groups << " groups";
    }
}

// Guards against a relay that wakes with an old limit and spreads it.
TEST_P(RequestLimitFleets, KeepALimitWhileRelaysFreeze)
{
    RequestLimitFleet fleet({.relays = GetParam(), .demand = RequestsPerRelay * GetParam(), .seed = 13});
    fleet.runFor(Discovery);
    fleet.setLimit(40);
    fleet.runFor(6s);
    for (size_t first = 0; first < 2; ++first) {
        for (size_t index = first; index < fleet.relayCount(); index += 2) {
            fleet.freezeRelay(index);
        }
        fleet.runFor(100ms);
        fleet.setLimit(4);
        fleet.runFor(6s);
        for (size_t index = first; index < fleet.relayCount(); index += 2) {
            fleet.wakeRelay(index);
        }
        fleet.runFor(6s);
        fleet.setLimit(40);
        fleet.runFor(6s);
    }
    EXPECT_TRUE(keepsLimit(fleet));
}

// Guards against a limit that is kept for ever because no relay with a share has requests for the target.
TEST(TargetRequestLimits, UnconfirmedLimitIsDividedAmongAll)
{
    constexpr size_t Relays = 195;
    std::vector<RequestLimitParticipants::Relay> others;
    for (size_t index = 1; index < Relays; ++index) {
        others.push_back({.hash = index});
    }
    const auto sumOfShares = [&](MonotonicTime now) {
        std::pair<double, int> result;
        for (size_t index = 0; index < Relays; ++index) {
            TargetRequestLimits limits({});
            limits.record({.target = "t", .incarnation = 1, .limit = 5.0}, Start);
            std::vector<RequestLimitParticipants::Relay> rest = others;
            if (index > 0) {
                rest[index - 1] = {.hash = 0};
            }
            limits.update([&](const std::string &) { return RequestLimitParticipants {.others = rest, .self = {.hash = index}, .known = Relays}; }, now);
            result.first += limits.share("t");
            result.second += limits.share("t") > 0 ? 1 : 0;
        }
        return result;
    };
    EXPECT_NEAR(sumOfShares(Start).first, 5, 1e-6);
    EXPECT_LT(sumOfShares(Start).second, 10);
    EXPECT_NEAR(sumOfShares(Start + 31s).first, 5, 1e-6);
    EXPECT_EQ(sumOfShares(Start + 31s).second, Relays);
}

// Guards against a relay that uses a reservation after the limit has fallen.
TEST(TargetRequestLimits, ReservationsEndWhenTheShareFalls)
{
    auto limits = limitsOfOneRelay(2);
    limits.recordSend("t", Start);
    const auto first = limits.reserve("t", Start + 2s, Start);
    ASSERT_TRUE(first);
    EXPECT_TRUE(limits.isValid(*first, first->sendAt));
    EXPECT_FALSE(limits.isValid(*first, Start));
    EXPECT_FALSE(limits.reserve("t", first->sendAt, Start));
    limits.record({.target = "t", .incarnation = 1, .limit = 0.5}, Start + 10ms);
    updateAlone(limits, Start + 10ms);
    EXPECT_FALSE(limits.isValid(*first, first->sendAt));
    EXPECT_FALSE(limits.maySend("t", first->sendAt));
}

// Guards against an older statement that replaces a newer one, after a freeze as well.
TEST(TargetRequestLimits, NewestStatementApplies)
{
    auto limits = limitsOfOneRelay(2);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 1, .limit = 9.0, .age = 5s, .peer = "a"}, Start + 1s), TargetRequestLimits::Change::None);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 1, .limit = 9.0, .age = 0s, .peer = "a"}, Start + 1s), TargetRequestLimits::Change::Named);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 0, .limit = 1.0}, Start + 2s), TargetRequestLimits::Change::None);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 1}, Start + 3s), TargetRequestLimits::Change::Ended);
    EXPECT_FALSE(limits.limit("t"));
    EXPECT_TRUE(limits.isLimited("t"));
    limits.onFrozen(5s, Start + 3s);
    EXPECT_EQ(limits.allStatements(Start + 3s)[0].age, 5s);
    updateAlone(limits, Start + 3s);
    EXPECT_TRUE(limits.isLimited("t"));
    updateAlone(limits, Start + 4s);
    EXPECT_FALSE(limits.isLimited("t"));
}

// Guards against a log line and an early heartbeat for each response of a target whose limit varies a little, and against a slow change that is never reported.
TEST(TargetRequestLimits, MinorChangesApplyAndAreNotReported)
{
    auto limits = limitsOfOneRelay(10);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 1, .limit = 9.5}, Start + 1s), TargetRequestLimits::Change::None);
    EXPECT_EQ(limits.limit("t"), 9.5);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 1, .limit = 8.9}, Start + 2s), TargetRequestLimits::Change::Named);
    EXPECT_EQ(limits.record({.target = "t", .incarnation = 1, .limit = 8.9}, Start + 3s), TargetRequestLimits::Change::None);
}

// Guards against a relay that wakes and sends by a limit that has fallen meanwhile.
TEST(TargetRequestLimits, NothingIsSentUntilLimitsAreLearntAgainAfterAFreeze)
{
    auto limits = limitsOfOneRelay(100);
    const auto reservation = limits.reserve("t", Start + 1s, Start);
    ASSERT_TRUE(reservation);
    EXPECT_TRUE(limits.maySend("t", Start + 1s));
    limits.onFrozen(0s, Start + 1s);
    EXPECT_FALSE(limits.maySend("t", Start + 1s));
    EXPECT_FALSE(limits.mayContinue("t", Start + 1s));
    EXPECT_FALSE(limits.isValid(*reservation, Start + 1s));
    EXPECT_EQ(limits.nextSendTime("t", Start + 1s), Start + 3s);
    EXPECT_TRUE(limits.maySend("t", Start + 3s));
    EXPECT_TRUE(limits.maySend("unlimited", Start + 1s));
}
