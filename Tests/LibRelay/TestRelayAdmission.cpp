#include <gtest/gtest.h>
#include <LibRelay/RelayAdmission.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};
constexpr RequestAttributes DefaultAttributes {
    .id = "r", .host = "h", .path = "/draft/x", .key = "k", .timeLeft = 9000ms, .promptTokens = 3000, .maxTokens = 2000, .lengthHint = 900};

RelayDocument document()
{
    return {.version = 1,
            .routes = {{.name = "draft",
                        .host = "h",
                        .prefix = "/draft/",
                        .kind = RouteKind::Stream,
                        .timeout = 8000ms,
                        .priority = 3,
                        .shares = {{.service = "engine"}},
                        .homeRegions = {"sindh", "punjab"}},
                       {.name = "hint", .host = "h", .prefix = "/hint/", .kind = RouteKind::Stream, .resumable = true, .shares = {{.service = "engine"}}},
                       {.name = "open", .host = "h", .prefix = "/open/", .shares = {{.service = "desk"}}, .isPublic = true},
                       {.name = "gone", .host = "h", .prefix = "/gone/", .shares = {{.service = "nowhere"}}}},
            .services = {{.name = "engine", .engine = EngineProfile {.canMigrate = true}}, {.name = "desk"}},
            .workspaces = {{.name = "w", .keys = {"k", ""}, .priority = 1, .homeRegions = {"punjab"}}},
            .requiresKeys = true};
}

RequestAdmission admit(const RequestAttributes &attributes)
{
    static const RouteTable routes(document());
    return admitRequest(&routes, attributes, 0.5, Start);
}

RequestAttributes attributesWith(std::string_view path, std::string_view key = "k")
{
    auto attributes = DefaultAttributes;
    attributes.path = path;
    attributes.key = key;
    return attributes;
}

} // namespace

// Guards against a rejection with the wrong reason, above all 404 and 401 from a relay that has no document yet.
TEST(RelayAdmission, RejectsWithTheCorrectReason)
{
    EXPECT_EQ(admitRequest(nullptr, DefaultAttributes, 0.5, Start).rejection, RelayOutcome::NoDocument);
    EXPECT_EQ(admit(attributesWith("/other/x")).rejection, RelayOutcome::NoRoute);
    EXPECT_EQ(admit(attributesWith("draft/x")).rejection, RelayOutcome::Malformed);
    EXPECT_EQ(admit(attributesWith("/draft/x", "wrong")).rejection, RelayOutcome::UnknownKey);
    EXPECT_EQ(admit(attributesWith("/gone/x")).rejection, RelayOutcome::NoTarget);
    auto withoutId = DefaultAttributes;
    withoutId.id = {};
    EXPECT_EQ(admit(withoutId).rejection, RelayOutcome::Malformed);
}

// Guards against callers without a key that are treated as the workspace for which an empty key was written.
TEST(RelayAdmission, EmptyKeyMatchesNoWorkspace)
{
    EXPECT_EQ(admit(attributesWith("/draft/x", "")).rejection, RelayOutcome::UnknownKey);
    const auto open = admit(attributesWith("/open/x", ""));
    EXPECT_FALSE(open.rejection);
    EXPECT_EQ(open.workspace, nullptr);
}

// Guards against deadlines beyond the caller's or the route's, and against home regions or priorities of which one is ignored.
TEST(RelayAdmission, LimitsOfDocumentAndCallerBothApply)
{
    const auto draft = admit(DefaultAttributes);
    ASSERT_FALSE(draft.rejection);
    EXPECT_EQ(draft.deadline, Start + 8000ms);
    EXPECT_EQ(draft.demand.priority, 1);
    EXPECT_EQ(draft.homeRegions, std::vector<std::string> {"punjab"});
    auto hurried = DefaultAttributes;
    hurried.timeLeft = 500ms;
    EXPECT_EQ(admit(hurried).deadline, Start + 500ms);
}

// Guards against placements by the wrong size, and against migrations of streams that are run again instead.
TEST(RelayAdmission, DemandFollowsTheRequestAttributes)
{
    const auto draft = admit(DefaultAttributes).demand;
    EXPECT_EQ(draft.promptTokens, 3000);
    EXPECT_EQ(draft.expectedTokens, 900);
    EXPECT_TRUE(draft.isMigratable);
    EXPECT_FALSE(admit(attributesWith("/hint/x")).demand.isMigratable);
    EXPECT_EQ(admit(attributesWith("/open/x")).demand.promptTokens, 0);
    auto hintAboveMax = DefaultAttributes;
    hintAboveMax.lengthHint = 5000;
    EXPECT_EQ(admit(hintAboveMax).demand.expectedTokens, 2000);
}

// Guards against requests that run by the homes of a former document, and against those that a document without their route or key lets run anywhere.
TEST(RelayAdmission, LaterDocumentChangesTheHomes)
{
    const auto draft = admit(DefaultAttributes);
    auto later = document();
    later.routes[0].homeRegions = {"sindh"};
    later.workspaces[0].homeRegions = {};
    EXPECT_EQ(homesByDocument(RouteTable(later), DefaultAttributes, draft), std::vector<std::string> {"sindh"});
    later.routes[0].homeRegions = {};
    EXPECT_EQ(homesByDocument(RouteTable(later), DefaultAttributes, draft), std::nullopt);
    later.workspaces.clear();
    EXPECT_EQ(homesByDocument(RouteTable(later), DefaultAttributes, draft), draft.homeRegions);
    later = document();
    later.routes.clear();
    EXPECT_EQ(homesByDocument(RouteTable(later), DefaultAttributes, draft), draft.homeRegions);
}

// Guards against a request that leaves the regions of its admission although the later document allows some of them, or that has no place at all.
TEST(RelayAdmission, HomesOfAdmissionBindAsFarAsTheLaterOnesAllow)
{
    using Regions = std::vector<std::string>;
    EXPECT_EQ(homesInForce(std::nullopt, std::nullopt), std::nullopt);
    EXPECT_EQ(homesInForce(std::nullopt, Regions {"a"}), Regions {"a"});
    EXPECT_EQ(homesInForce(Regions {"a"}, std::nullopt), Regions {"a"});
    EXPECT_EQ(homesInForce(Regions {"a", "b"}, Regions {"c", "b"}), Regions {"b"});
    EXPECT_EQ(homesInForce(Regions {"a"}, Regions {"b"}), Regions {"b"});
}
