#include <LibGateway/OwnSlots.h>

#include <gtest/gtest.h>

namespace Jujube
{

namespace
{

const PermitHolder Self {.name = "gateway-1", .address = "127.0.0.1:1", .incarnation = 2};
const PermitHolder Earlier {.name = "gateway-1", .address = "127.0.0.1:1", .incarnation = 1};

PermitRow rowWith(const PermitHolder &holder, SlotState state)
{
    return {.slots = {{.id = "s", .holder = holder, .state = state}}};
}

} // namespace

// Guards against use of a slot before it is granted, after it was recalled, or while an earlier process with the same name holds it.
TEST(OwnSlots, OnlyOwnGrantedSlotsAreUsable)
{
    EXPECT_EQ(countUsableSlots(rowWith(Self, SlotState::Granted), Self), 1);
    EXPECT_EQ(countUsableSlots(rowWith(Self, SlotState::Asked), Self), 0);
    EXPECT_EQ(countUsableSlots(rowWith(Self, SlotState::Recalled), Self), 0);
    EXPECT_EQ(countUsableSlots(rowWith(Earlier, SlotState::Granted), Self), 0);
}

// Guards against returning a slot while its stream still runs, which would let another gateway exceed the concurrency limit of the target.
TEST(OwnSlots, KeepsSlotsOfRunningStreams)
{
    for (const auto state : {SlotState::Granted, SlotState::Recalled}) {
        EXPECT_FALSE(reviseOwnSlots(rowWith(Self, state), {.self = Self, .newSlotId = "n", .needsSlot = false, .ownRunning = 1}).has_value());
        const auto revised = reviseOwnSlots(rowWith(Self, state), {.self = Self, .newSlotId = "n", .needsSlot = false, .ownRunning = 0});
        ASSERT_TRUE(revised.has_value());
        EXPECT_TRUE(revised->slots.empty());
    }
}

// Guards against a gateway that requests more slots than it can use, or removes slots of an earlier process.
TEST(OwnSlots, RequestsOneSlotAtATime)
{
    const OwnSlotDemand demand {.self = Self, .newSlotId = "n", .needsSlot = true, .ownRunning = 0};
    const auto asked = reviseOwnSlots({}, demand);
    ASSERT_TRUE(asked.has_value());
    EXPECT_EQ(asked->slots.size(), 1);
    EXPECT_FALSE(reviseOwnSlots(*asked, demand).has_value());
    const auto beside = reviseOwnSlots(rowWith(Earlier, SlotState::Granted), demand);
    ASSERT_TRUE(beside.has_value());
    EXPECT_EQ(beside->slots.size(), 2);
}

} // namespace Jujube
