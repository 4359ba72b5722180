#include "TestFleet.h"

#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <LibOneTime/ClaimRecord.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

HttpCall capture(const std::string &gateway, const std::string &key, const std::string &body = R"({"id":"o1","amount":5})")
{
    return {
        .method = "POST",
        .url = "http://" + gateway + "/v1/services/order-desk/capture",
        .headers = {{"Authorization", "Bearer paying-key"}, {"Idempotency-Key", key}},
        .body = body,
        .totalTimeout = 60s,
    };
}

std::string kindOf(const HttpAnswer &answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() ? json.value("kind", "") : "";
}

} // namespace

// Guards against a payment that runs again because the target was killed after it ran and before it answered.
TEST(OneTimeCalls, TargetRunsAndDoesNotAnswer)
{
    TestFleet fleet({.engines = 1, .gateways = 2});
    fleet.setFaults(fleet.desk(), {{"close_after_run", 1}});
    const auto first = fleet.client().call(capture(fleet.gateway(0).address(), "k"));
    EXPECT_EQ(kindOf(first), "outcome_unknown") << first.body;
    const auto second = fleet.client().call(capture(fleet.gateway(1).address(), "k"));
    EXPECT_EQ(kindOf(second), "outcome_unknown") << second.body;
    EXPECT_EQ(fleet.ledgerSize(), 1);
}

// Guards against a payment that is not run, or run twice, because the table service commits the claim and loses its answer.
TEST(OneTimeCalls, TableServiceLosesTheAnswerToTheClaim)
{
    TestFleet fleet({.engines = 1, .gateways = 2});
    fleet.setFaults(fleet.platform(), {{"lose_answers", 1}});
    const auto first = fleet.client().call(capture(fleet.gateway(0).address(), "k"));
    EXPECT_EQ(first.status, 200) << first.body;
    const auto second = fleet.client().call(capture(fleet.gateway(1).address(), "k"));
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.headers.count("idempotent-replayed"), 1);
    EXPECT_EQ(fleet.ledgerSize(), 1);
}

// Guards against a call that is sent without a record, and against a refusal that says "not run" for a call that ran.
TEST(OneTimeCalls, TableServiceDown)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    fleet.setFaults(fleet.platform(), {{"down", true}});
    const auto refused = fleet.client().call(capture(fleet.gateway(0).address(), "k"));
    EXPECT_EQ(kindOf(refused), "platform_unavailable") << refused.body;
    EXPECT_EQ(refused.headers.count("retry-after"), 1);
    EXPECT_EQ(fleet.ledgerSize(), 0);
    fleet.setFaults(fleet.platform(), {{"down", false}});
    EXPECT_EQ(fleet.client().call(capture(fleet.gateway(0).address(), "k")).status, 200);
    EXPECT_EQ(fleet.ledgerSize(), 1);
}

// Guards against two runs when the same key is sent to two gateways at once.
TEST(OneTimeCalls, SameKeyAtTwoGatewaysAtOnce)
{
    TestFleet fleet({.engines = 1, .gateways = 2});
    fleet.setFaults(fleet.desk(), {{"delay_ms", 300}});
    std::vector<std::future<HttpAnswer>> answers;
    for (size_t i = 0; i < 6; ++i) {
        answers.push_back(std::async(std::launch::async, [&fleet, i] { return fleet.client().call(capture(fleet.gateway(i % 2).address(), "k")); }));
    }
    for (auto &answer : answers) {
        EXPECT_EQ(answer.get().status, 200);
    }
    EXPECT_EQ(fleet.ledgerSize(), 1);
}

// Guards against two runs when a gateway is frozen between its claim and its call, another gateway answers in the meantime, and the first one wakes.
TEST(OneTimeCalls, GatewayFrozenBetweenClaimAndCall)
{
    TestFleet fleet({.engines = 1, .gateways = 2, .gatewayArguments = {"--claim-deadline-ms", "2000"}});
    // The claim takes effect at once and its answer comes late; the gateway is frozen in between.
    fleet.setFaults(fleet.platform(), {{"delay_ms", 1200}});
    auto first = std::async(std::launch::async, [&fleet] { return fleet.client().call(capture(fleet.gateway(0).address(), "k")); });
    ASSERT_TRUE(TestFleet::waitFor([&fleet] {
        const auto names = fleet.eventNames(0);
        return std::find(names.begin(), names.end(), "request_accepted") != names.end();
    }));
    fleet.gateway(0).signal(SIGSTOP);
    std::this_thread::sleep_for(1500ms);
    fleet.setFaults(fleet.platform(), {{"delay_ms", 0}});
    const auto second = fleet.client().call(capture(fleet.gateway(1).address(), "k"));
    fleet.gateway(0).signal(SIGCONT);
    const auto late = first.get();
    EXPECT_LE(fleet.ledgerSize(), 1);
    if (second.status == 200) {
        EXPECT_EQ(fleet.ledgerSize(), 1);
    } else {
        EXPECT_EQ(kindOf(second), "outcome_unknown") << second.body;
    }
    if (kindOf(late) == "platform_unavailable") {
        EXPECT_EQ(late.body.find(R"("ran":"yes")"), std::string::npos);
    }
}

