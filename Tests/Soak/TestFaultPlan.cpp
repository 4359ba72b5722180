#include "Harness/FaultPlan.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr FaultPlanOptions Options {.seed = 7, .relays = 12, .targets = 8, .dataCentres = 3, .length = 60s, .rate = 5};

} // namespace

// Guards against a seed that cannot be played again.
TEST(FaultPlan, DependsOnItsOptionsOnly)
{
    const auto plan = makeFaultPlan(Options);
    const auto again = makeFaultPlan(Options);
    ASSERT_EQ(plan.size(), again.size());
    for (size_t index = 0; index < plan.size(); ++index) {
        EXPECT_EQ(plan[index].toText(), again[index].toText());
    }
    auto other = Options;
    other.seed = 8;
    EXPECT_NE(makeFaultPlan(other)[0].toText(), plan[0].toText());
}

// Guards against changes of tables that are never played, a document that grows without end, and other faults of a seed that differ beside them.
TEST(FaultPlan, DrawsChangesOfTablesBesideTheOthers)
{
    auto options = Options;
    options.tableChanges = 2;
    const auto plan = makeFaultPlan(options);
    std::set<std::string_view> kinds;
    size_t growths = 0;
    for (const auto &fault : plan) {
        kinds.insert(nameOf(fault.kind));
        growths += fault.kind == FaultKind::GrowDocument ? 1 : 0;
        EXPECT_LT(fault.at + fault.duration, options.length);
    }
    for (const auto *kind : {"store-reader", "slow-relay", "drain-series", "grow-document"}) {
        EXPECT_TRUE(kinds.contains(kind)) << kind;
    }
    EXPECT_LE(growths, 2U);
    for (const auto &fault : makeFaultPlan(Options)) {
        EXPECT_TRUE(std::any_of(plan.begin(), plan.end(), [&](const auto &other) { return other.toText() == fault.toText(); })) << fault.toText();
    }
}

// Guards against restored copies of another age or after another outage than stated, and other faults of a seed that differ beside them.
TEST(FaultPlan, DrawsRestoresBesideTheOthers)
{
    auto options = Options;
    options.restores = 0.2;
    const auto plan = makeFaultPlan(options);
    size_t restores = 0;
    for (const auto &fault : plan) {
        if (fault.kind == FaultKind::RestoreStore) {
            ++restores;
            const auto outage = restoreFormOf(fault.variant).outage;
            EXPECT_TRUE(outage >= 500ms && outage <= 3s) << fault.toText();
            EXPECT_TRUE(fault.duration - outage >= 1s && fault.duration - outage <= 12s) << fault.toText();
            EXPECT_TRUE(fault.at >= 0ms && fault.at + fault.duration < options.length) << fault.toText();
        }
    }
    EXPECT_GE(restores, 8U);
    EXPECT_EQ(plan.size(), makeFaultPlan(Options).size() + restores);
}

// Guards against kinds of faults that are never played, faults that outlast the run, and faults that never overlap.
TEST(FaultPlan, DrawsAllKindsInSeriesThatOverlap)
{
    const auto plan = makeFaultPlan(Options);
    std::set<std::string_view> kinds;
    size_t overlaps = 0;
    for (size_t index = 0; index < plan.size(); ++index) {
        kinds.insert(nameOf(plan[index].kind));
        EXPECT_LT(plan[index].at + plan[index].duration, Options.length);
        overlaps += index > 0 && plan[index].at < plan[index - 1].at + plan[index - 1].duration ? 1 : 0;
    }
    EXPECT_EQ(kinds.size(), 15U);
    EXPECT_GT(overlaps, plan.size() / 10);
}
