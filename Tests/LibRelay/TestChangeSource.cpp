#include <gtest/gtest.h>
#include <LibRelay/ChangeSource.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

using Kind = ChangeSource::Decision::Kind;
constexpr MonotonicTime Start {1h};

ChangeSource::Relay relay(const std::string &node, double linkMbps = 10)
{
    return {.node = node, .address = node + ":1", .linkMbps = linkMbps};
}

// A slow relay in a region with two fast ones.
class SlowRelay : public testing::Test
{
protected:
    ChangeSource::Decision decide(std::chrono::milliseconds at, uint64_t random = 0)
    {
        return source.decide(region, Start + at, random);
    }

    ChangeSource source {{.node = "n0", .linkMbps = 10}};
    std::vector<ChangeSource::Relay> region {relay("a", 200), relay("b", 200)};
};

} // namespace

// Guards against a region in which all relays read the store, or none.
TEST(ChangeSource, TwoRelaysOfARegionReadTheStoreAtOnce)
{
    constexpr int Relays = 40;
    int readers = 0;
    for (int own = 0; own < Relays; ++own) {
        ChangeSource source({.node = "n" + std::to_string(own), .linkMbps = own % 10 == 0 ? 200.0 : 10.0});
        std::vector<ChangeSource::Relay> region;
        for (int other = 0; other < Relays; ++other) {
            if (other != own) {
                region.push_back(relay("n" + std::to_string(other), other % 10 == 0 ? 200 : 10));
            }
        }
        if (source.decide(region, Start, 0).kind == Kind::Store) {
            ++readers;
            // Relays with fast links come first.
            EXPECT_EQ(own % 10, 0);
        }
    }
    EXPECT_EQ(readers, 2);
}

// Guards against a relay without others in its region that waits for them.
TEST(ChangeSource, RelayThatIsAloneReadsTheStore)
{
    ChangeSource source({.node = "n0"});
    EXPECT_EQ(source.decide({}, Start, 0).kind, Kind::Store);
}

// Guards against a read of the store although a relay of the region has the changes.
TEST_F(SlowRelay, ReadsFromARelayThatHasTheChanges)
{
    EXPECT_EQ(decide(0ms).kind, Kind::Wait);
    region[1].hasChanges = true;
    const auto decision = decide(100ms);
    EXPECT_EQ(decision.kind, Kind::Peer);
    EXPECT_EQ(decision.address, "b:1");
}

// Guards against a region that never gets the changes because the relays that read them for all have failed, and against all others reading at the same time.
TEST_F(SlowRelay, TakesOverInTurn)
{
    EXPECT_EQ(decide(0ms).kind, Kind::Wait);
    EXPECT_EQ(decide(299ms).kind, Kind::Wait);
    EXPECT_EQ(decide(300ms).kind, Kind::Store);
    region.push_back(relay("c", 100));
    EXPECT_EQ(decide(300ms).kind, Kind::Wait);
    EXPECT_EQ(decide(600ms).kind, Kind::Store);
    for (int count = 0; count < 60; ++count) {
        region.push_back(relay("d" + std::to_string(count), 100));
    }
    EXPECT_EQ(decide(1199ms).kind, Kind::Wait);
    EXPECT_EQ(decide(1200ms).kind, Kind::Store);
}

// Guards against relays that take over while others are receiving a large document, and against one that waits for them for ever.
TEST_F(SlowRelay, WaitsForRelaysThatAreReceiving)
{
    region[0].isReceiving = true;
    EXPECT_EQ(decide(0ms).kind, Kind::Wait);
    EXPECT_EQ(decide(1499ms).kind, Kind::Wait);
    EXPECT_EQ(decide(1500ms).kind, Kind::Store);
}

// Guards against a relay that takes over at once because it has lacked changes for long, although it has received some of them.
TEST_F(SlowRelay, WaitsAnewAfterItHasReceivedChanges)
{
    EXPECT_EQ(decide(0ms).kind, Kind::Wait);
    source.recordReceived();
    EXPECT_EQ(decide(300ms).kind, Kind::Wait);
    EXPECT_EQ(decide(600ms).kind, Kind::Store);
}

// Guards against a relay without capacity that is asked again and again, and against relays that have got the changes from it and are never asked.
TEST_F(SlowRelay, AsksTheRelaysThatABusyOneNames)
{
    region.push_back(relay("c"));
    region[0].hasChanges = true;
    EXPECT_EQ(decide(0ms).address, "a:1");
    source.recordBusy("a:1", {"c:1", "unknown:1"}, Start);
    EXPECT_EQ(decide(10ms).address, "c:1");
    source.recordBusy("c:1", {}, Start + 10ms);
    EXPECT_EQ(decide(20ms).kind, Kind::Wait);
    EXPECT_EQ(decide(100ms).address, "a:1");
}

// Guards against a relay that cannot reach the others of its region and waits for them.
TEST_F(SlowRelay, ReadsTheStoreAfterAFailedReadFromAPeer)
{
    region[0].hasChanges = true;
    EXPECT_EQ(decide(0ms).kind, Kind::Peer);
    source.recordFailure("a:1", Start);
    EXPECT_EQ(decide(10ms).kind, Kind::Store);
    region[1].hasChanges = true;
    EXPECT_EQ(decide(20ms).address, "b:1");
}

// Guards against all relays going on with their reads of the store when they have started together, and against one that leaves its read to nobody.
TEST_F(SlowRelay, LeavesItsReadToRelaysThatReadBeforeIt)
{
    EXPECT_FALSE(source.isReadByOthers(region));
    region[0].isReceiving = true;
    EXPECT_TRUE(source.isReadByOthers(region));
    region[0].isReceiving = false;
    region.push_back(relay("c", 1));
    region[2].isReceiving = true;
    EXPECT_FALSE(source.isReadByOthers(region));
    ChangeSource fast({.node = "n0", .linkMbps = 1000});
    region[0].isReceiving = true;
    EXPECT_FALSE(fast.isReadByOthers(region));
}
