#include "../Support/ByteServer.h"
#include "TestFleet.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <gtest/gtest.h>

namespace Jujube
{

namespace
{

std::string responseTo(const std::string &id)
{
    const auto body = absl::StrCat(R"({"id":")", id, R"("})");
    return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

// The last part of the path of a request "GET /status/ID HTTP/1.1".
std::string idOf(const std::string &request)
{
    const auto path = request.substr(0, request.find(" HTTP/"));
    return path.substr(path.rfind('/') + 1);
}

} // namespace

// Guards against a second copy of an earlier response that arrives behind the next request and is taken for its response, which may be another workspace's.
TEST(KeptConnections, SecondCopyIsNoResponseToTheNextServiceCall)
{
    ByteServer desk([](ByteServer::Connection &connection) {
        std::string copy;
        for (auto request = connection.readRequest(); !request.empty(); request = connection.readRequest()) {
            const auto response = responseTo(idOf(request));
            connection.write(copy + response);
            copy = response;
        }
    });
    TestFleet fleet({.engines = 1, .gateways = 1});
    fleet.changeDocument([&](std::string &yaml) { absl::StrReplaceAll({{fleet.desk(), desk.address().toText()}}, &yaml); });
    for (const std::string id : {"a1", "a2", "a3"}) {
        const auto answer = fleet.client().call({.url = absl::StrCat("http://", fleet.gateway(0).address(), "/v1/services/order-desk/status/", id),
                                                 .headers = {{"Authorization", "Bearer paying-key"}}});
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_NE(answer.body.find(id), std::string::npos) << answer.body;
    }
}

} // namespace Jujube
