#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Callers take streams up again, at any relay, while targets of several software versions serve or have served.
namespace
{

// Half a second of work.
constexpr int Events = 50;
constexpr int LastEvent = 3;

std::string eventsText(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        absl::StrAppend(&text, "id: ", id, "\ndata: text\n\n");
    }
    return text;
}

class ResumedStreams : public testing::Test
{
protected:
    void SetUp() override
    {
        m_testBed.writeDocument(1, "key-1", 8s);
    }

    void addEngines(const std::string &version, int count)
    {
        for (int number = 0; number < count; ++number) {
            const auto id = absl::StrCat(version, "-", ++m_engineNumber);
            m_engines[id] = &m_testBed.addTarget(id, "engine", Events, "lahore", 0ms, version);
        }
    }

    void removeEngines(const std::string &version)
    {
        for (const auto &[id, engine] : m_engines) {
            if (id.starts_with(version)) {
                m_testBed.unregisterTarget(id);
            }
        }
    }

    void startRelay(const std::string &node, bool isFirstStart = false)
    {
        m_testBed.addSeparateRelay(node, [isFirstStart](RelayOptions &options) { options.isFirstStart = isFirstStart; });
        ASSERT_TRUE(m_testBed.waitUntilReady(node));
        m_testBed.runFor(SettleTime);
    }

    // Ends a relay as a crash does, and starts it again.
    void restartRelay(const std::string &node)
    {
        m_testBed.killRelay(node);
        m_testBed.setFrozen(node, false);
        startRelay(node);
    }

    // Replaces all engines by ones of another version, of which the relay at `node` learns.
    void replaceEngines(const std::string &from, const std::string &to)
    {
        addEngines(to, 2);
        m_testBed.runFor(300ms);
        removeEngines(from);
        m_testBed.runFor(300ms);
    }

    // Status of a new stream, which is left after some events if it begins.
    int tryToBegin(const std::string &node, const std::string &id)
    {
        const auto response = std::make_shared<RelayTestBed::Response>();
        const auto caller = m_testBed.begin(node, {.path = "/hint/x", .id = id}, response);
        m_testBed.runUntil([&] { return response->end != ChannelEnd::NotSent || response->body.size() >= eventsText(1, LastEvent).size(); });
        caller->abort();
        m_testBed.runFor(50ms);
        return response->status;
    }

    // A peer that confirms nothing, and knows the target list up to a version.
    std::unique_ptr<ScriptedPeer> addPeer(const std::string &node, int64_t targetsVersion)
    {
        auto peer = std::make_unique<ScriptedPeer>(m_testBed.loop, "p1", m_testBed.options(node).peers);
        peer->setHeartbeat({.targetsEra = 1, .targetsVersion = targetsVersion});
        m_testBed.runFor(300ms);
        return peer;
    }

    // Begins a stream at a relay, and leaves it after some events.
    void beginAndBreak(const std::string &node, const std::string &id)
    {
        const auto response = std::make_shared<RelayTestBed::Response>();
        const auto caller = m_testBed.begin(node, {.path = "/hint/x", .id = id, .fields = {{.name = "X-Deadline-Ms", .value = "6000"}}}, response);
        ASSERT_TRUE(m_testBed.runUntil([&] { return response->body.size() >= eventsText(1, LastEvent).size(); }));
        m_testBed.runFor(100ms);
        caller->abort();
        m_testBed.runFor(50ms);
    }

    RelayTestBed::Response takeUp(const std::string &node, const std::string &resumed)
    {
        m_lastTakeUp = absl::StrCat("t", ++m_takeUps);
        return m_testBed.call(node,
                              {.path = "/hint/x",
                               .id = m_lastTakeUp,
                               .fields = {{.name = "X-Deadline-Ms", .value = "5000"},
                                          {.name = "Last-Event-Id", .value = std::to_string(LastEvent)},
                                          {.name = "Resumes", .value = resumed}}});
    }

    // The version of the engine at which an attempt arrived. Empty if it arrived at none.
    std::string versionOf(const std::string &attempt) const
    {
        for (const auto &[id, engine] : m_engines) {
            const auto isOfAttempt = [&](const MessageHead &head) { return head.value("X-Attempt-Id") == attempt; };
            if (std::ranges::any_of(engine->heads(), isOfAttempt)) {
                return id.substr(0, id.find('-'));
            }
        }
        return {};
    }

