#include "ControlFixture.h"

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

class ControlDutiesTest : public ControlFixture
{
};

} // namespace

// Guards against two controllers that both act, and against orders to a target that ignores fencing numbers before the old holder's last order can be there.
TEST_F(ControlDutiesTest, OneControllerSendsOrders)
{
    run(12s, true, true);
    EXPECT_EQ(m_engines["e1"].version, "1");
    EXPECT_EQ(m_engines["e2"].version, "0");
    run(15s, true, true);
    EXPECT_EQ(m_engines["e2"].version, "1");
    EXPECT_NE(m_first.term().has_value(), m_second.term().has_value());
}

// Guards against the late orders of a controller that froze between its last check of the lease and the send, and woke when another one had taken over.
TEST_F(ControlDutiesTest, LateOrdersOfAFrozenHolderAreUndone)
{
    run(20s, true, false);
    ASSERT_TRUE(m_first.term());
    m_wanted[0].models[0].version = m_wanted[1].models[0].version = "2";
    m_first.holdBackOrders();
    run(10s, true, false);
    m_wanted[0].models[0].version = m_wanted[1].models[0].version = "3";
    run(60s, false, true);
    ASSERT_TRUE(m_second.term());
    EXPECT_EQ(m_engines["e1"].version, "3");
    EXPECT_EQ(m_engines["e2"].version, "3");
    m_first.releaseOrders();
    EXPECT_EQ(m_engines["e1"].version, "3") << "the old fencing number is refused";
    EXPECT_GT(m_first.refusals(), 0);
    EXPECT_EQ(m_engines["e2"].version, "2") << "the target ignores fencing numbers";
    run(10s, true, true);
    EXPECT_EQ(m_engines["e2"].version, "3");
    EXPECT_FALSE(m_first.term());
}

// Guards against orders or grants without a lease during a long outage, and against a controller that does not come back after it.
TEST_F(ControlDutiesTest, SurvivesALongOutageOfThePlatform)
{
    run(20s, true, true);
    EXPECT_TRUE(m_first.term());
    const auto asked = permits("g0").ask("e1", "s1");
    EXPECT_EQ(asked, PermitAnswer::Asked);
    post("/faults", {{"down", true}});
    m_wanted[0].models[0].version = "2";
    run(9s, true, true);
    run(60s, true, true);
    EXPECT_FALSE(m_first.term() || m_second.term());
    const auto versionInOutage = m_engines["e1"].version;
    m_wanted[0].models[0].version = "3";
    run(20s, true, true);
    EXPECT_EQ(m_engines["e1"].version, versionInOutage);
    EXPECT_EQ(permits("g0").look("e1", "s1"), PermitAnswer::Unknown);
    post("/faults", {{"down", false}});
    EXPECT_EQ(permits("g0").look("e1", "s1"), PermitAnswer::Asked);
    // The last holder must come back by itself, although it sends no write into the outage.
    run(60s, true, false);
    EXPECT_TRUE(m_first.term());
    EXPECT_EQ(m_engines["e1"].version, "3");
    EXPECT_EQ(permits("g0").look("e1", "s1"), PermitAnswer::Granted);
}

// Guards against permits beyond the cold limit, and against a returned slot that is not granted again.
TEST_F(ControlDutiesTest, GrantsPermitsAndReusesReturnedOnes)
{
    for (const std::string id : {"s1", "s2", "s3"}) {
        EXPECT_EQ(permits("g0").ask("e1", id), PermitAnswer::Asked);
    }
    run(20s, true, false);
    EXPECT_EQ(permits("g0").look("e1", "s1"), PermitAnswer::Granted);
    EXPECT_EQ(permits("g0").look("e1", "s2"), PermitAnswer::Granted);
    EXPECT_EQ(permits("g0").look("e1", "s3"), PermitAnswer::Asked);
    post("/faults", {{"lose_answers", 1}});
    EXPECT_EQ(permits("g0").giveBack("e1", "s1"), PermitAnswer::Absent) << "a lost answer is read back";
    post("/faults", {{"lose_requests", 1}});
    EXPECT_EQ(permits("g0").ask("e1", "s4"), PermitAnswer::Asked) << "a lost request is repeated";
    run(10s, true, false);
    EXPECT_EQ(permits("g0").look("e1", "s3"), PermitAnswer::Granted);
}

