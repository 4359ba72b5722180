#include <gtest/gtest.h>
#include <LibPolicy/FleetView.h>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;

constexpr MonotonicTime Start {1000s};

FleetView oneTarget(int coldLimit = 2)
{
    FleetView fleet;
    fleet.setTarget({.name = "e1", .dataCentre = "lahore", .region = "north", .models = {"m"}, .memoryTokens = 1000, .coldLimit = coldLimit});
    return fleet;
}

LoadReport warm(uint64_t incarnation)
{
    return {.incarnation = incarnation, .running = 0, .waiting = 0, .memoryUsed = 0, .memoryLimit = 1000};
}

} // namespace

// Guards against new work on a target that reported that it is leaving and then reports without the flag under the same incarnation.
TEST(FleetView, LeavingEndsOnlyWithANewIncarnation)
{
    auto fleet = oneTarget();
    auto report = warm(1);
    report.leaving = true;
    fleet.reportLoad("e1", report, 0s, Start);
    fleet.reportLoad("e1", warm(1), 0s, Start + 1s);
    EXPECT_FALSE(fleet.isUsable(0, Start + 1s));
    fleet.reportLoad("e1", warm(2), 0s, Start + 2s);
    EXPECT_TRUE(fleet.isUsable(0, Start + 2s));
    fleet.setVmState("e1", 7, true);
    fleet.setVmState("e1", 7, false);
    EXPECT_FALSE(fleet.isUsable(0, Start + 2s));
    fleet.setVmState("e1", 8, false);
    EXPECT_TRUE(fleet.isUsable(0, Start + 2s));
}

// Guards against replacing the load state by a late report of an earlier incarnation or by a report that a later one overtook.
TEST(FleetView, IgnoresReportsThatAreOlderThanTheKnownOne)
{
    auto fleet = oneTarget();
    EXPECT_TRUE(fleet.reportLoad("e1", warm(2), 0s, Start));
    EXPECT_FALSE(fleet.reportLoad("e1", warm(1), 0s, Start + 1s));
    EXPECT_FALSE(fleet.reportLoad("e1", warm(2), 2s, Start + 1s));
}

// Guards against full load on a target that is cold, that has never reported, or whose report is so old that it may be cold.
TEST(FleetView, ColdTargetsNeedAPermitAndAFreeSlotUnderTheLimit)
{
    auto fleet = oneTarget();
    EXPECT_FALSE(fleet.isUsable(0, Start));
    fleet.reportLoad("e1", warm(1), 0s, Start);
    EXPECT_TRUE(fleet.isUsable(0, Start));
    EXPECT_FALSE(fleet.isUsable(0, Start + LoadReportLifetime + 1ms));
    fleet.noteCold("e1", Start);
    EXPECT_FALSE(fleet.isUsable(0, Start));
    fleet.setColdPermits("e1", 1);
    EXPECT_TRUE(fleet.isUsable(0, Start));
    fleet.addOwn(0, 10);
    EXPECT_FALSE(fleet.isUsable(0, Start));
    fleet.setColdPermits("e1", 3);
    fleet.addOwn(0, 10);
    EXPECT_FALSE(fleet.isUsable(0, Start));
}

// Guards against work for a data centre that is out of service, and against full load at once when it returns to service.
TEST(FleetView, DataCentreStopsAtOnceAndReturnsInSteps)
{
    auto fleet = oneTarget();
    fleet.reportLoad("e1", warm(1), 0s, Start);
    EXPECT_DOUBLE_EQ(fleet.slowStartShare(0, Start), 1.0);
    fleet.setDataCentreOut("lahore", true, Start);
    EXPECT_FALSE(fleet.isUsable(0, Start));
    fleet.setDataCentreOut("lahore", false, Start + 1s);
    EXPECT_TRUE(fleet.isUsable(0, Start + 1s));
    EXPECT_LT(fleet.slowStartShare(0, Start + 1s), 0.2);
    EXPECT_DOUBLE_EQ(fleet.slowStartShare(0, Start + 60s), 1.0);
}

// Guards against reusing a slot for another target while own generations still refer to it.
TEST(FleetView, SlotOfARemovedTargetIsKeptWhileWorkRunsThere)
{
    auto fleet = oneTarget();
    fleet.addOwn(0, 10);
    fleet.removeTarget("e1");
    fleet.setTarget({.name = "e2", .dataCentre = "lahore", .region = "north", .models = {"m"}});
    EXPECT_EQ(*fleet.find("e2"), 1u);
    fleet.removeOwn(0, 10, false);
    fleet.setTarget({.name = "e3", .dataCentre = "lahore", .region = "north", .models = {"m"}});
    EXPECT_EQ(*fleet.find("e3"), 0u);
}

} // namespace Jujube
