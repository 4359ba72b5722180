#include "OriginFleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};
constexpr uint64_t Streams = 200;

// Restarts all relays but one in turn. Each is back before the next one ends.
void restartAllBut(OriginFleet &fleet, int relays, int spared)
{
    for (int relay = 0; relay < relays; ++relay) {
        if (relay != spared && fleet.isUp(relay)) {
            fleet.kill(relay);
            fleet.run(300ms);
            fleet.start(relay);
            fleet.run(1s);
        }
    }
}

// Streams that callers cannot take up at some relay.
size_t unknownStreams(const OriginFleet &fleet, int relays)
{
    size_t unknown = 0;
    for (uint64_t key = 1; key <= Streams; ++key) {
        bool isKnown = true;
        for (int relay = 0; relay < relays; ++relay) {
            isKnown = isKnown && (!fleet.isUp(relay) || fleet.isKnownAt(relay, key));
        }
        unknown += isKnown ? 0 : 1;
    }
    return unknown;
}

StreamOriginKeepers::Relay relayOf(const std::string &node, int64_t incarnation = 1, MonotonicTime heardAt = Start)
{
    return {.node = node, .address = node, .incarnation = incarnation, .heardAt = heardAt};
}

class OriginFleets : public testing::TestWithParam<int>
{
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Relays, OriginFleets, testing::Values(3, 7, 12, 13, 16, 65));

// Guards against streams of a relay that nobody knows when it ends, because all others have been restarted since they began (review/13).
TEST_P(OriginFleets, KnowTheStreamsOfARelayAfterARollingRestart)
{
    const int relays = GetParam();
    OriginFleet fleet(relays);
    for (uint64_t key = 1; key <= Streams; ++key) {
        fleet.begin(0, key);
    }
    fleet.run(1s);
    restartAllBut(fleet, relays, 0);
    fleet.kill(0);
    fleet.run(100ms);
    EXPECT_EQ(unknownStreams(fleet, relays), 0U);
}

// Guards against streams that are forgotten in a rolling restart because the relay through which they began has ended before.
TEST_P(OriginFleets, KnowTheStreamsOfARelayThatHasEndedBeforeARollingRestart)
{
    const int relays = GetParam();
    OriginFleet fleet(relays);
    for (uint64_t key = 1; key <= Streams; ++key) {
        fleet.begin(0, key);
    }
    fleet.run(1s);
    fleet.kill(0);
    fleet.run(4s);
    restartAllBut(fleet, relays, 0);
    fleet.run(1s);
    EXPECT_EQ(unknownStreams(fleet, relays), 0U);
}

