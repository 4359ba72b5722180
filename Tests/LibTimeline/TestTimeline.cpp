#include <gtest/gtest.h>
#include <LibEvents/EventLog.h>
#include <LibTimeline/TimelineRenderer.h>

namespace Jujube
{

// Guards against a timeline on which a resumed stream stands before the stream that it resumes, because the second gateway's clock is behind.
TEST(Timeline, OrdersCausallyAlthoughClocksDiffer)
{
    EventLog first({.process = "first", .dataCentre = "lahore", .onEvent = nullptr});
    EventLog second({.process = "second", .dataCentre = "karachi", .onEvent = nullptr});
    first.record({.kind = EventKind::StreamStarted, .request = "r"}, 10'000);
    const auto cursorTime = first.tick(10'001);
    second.observe(cursorTime, 4'000);
    second.record({.kind = EventKind::StreamResumed, .request = "r"}, 4'001);

    Timeline timeline;
    ASSERT_TRUE(timeline.add(second.pageToJson(0).dump()).ok());
    ASSERT_TRUE(timeline.add(first.pageToJson(0).dump()).ok());
    const auto events = timeline.events({});
    ASSERT_EQ(events.size(), 2);
    EXPECT_EQ(events[0].process, "first");
    EXPECT_EQ(events[1].process, "second");
}

// Guards against filters that hide matching events or show others.
TEST(Timeline, FiltersByRequestTargetAndDataCentre)
{
    EventLog log({.process = "p", .dataCentre = "lahore", .onEvent = nullptr});
    log.record({.kind = EventKind::TargetChosen, .request = "a", .target = "engine-1"}, 1);
    log.record({.kind = EventKind::TargetChosen, .request = "b", .target = "engine-2"}, 2);
    Timeline timeline;
    ASSERT_TRUE(timeline.add(log.pageToJson(0).dump()).ok());
    EXPECT_EQ(timeline.events({.request = "a"}).size(), 1);
    EXPECT_EQ(timeline.events({.target = "engine-2"}).size(), 1);
    EXPECT_EQ(timeline.events({.dataCentre = "lahore"}).size(), 2);
    EXPECT_TRUE(timeline.events({.request = "a", .target = "engine-2"}).empty());
}

// Guards against a page that breaks or runs scripts because of text from a request, and against dropped events that are not shown.
TEST(Timeline, RendersHostileTextAndDroppedEvents)
{
    EventLog log({.process = "p", .dataCentre = "", .capacity = 1, .onEvent = nullptr});
    log.record({.kind = EventKind::ProcessStarted}, 1);
    log.record({.kind = EventKind::RequestRefused, .detail = "<script>alert(1)</script>"}, 2);
    Timeline timeline;
    ASSERT_TRUE(timeline.add(log.pageToJson(0).dump()).ok());
    const auto html = renderHtml(timeline.events({}), timeline.dropped());
    EXPECT_EQ(html.find("<script>"), std::string::npos);
    EXPECT_NE(html.find("1 earlier events were dropped"), std::string::npos);
    EXPECT_NE(renderText(timeline.events({}), timeline.dropped()).find("1 earlier events were dropped"), std::string::npos);
    EXPECT_NE(renderJsonLines(timeline.events({}), timeline.dropped()).find("\"dropped\":1"), std::string::npos);
}

// Guards against a damaged answer of one process ending the program.
TEST(Timeline, RejectsDamagedPages)
{
    Timeline timeline;
    EXPECT_FALSE(timeline.add("[]").ok());
    EXPECT_FALSE(timeline.add("{\"process\":\"p\",\"events\":[{}],\"dropped\":0}").ok());
    EXPECT_TRUE(timeline.events({}).empty());
}

} // namespace Jujube
