#include <gtest/gtest.h>
#include <LibRelay/RelayAdmission.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};
constexpr RequestClaims Claims {
    .id = "r", .host = "h", .path = "/draft/x", .key = "k", .timeLeft = 9000ms, .promptTokens = 3000, .mostTokens = 2000, .lengthHint = 900};

RelayDocument document()
{
    return {.version = 1,
            .routes = {{.name = "draft",
                        .host = "h",
                        .prefix = "/draft/",
                        .kind = RelayKind::Stream,
                        .timeout = 8000ms,
                        .priority = 3,
                        .shares = {{.service = "engine"}},
                        .homeRegions = {"sindh", "punjab"}},
                       {.name = "hint", .host = "h", .prefix = "/hint/", .kind = RelayKind::Stream, .resumable = true, .shares = {{.service = "engine"}}},
                       {.name = "open", .host = "h", .prefix = "/open/", .shares = {{.service = "desk"}}, .isPublic = true},
                       {.name = "gone", .host = "h", .prefix = "/gone/", .shares = {{.service = "nowhere"}}}},
            .services = {{.name = "engine", .engine = EngineProfile {.canMove = true}}, {.name = "desk"}},
            .workspaces = {{.name = "w", .keys = {"k", ""}, .priority = 1, .homeRegions = {"punjab"}}},
            .requiresKeys = true};
}

RequestAdmission admit(const RequestClaims &claims)
{
    static const RouteTable routes(document());
    return admitRequest(&routes, claims, 0.5, Start);
}

RequestClaims claimsWith(std::string_view path, std::string_view key = "k")
{
    auto claims = Claims;
    claims.path = path;
    claims.key = key;
    return claims;
}

} // namespace

// Guards against a refusal for another reason than the true one, above all 404 and 401 from a node that knows no document yet.
TEST(RelayAdmission, RefusesForTheTrueReason)
{
    EXPECT_EQ(admitRequest(nullptr, Claims, 0.5, Start).refusal, RelayOutcome::NoDocument);
    EXPECT_EQ(admit(claimsWith("/other/x")).refusal, RelayOutcome::NoRoute);
    EXPECT_EQ(admit(claimsWith("draft/x")).refusal, RelayOutcome::Malformed);
    EXPECT_EQ(admit(claimsWith("/draft/x", "wrong")).refusal, RelayOutcome::UnknownKey);
    EXPECT_EQ(admit(claimsWith("/gone/x")).refusal, RelayOutcome::NoTarget);
    auto withoutId = Claims;
    withoutId.id = {};
    EXPECT_EQ(admit(withoutId).refusal, RelayOutcome::Malformed);
}

// Guards against callers without a key who pass as the workspace that an empty key was written for.
TEST(RelayAdmission, EmptyKeyOpensNothing)
{
    EXPECT_EQ(admit(claimsWith("/draft/x", "")).refusal, RelayOutcome::UnknownKey);
    const auto open = admit(claimsWith("/open/x", ""));
    EXPECT_FALSE(open.refusal);
    EXPECT_EQ(open.workspace, nullptr);
}

// Guards against deadlines beyond the caller's or the route's, and against homes and priorities of which one does not bind.
TEST(RelayAdmission, DocumentAndCallerBothBind)
{
    const auto draft = admit(Claims);
    ASSERT_FALSE(draft.refusal);
    EXPECT_EQ(draft.deadline, Start + 8000ms);
    EXPECT_EQ(draft.demand.priority, 1);
    EXPECT_EQ(draft.homeRegions, std::vector<std::string> {"punjab"});
    auto hurried = Claims;
    hurried.timeLeft = 500ms;
    EXPECT_EQ(admit(hurried).deadline, Start + 500ms);
}

// Guards against placements by the wrong size, and against moves of streams that are repeated instead.
TEST(RelayAdmission, DemandFollowsTheClaims)
{
    const auto draft = admit(Claims).demand;
    EXPECT_EQ(draft.promptTokens, 3000);
    EXPECT_EQ(draft.expectedTokens, 900);
    EXPECT_TRUE(draft.isMovable);
    EXPECT_FALSE(admit(claimsWith("/hint/x")).demand.isMovable);
    EXPECT_EQ(admit(claimsWith("/open/x")).demand.promptTokens, 0);
    auto hintAboveMost = Claims;
    hintAboveMost.lengthHint = 5000;
    EXPECT_EQ(admit(hintAboveMost).demand.expectedTokens, 2000);
}