// Guards against streams that are forgotten because the relays that keep them end or are cut off one after the other.
TEST_P(OriginFleets, KnowStreamsAfterRandomLossesOfTheirKeepers)
{
    const int relays = GetParam();
    for (unsigned seed = 0; seed < 10; ++seed) {
        OriginFleet fleet(relays);
        std::mt19937 random(seed);
        const auto draw = [&](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
        for (uint64_t key = 1; key <= Streams; ++key) {
            fleet.begin(draw(relays), key);
        }
        fleet.run(1s);
        for (int round = 0; round < 12; ++round) {
            const int relay = draw(relays);
            const bool isCut = draw(2) == 0;
            isCut ? fleet.setCut(relay, true) : fleet.kill(relay);
            fleet.run(std::chrono::milliseconds(100 + 100 * draw(50)));
            isCut ? fleet.setCut(relay, false) : fleet.start(relay);
            fleet.run(3s);
        }
        ASSERT_EQ(unknownStreams(fleet, relays), 0U) << seed;
    }
}

// Guards against streams that a relay missed because it was cut off when they began, while it counts as one of those that keep them.
TEST_P(OriginFleets, KnowStreamsThatBeganWhileARelayWasSilent)
{
    const int relays = GetParam();
    OriginFleet fleet(relays);
    fleet.setCut(1, true);
    fleet.run(4s);
    for (uint64_t key = 1; key <= Streams; ++key) {
        fleet.begin(0, key);
    }
    fleet.run(1s);
    fleet.setCut(1, false);
    fleet.run(2s);
    EXPECT_EQ(unknownStreams(fleet, relays), 0U);
    const auto handedOver = fleet.handedOver();
    // When it falls silent again, it misses nothing.
    fleet.setCut(1, true);
    fleet.run(4s);
    const auto before = fleet.handedOver();
    fleet.setCut(1, false);
    fleet.run(500ms);
    EXPECT_EQ(fleet.handedOver(), before);
    EXPECT_GT(handedOver, 0U);
}

// Guards against a rolling restart in a large fleet in which all relays send all that they know to each one that joins.
TEST(LargeOriginFleet, RelayThatJoinsGetsItsShareFromFewSenders)
{
    constexpr int Relays = 390;
    constexpr int Restarts = 8;
    constexpr uint64_t ManyStreams = 4000;
    OriginFleet fleet(Relays);
    for (uint64_t key = 1; key <= ManyStreams; ++key) {
        fleet.begin(static_cast<int>(key % Relays), key);
    }
    fleet.run(1s);
    const auto before = fleet.handedOver();
    for (int relay = 0; relay < Restarts; ++relay) {
        fleet.kill(relay);
        fleet.run(300ms);
        fleet.start(relay);
        fleet.run(1s);
    }
    // Three of 390 relays keep an origin, and it comes from three relays.
    const double share = static_cast<double>(ManyStreams) * 3 / Relays;
    EXPECT_LE(static_cast<double>(fleet.handedOver() - before), 1.5 * 3 * share * Restarts);
    EXPECT_GE(static_cast<double>(fleet.handedOver() - before), 0.5 * share * Restarts);
}

// Guards against relays that choose different keepers for one stream.
TEST(StreamOriginKeepers, RelaysAgreeOnThem)
{
    std::vector<StreamOriginKeepers::Relay> relays;
    for (int number = 0; number < 20; ++number) {
        relays.push_back(relayOf("n" + std::to_string(number)));
    }
    const auto seenFrom = [&](size_t self) {
        StreamOriginKeepers keepers({.ownNode = relays[self].node, .ownAddress = relays[self].address});
        auto others = relays;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
        keepers.update(std::move(others), Start);
        return keepers;
    };
    const auto first = seenFrom(0);
    const auto second = seenFrom(1);
    for (uint64_t key = 0; key < 100; ++key) {
        const auto left = first.keepersOf(key);
        const auto right = second.keepersOf(key);
        EXPECT_EQ(left.size(), 3U);
        // They differ at most in the two relays that choose.
        const auto common = std::ranges::count_if(left, [&](const auto &address) { return std::ranges::find(right, address) != right.end(); });
        EXPECT_GE(common, 2);
    }
}

// Guards against questions that only reach relays which have just started and answer that they know nothing.
TEST(StreamOriginKeepers, ThoseBeforeARelayThatHasJustJoinedAreAskedToo)
{
    StreamOriginKeepers keepers({.ownNode = "self", .ownAddress = "self"});
    std::vector<StreamOriginKeepers::Relay> relays;
    for (int number = 0; number < 20; ++number) {
        relays.push_back(relayOf("n" + std::to_string(number)));
    }
    keepers.update(relays, Start);
    const auto before = keepers.relaysToAsk(7, Start + 10s);
    ASSERT_EQ(before.size(), 3U);
    for (auto &relay : relays) {
        if (relay.node == before.front()) {
            ++relay.incarnation;
        }
    }
    EXPECT_TRUE(keepers.update(relays, Start + 10s));
    const auto asked = keepers.relaysToAsk(7, Start + 10s);
    EXPECT_EQ(asked.size(), 4U);
    EXPECT_EQ(keepers.relaysToAsk(7, Start + 15s).size(), 3U);
}

// Guards against traffic while origins are not in use, and against a relay that has just started and passes on what it has just got.
TEST(StreamOriginKeepers, HandOverNothingThatIsNotTheirs)
{
    StreamOriginKeepers keepers({.ownNode = "self", .ownAddress = "self", .ownIncarnation = 5});
    keepers.update({relayOf("a")}, Start);
    keepers.beginHandover(StreamOriginKeepers::HandoverScope::None);
    EXPECT_FALSE(keepers.needsHandover());
    EXPECT_TRUE(keepers.receiversOf(1, true, Start).empty());
    keepers.update({relayOf("a"), relayOf("b")}, Start + 1s);
    EXPECT_TRUE(keepers.needsHandover());
    keepers.beginHandover(StreamOriginKeepers::HandoverScope::SinceOwnStart);
    EXPECT_TRUE(keepers.receiversOf(1, false, Start).empty());
    EXPECT_EQ(keepers.receiversOf(1, true, Start), std::vector<std::string> {"b"});
    keepers.update({relayOf("a"), relayOf("b"), relayOf("c", 6)}, Start + 1s);
    keepers.beginHandover(StreamOriginKeepers::HandoverScope::SinceOwnStart);
    EXPECT_EQ(keepers.receiversOf(1, false, Start), std::vector<std::string> {"c"});
}
