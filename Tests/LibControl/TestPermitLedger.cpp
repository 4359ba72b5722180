#include "PermitWorld.h"
#include "PropertySeed.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr size_t StepsPerSchedule = 800;
constexpr int MaxLagMs = 2000;
const MonotonicTime Start {1000s};

using PermitStep = std::tuple<int, size_t, int>;

void playStep(PermitWorld &world, const PermitStep &step)
{
    const auto &[what, who, amount] = step;
    switch (what) {
    case 0:
        return world.advance(amount);
    case 1:
        return world.ask(who);
    case 2:
        return world.refresh(who);
    case 3:
        return world.start(who);
    case 4:
        return world.endStream(static_cast<size_t>(amount));
    case 5:
        return world.giveBack(who);
    case 6:
        return world.decide(who % 2, amount);
    case 7:
        return world.commit(who % 2);
    case 8:
        return world.freeze(who);
    case 9:
        return world.replace(who, amount % 2 == 0);
    case 10:
        return world.comeBack(who);
    case 11:
        return world.beginTerm(who % 2);
    case 12:
        return world.turnWarm();
    default:
        return world.turnCold(amount % 8);
    }
}

void play(PermitWorld &world, const PermitStep &step)
{
    playStep(world, step);
    world.keepHistory();
}

// A controller's view for tests of single steps: one row, one report, gateways g0 to g9 in the VM list.
class PermitLedgerTest : public testing::Test
{
protected:
    PermitLedgerTest()
    {
        readVms(10);
    }

    void readVms(int count)
    {
        std::vector<Vm> vms;
        for (int i = 0; i < count; ++i) {
            vms.push_back({.name = holder(i).name, .address = holder(i).address, .incarnation = 1});
        }
        m_census.onVmList(vms, m_now);
    }

    static PermitHolder holder(int i)
    {
        return {.name = "g" + std::to_string(i), .address = "127.0.0.1:" + std::to_string(i), .incarnation = 1};
    }

    void addSlot(int i, SlotState state)
    {
        m_row.slots.push_back({.id = "s" + std::to_string(m_row.slots.size()), .holder = holder(i), .state = state});
    }

    // Revises the row with a report that arrives now. Returns the number of held slots.
    int revise(int running, bool cold = true)
    {
        const ReportedTarget report {.target = "t", .running = running, .cold = cold, .readAt = m_now};
        m_row = m_ledger.revise(m_row, report, 4, m_census, m_now).value_or(m_row);
        return m_row.heldSlots();
    }

    int reviseAfterSettling(int running)
    {
        revise(running);
        m_now += 3s;
        return revise(running);
    }

    MonotonicTime m_now = Start;
    PermitLedger m_ledger {{.settleTime = 3s, .maxReportAge = 3s}};
    HolderCensus m_census {{.missingTime = 10s}};
    PermitRow m_row;
};

} // namespace

// Guards against more work than the cold limit, in any order of lags, freezes, deaths, controllers that act late, and changes between warm and cold.
RC_GTEST_PROP(PermitLedgerProperty, NeverExceedsTheColdLimit, ())
{
    const auto kinds = rc::gen::weightedElement<int>(
        {{30, 0}, {20, 1}, {20, 2}, {20, 3}, {12, 4}, {8, 5}, {40, 6}, {40, 7}, {2, 8}, {2, 9}, {4, 10}, {1, 11}, {1, 12}, {4, 13}});
    const auto steps
        = *rc::gen::container<std::vector<PermitStep>>(StepsPerSchedule, rc::gen::tuple(kinds, rc::gen::inRange<size_t>(0, 3), rc::gen::inRange(0, MaxLagMs)));
    PermitWorld world;
    for (const auto &step : steps) {
        play(world, step);
    }
    RC_CLASSIFY(world.grants() > 5);
}

// Guards against grants beyond the limit, and against a holder that takes all slots.
TEST_F(PermitLedgerTest, GrantsUpToTheLimitInTurn)
{
    for (const int holder : {0, 0, 0, 0, 1, 1}) {
        addSlot(holder, SlotState::Asked);
    }
    EXPECT_EQ(revise(0), 0) << "the first report may be older than it looks";
    m_now += 3s;
    EXPECT_EQ(revise(0), 4);
    EXPECT_EQ(m_row.slots.at(4).state, SlotState::Granted);
    EXPECT_EQ(m_row.slots.at(5).state, SlotState::Granted);
    EXPECT_EQ(revise(0), 4);
}

// Guards against slots that are granted while the streams of a dead holder still run.
TEST_F(PermitLedgerTest, CountsStreamsOfADeadHolder)
{
    addSlot(0, SlotState::Granted);
    addSlot(0, SlotState::Granted);
    addSlot(1, SlotState::Granted);
    addSlot(1, SlotState::Granted);
    addSlot(2, SlotState::Asked);
    EXPECT_EQ(reviseAfterSettling(4), 4);
    m_census.onIncarnation({.name = "g0", .address = "127.0.0.1:0", .incarnation = 2});
    EXPECT_EQ(revise(4), 2) << "freed";
    EXPECT_EQ(m_row.uncovered, 2);
    m_now += 3s;
    EXPECT_EQ(revise(4), 2) << "its streams still run";
    EXPECT_EQ(revise(1), 3) << "they have ended";
}

