#include "RelayTestBed.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Three seconds of work.
constexpr int Events = 300;

// A relay with two targets in punjab and one in sindh. Requests must run in punjab at first, and in sindh from the second document on.
class HomeRegions : public testing::Test
{
protected:
    void start(const std::string &service, int events)
    {
        writeHomes(1, "punjab");
        for (const auto *id : {"p-1", "p-2", "s-1"}) {
            m_targets.emplace(id, &m_testBed.addTarget(id, service, events, id[0] == 'p' ? "lahore" : "karachi"));
        }
        m_testBed.addRelay("n1");
        ASSERT_TRUE(m_testBed.waitUntilReady("n1"));
    }

    // Sends a request, changes its homes while it is at its first target, and lets `onChanged` make it go on, unless `beforeChange` has done so.
    std::shared_ptr<RelayTestBed::Response> send(
        const std::string &path,
        const std::string &usage,
        const std::function<void(const std::string &first)> &onChanged,
        const std::function<void(const std::string &first)> &beforeChange = [](const std::string &) {})
    {
        const auto response = std::make_shared<RelayTestBed::Response>();
        const std::vector<HeaderField> fields {{.name = "X-Token-Usage", .value = usage}, {.name = "X-Deadline-Ms", .value = "8000"}};
        const auto channel = m_testBed.begin("n1", {.path = path, .fields = fields}, response);
        const auto findFirst = [&] { return std::ranges::find_if(m_targets, [](const auto &entry) { return entry.second->isRunning("r1"); }); };
        EXPECT_TRUE(m_testBed.runUntil([&] { return findFirst() != m_targets.end(); }));
        const auto first = findFirst()->first;
        beforeChange(first);
        writeHomes(2, "sindh");
        EXPECT_TRUE(m_testBed.runUntil([&] { return metric("relay_document_version") == "relay_document_version 2"; }));
        EXPECT_TRUE(m_targets.at(first)->isRunning("r1"));
        onChanged(first);
        EXPECT_TRUE(m_testBed.runUntil([&] { return response->end != ChannelEnd::NotSent || response->status < 0; }));
        EXPECT_EQ(arrivals("p-1") + arrivals("p-2"), 1);
        EXPECT_EQ(metric("relay_sends_outside_homes_total"), "");
        return response;
    }

    // The line of a metric. Empty if the relay does not have it.
    std::string metric(const std::string &name)
    {
        const auto all = m_testBed.metrics("n1");
        const auto line = all.find("\n" + name + " ");
        return line == std::string::npos ? std::string() : all.substr(line + 1, all.find('\n', line + 1) - line - 1);
    }

    int arrivals(const std::string &target) const
    {
        return m_targets.at(target)->runCount() + m_targets.at(target)->continuations();
    }

    void writeHomes(int64_t version, const std::string &region)
    {
        const StandInDocument document {.version = version, .keys = {"key-1"}, .timeout = 8s, .homeRegions = {{"draft", {region}}, {"status", {region}}}};
        m_testBed.store->put("op", "config", document.toText());
    }

    RelayTestBed m_testBed;
    std::map<std::string, StandInTarget *> m_targets;
};

} // namespace

// Guards against a retry in the regions that a former document allowed.
TEST_F(HomeRegions, RetryGoesToTheNewHomes)
{
    start("desk", 0);
    m_targets.at("p-1")->setBehaviour(StandInTarget::Behaviour::Hang);
    m_targets.at("p-2")->setBehaviour(StandInTarget::Behaviour::Hang);
    const auto response = send("/status/x", "0,0", [&](const std::string &first) {
        m_targets.at(first == "p-1" ? "p-2" : "p-1")->setBehaviour(StandInTarget::Behaviour::Serve);
        m_targets.at(first)->crash();
    });
    EXPECT_EQ(arrivals("s-1"), 1);
    EXPECT_EQ(response->status, 200);
}

// Guards against copies of a generation to the regions that a former document allowed.
TEST_F(HomeRegions, CopyGoesToTheNewHomes)
{
    start("engine", Events);
    const auto response = send("/draft/x", "1000,40", [&](const std::string &first) { m_testBed.registerTarget(first, "draining"); });
    EXPECT_EQ(arrivals("s-1"), 1);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
}

// Guards against a generation that is never copied again, because its homes changed while the first copy was made.
TEST_F(HomeRegions, CopyThatIsMadeMeanwhileIsFollowedByAnother)
{
    start("engine", Events);
    const auto response = send(
        "/draft/x",
        "1000,40",
        [](const std::string &) {},
        [&](const std::string &first) {
            m_targets.at(first)->setCopyTime(1s);
            m_testBed.registerTarget(first, "draining");
            EXPECT_TRUE(m_testBed.runUntil([&] { return m_targets.at(first)->copyOrders() > 0; }));
        });
    EXPECT_EQ(arrivals("s-1"), 1);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
}

// Guards against a generation that goes on from a backup outside its homes.
TEST_F(HomeRegions, BackupOutsideTheNewHomesIsNotUsed)
{
    start("engine", Events);
    const auto response = send("/draft/x", "1000,400", [&](const std::string &first) { m_targets.at(first)->crash(); });
    EXPECT_EQ(arrivals("s-1"), 0);
    EXPECT_EQ(response->end, ChannelEnd::Broken);
}

// Guards against a generation that relies on such a backup, so that it is not copied when its engine leaves.
TEST_F(HomeRegions, BackupOutsideTheNewHomesIsReplacedByACopy)
{
    start("engine", Events);
    const auto response = send("/draft/x", "1000,400", [&](const std::string &first) { m_testBed.registerTarget(first, "draining"); });
    EXPECT_EQ(arrivals("s-1"), 1);
    EXPECT_EQ(response->end, ChannelEnd::Complete);
}
