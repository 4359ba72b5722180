#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <gtest/gtest.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

// A relay that does not read the store itself, because two peers claim to read it for all. What these peers report is set by each test.
namespace
{

// Maximum time until a change in the store is in force, as the users state it for small deployments.
constexpr auto MaxPropagationTime = 2500ms;
constexpr int RequestCount = 10;

class Tables : public testing::Test
{
protected:
    void SetUp() override
    {
        testBed.writeDocument(1);
        leaving = &testBed.addTarget("i-1", "desk");
        testBed.addTarget("i-2", "desk");
        testBed.addRelay("n1");
        ASSERT_TRUE(testBed.waitUntilReady("n1"));
        const auto &address = testBed.options("n1").peers;
        for (auto &reader : readers) {
            reader = std::make_unique<ScriptedPeer>(testBed.loop, std::string("a") + std::to_string(&reader - readers.data()), address);
        }
        for (auto &peer : others) {
            peer = std::make_unique<ScriptedPeer>(testBed.loop, std::string("z") + std::to_string(&peer - others.data()), address);
        }
        for (const auto &reader : readers) {
            reader->setHeartbeat({.reading = true, .trying = true});
        }
        // The relay has stopped reading, and its own held reads have ended.
        testBed.runFor(4000ms);
        ASSERT_TRUE(readers[0]->received());
        ASSERT_FALSE(readers[0]->received()->trying);
        known = *readers[0]->received();
    }

    // Both readers report from now on that they know what the relay knew at the start.
    PeerHeartbeat heartbeatOfReader() const
    {
        return {.documentTableVersion = known.documentTableVersion,
                .targetsDigest = known.targetsDigest,
                .targetsVersion = known.targetsVersion,
                .reading = true,
                .trying = true};
    }

    int runsOnLeavingTarget()
    {
        const int before = leaving->runCount();
        for (int count = 0; count < RequestCount; ++count) {
            testBed.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(++m_requests)});
        }
        return leaving->runCount() - before;
    }

    RelayTestBed testBed;
    StandInTarget *leaving = nullptr;
    std::array<std::unique_ptr<ScriptedPeer>, 2> readers;
    std::array<std::unique_ptr<ScriptedPeer>, 2> others;
    PeerHeartbeat known;

private:
    int m_requests = 0;
};

} // namespace

// Guards against relays that have missed the same change of the target list and, because their lists are equal, keep each other from getting it.
TEST_F(Tables, RelaysThatMissedTheSameTargetChangeGetIt)
{
    testBed.registerTarget("i-1", "draining");
    auto newer = heartbeatOfReader();
    // The readers' heartbeats no longer contain the change; only their digest differs.
    newer.targetsDigest = known.targetsDigest + 1;
    newer.targetsVersion = known.targetsVersion + 1;
    for (const auto &reader : readers) {
        reader->setHeartbeat(newer);
    }
    for (const auto &peer : others) {
        peer->setHeartbeat({.documentTableVersion = known.documentTableVersion, .targetsDigest = known.targetsDigest, .targetsVersion = known.targetsVersion});
    }
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(runsOnLeavingTarget(), 0);
}

// Guards against relays that wait for a document from a peer that has announced it and does not deliver it, such as an overloaded one.
TEST_F(Tables, DocumentOfASilentPeerIsReadFromTheStore)
{
    testBed.writeDocument(2, "key-2");
    auto newer = heartbeatOfReader();
    newer.documentTableVersion = known.documentTableVersion + 100;
    for (const auto &reader : readers) {
        reader->setHeartbeat(newer);
    }
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(testBed.call("n1", {.path = "/commit/x", .key = "key-2"}).status, 200);
}

// Guards against readers whose reads of the document hang and which count as readers because they read the target list.
TEST_F(Tables, DocumentIsInForceAlthoughTheReadersDoNotReadIt)
{
    for (const auto &reader : readers) {
        reader->setHeartbeat(heartbeatOfReader());
    }
    testBed.writeDocument(2, "key-2");
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(testBed.call("n1", {.path = "/commit/x", .key = "key-2"}).status, 200);
}

// Guards against the same for a data centre that is taken out of service.
TEST_F(Tables, DataCentreIsOutOfServiceAlthoughTheReadersDoNotReadIt)
{
    testBed.addTarget("i-3", "desk", 0, "karachi");
    for (const auto &reader : readers) {
        reader->setHeartbeat(heartbeatOfReader());
    }
    testBed.store->put("op", "evacuate/lahore", "{}");
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(runsOnLeavingTarget(), 0);
}

// Guards against readers that stop reading the target list without notice, for example because they are frozen.
TEST_F(Tables, TargetLeavesAlthoughTheReadersAreSilent)
{
    for (auto &reader : readers) {
        reader.reset();
    }
    testBed.registerTarget("i-1", "draining");
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(runsOnLeavingTarget(), 0);
}

// Guards against a relay that has lost the store and its peers, and turns away for good what a newer document allows.
TEST(DocumentAge, RequestsThatANewerDocumentMayAllowAreRejectedForNow)
{
    constexpr auto OldDocument = 3000ms;
    RelayTestBed testBed;
    testBed.writeDocument(1);
    testBed.addTarget("i-1", "desk");
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    EXPECT_EQ(testBed.call("n1", {.path = "/added/x"}).status, 404);
    EXPECT_EQ(testBed.call("n1", {.path = "/commit/x", .key = "key-2"}).status, 401);
    testBed.store->setFault(StandInStore::Fault::Silent);
    testBed.runFor(OldDocument);
    const auto response = testBed.call("n1", {.path = "/added/x"});
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.head.has("retry-after"));
    EXPECT_EQ(testBed.call("n1", {.path = "/commit/x", .key = "key-2"}).status, 503);
    EXPECT_EQ(testBed.call("n1", {.path = "/commit/x", .id = "r2"}).status, 200);
}

// Guards against changes that are left out of heartbeats, always the same ones, when more targets change than fit into a datagram.
TEST(TableHeartbeats, AllTargetsThatChangeAtOnceAreReported)
{
    constexpr size_t TargetCount = 40;
    RelayTestBed testBed;
    testBed.writeDocument(1);
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    ScriptedPeer peer(testBed.loop, "z1", testBed.options("n1").peers);
    peer.setHeartbeat({});
    testBed.runFor(500ms);
    for (size_t number = 0; number < TargetCount; ++number) {
        const auto id = "i-" + std::to_string(number);
        const StandInTargetRow row {.service = "desk", .address = "127.0.0.1:" + std::to_string(9000 + number), .dataCentre = "lahore"};
        testBed.store->put("servers", id, row.toText());
    }
    EXPECT_TRUE(testBed.runUntil([&] { return peer.reportedTargets().size() == TargetCount; }, MaxPropagationTime));
}
