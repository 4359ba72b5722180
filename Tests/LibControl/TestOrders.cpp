#include <LibControl/LoadQueue.h>
#include <LibControl/OrderPlan.h>

#include <gtest/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

const MonotonicTime Start {1000s};

const WantedTarget Honouring {.target = "t1", .dataCentre = "lahore", .honoursFencing = true, .models = {{"m", "2"}}};
const WantedTarget Ignoring {.target = "t2", .dataCentre = "lahore", .honoursFencing = false, .models = {{"m", "2"}}};

ReportedTarget report(const std::string &target, std::vector<ModelVersion> models)
{
    return {.target = target, .incarnation = 1, .models = std::move(models)};
}

Order load(const std::string &target, const std::string &model, const std::string &dataCentre = "lahore")
{
    return {.target = target, .kind = OrderKind::Load, .model = model, .version = "2", .dataCentre = dataCentre};
}

// An engine as far as orders go.
struct Engine {
    bool honoursFencing = false;
    uint64_t highest = 0;
    std::string version;

    // Returns false for a refusal.
    bool receive(const Order &order, uint64_t fencing)
    {
        if (honoursFencing && fencing < highest) {
            return false;
        }
        highest = std::max(highest, fencing);
        version = order.version;
        return true;
    }
};

} // namespace

// Guards against an unload that takes a model away before its successor is there, and against orders that restate what is reported.
TEST(MissingOrders, LoadsFirstAndUnloadsLast)
{
    EXPECT_EQ(missingOrders({Honouring}, {report("t1", {{"m", "1"}})}), std::vector {load("t1", "m")});
    const auto unload = missingOrders({Honouring}, {report("t1", {{"m", "1"}, {"m", "2"}})});
    ASSERT_EQ(unload.size(), 1);
    EXPECT_EQ(unload.front().kind, OrderKind::Unload);
    EXPECT_EQ(unload.front().version, "1");
    EXPECT_TRUE(missingOrders({Honouring}, {report("t1", {{"m", "2"}})}).empty());
}

// Guards against orders to targets that leave, are out of service or were never heard of.
TEST(MissingOrders, SparesTargetsThatGetNoWork)
{
    auto leaving = report("t1", {});
    leaving.leaving = true;
    EXPECT_TRUE(missingOrders({Honouring}, {leaving}).empty());
    auto out = Honouring;
    out.inService = false;
    EXPECT_TRUE(missingOrders({out}, {report("t1", {})}).empty());
    EXPECT_TRUE(missingOrders({Honouring}, {}).empty());
}

// Guards against a role that is never confirmed, and against a role order for a target without a declared role.
TEST(MissingOrders, OrdersADeclaredRole)
{
    auto wanted = Honouring;
    wanted.role = "draft";
    auto reported = report("t1", {{"m", "2"}});
    ASSERT_EQ(missingOrders({wanted}, {reported}).size(), 1);
    EXPECT_EQ(missingOrders({wanted}, {reported}).front().toJson(7)["role"], "draft");
    reported.role = "draft";
    EXPECT_TRUE(missingOrders({wanted}, {reported}).empty());
}

// Guards against a new holder's order that overtakes an old holder's last one at a target that ignores fencing numbers.
TEST(OrderPlan, WaitsOutTheOldHolderWhereFencingIsIgnored)
{
    OrderPlan plan({.leaseTime = 10s, .orderTimeout = 5s, .repeatInterval = 10s});
    const std::vector<WantedTarget> wanted {Honouring, Ignoring};
    const std::vector<Order> missing {load("t1", "m"), load("t2", "m")};
    EXPECT_TRUE(plan.due(missing, wanted, Start).empty()) << "no term has begun";
    plan.beginTerm(Start);
    EXPECT_EQ(plan.due(missing, wanted, Start), std::vector {load("t1", "m")});
    EXPECT_EQ(plan.due(missing, wanted, Start + 14999ms), std::vector {load("t1", "m")});
    EXPECT_EQ(plan.due(missing, wanted, Start + 15s).size(), 2);
}

