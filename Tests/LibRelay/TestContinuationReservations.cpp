#include <algorithm>
#include <gtest/gtest.h>
#include <LibRelay/ContinuationReservations.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

class ContinuationReservationsTest : public testing::Test
{
protected:
    void nameLimit(double limit, MonotonicTime now)
    {
        m_limits.record({.target = "t", .incarnation = 1, .limit = limit}, now);
        m_limits.update([](const std::string &) { return RequestLimitParticipants(); }, now);
    }

    TargetCooldowns m_cooldowns {{}};
    TargetRequestLimits m_limits {{}};
    std::vector<std::string> m_released;
    ContinuationReservations m_reservations {{.onReleased = [this](const std::string &target) { m_released.push_back(target); }}, m_cooldowns, m_limits};
};

} // namespace

// Guards against more continuations during a cooldown than it allows, reserved and sent ones together.
TEST_F(ContinuationReservationsTest, CountAgainstACooldown)
{
    m_cooldowns.record("t", 8s, Start);
    EXPECT_TRUE(m_reservations.tryReserve("t", "a", Start));
    EXPECT_TRUE(m_reservations.tryReserve("t", "a", Start));
    EXPECT_TRUE(m_reservations.mayContinue("t", "a", Start));
    EXPECT_FALSE(m_reservations.tryReserve("t", "b", Start));
    EXPECT_FALSE(m_reservations.mayContinue("t", "b", Start));
    m_reservations.release("t", "a");
    EXPECT_EQ(m_released, std::vector<std::string> {"t"});
    EXPECT_TRUE(m_reservations.tryReserve("t", "b", Start));
    EXPECT_TRUE(m_reservations.use("t", "b", Start));
    m_cooldowns.recordContinuation("t");
    EXPECT_FALSE(m_reservations.tryReserve("t", "c", Start));
    EXPECT_EQ(m_reservations.nextTime("t", Start), Start + 8s);
    EXPECT_TRUE(m_reservations.tryReserve("t", "c", Start + 8s));
}

// Guards against a stopped generation whose reservation is void because a cooldown has begun meanwhile, and against more than two that are sent then.
TEST_F(ContinuationReservationsTest, StayValidWhenACooldownBegins)
{
    for (const auto *request : {"a", "b", "c"}) {
        EXPECT_TRUE(m_reservations.tryReserve("t", request, Start));
    }
    m_cooldowns.record("t", 8s, Start);
    EXPECT_FALSE(m_reservations.mayContinue("t", "d", Start + 1s));
    for (const auto *request : {"a", "b"}) {
        EXPECT_TRUE(m_reservations.mayContinue("t", request, Start + 1s));
        EXPECT_TRUE(m_reservations.use("t", request, Start + 1s));
        m_cooldowns.recordContinuation("t");
    }
    EXPECT_FALSE(m_reservations.mayContinue("t", "c", Start + 1s));
    EXPECT_TRUE(m_reservations.mayContinue("t", "c", Start + 8s));
}

// Guards against a reservation that the next order at the target uses up, and against one that takes up the limit although it was given back.
TEST_F(ContinuationReservationsTest, CountAgainstARequestLimitUntilTheyAreReleased)
{
    nameLimit(1, Start);
    const auto now = Start + 10s;
    EXPECT_TRUE(m_reservations.tryReserve("t", "a", now));
    EXPECT_TRUE(m_limits.mayContinue("t", now));
    m_limits.recordSend("t", now);
    EXPECT_FALSE(m_limits.mayContinue("t", now));
    EXPECT_TRUE(m_reservations.mayContinue("t", "a", now));
    EXPECT_FALSE(m_reservations.mayContinue("t", "b", now));
    m_reservations.release("t", "a");
    EXPECT_TRUE(m_limits.mayContinue("t", now));
}

// Guards against a stopped generation whose reservation is void because the limit has fallen meanwhile, and against one that then delays others for longer.
TEST_F(ContinuationReservationsTest, StayValidWhenTheLimitFalls)
{
    nameLimit(2, Start);
    const auto now = Start + 10s;
    EXPECT_TRUE(m_reservations.tryReserve("t", "a", now));
    nameLimit(0, now);
    EXPECT_TRUE(m_reservations.mayContinue("t", "a", now));
    const auto next = m_limits.nextContinueTime("t", now);
    m_reservations.release("t", "a");
    EXPECT_EQ(m_limits.nextContinueTime("t", now), next);
    EXPECT_FALSE(m_reservations.isReserved("t", "a"));
}

// Guards against reservations at a process that has been replaced by a later one.
TEST_F(ContinuationReservationsTest, AreVoidWhenTheTargetRestarts)
{
    m_cooldowns.record("t", 8s, Start);
    EXPECT_TRUE(m_reservations.tryReserve("t", "a", Start));
    m_reservations.forget("t");
    EXPECT_FALSE(m_reservations.isReserved("t", "a"));
    EXPECT_FALSE(m_reservations.use("t", "a", Start));
    EXPECT_TRUE(m_reservations.tryReserve("t", "b", Start));
}
