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

// Guards against a crash of a busy target of which peers never learn, because its requests do not fit into one datagram.
TEST(CrashSuspects, PiecesOfACrashTellAllItsRequests)
{
    constexpr size_t Members = 200;
    constexpr size_t MembersOfPiece = 70;
    const MonotonicTime start {1000s};
    CrashSuspects suspects;
    for (uint64_t crash = 0; crash < 3; ++crash) {
        TargetCrash report {.target = std::to_string(crash), .incarnation = 1, .members = {1}, .running = Members};
        for (uint64_t member = 1; member < Members; ++member) {
            report.members.push_back(1000 * (crash + 1) + member);
        }
        suspects.merge(report, start + crash * 1s);
    }
    ASSERT_EQ(suspects.verdict(1, start + 10s).action, CrashVerdict::Action::Reject);
    EXPECT_TRUE(suspects.reports(8, start + 10s, MembersOfPiece).empty());
    CrashSuspects peer;
    for (const auto &piece : suspects.pieces(1min, MembersOfPiece, start + 10s)) {
        EXPECT_LE(piece.members.size(), MembersOfPiece);
        peer.merge(piece, start + 10s);
    }
    EXPECT_EQ(peer.verdict(1, start + 10s).action, CrashVerdict::Action::Reject);
    EXPECT_EQ(peer.verdict(1001, start + 10s).action, CrashVerdict::Action::RunIsolated);
}

} // namespace Jujube