// Guards against a report from before a holder's last stream freeing the room that this stream takes.
TEST_F(PermitLedgerTest, WaitsForReportsFromAfterADeath)
{
    for (int i = 0; i < 4; ++i) {
        addSlot(0, SlotState::Granted);
    }
    addSlot(1, SlotState::Asked);
    reviseAfterSettling(0);
    m_census.onIncarnation({.name = "g0", .address = "127.0.0.1:0", .incarnation = 2});
    EXPECT_EQ(revise(0), 0);
    EXPECT_EQ(m_row.uncovered, 4);
    m_now += 2999ms;
    EXPECT_EQ(revise(0), 0);
    m_now += 1ms;
    EXPECT_EQ(revise(0), 1);
}

// Guards against a slot that expires by time: its frozen holder may wake and use it.
TEST_F(PermitLedgerTest, NeverFreesASlotOfASilentHolder)
{
    addSlot(0, SlotState::Granted);
    for (int i = 0; i < 3; ++i) {
        addSlot(1, SlotState::Asked);
    }
    addSlot(2, SlotState::Asked);
    for (int i = 0; i < 1000; ++i) {
        m_now += 60s;
        readVms(10);
        ASSERT_EQ(reviseAfterSettling(0), 4);
    }
    EXPECT_EQ(m_row.slots.at(0).state, SlotState::Granted);
}

// Guards against absence from one lagging or empty VM list being taken for proof, and against a holder that the list never had staying for ever.
TEST_F(PermitLedgerTest, TakesTheVmListForProofOnlyAfterAWhile)
{
    m_now += 1s;
    readVms(9);
    m_census.onVmList({}, m_now + 60s);
    EXPECT_FALSE(m_census.isGone(holder(9)));
    EXPECT_FALSE(m_census.isListed(holder(9)));
    m_now += 9s;
    readVms(9);
    EXPECT_TRUE(m_census.isGone(holder(9)));
    EXPECT_TRUE(m_census.isGone(holder(99)));
    EXPECT_FALSE(m_census.isGone(holder(0)));
}

// Guards against permits for a target that turned cold with work on it, and against held slots hiding that work.
TEST_F(PermitLedgerTest, CountsAllWorkOfATargetThatTurnsCold)
{
    addSlot(0, SlotState::Granted);
    addSlot(0, SlotState::Granted);
    addSlot(1, SlotState::Asked);
    revise(3, false);
    EXPECT_EQ(m_row.slots.size(), 2) << "requests are void while the target is warm";
    EXPECT_TRUE(m_row.warm);
    addSlot(1, SlotState::Asked);
    EXPECT_EQ(reviseAfterSettling(3), 2);
    EXPECT_EQ(m_row.uncovered, 3) << "the two held slots may be unused";
    EXPECT_EQ(revise(1), 3);
}

// Guards against a granted slot being taken away when the limit falls: it counts until it is returned.
TEST_F(PermitLedgerTest, RecallsSurplusSlots)
{
    for (int i = 0; i < 6; ++i) {
        addSlot(i, SlotState::Granted);
    }
    EXPECT_EQ(reviseAfterSettling(6), 6);
    EXPECT_EQ(m_row.slots.at(3).state, SlotState::Granted);
    EXPECT_EQ(m_row.slots.at(4).state, SlotState::Recalled);
    EXPECT_EQ(m_row.slots.at(5).state, SlotState::Recalled);
}

// Guards against grants on an old report, to a leaving target, and to a holder whose end the VM list could never prove.
TEST_F(PermitLedgerTest, GrantsOnlyOnFreshKnowledge)
{
    addSlot(99, SlotState::Asked);
    EXPECT_EQ(reviseAfterSettling(0), 0);
    m_row.slots.clear();
    addSlot(0, SlotState::Asked);
    const ReportedTarget old {.target = "t", .cold = true, .readAt = m_now};
    EXPECT_FALSE(m_ledger.revise(m_row, old, 4, m_census, m_now + 4s));
    const ReportedTarget leaving {.target = "t", .cold = true, .leaving = true, .readAt = m_now};
    EXPECT_FALSE(m_ledger.revise(m_row, leaving, 4, m_census, m_now));
    EXPECT_EQ(revise(0), 1);
}

// Guards against a row that loses information on its way through the table service, and against a damaged one being read as empty.
TEST_F(PermitLedgerTest, RowsSurviveTheTable)
{
    addSlot(0, SlotState::Granted);
    addSlot(1, SlotState::Recalled);
    addSlot(2, SlotState::Asked);
    m_row.uncovered = 7;
    m_row.warm = true;
    EXPECT_EQ(*PermitRow::fromText(m_row.toText()), m_row);
    EXPECT_FALSE(PermitRow::fromText("{}").ok());
    EXPECT_FALSE(PermitRow::fromText("").ok());
}

} // namespace Jujube
