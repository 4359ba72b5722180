#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr int PeerCount = 24;
constexpr int TargetCount = 24;
constexpr auto BurstTime = 4s;
// A sixth of the link of the smallest VMs (10 Mbit/s), for reports of loads in one direction.
constexpr double MaxBytesPerSecond = 200'000;

} // namespace

// Guards against a relay that fills its own link with reports of the generations that it places in a burst, so that documents and heartbeats come late.
TEST(LoadReports, LeaveRoomOnTheLinkInABurst)
{
    RelayTestBed testBed;
    testBed.writeDocument(1);
    for (int index = 0; index < TargetCount; ++index) {
        testBed.addTarget("i-engine-" + std::to_string(index), "engine", 400);
    }
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    std::vector<std::unique_ptr<ScriptedPeer>> peers;
    for (int index = 0; index < PeerCount; ++index) {
        peers.push_back(std::make_unique<ScriptedPeer>(testBed.loop, "peer-" + std::to_string(index), testBed.options("n1").peers));
        peers.back()->setHeartbeat({.dataCentre = "lahore"});
    }
    ASSERT_TRUE(testBed.runUntil([&] { return testBed.metrics("n1").find("relay_heartbeats_received_total") != std::string::npos; }));

    std::vector<std::shared_ptr<RelayTestBed::Response>> responses;
    std::vector<std::shared_ptr<TargetChannel>> callers;
    const auto start = monotonicNow();
    while (monotonicNow() - start < BurstTime) {
        responses.push_back(std::make_shared<RelayTestBed::Response>());
        callers.push_back(testBed.begin("n1",
                                        {.path = "/draft/x",
                                         .id = "r" + std::to_string(responses.size()),
                                         .fields = {{.name = "X-Token-Usage", .value = "100,1600"}, {.name = "X-Deadline-Ms", .value = "8000"}}},
                                        responses.back()));
        testBed.runFor(15ms);
    }
    const auto took = std::chrono::duration<double>(monotonicNow() - start).count();

    size_t sent = 0;
    for (const auto &peer : peers) {
        EXPECT_GT(peer->loadReportBytes(), 0U);
        sent += peer->loadReportBytes();
    }
    // Some reports may have been saved up before.
    EXPECT_LE(static_cast<double>(sent), MaxBytesPerSecond * (took + 1));
}