// Guards against orders that are sent once only, and against a flood of repetitions.
TEST(OrderPlan, RepeatsUntilReported)
{
    OrderPlan plan({.leaseTime = 10s, .orderTimeout = 5s, .repeatInterval = 10s});
    plan.beginTerm(Start);
    const std::vector<Order> missing {load("t1", "m")};
    plan.onSent(load("t1", "m"), Start);
    EXPECT_TRUE(plan.due(missing, {Honouring}, Start + 9s).empty());
    EXPECT_EQ(plan.due(missing, {Honouring}, Start + 10s), missing);
    plan.onSent(load("t1", "m"), Start + 10s);
    EXPECT_TRUE(plan.due({}, {Honouring}, Start + 11s).empty());
    EXPECT_EQ(plan.due(missing, {Honouring}, Start + 12s), missing) << "undone by a late order, so sent at once";
}

// Guards against an order of a holder that froze between its last check and its send, and woke after everything else: the state must be the new holder's in
// the end, with fencing honoured at once and with fencing ignored after a repetition.
TEST(OrderPlan, RepairsALateOrderOfAnOldHolder)
{
    for (const bool honoursFencing : {true, false}) {
        Engine engine {.honoursFencing = honoursFencing, .version = "0"};
        auto wanted = honoursFencing ? Honouring : Ignoring;
        auto oldOrder = load(wanted.target, "m");
        oldOrder.version = "1";
        OrderPlan plan({.leaseTime = 10s, .orderTimeout = 5s, .repeatInterval = 10s});
        plan.beginTerm(Start);
        int late = 0;
        for (auto now = Start; now < Start + 120s; now += 1s) {
            if (now == Start + 40s) {
                late = engine.receive(oldOrder, 1) ? 1 : 0;
            }
            const auto missing = missingOrders({wanted}, {report(wanted.target, {{"m", engine.version}})});
            for (const auto &order : plan.due(missing, {wanted}, now)) {
                engine.receive(order, 2);
                plan.onSent(order, now);
            }
        }
        EXPECT_EQ(late, honoursFencing ? 0 : 1);
        EXPECT_EQ(engine.version, "2");
    }
}

// Guards against all targets loading at once from the rate-limited weight store, and against a model all of whose targets load together.
TEST(LoadQueue, SpreadsLoads)
{
    LoadQueue queue({.maxRunning = 3, .maxRunningPerModel = 2, .startInterval = 1s, .loadTimeout = 100s});
    std::vector<Order> missing {load("a1", "m"), load("a2", "m"), load("a3", "m"), load("b1", "m", "karachi"), load("a4", "n"), load("a5", "n")};
    EXPECT_EQ(queue.admit(missing, Start), std::set {load("a1", "m")});
    EXPECT_EQ(queue.admit(missing, Start + 900ms).size(), 1) << "starts are apart";
    EXPECT_TRUE(queue.admit(missing, Start + 1s).contains(load("b1", "m", "karachi"))) << "the other data centre first";
    EXPECT_TRUE(queue.admit(missing, Start + 2s).contains(load("a4", "n"))) << "two of a model at most";
    EXPECT_EQ(queue.admit(missing, Start + 3s).size(), 3) << "three at most";
    missing.erase(missing.begin());
    const auto next = queue.admit(missing, Start + 4s);
    EXPECT_TRUE(next.contains(load("a2", "m"))) << "a finished load makes room";
    EXPECT_EQ(next.size(), 3);
}

// Guards against a target that never finishes its load and blocks the queue for all others.
TEST(LoadQueue, PassesOverALoadThatNeverEnds)
{
    LoadQueue queue({.maxRunning = 1, .maxRunningPerModel = 1, .startInterval = 1s, .loadTimeout = 100s});
    const std::vector<Order> missing {load("a1", "m"), load("a2", "m")};
    EXPECT_EQ(queue.admit(missing, Start), std::set {load("a1", "m")});
    EXPECT_EQ(queue.admit(missing, Start + 99s), std::set {load("a1", "m")});
    EXPECT_EQ(queue.admit(missing, Start + 100s), std::set {load("a2", "m")});
    EXPECT_EQ(queue.admit(missing, Start + 200s), std::set {load("a1", "m")});
}

} // namespace Jujube