    void expectGoesOn(const std::string &node, const std::string &resumed)
    {
        const auto response = takeUp(node, resumed);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, eventsText(LastEvent + 1, Events));
        EXPECT_EQ(versionOf(m_lastTakeUp), versionOf(resumed));
    }

    void expectRejected(const std::string &node, const std::string &resumed)
    {
        const auto response = takeUp(node, resumed);
        EXPECT_EQ(response.status, 503);
        EXPECT_NE(response.head.value("Retry-After"), "");
        EXPECT_EQ(versionOf(m_lastTakeUp), "");
    }

    // The relay has read both tables, stored the versions, and knows its peers.
    static constexpr auto SettleTime = 900ms;
    RelayTestBed m_testBed;
    std::map<std::string, StandInTarget *> m_engines;
    int m_engineNumber = 0;
    int m_takeUps = 0;
    std::string m_lastTakeUp;
};

} // namespace

// Guards against a stream that a caller takes up at its relay and that goes on at another version.
TEST_F(ResumedStreams, GoOnAtTheirVersionAtTheSameRelay)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    startRelay("n1", true);
    for (const auto *id : {"r1", "r2", "r3"}) {
        beginAndBreak("n1", id);
        expectGoesOn("n1", id);
    }
}

// Guards against the same at another relay, and at one that has started since.
TEST_F(ResumedStreams, GoOnAtTheirVersionAtOtherRelays)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    startRelay("n1", true);
    startRelay("n2");
    for (const auto *id : {"r1", "r2"}) {
        beginAndBreak("n1", id);
        expectGoesOn("n2", id);
    }
    beginAndBreak("n1", "r3");
    startRelay("n3");
    expectGoesOn("n3", "r3");
}

// Guards against a relay whose peers have told it of a stream and that forgets it with the relay that began it.
TEST_F(ResumedStreams, GoOnAtTheirVersionWhenTheirRelayIsGone)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    startRelay("n1", true);
    startRelay("n2");
    beginAndBreak("n1", "r1");
    m_testBed.killRelay("n1");
    expectGoesOn("n2", "r1");
}

// Guards against streams of a relay that nobody knows when it ends, because all others have been restarted since they began (review/13).
TEST_F(ResumedStreams, GoOnAfterARestartOfAllOtherRelays)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    startRelay("n1", true);
    startRelay("n2");
    startRelay("n3");
    for (const auto *id : {"r1", "r2"}) {
        beginAndBreak("n1", id);
    }
    restartRelay("n2");
    restartRelay("n3");
    m_testBed.killRelay("n1");
    expectGoesOn("n2", "r1");
    expectGoesOn("n3", "r2");
}

// Guards against the same if the relay through which the streams began has ended before.
TEST_F(ResumedStreams, GoOnAfterARestartOfTheRelaysThatKeepThem)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    startRelay("n1", true);
    startRelay("n2");
    startRelay("n3");
    beginAndBreak("n1", "r1");
    m_testBed.killRelay("n1");
    restartRelay("n2");
    restartRelay("n3");
    expectGoesOn("n2", "r1");
}

// Guards against streams that began while there was one version and are not known elsewhere when a second one comes.
TEST_F(ResumedStreams, OfTheTimeWithOneVersionAreKnownWhenASecondOneComes)
{
    addEngines("v1", 2);
    startRelay("n1", true);
    startRelay("n2");
    beginAndBreak("n1", "r1");
    addEngines("v2", 6);
    m_testBed.runFor(SettleTime);
    m_testBed.killRelay("n1");
    expectGoesOn("n2", "r1");
}

// Guards against streams that are joined from two versions after all relays have lost their memory.
TEST_F(ResumedStreams, AreRejectedIfNobodyKnowsTheirVersion)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    startRelay("n1", true);
    beginAndBreak("n1", "r1");
    m_testBed.killRelay("n1");
    startRelay("n2");
    expectRejected("n2", "r1");
    expectRejected("n2", "made-up");
    expectRejected("n2", "");
}

// Guards against the same if the version that began them has left the list meanwhile, so that only one is to be seen.
TEST_F(ResumedStreams, AreRejectedIfTheirVersionHasLeftUnseen)
{
    addEngines("v1", 2);
    startRelay("n1", true);
    beginAndBreak("n1", "r1");
    addEngines("v2", 2);
    m_testBed.runFor(SettleTime);
    m_testBed.killRelay("n1");
    removeEngines("v1");
    startRelay("n2");
    expectRejected("n2", "r1");
}

// Guards against streams of a service with one version that are rejected because relays have lost their memory.
TEST_F(ResumedStreams, GoOnAfterTheLossOfAllRelaysIfThereIsOneVersion)
{
    addEngines("v1", 3);
    startRelay("n1", true);
    beginAndBreak("n1", "r1");
    m_testBed.killRelay("n1");
    startRelay("n2");
    expectGoesOn("n2", "r1");
    expectGoesOn("n2", "r1");
}

