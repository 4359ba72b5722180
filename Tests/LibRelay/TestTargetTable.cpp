#include "TargetEntries.h"

#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Guards against new work for a target that is leaving, whatever reported it, also if an older entry arrives late.
TEST(TargetTable, LeavingTargetStaysLeaving)
{
    TargetTable targets({});
    EXPECT_FALSE(targets.set(entry("a", 1), Start));
    auto leaving = entry("a", 3);
    leaving.leaving = true;
    EXPECT_TRUE(targets.set(leaving, Start));
    EXPECT_FALSE(targets.set(leaving, Start));
    EXPECT_FALSE(targets.set(entry("a", 2), Start));
    EXPECT_FALSE(targets.isUsable(*targets.find("a"), Start));
}

// Guards against a removed target that is restored by a late heartbeat of a peer.
TEST(TargetTable, OlderEntryDoesNotBringARemovedTargetBack)
{
    TargetTable targets({});
    targets.set(entry("a", 1), Start);
    EXPECT_TRUE(targets.remove("a", false, 5, Start));
    targets.set(entry("a", 4), Start);
    EXPECT_FALSE(targets.isUsable(*targets.find("a"), Start));
    // The same target registers again.
    targets.set(entry("a", 6), Start);
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start));
}

// Guards against applying the state of an earlier lifetime to a restarted target.
TEST(TargetTable, NewIncarnationResetsTheState)
{
    TargetTable targets({});
    targets.set(entry("a", 1), Start);
    targets.remove("a", false, 2, Start);
    targets.set(entry("a", 3, 2), Start);
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start));
    targets.set(entry("a", 9, 1), Start);
    EXPECT_EQ(targets.find("a")->entry.incarnation, 2);
}

// Guards against dropping all targets when the store returns and their entries have expired in the meantime.
TEST(TargetTable, ExpiredEntriesHaveTimeToReturn)
{
    TargetTable targets({.reregistrationGrace = 2000ms});
    targets.set(entry("a", 1), Start);
    targets.set(entry("b", 1), Start);
    EXPECT_FALSE(targets.remove("a", true, 2, Start));
    EXPECT_FALSE(targets.remove("b", true, 2, Start));
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start + 1900ms));
    targets.set(entry("a", 3), Start + 1000ms);
    EXPECT_EQ(targets.tick(Start + 2000ms), std::vector<std::string> {"b"});
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start + 2000ms));
    EXPECT_FALSE(targets.isUsable(*targets.find("b"), Start + 2000ms));
}

// Guards against new work for a data centre that is out of service.
TEST(TargetTable, DataCentreOutOfServiceGetsNoWork)
{
    TargetTable targets({});
    targets.set(entry("a"), Start);
    targets.setDataCentreOut("lahore", true, Start);
    EXPECT_FALSE(targets.isUsable(*targets.find("a"), Start));
    targets.setDataCentreOut("lahore", false, Start);
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start));
}

// Guards against relays that wrongly conclude that they know the same targets.
TEST(TargetTable, DigestDiffersForDifferentTargets)
{
    TargetTable left({});
    TargetTable right({});
    left.set(entry("a"), Start);
    left.set(entry("b"), Start);
    right.set(entry("b"), Start);
    EXPECT_NE(left.digest(), right.digest());
    right.set(entry("a"), Start);
    EXPECT_EQ(left.digest(), right.digest());
    right.remove("a", false, 5, Start);
    EXPECT_NE(left.digest(), right.digest());
}

