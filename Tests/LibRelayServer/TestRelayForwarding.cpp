#include <gtest/gtest.h>
#include <LibRelayServer/RelayForwarding.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

TargetResponse responseWith(int status, const std::vector<HeaderField> &fields)
{
    const MessageHead head {.status = status, .fields = fields};
    return parseTargetResponse(head, std::nullopt, {.notRun = "X-Not-Run", .requestLimit = "X-Limit"});
}

} // namespace

// Guards against a limit that is lost, or taken from a value that is no limit.
TEST(RelayForwarding, RequestLimitIsTheLowestUsableValue)
{
    EXPECT_EQ(responseWith(200, {{.name = "x-limit", .value = "5.2"}}).requestLimit, 5.2);
    EXPECT_EQ(responseWith(503, {{.name = "X-Limit", .value = "0"}}).requestLimit, 0.0);
    EXPECT_EQ(responseWith(200, {{.name = "X-Limit", .value = "7"}, {.name = "X-Limit", .value = "3"}}).requestLimit, 3.0);
    for (const auto *value : {"", "-1", "nan", "inf", "many", "5 a second"}) {
        const auto response = responseWith(200, {{.name = "X-Limit", .value = value}});
        EXPECT_FALSE(response.requestLimit) << value;
        // Such a response does not end a limit either.
        EXPECT_TRUE(response.hasRequestLimit) << value;
    }
    EXPECT_FALSE(responseWith(200, {}).hasRequestLimit);
}

// Guards against a target that asks for a cooldown with 429 and gets further requests.
TEST(RelayForwarding, RejectionsWithRetryAfterAskForACooldown)
{
    const std::vector<HeaderField> fields {{.name = "X-Not-Run", .value = "1"}, {.name = "Retry-After", .value = "1.5"}};
    EXPECT_EQ(responseWith(503, fields).cooldown, 1500ms);
    EXPECT_EQ(responseWith(429, fields).cooldown, 1500ms);
    EXPECT_FALSE(responseWith(500, fields).cooldown);
    EXPECT_FALSE(responseWith(200, fields).cooldown);
}