// Guards against permits while the streams of a dead gateway still run, and against a slot of a frozen gateway being given away.
TEST_F(ControlDutiesTest, KeepsSlotsOfFrozenAndCountsStreamsOfDeadGateways)
{
    EXPECT_EQ(permits("g0").ask("e1", "frozen"), PermitAnswer::Asked);
    EXPECT_EQ(permits("g1").ask("e1", "dead"), PermitAnswer::Asked);
    run(20s, true, false);
    EXPECT_EQ(permits("g1").look("e1", "dead"), PermitAnswer::Granted);
    m_engines["e1"].running = 2;
    // The dead gateway comes back under a new incarnation and asks; its old stream runs on.
    EXPECT_EQ(permits("g1", 2).ask("e1", "new"), PermitAnswer::Asked);
    run(300s, true, false);
    EXPECT_EQ(permits("g1").look("e1", "dead"), PermitAnswer::Absent);
    EXPECT_EQ(permits("g0").look("e1", "frozen"), PermitAnswer::Granted);
    EXPECT_EQ(permits("g1", 2).look("e1", "new"), PermitAnswer::Asked);
    m_engines["e1"].running = 0;
    run(10s, true, false);
    EXPECT_EQ(permits("g1", 2).look("e1", "new"), PermitAnswer::Granted);
}

// Guards against the rest of a step's orders and writes being sent by a holder that was frozen past its lease in the middle of the step.
TEST_F(ControlDutiesTest, ChecksTheLeaseBeforeEachOrderAndWrite)
{
    run(30s, true, false);
    ASSERT_TRUE(m_first.term());
    m_wanted[0].role = m_wanted[1].role = "draft";
    m_first.freezeOn("/orders");
    run(1s, true, false);
    EXPECT_EQ(m_engines["e1"].role, "draft") << "sent before the freeze";
    EXPECT_EQ(m_engines["e2"].role, "");
    run(30s, true, false);
    EXPECT_EQ(m_engines["e2"].role, "draft") << "sent in the next term";
    EXPECT_EQ(permits("g1").ask("e1", "dead"), PermitAnswer::Asked);
    run(10s, true, false);
    EXPECT_EQ(permits("g1").look("e1", "dead"), PermitAnswer::Granted);
    EXPECT_EQ(permits("g1", 2).ask("e1", "new"), PermitAnswer::Asked);
    m_first.freezeOn("prefix=permits");
    run(500ms, true, false);
    EXPECT_EQ(permits("g1").look("e1", "dead"), PermitAnswer::Granted) << "the lease ran out between the read and the write";
    run(10s, true, false);
    EXPECT_EQ(permits("g1").look("e1", "dead"), PermitAnswer::Absent);
}

// Guards against a write of a frozen holder that replaces what a gateway or the new holder has written since.
TEST_F(ControlDutiesTest, StaleRevisionsConflict)
{
    EXPECT_EQ(permits("g0").ask("e1", "s1"), PermitAnswer::Asked);
    TableClient table({.address = m_platform->address(), .transport = [this](HttpCall call) { return m_http.call(std::move(call)); }});
    const auto old = table.get(permitKey("e1"));
    EXPECT_EQ(permits("g1").ask("e1", "s2"), PermitAnswer::Asked);
    EXPECT_EQ(table.putIfRevision(permitKey("e1"), old.row.value, old.row.revision).end, WriteEnd::Conflict);
    EXPECT_EQ(permits("g1").look("e1", "s2"), PermitAnswer::Asked);
}

} // namespace Jujube