// Guards against dropping targets after an outage of the store although they have registered again: the relay that has read their new entries must notify the
// others, and its digest must differ from theirs.
TEST(TargetTable, ReturnOfAnExpiredEntryIsAChange)
{
    TargetTable reader({});
    TargetTable other({});
    for (auto *table : {&reader, &other}) {
        table->set(entry("a", 1), Start);
        table->remove("a", true, 2, Start + 10s);
    }
    EXPECT_EQ(reader.digest(), other.digest());
    reader.set(entry("a", 3), Start + 11s);
    EXPECT_NE(reader.digest(), other.digest());
    const auto changes = reader.recentChanges(1500ms, Start + 11s);
    ASSERT_EQ(changes.size(), 1U);
    other.set(changes[0], Start + 11s);
    EXPECT_EQ(reader.digest(), other.digest());
    EXPECT_TRUE(other.tick(Start + 13s).empty());
    EXPECT_TRUE(other.isUsable(*other.find("a"), Start + 13s));
}

// Guards against placements on targets under their former service, and on removed targets.
TEST(TargetTable, TargetsAreFoundByTheirCurrentService)
{
    TargetTable targets({});
    targets.set(entry("a", 1), Start);
    EXPECT_EQ(targets.ofService("s").size(), 1U);
    auto other = entry("a", 2, 2);
    other.service = "other";
    targets.set(other, Start);
    EXPECT_TRUE(targets.ofService("s").empty());
    ASSERT_EQ(targets.ofService("other").size(), 1U);
    EXPECT_EQ(targets.ofService("other")[0]->entry.id, "a");
    targets.remove("a", false, 3, Start);
    targets.tick(Start + 21s);
    EXPECT_TRUE(targets.ofService("other").empty());
}

// Guards against work for a target that has reported in a response that it is leaving, caused by a later entry of the list, a peer's table, another address or
// an expired entry. Only a new lifetime ends the state.
TEST(TargetTable, TargetThatReportedLeavingStaysLeaving)
{
    TargetTable targets({});
    targets.set(entry("a", 1), Start);
    EXPECT_TRUE(targets.recordLeaving("a", 1, Start));
    targets.set(entry("a", 7), Start + 1s);
    EXPECT_FALSE(targets.isUsable(*targets.find("a"), Start + 1s));
    auto moved = entry("a", 8);
    moved.address = "elsewhere:1";
    targets.set(moved, Start + 2s);
    EXPECT_FALSE(targets.isUsable(*targets.find("a"), Start + 2s));
    targets.remove("a", true, 9, Start + 3s);
    targets.set(entry("a", 10), Start + 4s);
    targets.tick(Start + 60s);
    targets.set(entry("a", 11), Start + 61s);
    EXPECT_FALSE(targets.isUsable(*targets.find("a"), Start + 61s));
    targets.set(entry("a", 12, 2), Start + 62s);
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start + 62s));
}

// Guards against a report of an earlier lifetime that takes a new one out of use.
TEST(TargetTable, LeavingReportOfAnEarlierLifetimeIsIgnored)
{
    TargetTable targets({});
    targets.set(entry("a", 1, 2), Start);
    EXPECT_FALSE(targets.recordLeaving("a", 1, Start));
    EXPECT_TRUE(targets.isUsable(*targets.find("a"), Start));
}

// Guards against ignoring a peer's report that a target is leaving because the own entry of the list is newer.
TEST(TargetTable, LeavingReportAppliesToNewerEntries)
{
    TargetTable reporter({});
    reporter.set(entry("a", 1), Start);
    reporter.recordLeaving("a", 1, Start);
    TargetTable receiver({});
    receiver.set(entry("a", 5), Start);
    for (const auto &change : reporter.recentChanges(1s, Start)) {
        EXPECT_TRUE(receiver.set(change, Start));
    }
    EXPECT_FALSE(receiver.isUsable(*receiver.find("a"), Start));
}

// Guards against relays that do not read the list and treat a target that has turned cold as warm.
TEST(TargetTable, TurningColdIsAChange)
{
    TargetTable targets({});
    targets.set(entry("a", 1), Start);
    auto cold = entry("a", 2);
    cold.coldLeft = 900ms;
    targets.set(cold, Start + 10s);
    EXPECT_EQ(targets.recentChanges(1s, Start + 10s).size(), 1U);
}
