#include "RelayTestBed.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Targets of two software versions serve side by side. What they write does not fit together, and they do not check it.
namespace
{

// A second and a half of work.
constexpr int Events = 150;
constexpr int StreamCount = 4;

std::string eventsText(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        absl::StrAppend(&text, "id: ", id, "\ndata: text\n\n");
    }
    return text;
}

// A relay, two engines of version v1 and six of v2, on which streams begin and go on.
class SoftwareVersions : public testing::Test
{
protected:
    // Sends requests of a route and waits until the caller of each has some events.
    void begin(const std::string &route, int count)
    {
        for (int number = 0; number < count; ++number) {
            const auto id = absl::StrCat("r", ++m_requests);
            m_responses[id] = std::make_shared<RelayTestBed::Response>();
            const std::vector<HeaderField> fields {{.name = "X-Token-Usage", .value = "1000,400"}, {.name = "X-Deadline-Ms", .value = "8000"}};
            m_callers[id] = m_testBed.begin("n1", {.path = absl::StrCat("/", route, "/", id), .id = id, .fields = fields}, m_responses[id]);
        }
        ASSERT_TRUE(m_testBed.runUntil(
            [&] { return std::ranges::all_of(m_responses, [](const auto &entry) { return entry.second->body.size() >= eventsText(1, 2).size(); }); }));
    }

    void addEngines(const std::string &version, int count)
    {
        for (int number = 1; number <= count; ++number) {
            const auto id = absl::StrCat(version, "-", number);
            m_engines[id] = &m_testBed.addTarget(id, "engine", Events, "lahore", 0ms, version);
        }
    }

    void start()
    {
        m_testBed.writeDocument(1, "key-1", 8s);
        m_testBed.addRelay("n1");
        ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    }

    void awaitEnds()
    {
        ASSERT_TRUE(
            m_testBed.runUntil([&] { return std::ranges::all_of(m_responses, [](const auto &entry) { return entry.second->end != ChannelEnd::NotSent; }); }));
    }

    // Engines of a version at which the request has arrived.
    int arrivals(const std::string &request, const std::string &version) const
    {
        int count = 0;
        for (const auto &[id, engine] : m_engines) {
            const auto isOfRequest = [&](const MessageHead &head) { return head.value("X-Attempt-Id") == request; };
            count += id.starts_with(version) && std::ranges::any_of(engine->heads(), isOfRequest) ? 1 : 0;
        }
        return count;
    }

    // Streams that have been at engines of both versions.
    int joinedStreams() const
    {
        return static_cast<int>(
            std::ranges::count_if(m_responses, [&](const auto &entry) { return arrivals(entry.first, "v1") > 0 && arrivals(entry.first, "v2") > 0; }));
    }

    int wholeResponses() const
    {
        return static_cast<int>(std::ranges::count_if(
            m_responses, [](const auto &entry) { return entry.second->end == ChannelEnd::Complete && entry.second->body == eventsText(1, Events); }));
    }

    // The engine that runs a request.
    std::string engineOf(const std::string &request) const
    {
        const auto found = std::ranges::find_if(m_engines, [&](const auto &entry) { return entry.second->isRunning(request); });
        return found == m_engines.end() ? std::string() : found->first;
    }

    void crashEnginesOfAll()
    {
        std::set<std::string> crashed;
        for (const auto &[request, response] : m_responses) {
            crashed.insert(engineOf(request));
        }
        for (const auto &id : crashed) {
            m_engines.at(id)->crash();
        }
    }

    RelayTestBed m_testBed;
    std::map<std::string, StandInTarget *> m_engines;
    std::map<std::string, std::shared_ptr<RelayTestBed::Response>> m_responses;
    std::map<std::string, std::shared_ptr<TargetChannel>> m_callers;
    int m_requests = 0;
};

} // namespace

// Guards against drafts of a leaving engine that migrate to an engine of another version.
TEST_F(SoftwareVersions, MigrationStaysAtTheVersion)
{
    addEngines("v1", 1);
    start();
    // Without a backup, because no other engine is there when the drafts begin.
    begin("draft", StreamCount);
    addEngines("v2", 6);
    m_engines["v1-2"] = &m_testBed.addTarget("v1-2", "engine", Events, "lahore", 0ms, "v1");
    m_testBed.runFor(200ms);
    m_testBed.registerTarget("v1-1", "draining");
    awaitEnds();
    EXPECT_EQ(joinedStreams(), 0);
    EXPECT_EQ(wholeResponses(), StreamCount);
    EXPECT_GT(m_engines.at("v1-2")->continuations(), 0);
}

// Guards against drafts that migrate to another version because none of theirs has an engine left. They end where they are.
TEST_F(SoftwareVersions, DraftStaysIfNoOtherEngineHasItsVersion)
{
    addEngines("v1", 1);
    start();
    begin("draft", StreamCount);
    addEngines("v2", 2);
    m_testBed.runFor(200ms);
    m_testBed.registerTarget("v1-1", "draining");
    awaitEnds();
    EXPECT_EQ(joinedStreams(), 0);
    EXPECT_EQ(wholeResponses(), StreamCount);
}

// Guards against backups at engines of another version, from which drafts go on after a crash.
TEST_F(SoftwareVersions, BackupIsOfTheVersion)
{
    addEngines("v1", 2);
    addEngines("v2", 6);
    start();
    begin("draft", StreamCount);
    crashEnginesOfAll();
    awaitEnds();
    EXPECT_EQ(joinedStreams(), 0);
}

// Guards against resumable streams that break off and go on at another version within their response.
TEST_F(SoftwareVersions, RetryWithinTheResponseStaysAtTheVersion)
{
    addEngines("v1", 1);
    start();
    begin("hint", 1);
    addEngines("v2", 6);
    m_engines["v1-2"] = &m_testBed.addTarget("v1-2", "engine", Events, "lahore", 0ms, "v1");
    m_testBed.runFor(700ms);
    m_engines.at("v1-1")->crash();
    awaitEnds();
    EXPECT_EQ(joinedStreams(), 0);
    EXPECT_EQ(wholeResponses(), 1);
}

// Guards against a stream that is joined from two versions because its own has no engine left: it is cut, which its caller can see.
TEST_F(SoftwareVersions, StreamIsCutIfNoEngineOfItsVersionIsLeft)
{
    addEngines("v1", 1);
    start();
    begin("hint", 1);
    addEngines("v2", 2);
    m_testBed.runFor(700ms);
    m_engines.at("v1-1")->crash();
    awaitEnds();
    EXPECT_EQ(joinedStreams(), 0);
    EXPECT_EQ(wholeResponses(), 0);
}

// Guards against a stream that goes on at the version that the list named when it began, although its target had restarted with another one by then.
TEST_F(SoftwareVersions, StreamOfATargetThatHasRestartedDoesNotGoOn)
{
    addEngines("v1", 1);
    start();
    begin("hint", 1);
    const StandInTargetRow restarted {
        .service = "engine", .address = m_testBed.addressOf("v1-1"), .dataCentre = "lahore", .state = "ready", .born = 2, .version = "v2"};
    m_testBed.store->put("servers", "v1-1", restarted.toText());
    m_engines["v1-2"] = &m_testBed.addTarget("v1-2", "engine", Events, "lahore", 0ms, "v1");
    m_testBed.runFor(700ms);
    m_engines.at("v1-1")->crash();
    awaitEnds();
    EXPECT_EQ(wholeResponses(), 0);
    EXPECT_EQ(m_engines.at("v1-2")->heads().size(), 0U);
}
