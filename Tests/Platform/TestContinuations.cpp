#include "RelayTestBed.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Drafts on an engine that leaves while cooldowns or request limits leave few turns for what goes on there or elsewhere.
namespace
{

// For 2.5 s after the store has accepted its report, an engine that leaves goes on serving.
constexpr auto DrainTime = 2500ms;
// Some 6 s of events of the stand-ins.
constexpr int Events = 500;
constexpr size_t MinStreamBytes = 100;
constexpr int Drafts = 6;

class Continuations : public testing::Test
{
protected:
    void SetUp() override
    {
        m_testBed.writeDocument(1, "key-1", 20s);
        m_source = &m_testBed.addTarget("i-1", "engine", Events);
        m_testBed.addRelay("n1");
        ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
        // The relay has discovered that it has no peers, so that it has a share of limits.
        m_testBed.runFor(2100ms);
    }

    StandInTarget &addDestination(const std::string &id = "i-2")
    {
        auto &destination = m_testBed.addTarget(id, "engine", Events);
        m_testBed.runFor(300ms);
        return destination;
    }

    void beginDrafts(int count = Drafts)
    {
        for (int number = 0; number < count; ++number) {
            const auto response = std::make_shared<RelayTestBed::Response>();
            m_responses.push_back(response);
            m_callers.push_back(m_testBed.begin("n1",
                                                {.path = "/draft/x",
                                                 .id = absl::StrCat("d", m_responses.size()),
                                                 .fields = {{.name = "X-Deadline-Ms", .value = "15000"}, {.name = "X-Token-Usage", .value = "1000,2000"}}},
                                                response));
            ASSERT_TRUE(m_testBed.runUntil([&] { return response->body.size() > MinStreamBytes; }));
        }
    }

    // Makes a target answer one request with 503 and Retry-After.
    void beginCooldown(StandInTarget &target, const std::string &seconds)
    {
        target.setBehaviour(StandInTarget::Behaviour::Full);
        target.setRetryAfter(seconds);
        sendHintTo(target);
        target.setBehaviour(StandInTarget::Behaviour::Serve);
    }

    // Sends short requests until one reaches a target, and leaves them when they have a response.
    void sendHintTo(const StandInTarget &target)
    {
        const auto before = target.heads().size();
        for (int number = 0; number < 20 && target.heads().size() == before; ++number) {
            const auto response = std::make_shared<RelayTestBed::Response>();
            const auto caller = m_testBed.begin("n1", {.path = "/hint/x", .id = absl::StrCat("hint-", ++m_hints)}, response);
            ASSERT_TRUE(m_testBed.runUntil([&] { return response->status != 0; }));
            caller->abort();
        }
        ASSERT_GT(target.heads().size(), before);
    }

    size_t cutDrafts() const
    {
        return static_cast<size_t>(std::ranges::count_if(
            m_responses, [](const auto &response) { return response->end != ChannelEnd::NotSent && response->end != ChannelEnd::Complete; }));
    }

    RelayTestBed m_testBed;
    StandInTarget *m_source = nullptr;
    std::vector<std::shared_ptr<RelayTestBed::Response>> m_responses;
    std::vector<std::shared_ptr<TargetChannel>> m_callers;
    int m_hints = 0;
};

} // namespace

// Guards against drafts that are stopped to be migrated and then cut, because the destination turns them away and the cooldown of their engine refuses them.
TEST_F(Continuations, DraftsAreNotCutByTheCooldownOfTheirSource)
{
    beginDrafts();
    beginCooldown(*m_source, "8");
    m_source->setKeepsStoppedRuns(true);
    addDestination();
    m_testBed.registerTarget("i-1", "draining");
    m_testBed.runFor(DrainTime);
    EXPECT_EQ(cutDrafts(), 0U);
    // Two requests reach an engine in its cooldown at most, beside the one that began it.
    EXPECT_LE(m_source->continuations(), 2);
    EXPECT_TRUE(m_testBed.runUntil([&] {
        return std::ranges::all_of(m_responses, [](const auto &response) { return response->end == ChannelEnd::Complete; });
    })) << cutDrafts()
        << " cut";
}

