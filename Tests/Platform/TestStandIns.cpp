#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <LibLoop/LoopClient.h>
#include <platform/PlatformAdapter.h>
#include <platform/StandIns/StandInRows.h>
#include <platform/StandIns/StandInStore.h>
#include <platform/StandIns/StandInTarget.h>

using namespace Jujube;
using namespace std::chrono_literals;
using Kind = StoreTransactionResult::Kind;

namespace
{

class StandIns : public testing::Test
{
protected:
    StandIns()
        : m_client(loop)
        , m_storeAddress(ownLoopbackEndpoint())
        , m_targetAddress(ownLoopbackEndpoint())
        , store(loop, m_storeAddress)
        , target(loop, {.id = "i-1", .address = m_targetAddress, .work = 20ms})
    {
    }

    LoopAnswer call(const Endpoint &address, LoopCall call)
    {
        std::optional<LoopAnswer> answer;
        call.timeout = 300ms;
        call.freshConnection = true;
        m_client.call(address, call, [&](const LoopAnswer &received) { answer = received; });
        while (!answer) {
            runFor(1ms);
        }
        return *answer;
    }

    void runFor(std::chrono::milliseconds time)
    {
        loop.restart();
        loop.run_for(time);
    }

    // Writes row "a" of table "t", and with it row "b" of another table.
    StoreTransactionResult write(const std::string &value, int64_t version, const std::string &otherTable = "u")
    {
        return m_adapter.decodeTransaction(
            call(m_storeAddress,
                 m_adapter.buildTransactionCall({.conditions = {{.table = "t", .key = "a", .version = version}},
                                                 .writes = {{.table = "t", .key = "a", .value = value}, {.table = otherTable, .key = "b", .value = value}}})));
    }

