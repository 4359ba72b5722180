#include "../Support/LoopbackEndpoint.h"

#include <gtest/gtest.h>
#include <LibLoop/LoopClient.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Calls a server that sends a body of eight bytes, one every 100 ms. The call has a timeout of 400 ms.
LoopAnswer callSlowServer(std::function<void()> onProgress)
{
    boost::asio::io_context loop;
    const auto address = ownLoopbackEndpoint();
    Tcp::acceptor acceptor(loop, address.tcp(), true);
    Tcp::socket socket(loop);
    boost::asio::steady_timer timer(loop);
    int sent = 0;
    std::function<void()> sendNext = [&] {
        constexpr int BodySize = 8;
        LoopError ignored;
        const std::string part = sent == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" : "x";
        boost::asio::write(socket, boost::asio::buffer(part), ignored);
        if (sent++ < BodySize) {
            timer.expires_after(100ms);
            timer.async_wait([&](const LoopError &error) {
                if (!error) {
                    sendNext();
                }
            });
        }
    };
    acceptor.async_accept(socket, [&](const LoopError &) { sendNext(); });
    LoopClient client(loop);
    LoopAnswer result;
    client.call(address, {.target = "/", .timeout = 400ms, .onProgress = std::move(onProgress)}, [&](const LoopAnswer &answer) {
        result = answer;
        loop.stop();
    });
    loop.run_for(5s);
    return result;
}

} // namespace

// Guards against a long answer that is given up on a slow link although it keeps arriving.
TEST(LoopClient, TimeoutStartsAnewWithEachPartOfAnAnswer)
{
    EXPECT_EQ(callSlowServer(nullptr).error, "timeout");
    int parts = 0;
    const auto answer = callSlowServer([&] { ++parts; });
    EXPECT_EQ(answer.body, "xxxxxxxx");
    EXPECT_TRUE(answer.isSuccess());
    EXPECT_GT(parts, 1);
}
