#include <algorithm>
#include <gtest/gtest.h>
#include <LibRelay/CrashReportCodec.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <numeric>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t Bad = 0x91bd3f06;
constexpr size_t Conversations = 20;
constexpr uint64_t ConversationIds = 0xc0000000;
constexpr uint64_t SubjectIds = 0x70000000;
constexpr size_t Subjects = 40;
constexpr auto Tick = 20ms;
constexpr size_t DatagramsPerHeartbeat = 3;

struct FleetOptions {
    size_t relays = 7;
    std::chrono::milliseconds heartbeatInterval {200};
    // Parts that all prompts begin with, and those of one conversation.
    size_t sharedParts = 3;
    size_t conversationParts = 2;
    // The time in which relays that are in touch have to know of the fifth crash.
    std::chrono::milliseconds contact {3000};
    unsigned seed = 1;
};

// Relays that tell each other of crashes in datagrams, of which some are lost. Each crash is observed by three of them, and one part of prompts causes all.
class CrashReportFleet
{
public:
    explicit CrashReportFleet(FleetOptions options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (size_t index = 0; index < options.relays; ++index) {
            m_relays.push_back({.suspects = PromptPartSuspects({.reportOrder = m_random()}), .nextHeartbeat = m_now + std::chrono::milliseconds(below(200))});
        }
    }

    // All relays have served prompts for a while, each those of some conversations.
    void warmUp()
    {
        for (int round = 0; round < 10; ++round) {
            for (auto &relay : m_relays) {
                relay.suspects.recordSound(prompt(below(Conversations), subject()), 0ms, m_now);
            }
            m_now += 100ms;
        }
    }

    void crash()
    {
        const auto target = "i-" + std::to_string(++m_crashes);
        const auto first = below(m_relays.size());
        for (size_t observer = 0; observer < std::min<size_t>(3, m_relays.size()); ++observer) {
            PromptPartCrash crash {.target = target, .incarnation = 1, .age = 0ms, .requests = {}, .shared = {}, .peer = {}};
            if (observer == 0) {
                crash.requests.push_back({.digest = m_random(), .hasBegun = true, .parts = prompt(below(Conversations), Bad)});
            }
            for (int other = 0; other < 3; ++other) {
                crash.requests.push_back({.digest = m_random(), .hasBegun = other > 0, .parts = prompt(below(Conversations), subject())});
            }
            auto &relay = m_relays[(first + observer) % m_relays.size()];
            relay.suspects.recordCrash(crash, m_now);
            relay.nextHeartbeat = m_now + 20ms;
        }
    }

    void runFor(std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += Tick) {
            for (auto &relay : m_relays) {
                if (m_now >= relay.nextHeartbeat) {
                    relay.nextHeartbeat = m_now + m_options.heartbeatInterval;
                    sendReports(relay);
                }
            }
            // Some sound responses, at any relay.
            auto &relay = m_relays[below(m_relays.size())];
            relay.suspects.recordSound(prompt(below(Conversations), subject()), 0ms, m_now);
            auto &judge = m_relays[below(m_relays.size())];
            m_soundRejected += judge.suspects.verdict(prompt(below(Conversations), subject()), m_now).action == PromptPartVerdict::Action::Run ? 0 : 1;
        }
    }

    // Relays that would send the bad part on in some conversation.
    size_t relaysThatDoNotKnow()
    {
        return static_cast<size_t>(std::ranges::count_if(m_relays, [&](auto &relay) {
            return relay.suspects.verdict(prompt(below(Conversations), Bad), m_now).action != PromptPartVerdict::Action::Reject;
        }));
    }

    size_t soundRejected() const
    {
        return m_soundRejected;
    }
    size_t longestDatagram() const
    {
        return m_longestDatagram;
    }
    size_t mostDatagrams() const
    {
        return m_mostDatagrams;
    }