    // The response to a call on a channel of its own. Empty if the channel was cut without one.
    std::string rawResponse(const std::string &call, const std::function<void()> &meanwhile = {})
    {
        Tcp::socket socket(loop);
        socket.connect(m_storeAddress.tcp());
        boost::asio::write(socket, boost::asio::buffer(call + " HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
        std::string text;
        bool isClosed = false;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(text), [&](const LoopError &, size_t) { isClosed = true; });
        runFor(20ms);
        if (meanwhile) {
            meanwhile();
        }
        for (int count = 0; count < 3000 && !isClosed; ++count) {
            runFor(1ms);
        }
        EXPECT_TRUE(isClosed);
        return text;
    }

    int changesStatus(int64_t after)
    {
        return call(m_storeAddress, m_adapter.buildChangesCall("t", after, 0ms)).status;
    }

    int statusOf(const std::string &path)
    {
        return call(m_targetAddress, {.target = path, .fields = {{.name = "X-Expect-Instance", .value = "i-1"}, {.name = "X-Attempt-Id", .value = "r"}}})
            .status;
    }

    boost::asio::io_context loop;

private:
    const PlatformAdapter m_adapter = createPlatformAdapter();
    LoopClient m_client;
    const Endpoint m_storeAddress;
    const Endpoint m_targetAddress;

protected:
    StandInStore store;
    StandInTarget target;
};

} // namespace

// Guards against tests that pass because the stand-in does transactions in part, without their condition, or on tables that relays may not write.
TEST_F(StandIns, TransactionsAreDoneAsAWholeOrNotAtAll)
{
    const auto first = write("1", 0);
    ASSERT_EQ(first.kind, Kind::Done);
    EXPECT_GT(first.storeNowMs, 0);
    const auto conflict = write("2", 0);
    ASSERT_EQ(conflict.kind, Kind::Conflict);
    ASSERT_EQ(conflict.rows.size(), 1U);
    EXPECT_EQ(conflict.rows[0].value, "1");
    EXPECT_EQ(conflict.rows[0].version, first.version);
    EXPECT_EQ(store.history("u", "b").size(), 1U);
    EXPECT_EQ(write("3", first.version, "op").kind, Kind::Rejected);
    EXPECT_EQ(store.value("t", "a"), "1");
    const auto second = write("4", first.version);
    EXPECT_EQ(second.kind, Kind::Done);
    EXPECT_EQ(store.history("t", "a").back().version, second.version);
    EXPECT_EQ(store.history("u", "b").back().version, second.version);
    EXPECT_EQ(store.history("t", "a").size(), 2U);
    EXPECT_EQ(store.transactions(), 4);
}

// Guards against tests of a restored copy in which something survives that the platform's store loses, or reads continue as if nothing was lost.
TEST_F(StandIns, RestoredCopyLosesWhatCameAfterIt)
{
    const auto first = write("1", 0);
    const auto copy = store.takeCopy();
    const auto second = write("2", first.version);
    EXPECT_EQ(rawResponse(absl::StrCat("GET /-/rows-feed?table=t&wait_ms=3000&after=", second.version), [&] { store.restoreCopy(copy); }), "");
    EXPECT_EQ(store.era(), 2);
    EXPECT_EQ(store.value("t", "a"), "1");
    EXPECT_EQ(store.history("t", "a").size(), 1U);
    EXPECT_EQ(changesStatus(second.version), 410);
    EXPECT_EQ(changesStatus(first.version), 200);
    EXPECT_EQ(write("3", first.version).version, second.version);
    EXPECT_EQ(changesStatus(second.version), 200);
}

// Guards against tests of transactions at the moment of a restored copy that are done although they were lost, or never done, or without their condition.
TEST_F(StandIns, UnfinishedTransactionsAreLostOrDoneLater)
{
    const auto first = write("1", 0);
    const auto copy = store.takeCopy();
    const auto writeDuringRestore = [&](const std::string &value, int64_t version, StandInStore::Unfinished unfinished) {
        store.setTransactionFault({.response = StandInStore::TransactionFault::Response::Reset, .delay = 300ms, .count = 1});
        EXPECT_NE(write(value, version).kind, Kind::Done);
        store.restoreCopy(copy, unfinished);
        runFor(400ms);
    };
    writeDuringRestore("lost", first.version, StandInStore::Unfinished::Lost);
    EXPECT_EQ(store.value("t", "a"), "1");
    writeDuringRestore("late", first.version, StandInStore::Unfinished::DoneLater);
    EXPECT_EQ(store.value("t", "a"), "late");
    writeDuringRestore("later", first.version + 1, StandInStore::Unfinished::DoneLater);
    EXPECT_EQ(store.value("t", "a"), "1");
}

// Guards against tests of a store that tells its era in some responses only.
TEST_F(StandIns, AllResponsesNameTheEraUnlessTurnedOff)
{
    const std::vector<std::string> calls {
        "GET /-/rows-get?table=t", "GET /-/rows-feed?table=t&after=0&wait_ms=1", "GET /-/rows-feed?table=t&after=9", "POST /-/rows-tx", "GET /"};
    store.restoreCopy(store.takeCopy());
    for (const auto &call : calls) {
        EXPECT_TRUE(absl::StrContains(rawResponse(call), "\r\nStore-Era: 2\r\n")) << call;
    }
    store.setFault(StandInStore::Fault::Busy);
    EXPECT_TRUE(absl::StrContains(rawResponse(calls[0]), "\r\nStore-Era: 2\r\n"));
    store.setFault(StandInStore::Fault::None);
    store.setSendsEra(false);
    EXPECT_FALSE(absl::StrContains(rawResponse(calls[0]), "Store-Era"));
}

// Guards against tests of bad versions in which the target serves well, or badly where it should not.
TEST_F(StandIns, DefectAffectsTheRequestsThatItDescribes)
{
    target.setDefect(StandInTarget::Defect {.fails = true, .since = monotonicNow() + 60ms, .pathPrefix = "/bad/"});
    EXPECT_EQ(statusOf("/bad/x"), 200);
    runFor(60ms);
    EXPECT_EQ(statusOf("/bad/x"), 500);
    EXPECT_EQ(statusOf("/good/x"), 200);
    target.setDefect(StandInTarget::Defect {.fails = true, .minRunning = 1});
    EXPECT_EQ(statusOf("/bad/x"), 200);
    target.setDefect(StandInTarget::Defect {.slowdown = 5});
    const auto since = monotonicNow();
    EXPECT_EQ(statusOf("/bad/x"), 200);
    EXPECT_GE(monotonicNow() - since, 100ms);
    target.setDefect(StandInTarget::Defect {.part = 0.5, .fails = true});
    int failures = 0;
    for (int count = 0; count < 40; ++count) {
        failures += statusOf("/bad/x") == 500 ? 1 : 0;
    }
    EXPECT_GT(failures, 5);
    EXPECT_LT(failures, 35);
    EXPECT_EQ(target.defectCount(), failures + 2);
}
