#include <LibPolicy/CrashSuspects.h>

#include <gtest/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

// Guards against a poison request that is not found because every two crashes have another request in common, although no other request was part of all
// crashes.
TEST(CrashSuspects, RejectsTheOnlyRequestInAllCrashes)
{
    const MonotonicTime start {1000s};
    CrashSuspects suspects;
    suspects.merge({.target = "a", .incarnation = 1, .members = {1, 2, 3}, .running = 3}, start);
    suspects.merge({.target = "b", .incarnation = 1, .members = {1, 2, 4}, .running = 3}, start + 1s);
    EXPECT_EQ(suspects.verdict(1, start + 10s).action, CrashVerdict::Action::RunIsolated);
    suspects.merge({.target = "c", .incarnation = 1, .members = {1, 3, 4}, .running = 3}, start + 2s);
    EXPECT_EQ(suspects.verdict(1, start + 3s).action, CrashVerdict::Action::Wait);
    EXPECT_EQ(suspects.verdict(1, start + 10s).action, CrashVerdict::Action::Reject);
    for (const uint64_t innocent : {2, 3, 4}) {
        EXPECT_EQ(suspects.verdict(innocent, start + 10s).action, CrashVerdict::Action::RunIsolated);
    }
}

} // namespace Jujube