private:
    struct Relay {
        PromptPartSuspects suspects;
        MonotonicTime nextHeartbeat;
        size_t nextRejection = 0;
    };

    uint64_t below(uint64_t bound)
    {
        return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_random);
    }
    uint64_t subject()
    {
        return SubjectIds + below(Subjects);
    }
    // The part stands between those of the conversation.
    PromptPartIds prompt(uint64_t conversation, uint64_t part) const
    {
        PromptPartIds parts(m_options.sharedParts + m_options.conversationParts);
        std::iota(parts.begin(), parts.end(), 0x5c1e0000);
        std::iota(parts.begin() + static_cast<ptrdiff_t>(m_options.sharedParts), parts.end(), ConversationIds + conversation * m_options.conversationParts);
        parts.insert(parts.end() - static_cast<ptrdiff_t>(m_options.conversationParts / 2), part);
        return parts;
    }

    // As PeerLink does: to all relays, or what is long to a few of them.
    void sendReports(Relay &sender)
    {
        constexpr size_t MaxSmallFleet = 12;
        constexpr size_t Judges = 3;
        constexpr size_t DatagramsToJudge = 32;
        const bool isSmall = m_relays.size() <= MaxSmallFleet;
        const bool isJudge = isSmall || &sender < m_relays.data() + Judges;
        const auto own = static_cast<size_t>(&sender - m_relays.data());
        auto &suspects = sender.suspects;
        std::vector<PeerCrashReport> toAll;
        const auto add = [&]() -> PeerCrashReport & { return toAll.emplace_back(PeerCrashReport {.node = "n" + std::to_string(own)}); };
        const PromptPartCrashes::ReportOptions options {.datagrams = isSmall ? DatagramsToJudge : DatagramsPerHeartbeat,
                                                        .bytes = MaxCrashReportBytes,
                                                        .maxPieces = isSmall ? std::numeric_limits<uint32_t>::max() : 2,
                                                        .includesReported = isSmall};
        for (auto &crashes : suspects.takeCrashReports(options, m_now)) {
            add().promptCrashes = std::move(crashes);
        }
        if (isJudge) {
            for (auto &piece : suspects.takeExcerpts(DatagramsPerHeartbeat, MaxCrashReportBytes, m_now)) {
                add().promptCrashes = {std::move(piece)};
            }
            const auto rejections = suspects.rejectionReports(MaxCrashReportBytes, m_now);
            for (size_t count = 0; count < std::min(DatagramsPerHeartbeat, rejections.size()); ++count) {
                add().promptCrashes = {rejections[sender.nextRejection++ % rejections.size()]};
            }
        }
        if (auto sound = suspects.takeSoundReports(70, m_now); !sound.empty()) {
            add().soundParts = std::move(sound);
        }
        m_mostDatagrams = std::max(m_mostDatagrams, toAll.size());
        for (const auto &report : toAll) {
            send(own, encodePeerCrashReport(report), m_relays.size());
        }
        if (!isSmall) {
            for (auto &crashes : suspects.takeCrashReports({.datagrams = DatagramsToJudge, .bytes = MaxCrashReportBytes}, m_now)) {
                send(own, encodePeerCrashReport({.node = "n" + std::to_string(own), .promptCrashes = std::move(crashes)}), Judges);
            }
        }
    }

    // One datagram in fifty is lost.
    void send(size_t sender, const std::string &datagram, size_t receivers)
    {
        constexpr uint64_t LossInterval = 50;
        m_longestDatagram = std::max(m_longestDatagram, datagram.size());
        for (size_t index = 0; index < receivers; ++index) {
            if (index != sender && below(LossInterval) > 0) {
                receive(m_relays[index], datagram);
            }
        }
    }

    void receive(Relay &relay, const std::string &datagram)
    {
        const auto report = decodePeerCrashReport(datagram);
        ASSERT_TRUE(report);
        for (const auto &sound : report->soundParts) {
            relay.suspects.recordReportedSound(sound, m_now);
        }
        for (const auto &crash : report->promptCrashes) {
            relay.suspects.recordCrash(crash, m_now);
        }
    }

    const FleetOptions m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_now {1h};
    std::vector<Relay> m_relays;
    int m_crashes = 0;
    size_t m_soundRejected = 0;
    size_t m_longestDatagram = 0;
    size_t m_mostDatagrams = 0;
};

