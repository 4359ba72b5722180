#include <gtest/gtest.h>
#include <LibRelay/PeerTrafficLimit.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr PeerTrafficLimit::Options Options;
constexpr size_t DatagramBytes = 1300;
constexpr auto BurstTime = 10s;
const auto Start = MonotonicTime {} + 1h;

} // namespace

// Guards against datagrams that fill the links of small VMs while there is always something to send, in regions of any size.
TEST(PeerTrafficLimit, KeepsTheRateInRegionsOfAnySize)
{
    for (const size_t recipients : {10, 29, 65, 130}) {
        PeerTrafficLimit limit(Options);
        const size_t bytes = DatagramBytes * recipients;
        size_t sent = 0;
        for (auto now = Start; now < Start + BurstTime; now = std::max(now + 20ms, limit.nextAt(now))) {
            limit.recordSent(bytes, now);
            sent += bytes;
        }
        const auto allowed = std::chrono::duration<double>(BurstTime + Options.saved).count() * Options.bytesPerSecond;
        EXPECT_LE(static_cast<double>(sent), allowed + static_cast<double>(bytes)) << recipients;
        EXPECT_GE(static_cast<double>(sent), BurstTime.count() * Options.bytesPerSecond) << recipients;
    }
}

// Guards against placements that peers learn of late at usual times: two a second in a region of 30 relays.
TEST(PeerTrafficLimit, DelaysNothingAtUsualTimes)
{
    PeerTrafficLimit limit(Options);
    for (auto now = Start; now < Start + BurstTime; now += 500ms) {
        EXPECT_EQ(limit.nextAt(now), now);
        limit.recordSent(29 * DatagramBytes, now);
    }
}
