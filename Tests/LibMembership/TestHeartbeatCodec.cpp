#include <gtest/gtest.h>
#include <LibCore/Digest.h>
#include <LibMembership/HeartbeatCodec.h>
#include <LibMembership/PeerPlan.h>
#include <rapidcheck/gtest.h>

namespace Jujube
{

namespace
{

Wire::Heartbeat sampleHeartbeat()
{
    Wire::Heartbeat heartbeat;
    heartbeat.sender.name = "gateway-1";
    heartbeat.sender.gossipAddress = "10.0.0.1:7946";
    heartbeat.sequence = 12;
    heartbeat.__set_openStreams(3);
    return heartbeat;
}

} // namespace

// Guards against datagrams that are large enough to be fragmented, and against dropping the sender's own state together with that of other members.
TEST(HeartbeatCodec, KeepsDatagramsBelowTheLimit)
{
    auto heartbeat = sampleHeartbeat();
    heartbeat.__set_digests(std::vector<Wire::MemberDigest>(400));
    heartbeat.__set_records(std::vector<Wire::MemberRecord>(3, heartbeat.sender));
    const HeartbeatCodec codec("key");
    const auto datagram = codec.encode(heartbeat);
    EXPECT_LE(datagram.size(), MaxDatagramBytes);
    const auto decoded = codec.decode(datagram);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sender, heartbeat.sender);
    EXPECT_EQ(decoded->records.size(), 3);
    EXPECT_GT(decoded->digests.size(), 100);
}

// Guards against corrupted datagrams being accepted as heartbeats.
RC_GTEST_PROP(HeartbeatCodec, RejectsAnyChangedByte, ())
{
    const HeartbeatCodec codec("key");
    auto datagram = codec.encode(sampleHeartbeat());
    const auto position = *rc::gen::inRange<size_t>(0, datagram.size());
    const auto change = *rc::gen::inRange<int>(1, 256);
    datagram[position] = static_cast<char>(datagram[position] ^ change);
    RC_ASSERT(!codec.decode(datagram));
}

// Guards against a crash or an unbounded allocation when a signed body is malformed, for example because another version sent it.
RC_GTEST_PROP(HeartbeatCodec, ToleratesSignedMalformedBodies, (const std::string &garbage))
{
    const HeartbeatCodec codec("key");
    const auto body = "J1" + garbage.substr(0, 1000);
    const auto decoded = codec.decode(body + hmacSha256("key", body).substr(0, 16));
    RC_ASSERT(!decoded || !garbage.empty());
}

// Guards against a number of datagrams per round, or of heartbeats between regions, that grows with the membership.
TEST(PeerPlan, NumberOfReceiversDoesNotGrowWithTheMembership)
{
    std::mt19937_64 random(1);
    const auto farInTenRoundsEach = [&random](size_t count) {
        std::vector<PeerCandidate> candidates;
        for (uint32_t i = 0; i < count; ++i) {
            candidates.push_back({.hash = static_cast<uint32_t>(random()),
                                  .dataCentre = "dc-" + std::to_string(i % 8),
                                  .region = "region-" + std::to_string(i % 8 % 3),
                                  .gossipAddress = std::to_string(i),
                                  .reachable = i % 10 != 0,
                                  .mayWatch = i % 10 != 0});
        }
        size_t far = 0;
        for (size_t round = 0; round < 10 * count; ++round) {
            const auto plan = planPeers(candidates[1], candidates, 2, 6, random);
            EXPECT_EQ(plan.watchers.size(), 2);
            EXPECT_LE(plan.others.size() + plan.unreachable.size(), 3);
            far += plan.others.size() - 1;
        }
        return far;
    };
    // 3 of 8 data centres are in the region, so that 10 rounds of each member there make 10 * 6 * 8 / 3 = 160 heartbeats to other regions.
    EXPECT_NEAR(static_cast<double>(farInTenRoundsEach(96)), 160, 50);
    EXPECT_NEAR(static_cast<double>(farInTenRoundsEach(384)), 160, 50);
}

} // namespace Jujube