// Guards against an answer to another request: the same key with another body is refused.
TEST(OneTimeCalls, SameKeyWithAnotherBody)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    EXPECT_EQ(fleet.client().call(capture(fleet.gateway(0).address(), "k")).status, 200);
    EXPECT_EQ(kindOf(fleet.client().call(capture(fleet.gateway(0).address(), "k", R"({"id":"o1","amount":6})"))), "idempotency_key_reused");
    EXPECT_EQ(kindOf(fleet.client().call(capture(fleet.gateway(0).address(), "", "{}"))), "idempotency_key_missing");
    EXPECT_EQ(fleet.ledgerSize(), 1);
}

// Guards against a charge that is cut by a graceful shutdown.
TEST(OneTimeCalls, GracefulShutdownCutsNoCharge)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    fleet.setFaults(fleet.desk(), {{"delay_ms", 1500}});
    auto answer = std::async(std::launch::async, [&fleet] { return fleet.client().call(capture(fleet.gateway(0).address(), "k")); });
    ASSERT_TRUE(TestFleet::waitFor([&fleet] {
        const auto names = fleet.eventNames(0);
        return std::find(names.begin(), names.end(), "call_sent") != names.end();
    }));
    fleet.gateway(0).signal(SIGTERM);
    EXPECT_EQ(answer.get().status, 200);
    EXPECT_EQ(fleet.gateway(0).wait(), 0);
    EXPECT_EQ(fleet.ledgerSize(), 1);
}

// Guards against a status check that costs a target call each time, and against an answer of another workspace.
TEST(OneTimeCalls, StatusChecksAreAnsweredFromTheWorkspacesOwnCache)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    ASSERT_EQ(fleet.client().call(capture(fleet.gateway(0).address(), "k")).status, 200);
    const auto check = [&fleet](const std::string &key) {
        return fleet.client().call(
            {.url = "http://" + fleet.gateway(0).address() + "/v1/services/order-desk/status/o1", .headers = {{"Authorization", "Bearer " + key}}});
    };
    EXPECT_EQ(check("paying-key").status, 200);
    EXPECT_EQ(check("paying-key").headers.count("jujube-cache"), 1);
    EXPECT_EQ(check("other-key").headers.count("jujube-cache"), 0);
}

// Guards against bad input reaching a target, being answered without a specific kind, or ending the process.
TEST(OneTimeCalls, BadInputHasItsOwnErrorKinds)
{
    TestFleet fleet({.engines = 1, .gateways = 1});
    const auto &address = fleet.gateway(0).address();
    const auto generate = [&](const std::string &body, const std::string &key = "paying-key") {
        return kindOf(fleet.client().call(
            {.method = "POST", .url = "http://" + address + "/v1/generations", .headers = {{"Authorization", "Bearer " + key}}, .body = body}));
    };
    EXPECT_EQ(generate("{"), "malformed_json");
    EXPECT_EQ(generate("{\"model\":\"\xff\"}"), "invalid_utf8");
    EXPECT_EQ(generate(R"({"model":"naqsh","prompt":"x","color":1})"), "unknown_field");
    EXPECT_EQ(generate(R"({"model":"other","prompt":"x"})"), "unknown_model");
    EXPECT_EQ(generate(R"({"model":"naqsh","prompt":"x","max_tokens":0})"), "invalid_value");
    EXPECT_EQ(generate(R"({"model":"naqsh","prompt":"x","max_tokens":99999999999999999999})"), "invalid_value");
    EXPECT_EQ(generate("[]"), "invalid_value");
    EXPECT_EQ(generate("{}", "wrong"), "unauthorized");
    EXPECT_EQ(generate(std::string(2 << 20, 'x')), "body_too_large");
    const HttpHeaders paying {{"Authorization", "Bearer paying-key"}};
    const auto url = "http://" + address + "/v1/services/";
    EXPECT_EQ(kindOf(fleet.client().call({.method = "POST", .url = url + "none/capture", .headers = paying})), "unknown_service");
    EXPECT_EQ(kindOf(fleet.client().call({.method = "POST", .url = url + "order-desk/none", .headers = paying})), "unknown_service");
    EXPECT_EQ(kindOf(fleet.client().call({.method = "GET", .url = url + "order-desk/capture", .headers = paying})), "method_not_allowed");
    EXPECT_EQ(kindOf(fleet.client().call({.method = "GET", .url = url + "order-desk/status/a%20b", .headers = paying})), "invalid_value");
    EXPECT_EQ(fleet.client().call({.url = "http://" + address + "/livez"}).status, 200);
    EXPECT_EQ(fleet.ledgerSize(), 0);
}

} // namespace Jujube
