#include "SessionHarness.h"

#include <gtest/gtest.h>
#include <LibRelay/EventSplitter.h>

using namespace Jujube;

// Guards against events that are passed on in part, or whose output depends on how the stream was split into packets.
TEST(EventSplitter, PassesOnCompleteEventsForAnyPacketBoundaries)
{
    const auto text = "event: a\n" + SessionHarness::events(1, 3) + "id: 4\r\ndata: x\r\n\r\n";
    for (unsigned seed = 0; seed < 10000; ++seed) {
        std::mt19937 random(seed);
        EventSplitter splitter;
        std::string out;
        for (size_t position = 0; position < text.size();) {
            const auto size = std::min<size_t>(text.size() - position, 1 + random() % 9);
            out += splitter.feed(std::string_view(text).substr(position, size));
            position += size;
        }
        ASSERT_EQ(out, text) << seed;
        ASSERT_EQ(splitter.count(), 4) << seed;
        ASSERT_EQ(splitter.lastId(), 4) << seed;
        ASSERT_FALSE(splitter.hasPartialEvent()) << seed;
    }
}

// Guards against joining a partial event of a failed target with the bytes of the next target.
TEST(EventSplitter, DiscardsPartialEventBeforeContinuation)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\n\nid: 2\nda"), "id: 1\n\n");
    splitter.discardPartialEvent();
    EXPECT_EQ(splitter.feed("id: 2\n\n"), "id: 2\n\n");
    EXPECT_FALSE(splitter.isOutOfOrder());
}

// Guards against an event that is repeated or skipped.
TEST(EventSplitter, ReportsGapsAndRepetitions)
{
    EventSplitter gap;
    EXPECT_EQ(gap.feed("id: 1\n\nid: 3\n\n"), "id: 1\n\n");
    EXPECT_TRUE(gap.isOutOfOrder());
    EventSplitter repetition;
    EXPECT_EQ(repetition.feed("id: 1\n\nid: 1\n\n"), "id: 1\n\n");
    EXPECT_TRUE(repetition.isOutOfOrder());
}

// Guards against memory that grows with an event that never ends.
TEST(EventSplitter, DetectsEventAboveSizeLimit)
{
    EventSplitter splitter;
    splitter.feed("data: ");
    for (int count = 0; count < 100 && !splitter.isTooLong(); ++count) {
        splitter.feed(std::string(1024, 'x'));
    }
    EXPECT_TRUE(splitter.isTooLong());
}
