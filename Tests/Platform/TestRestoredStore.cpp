#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <gtest/gtest.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

// A relay whose store comes back from a copy that lacks what was written last.
namespace
{

// Maximum time until a change in the store is in force, as the users state it for small deployments.
constexpr auto MaxPropagationTime = 2500ms;
constexpr auto OutageTime = 1000ms;
constexpr int RequestCount = 10;

class RestoredStore : public testing::Test
{
protected:
    void SetUp() override
    {
        testBed.writeDocument(1);
        testBed.addTarget("i-1", "desk", 0, "karachi");
        near = &testBed.addTarget("i-2", "desk");
        testBed.addRelay("n1");
        ASSERT_TRUE(testBed.waitUntilReady("n1"));
        copy = testBed.store->takeCopy();
    }

    void restore(std::chrono::milliseconds outage = OutageTime)
    {
        testBed.store->setFault(StandInStore::Fault::Silent);
        testBed.runFor(outage);
        testBed.store->restoreCopy(copy);
        testBed.store->setFault(StandInStore::Fault::None);
    }

    int statusWithKey(const std::string &key)
    {
        return testBed.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(++m_requests), .key = key}).status;
    }

    bool isInForceInTime(const std::string &key)
    {
        testBed.runFor(MaxPropagationTime);
        return statusWithKey(key) == 200;
    }

    // Number of some requests that the target gets.
    int runsOn(StandInTarget &target)
    {
        const int before = target.runCount();
        for (int count = 0; count < RequestCount; ++count) {
            EXPECT_EQ(statusWithKey("key-1"), 200);
        }
        return target.runCount() - before;
    }

    // Lets a target leave after the copy was taken that the store comes back from.
    void leaveAndRestore()
    {
        left = &testBed.addTarget("i-3", "desk");
        testBed.runFor(MaxPropagationTime);
        copy = testBed.store->takeCopy();
        leftAddress = testBed.addressOf("i-3");
        testBed.unregisterTarget("i-3");
        testBed.runFor(MaxPropagationTime);
        restore();
        testBed.runFor(MaxPropagationTime);
    }

    RelayTestBed testBed;
    StandInTarget *left = nullptr;
    std::string leftAddress;
    // The target in the relay's own data centre.
    StandInTarget *near = nullptr;
    StandInStore::Copy copy;

private:
    int m_requests = 0;
};

} // namespace

// Guards against a document that is never in force because its row gets a version that the store gave out before it was restored.
TEST_F(RestoredStore, DocumentWithAVersionThatIsGivenOutAgainIsInForce)
{
    testBed.writeDocument(2, "key-2");
    ASSERT_TRUE(isInForceInTime("key-2"));
    restore();
    testBed.writeDocument(3, "key-3");
    EXPECT_TRUE(isInForceInTime("key-3"));
}

// Guards against the same after two copies within a moment.
TEST_F(RestoredStore, DocumentIsInForceAfterTwoCopies)
{
    testBed.writeDocument(2, "key-2");
    testBed.store->put("op", "other", "{}");
    ASSERT_TRUE(isInForceInTime("key-2"));
    restore();
    testBed.runFor(200ms);
    restore(100ms);
    testBed.writeDocument(3, "key-3");
    EXPECT_TRUE(isInForceInTime("key-3"));
}

// Guards against a document that comes back older in the lifetime of a process, until the operator has written it again.
TEST_F(RestoredStore, DocumentDoesNotGoBack)
{
    testBed.writeDocument(2, "key-2");
    ASSERT_TRUE(isInForceInTime("key-2"));
    restore();
    EXPECT_TRUE(isInForceInTime("key-2"));
    testBed.writeDocument(2, "key-2");
    EXPECT_TRUE(isInForceInTime("key-2"));
}

// Guards against requests for a data centre that is out of service, while the store lacks that and the operator has not written it again.
TEST_F(RestoredStore, DataCentreStaysOutOfService)
{
    testBed.store->put("op", "evacuate/lahore", "{}");
    testBed.runFor(MaxPropagationTime);
    restore();
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(runsOn(*near), 0);
    testBed.store->put("op", "evacuate/lahore", "{}");
    testBed.runFor(MaxPropagationTime);
    testBed.store->remove("op", "evacuate/lahore");
    testBed.runFor(MaxPropagationTime);
    EXPECT_GT(runsOn(*near), 0);
}

// Guards against a target that gets requests after it has left, because the store lists its former entry again, also in a second read of the whole list, or
// because a relay that started in between reports it.
TEST_F(RestoredStore, TargetThatHasLeftGetsNothing)
{
    leaveAndRestore();
    testBed.store->discardHistory();
    ScriptedPeer peer(testBed.loop, "z1", testBed.options("n1").peers);
    const TargetEntry former {.id = "i-3", .incarnation = 1, .service = "desk", .address = leftAddress, .dataCentre = "lahore", .sequence = 1, .version = 90};
    peer.setHeartbeat({.targetsEra = testBed.store->era(), .targets = {former}});
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(runsOn(*left), 0);
    peer.setHeartbeat({.targetsEra = testBed.store->era() - 1, .targets = {former}});
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(runsOn(*left), 0);
}

// Guards against a target that is never used again, because its entry is still the one that the store has restored.
TEST_F(RestoredStore, ListedTargetIsUsedAgainAtLast)
{
    constexpr auto RemovalOfSilentTargets = 9000ms;
    leaveAndRestore();
    testBed.runFor(RemovalOfSilentTargets);
    EXPECT_GT(runsOn(*left), 0);
}

// Guards against the same for some seconds, although the target has written an entry since.
TEST_F(RestoredStore, TargetThatRegistersAgainIsUsedAtOnce)
{
    leaveAndRestore();
    const StandInTargetRow row {.service = "desk", .address = leftAddress, .dataCentre = "lahore", .sequence = 2};
    testBed.store->put("servers", "i-3", row.toText());
    testBed.runFor(MaxPropagationTime);
    EXPECT_GT(runsOn(*left), 0);
}
