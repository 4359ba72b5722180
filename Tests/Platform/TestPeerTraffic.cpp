#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iterator>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr int PeerCount = 24;
constexpr int TargetCount = 24;
constexpr auto BurstTime = 4s;
// A sixth of the link of the smallest VMs (10 Mbit/s), for reports of loads in one direction.
constexpr double MaxBytesPerSecond = 200'000;

// Bytes per second on a link between regions, for crash reports of all relays of a region.
constexpr double MaxBytesBetweenRegions = 1'000'000;
// Time for which unused traffic of crash reports is saved up.
constexpr double SavedSeconds = 3;
constexpr int CrashCount = 40;
constexpr int PartsOfPrompt = 250;

std::vector<std::unique_ptr<ScriptedPeer>> addPeers(RelayTestBed &testBed, const std::string &dataCentre, int count = PeerCount)
{
    std::vector<std::unique_ptr<ScriptedPeer>> peers;
    for (int index = 0; index < count; ++index) {
        peers.push_back(std::make_unique<ScriptedPeer>(testBed.loop, dataCentre + std::to_string(index), testBed.options("n1").peers));
        peers.back()->setHeartbeat({.dataCentre = dataCentre});
    }
    return peers;
}

// Field with the parts of a prompt that ends with a part of its request alone.
HeaderField partsField(int64_t first, int count)
{
    std::string parts;
    for (int part = 0; part < count; ++part) {
        parts += std::to_string(first + part) + ":10,";
    }
    return {.name = "X-Prefix-Hash", .value = parts + "1:10"};
}

// Crashes in a fleet of so many relays.
class CrashesInFleet : public testing::TestWithParam<int>
{
};

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
    const auto peers = addPeers(testBed, "lahore");
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

// Guards against crashes that each relay reports to all others without a limit, so that the links between regions are full and relays there lose each other.
TEST(CrashReports, LeaveRoomOnTheLinkBetweenRegions)
{
    RelayTestBed testBed;
    testBed.writeDocument(1);
    testBed.isFatal = [](const MessageHead &) { return true; };
    for (int index = 0; index < CrashCount; ++index) {
        testBed.addTarget("i-engine-" + std::to_string(index), "engine", 10);
    }
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    const auto near = addPeers(testBed, "lahore");
    const auto far = addPeers(testBed, "karachi");
    ASSERT_TRUE(testBed.runUntil([&] { return far.back()->received().has_value(); }));

    const auto start = monotonicNow();
    for (int crash = 0; crash < CrashCount; ++crash) {
        std::string parts;
        for (int part = 0; part < PartsOfPrompt; ++part) {
            parts += std::to_string(1000 * crash + part + 1) + ":10,";
        }
        const auto id = "r" + std::to_string(crash);
        testBed.call("n1", {.path = "/draft/" + id, .id = id, .fields = {{.name = "X-Prefix-Hash", .value = parts + "1:10"}}});
        testBed.runFor(100ms);
    }
    const auto took = std::chrono::duration<double>(monotonicNow() - start).count();

    size_t sent = 0;
    for (const auto &peer : far) {
        sent += peer->crashReportBytes();
    }
    EXPECT_GT(sent, 0U);
    const auto relaysOfRegion = static_cast<double>(near.size() + 1);
    // The last datagrams may exceed what was left.
    constexpr double LastDatagrams = 3 * 1400 * PeerCount;
    EXPECT_LE(static_cast<double>(sent), MaxBytesBetweenRegions / relaysOfRegion * (took + SavedSeconds) + LastDatagrams);
}

// Guards against crashes that relays of other regions learn of seconds late or never, because an earlier one has used up what may be sent there.
TEST_P(CrashesInFleet, AreKnownToAllWithinASecond)
{
    constexpr int Crashes = 5;
    constexpr int64_t FirstPart = 900'000'000'000'000;
    constexpr int PartsOfLongPrompt = 110;
    RelayTestBed testBed;
    testBed.writeDocument(1);
    testBed.isFatal = [](const MessageHead &) { return true; };
    for (int index = 0; index < CrashCount; ++index) {
        testBed.addTarget("i-engine-" + std::to_string(index), "engine", 10);
    }
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    auto peers = addPeers(testBed, "lahore", GetParam() / 2);
    auto far = addPeers(testBed, "karachi", GetParam() - GetParam() / 2 - 1);
    std::ranges::move(far, std::back_inserter(peers));
    ASSERT_TRUE(testBed.runUntil([&] { return std::ranges::all_of(peers, [](const auto &peer) { return peer->received().has_value(); }); }));
    for (int number = 1; number <= Crashes; ++number) {
        const auto id = "r" + std::to_string(number);
        const auto next = monotonicNow() + 1s;
        testBed.call("n1", {.path = "/draft/" + id, .id = id, .fields = {partsField(FirstPart + 1000 * number, PartsOfLongPrompt)}});
        const auto crashed = static_cast<size_t>(testBed.fatalCount());
        ASSERT_GE(crashed, static_cast<size_t>(number));
        const auto isKnown = [&] { return std::ranges::all_of(peers, [&](const auto &peer) { return peer->reportedCrashes().size() >= crashed; }); };
        EXPECT_TRUE(testBed.runUntil(isKnown, std::chrono::ceil<std::chrono::milliseconds>(next + 200ms - monotonicNow()))) << "crash " << number;
        testBed.runFor(std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(next - monotonicNow())));
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, CrashesInFleet, testing::Values(7, 59, 195, 390));