// Guards against drafts that stay on an engine that leaves, because its cooldown allows one of them at a time to return there.
TEST_F(Continuations, AllDraftsLeaveASourceInItsCooldown)
{
    beginDrafts();
    beginCooldown(*m_source, "8");
    auto &destination = addDestination();
    m_testBed.registerTarget("i-1", "draining");
    EXPECT_TRUE(m_testBed.runUntil([&] { return destination.continuations() == Drafts; }, DrainTime)) << destination.continuations();
    EXPECT_EQ(m_source->continuations(), 0);
    EXPECT_EQ(cutDrafts(), 0U);
}

// Guards against drafts that are given up on an engine that leaves, because the only destination had a cooldown for a while.
TEST_F(Continuations, DraftsLeaveWhenTheCooldownOfTheDestinationEnds)
{
    beginDrafts();
    auto &destination = addDestination();
    beginCooldown(destination, "3");
    m_testBed.registerTarget("i-1", "draining");
    m_testBed.runFor(2000ms);
    EXPECT_EQ(destination.continuations(), 0);
    EXPECT_EQ(m_source->stoppedRuns(), 0);
    EXPECT_TRUE(m_testBed.runUntil([&] { return destination.continuations() == Drafts; }, 3s)) << destination.continuations();
    EXPECT_EQ(cutDrafts(), 0U);
}

// Guards against drafts that are stopped and then cut, because the order to stop has used this relay's share of their engine's limit.
TEST_F(Continuations, DraftsAreNotCutByTheRequestLimitOfTheirSource)
{
    m_source->setRequestLimit("2");
    beginDrafts();
    m_source->setKeepsStoppedRuns(true);
    addDestination();
    m_testBed.registerTarget("i-1", "draining");
    const auto before = m_source->heads().size();
    const auto ordersBefore = m_source->copyOrders();
    m_testBed.runFor(4s);
    EXPECT_EQ(cutDrafts(), 0U);
    EXPECT_GT(m_source->stoppedRuns(), 0);
    const auto requests = m_source->heads().size() - before + static_cast<size_t>(m_source->copyOrders() - ordersBefore);
    // One and a half times the limit and five requests in 4 s.
    EXPECT_LE(requests, 17U);
}

// Guards against drafts that stay on an engine that leaves, because the reservation at their engine takes up its limit for good.
TEST_F(Continuations, DraftsLeaveASourceWithARequestLimit)
{
    m_source->setRequestLimit("4");
    beginDrafts(4);
    auto &destination = addDestination();
    m_testBed.registerTarget("i-1", "draining");
    EXPECT_TRUE(m_testBed.runUntil([&] { return destination.continuations() == 4; }, DrainTime)) << destination.continuations();
    EXPECT_EQ(cutDrafts(), 0U);
}

// Guards against a draft that is cut because its destination named a limit of zero between the copy and the order to stop.
TEST_F(Continuations, DraftIsNotCutByALimitThatTheDestinationNamesDuringTheCopy)
{
    m_source->setCopyTime(500ms);
    beginDrafts(1);
    auto &destination = addDestination();
    m_testBed.registerTarget("i-1", "draining");
    ASSERT_TRUE(m_testBed.runUntil([&] { return m_source->copyOrders() > 0; }));
    destination.setRequestLimit("0");
    sendHintTo(destination);
    m_testBed.runFor(2s);
    EXPECT_EQ(cutDrafts(), 0U);
    EXPECT_TRUE(m_testBed.runUntil([&] { return m_responses.front()->end == ChannelEnd::Complete; }));
}

// Guards against drafts that are cut, or stay for good, when both their engine and the only destination have a cooldown, of which the latter ends first.
TEST_F(Continuations, DraftsLeaveASourceInItsCooldownWhenThatOfTheDestinationEnds)
{
    beginDrafts();
    beginCooldown(*m_source, "8");
    auto &destination = addDestination();
    beginCooldown(destination, "2");
    m_testBed.registerTarget("i-1", "draining");
    m_testBed.runFor(1000ms);
    EXPECT_EQ(m_source->stoppedRuns(), 0);
    EXPECT_TRUE(m_testBed.runUntil([&] { return destination.continuations() == Drafts; }, 3s)) << destination.continuations();
    EXPECT_EQ(m_source->continuations(), 0);
    EXPECT_EQ(cutDrafts(), 0U);
}
