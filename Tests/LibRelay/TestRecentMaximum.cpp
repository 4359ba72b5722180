#include <gtest/gtest.h>
#include <LibRelay/RecentMaximum.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Guards against a delay that is still reported when it is long over, or that is forgotten at once.
TEST(RecentMaximum, CountsForTheWindowOnly)
{
    const auto start = MonotonicTime {} + 1h;
    RecentMaximum maximum;
    EXPECT_EQ(maximum.value(start), 0ms);
    maximum.record(300ms, start);
    maximum.record(100ms, start + 1s);
    EXPECT_EQ(maximum.value(start + 1s), 300ms);
    maximum.record(50ms, start + 2500ms);
    EXPECT_EQ(maximum.value(start + 2500ms), 300ms);
    maximum.record(20ms, start + 4600ms);
    EXPECT_EQ(maximum.value(start + 4600ms), 50ms);
    EXPECT_EQ(maximum.value(start + 10s), 0ms);
}
