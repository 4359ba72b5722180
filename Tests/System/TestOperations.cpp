#include "TestCaller.h"
#include "TestFleet.h"

#include <absl/strings/str_replace.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace Jujube
{

namespace
{

nlohmann::json draft(int length)
{
    return {{"model", "naqsh"}, {"prompt", "A carrier bag proof length=" + std::to_string(length)}, {"kind", "draft"}};
}

// Sends short drafts and returns the targets that a gateway chose for them.
std::vector<std::string> targetsOfNewDrafts(TestFleet &fleet, size_t gateway, int count)
{
    const auto chosen = [&fleet, gateway] {
        std::vector<std::string> targets;
        const auto page = fleet.getJson(fleet.gateway(gateway).address(), "/events?after=0");
        for (const auto &event : page.at("events")) {
            if (event["name"] == "target_chosen") {
                targets.push_back(event["target"]);
            }
        }
        return targets;
    };
    const auto before = chosen().size();
    for (int i = 0; i < count; ++i) {
        TestCaller caller(fleet.client());
        caller.connect(fleet.gateway(gateway).address(), draft(2));
        caller.waitForEnd();
        EXPECT_TRUE(caller.done().has_value()) << caller.problem().value_or("nothing").dump();
    }
    auto targets = chosen();
    targets.erase(targets.begin(), targets.begin() + static_cast<long>(before));
    return targets;
}

} // namespace

// Guards against new work in a data centre that operators took out, and against running drafts there being cut (I3).
TEST(Operations, DataCentreTakenOutGetsNoNewWork)
{
    TestFleet fleet({.engines = 3, .gateways = 2});
    TestCaller running(fleet.client());
    running.connect(fleet.gateway(0).address(), draft(150));
    ASSERT_TRUE(running.waitForTokens(5));
    fleet.changeDocument([](std::string &yaml) { absl::StrReplaceAll({{"lahore: {state: in", "lahore: {state: out"}}, &yaml); });
    for (const auto &target : targetsOfNewDrafts(fleet, 0, 8)) {
        EXPECT_NE(target, "engine-1");
    }
    running.waitForEnd();
    EXPECT_TRUE(running.done().has_value());
    // Callers are no longer sent to gateways in the data centre either.
    const auto answer
        = fleet.client().call({.url = "http://" + fleet.gateway(1).address() + "/v1/gateways", .headers = {{"Authorization", "Bearer paying-key"}}});
    EXPECT_EQ(answer.body.find("lahore"), std::string::npos) << answer.body;
}

// Guards against new work on a target that only the VM list calls leaving, while the target itself reports that it is not (I7).
TEST(Operations, TargetLeavingByTheVmListGetsNoNewWork)
{
    TestFleet fleet({.engines = 2, .gateways = 1});
    const nlohmann::json vm {
        {"name", "engine-1"},
        {"address", fleet.engine("engine-1").address()},
        {"data_centre", "lahore"},
        {"role", "engine"},
        {"state", "leaving"},
        {"incarnation", 1},
    };
    fleet.post(fleet.platform(), "/vms", {{"vms", nlohmann::json::array({vm})}});
    // A draft may go to engine-2 before the gateway has read the list.
    ASSERT_TRUE(TestFleet::waitFor([&fleet] {
        const auto names = fleet.eventNames(0);
        return std::find(names.begin(), names.end(), "target_leaving") != names.end();
    }));
    for (const auto &target : targetsOfNewDrafts(fleet, 0, 6)) {
        EXPECT_EQ(target, "engine-2");
    }
}

// Guards against a document that reverts or is missing on a gateway that restarts while the platform is down, and against drafts that are not served during an
// outage (I9).
TEST(Operations, GatewayRestartsWhileThePlatformIsDown)
{
    TestFleet fleet({.engines = 3, .gateways = 3});
    fleet.changeDocument([](std::string &yaml) { absl::StrReplaceAll({{"karachi: {state: in", "karachi: {state: out"}}, &yaml); });
    fleet.setFaults(fleet.platform(), {{"down", true}});
    fleet.restartGateway(2);
    ASSERT_TRUE(fleet.waitUntilReady(2));
    const auto status = fleet.getJson(fleet.gateway(2).address(), "/environment");
    EXPECT_EQ(status.at("version"), 2);
    ASSERT_TRUE(
        TestFleet::waitFor([&fleet] { return fleet.getJson(fleet.gateway(2).address(), "/environment").value("connectivity", "") == "platform_down"; }));
    for (const auto &target : targetsOfNewDrafts(fleet, 2, 3)) {
        EXPECT_NE(target, "engine-2");
    }
}

// Guards against a workspace that exceeds its limits, at the cost of others, without being told when to come back.
TEST(Operations, WorkspaceLimitsHold)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    TestCaller first(fleet.client());
    TestCaller second(fleet.client());
    TestCaller third(fleet.client());
    first.connect(fleet.gateway(0).address(), draft(60), "limited-key");
    second.connect(fleet.gateway(0).address(), draft(60), "limited-key");
    ASSERT_TRUE(first.waitForTokens(1));
    ASSERT_TRUE(second.waitForTokens(1));
    third.connect(fleet.gateway(0).address(), draft(2), "limited-key");
    third.waitForEnd();
    ASSERT_TRUE(third.problem().has_value());
    EXPECT_EQ(third.problem()->at("kind"), "rate_limited");
    EXPECT_GE(third.problem()->value("retry_after_s", 0), 1);
    TestCaller other(fleet.client());
    other.connect(fleet.gateway(0).address(), draft(2));
    other.waitForEnd();
    EXPECT_TRUE(other.done().has_value());
    first.waitForEnd();
    second.waitForEnd();
    EXPECT_TRUE(first.done().has_value());
    EXPECT_TRUE(second.done().has_value());
}

// Guards against cold targets that get more than they can bear from several gateways together, and against them getting nothing at all (I2).
TEST(Operations, ColdTargetsGetNoMoreThanTheirLimit)
{
    TestFleet fleet({.engines = 2, .gateways = 3, .controllers = 2, .engineArguments = {"--cold-ms", "40000", "--cold-limit", "2"}});
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (size_t i = 0; i < 12; ++i) {
        callers.push_back(std::make_unique<TestCaller>(fleet.client()));
        callers.back()->connect(fleet.gateway(i % 3).address(), draft(40));
    }
    for (size_t i = 0; i < callers.size(); ++i) {
        callers[i]->waitForEnd();
        // A draft that waited too long is refused as not run, and its caller sends it again.
        while (!callers[i]->done().has_value()) {
            ASSERT_EQ(callers[i]->problem().value_or(nlohmann::json::object()).value("kind", ""), "overloaded");
            callers[i]->connect(fleet.gateway(i % 3).address(), draft(40));
            callers[i]->waitForEnd();
        }
    }
    size_t grants = 0;
    for (size_t i = 0; i < 3; ++i) {
        const auto names = fleet.eventNames(i);
        grants += static_cast<size_t>(std::count(names.begin(), names.end(), "permit_granted"));
    }
    EXPECT_GT(grants, 0);
    for (const auto *name : {"engine-1", "engine-2"}) {
        const auto statistics = fleet.getJson(fleet.engine(name).address(), "/statistics");
        EXPECT_LE(statistics.at("max_running_while_cold"), 2) << statistics.dump();
    }
}

} // namespace Jujube