// Guards against streams that wait or are joined because no engine of their version is left.
TEST_F(ResumedStreams, AreRejectedAtOnceIfNoEngineOfTheirVersionIsLeft)
{
    addEngines("v1", 1);
    startRelay("n1", true);
    beginAndBreak("n1", "r1");
    addEngines("v2", 3);
    m_testBed.runFor(SettleTime);
    removeEngines("v1");
    m_testBed.runFor(SettleTime);
    expectRejected("n1", "r1");
}

// Guards against a relay that is cut off from the store and takes streams up by an old list, while others begin them at a version that it has not heard of.
TEST_F(ResumedStreams, AreRejectedIfTheirVersionMayHaveComeUnseen)
{
    addEngines("v1", 2);
    startRelay("n1", true);
    const auto peer = addPeer("n1", 1);
    m_testBed.store->setFault(StandInStore::Fault::Silent);
    m_testBed.runFor(1000ms);
    EXPECT_EQ(takeUp("n1", "elsewhere-1").status, 200);
    EXPECT_EQ(versionOf(m_lastTakeUp), "v1");
    m_testBed.runFor(StreamVersions::MaxListAge);
    expectRejected("n1", "elsewhere-2");
    m_testBed.store->setFault(StandInStore::Fault::None);
    m_testBed.runFor(1500ms);
    EXPECT_EQ(takeUp("n1", "elsewhere-3").status, 200);
}

// Guards against streams that begin at a version of which some relay has not heard, and which that relay would take up at another version.
TEST_F(ResumedStreams, BeginAtANewVersionWhenAllRelaysKnowOfIt)
{
    addEngines("v1", 2);
    startRelay("n1", true);
    const auto peer = addPeer("n1", 1);
    EXPECT_EQ(tryToBegin("n1", "r1"), 200);
    addEngines("v2", 6);
    m_testBed.runFor(300ms);
    for (const std::string id : {"r2", "r3", "r4", "r5"}) {
        EXPECT_EQ(tryToBegin("n1", id), 200);
        EXPECT_EQ(versionOf(id), "v1");
    }
    removeEngines("v1");
    m_testBed.runFor(300ms);
    EXPECT_EQ(tryToBegin("n1", "r6"), 503);
    ASSERT_TRUE(peer->received());
    peer->setHeartbeat({.targetsEra = 1, .targetsVersion = peer->received()->targetsVersion});
    m_testBed.runFor(300ms);
    EXPECT_EQ(tryToBegin("n1", "r7"), 200);
    EXPECT_EQ(versionOf("r7"), "v2");
}

// Guards against streams that wait for a relay that has ended, or that begin before a relay that stands still has stopped to rely on its old list.
TEST_F(ResumedStreams, BeginAtANewVersionWhenSilentRelaysDoNotRelyOnTheirList)
{
    addEngines("v1", 2);
    startRelay("n1", true);
    startRelay("n2");
    m_testBed.setFrozen("n2", true);
    const auto joinedAt = monotonicNow();
    replaceEngines("v1", "v2");
    int tries = 0;
    while (tryToBegin("n1", absl::StrCat("r", ++tries)) == 503) {
        m_testBed.runFor(100ms);
    }
    const auto begun = absl::StrCat("r", tries);
    EXPECT_GE(monotonicNow() - joinedAt, StreamVersions::MaxListAge);
    EXPECT_EQ(versionOf(begun), "v2");
    m_testBed.setFrozen("n2", false);
    const auto response = takeUp("n2", begun);
    EXPECT_TRUE(response.status == 503 || versionOf(m_lastTakeUp) == "v2") << response.status << versionOf(m_lastTakeUp);
    m_testBed.runFor(SettleTime);
    expectGoesOn("n2", begun);
}

// Guards against streams of a service with one version that are rejected because the store is away, although only their relay has ended.
TEST_F(ResumedStreams, GoOnWithoutTheirRelayWhileTheStoreIsAway)
{
    addEngines("v1", 3);
    startRelay("n1", true);
    startRelay("n2");
    beginAndBreak("n1", "r1");
    m_testBed.store->setFault(StandInStore::Fault::Silent);
    m_testBed.runFor(StreamVersions::MaxListAge + 300ms);
    beginAndBreak("n1", "r2");
    m_testBed.killRelay("n1");
    expectGoesOn("n2", "r1");
    expectGoesOn("n2", "r2");
}
