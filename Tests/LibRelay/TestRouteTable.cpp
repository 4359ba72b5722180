#include <gtest/gtest.h>
#include <LibRelay/RouteTable.h>

using namespace Jujube;

namespace
{

RouteTable table()
{
    return RouteTable({.version = 1,
                       .routes = {{.name = "short", .host = "h", .prefix = "/a/", .shares = {{.service = "s"}}},
                                  {.name = "long", .host = "h", .prefix = "/a/b/", .shares = {{.service = "s"}}},
                                  {.name = "other", .host = "g", .prefix = "/", .shares = {{.service = "s"}}}},
                       .services = {{.name = "s"}},
                       .workspaces = {{.name = "w", .keys = {"k1", "k2"}}},
                       .requiresKeys = true});
}

} // namespace

// Guards against a request that goes to the service of a less specific route.
TEST(RouteTable, LongestPrefixWins)
{
    const auto routes = table();
    EXPECT_EQ(routes.findRoute("h", "/a/b/c")->name, "long");
    EXPECT_EQ(routes.findRoute("h", "/a/bc")->name, "short");
    EXPECT_EQ(routes.findRoute("h", "/b"), nullptr);
    EXPECT_EQ(routes.findRoute("h", "/a"), nullptr);
    EXPECT_EQ(routes.findRoute("g", "/a/b/c")->name, "other");
    EXPECT_EQ(routes.findRoute("unknown", "/a/"), nullptr);
}

// Guards against a key that selects another workspace or none.
TEST(RouteTable, KeysSelectTheirWorkspace)
{
    const auto routes = table();
    EXPECT_EQ(routes.findWorkspaceByKey("k2")->name, "w");
    EXPECT_EQ(routes.findWorkspaceByKey("k3"), nullptr);
    EXPECT_EQ(routes.findWorkspaceByKey(""), nullptr);
}

// Guards against a service that gets more or less than its share.
TEST(RouteTable, SharesFollowTheirWeights)
{
    const RelayRoute route {.shares = {{.service = "a", .weight = 90}, {.service = "b", .weight = 10}}};
    EXPECT_EQ(RouteTable::pickService(route, 0.0), "a");
    EXPECT_EQ(RouteTable::pickService(route, 0.89), "a");
    EXPECT_EQ(RouteTable::pickService(route, 0.91), "b");
    EXPECT_EQ(RouteTable::pickService(route, 0.9999), "b");
}

// Guards against a request that leaves its home regions because its route and its workspace have different ones, or none in common.
TEST(RouteTable, HomeRegionsOfRouteAndWorkspaceBothApply)
{
    const RelayRoute anywhere;
    const RelayRoute sindh {.homeRegions = {"sindh"}};
    const RelayRoute both {.homeRegions = {"sindh", "punjab"}};
    const RelayWorkspace punjab {.homeRegions = {"punjab"}};
    using Regions = std::vector<std::string>;
    EXPECT_EQ(RouteTable::homeRegions(anywhere, nullptr), std::nullopt);
    EXPECT_EQ(RouteTable::homeRegions(sindh, nullptr), Regions {"sindh"});
    EXPECT_EQ(RouteTable::homeRegions(anywhere, &punjab), Regions {"punjab"});
    EXPECT_EQ(RouteTable::homeRegions(both, &punjab), Regions {"punjab"});
    EXPECT_EQ(RouteTable::homeRegions(sindh, &punjab), Regions {});
}