class CrashReportFleets : public testing::TestWithParam<size_t>
{
};

} // namespace

// Guards against a part that crashes targets and that some relays never learn of, because what relays tell each other of a crash leaves it out: in prompts of
// any length, in fleets of any size, with datagrams that are lost. Sound prompts that share all other parts run on.
TEST_P(CrashReportFleets, AllRelaysKnowThePartInTime)
{
    const auto relays = GetParam();
    constexpr size_t LargeFleet = 60;
    for (const auto &[shared, conversation] : {std::pair<size_t, size_t> {17, 1}, {100, 100}, {20, 1400}}) {
        FleetOptions options {.relays = relays,
                              .heartbeatInterval = std::clamp(5ms * static_cast<int>(relays), 200ms, 800ms),
                              .sharedParts = shared,
                              .conversationParts = conversation,
                              .contact = relays < LargeFleet ? 3s : 5s};
        CrashReportFleet fleet(options);
        fleet.warmUp();
        for (int crash = 0; crash < 5; ++crash) {
            fleet.crash();
            fleet.runFor(600ms);
        }
        fleet.runFor(options.contact - 600ms);
        EXPECT_EQ(fleet.relaysThatDoNotKnow(), 0U) << relays << " relays, " << shared << " and " << conversation << " parts";
        EXPECT_EQ(fleet.soundRejected(), 0U) << relays << " relays, " << shared << " and " << conversation << " parts";
        EXPECT_LE(fleet.longestDatagram(), MaxPeerDatagramBytes);
        EXPECT_LE(fleet.mostDatagrams(), relays < LargeFleet ? 40U : 10U);
    }
}

INSTANTIATE_TEST_SUITE_P(Relays, CrashReportFleets, testing::Values(7, 77, 195));

// Guards against damaged or foreign datagrams, and against reports that name requests which they do not contain.
TEST(CrashReports, OddDatagramsTellNothing)
{
    PeerCrashReport report {.node = "n1",
                            .crashes = {{.target = "t", .incarnation = 3, .age = 40ms, .members = {1, 2}, .running = 5}},
                            .promptCrashes = {{.target = "t",
                                               .incarnation = 3,
                                               .age = 40ms,
                                               .requests = {{.digest = 1, .hasBegun = true, .parts = {8}}, {.digest = 2, .hasBegun = false, .parts = {}}},
                                               .shared = {{.requests = {0, 1, 7}, .parts = {9}}},
                                               .pieces = 9,
                                               .piece = 4,
                                               .areRejected = true,
                                               .peer = {}}},
                            .soundParts = {{.part = 5, .age = 70ms}}};
    const auto datagram = encodePeerCrashReport(report);
    const auto decoded = decodePeerCrashReport(datagram);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->promptCrashes.size(), 1U);
    EXPECT_EQ(decoded->promptCrashes[0].peer, "n1");
    EXPECT_EQ(decoded->promptCrashes[0].pieces, 9U);
    EXPECT_EQ(decoded->promptCrashes[0].piece, 4U);
    EXPECT_TRUE(decoded->promptCrashes[0].areRejected);
    EXPECT_EQ(decoded->promptCrashes[0].shared[0].parts, PromptPartIds {9});
    EXPECT_EQ(decoded->crashes[0].members, (std::vector<uint64_t> {1, 2}));
    EXPECT_EQ(decoded->soundParts[0].age, 70ms);
    EXPECT_FALSE(decodePeerHeartbeat(datagram));
    EXPECT_FALSE(decodePeerCrashReport(encodePeerHeartbeat({.node = "n1"})));
    PromptPartSuspects suspects {{}};
    EXPECT_TRUE(suspects.recordCrash(decoded->promptCrashes[0], MonotonicTime(1h)));
    std::mt19937 random(1);
    for (int count = 0; count < 20000; ++count) {
        auto damaged = datagram;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        damaged.resize(random() % (damaged.size() + 1));
        if (const auto odd = decodePeerCrashReport(damaged)) {
            for (const auto &crash : odd->promptCrashes) {
                suspects.recordCrash(crash, MonotonicTime(1h));
            }
        }
    }
}
