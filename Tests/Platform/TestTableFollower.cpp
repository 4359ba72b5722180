#include "../Support/ByteServer.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <LibLoop/CallerListener.h>
#include <LibRelayServer/TableFollower.h>
#include <nlohmann/json.hpp>
#include <platform/PlatformAdapter.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr auto MaxAge = 300ms;

// A store that responds to each read when the test says so, with a follower of its table "op".
class TableReads : public testing::Test
{
protected:
    TableReads()
        : m_address(ownLoopbackEndpoint())
        , m_client(loop)
        , m_adapter(createPlatformAdapter())
        , follower(loop,
                   m_client,
                   m_adapter,
                   m_address,
                   {.table = "op",
                    .shouldRead = [this](MonotonicTime) { return isReader; },
                    .isReading = [this] { return isReader; },
                    .maxAge = [](MonotonicTime) { return MaxAge; },
                    .liveRelays = [] { return 3; }},
                   {.onChange =
                        [this](const StoreRow &row, const TableFollower::ReadContext &) {
                            changes.push_back(absl::StrCat(row.key, "=", row.removed ? "removed" : row.value, "@", row.version));
                        },
                    .onTable = [](const StoreRows &, const TableFollower::ReadContext &) {},
                    .onUnavailable = [this](const std::string &) { ++unavailableCount; },
                    .onAvailable = [](std::chrono::milliseconds) {}})
    {
        auto listener = CallerListener::start(
            loop,
            {.address = m_address,
             .hooks = {.onRequest = [this](const std::shared_ptr<CallerChannel> &channel,
                                           const CallerRequest &request) { m_reads.push_back({.channel = channel, .target = request.head.target}); },
                       .limits = [] { return CallerLimits {}; },
                       .isClosing = [] { return false; },
                       .onRejected = [](int) {}}});
        m_listener = *std::move(listener);
    }

    void runFor(std::chrono::milliseconds time)
    {
        loop.restart();
        loop.run_for(time);
    }

    // The request of the read with this number, from 0. Waits until it has arrived; empty if it does not.
    std::string read(size_t number)
    {
        const auto end = monotonicNow() + 2s;
        while (m_reads.size() <= number && monotonicNow() < end) {
            runFor(2ms);
        }
        return number < m_reads.size() ? m_reads[number].target : std::string();
    }

    size_t readCount() const
    {
        return m_reads.size();
    }

    void respond(size_t number, const std::vector<StoreRow> &rows, int64_t version, bool hasMore = false)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &row : rows) {
            nlohmann::json item {{"key", row.key}, {"ver", row.version}};
            if (row.removed) {
                item["deleted"] = true;
            } else {
                item["value"] = absl::Base64Escape(row.value);
            }
            list.push_back(item);
        }
        MessageHead head {.status = 200};
        if (!era.empty()) {
            head.set("Store-Era", era);
        }
        m_reads.at(number).channel->send(std::move(head), nlohmann::json {{"rows", list}, {"has_more", hasMore}, {"ver", version}, {"now_ms", 0}}.dump());
        runFor(20ms);
    }

    // Reads the table for the first time.
    void readTable(const std::vector<StoreRow> &rows, int64_t version)
    {
        follower.start();
        ASSERT_NE(read(0), "");
        respond(0, rows, version);
        changes.clear();
    }

    boost::asio::io_context loop;
    bool isReader = false;
    // The era that responses state. Empty for none.
    std::string era;
    int unavailableCount = 0;
    std::vector<std::string> changes;

private:
    struct PendingRead {
        std::shared_ptr<CallerChannel> channel;
        std::string target;
    };

    const Endpoint m_address;
    LoopClient m_client;
    const PlatformAdapter m_adapter;
    std::unique_ptr<CallerListener> m_listener;
    std::vector<PendingRead> m_reads;

protected:
    TableFollower follower;
};

} // namespace

// Guards against a response of the store that arrives late and replaces rows that a peer has delivered since.
TEST_F(TableReads, LateTableDoesNotReplaceNewerRows)
{
    follower.start();
    ASSERT_NE(read(0), "");
    EXPECT_TRUE(follower.merge(
        {.rows = {.rows = {{.key = "config", .value = "new", .version = 20}}, .version = 20, .changeVersion = 20}, .isWhole = true}, "peer", std::nullopt));
    respond(0, {{.key = "config", .value = "old", .version = 5}, {.key = "evacuate/a", .value = "{}", .version = 6}}, 10);
    EXPECT_EQ(changes, std::vector<std::string> {"config=new@20"});
    EXPECT_EQ(follower.version(), 20);
}

// Guards against the same for a response with changes, and for a row that was removed in between.
TEST_F(TableReads, LateChangesDoNotReplaceNewerRows)
{
    readTable({{.key = "config", .value = "a", .version = 1}, {.key = "evacuate/a", .value = "{}", .version = 2}}, 2);
    follower.readNow();
    ASSERT_NE(read(1), "");
    EXPECT_TRUE(follower.merge(
        {.rows = {.rows = {{.key = "config", .value = "c", .version = 9}}, .version = 10, .changeVersion = 10}, .isWhole = true}, "peer", std::nullopt));
    EXPECT_EQ(changes, (std::vector<std::string> {"config=c@9", "evacuate/a=removed@10"}));
    respond(1, {{.key = "config", .value = "b", .version = 5}, {.key = "evacuate/a", .value = "{}", .version = 6}}, 6);
    EXPECT_EQ(changes.size(), 2U);
    EXPECT_EQ(follower.version(), 10);
}

// Guards against rows of an earlier page that change while later pages are read.
TEST_F(TableReads, ChangesSinceTheFirstPageAreRead)
{
    isReader = true;
    follower.start();
    ASSERT_NE(read(0), "");
    respond(0, {{.key = "a", .value = "1", .version = 1}}, 10, true);
    ASSERT_NE(read(1), "");
    respond(1, {{.key = "b", .value = "1", .version = 2}}, 12);
    EXPECT_NE(read(2).find("after=10&"), std::string::npos) << read(2);
}

// Guards against a follower that asks again and again for changes which are too long for one response. The whole table comes in pages.
TEST_F(TableReads, ChangesTooLongForOneResponseAreReadInPages)
{
    constexpr size_t RowBytes = 1 << 20;
    constexpr size_t Rows = 4;
    isReader = true;
    readTable({{.key = "a", .value = "1", .version = 1}}, 1);
    ASSERT_NE(read(1).find("after=1&"), std::string::npos) << read(1);
    std::vector<StoreRow> rows;
    for (size_t number = 0; number < Rows; ++number) {
        rows.push_back({.key = absl::StrCat("b", number), .value = std::string(RowBytes, 'x'), .version = 2});
    }
    respond(1, rows, 2);
    ASSERT_NE(read(2), "");
    EXPECT_EQ(read(2).find("after="), std::string::npos) << read(2);
    respond(2, {{.key = "b0", .value = "2", .version = 2}}, 2);
    EXPECT_EQ(changes, (std::vector<std::string> {"b0=2@2", "a=removed@2"}));
}

// Guards against requests that bring nothing: the peer's newest change was the removal of a row, of which a table that was read later has no trace.
TEST_F(TableReads, RemovedRowsAreNoMissingChange)
{
    readTable({{.key = "config", .value = "a", .version = 1}}, 30);
    EXPECT_GE(follower.version(), 25);
    follower.noteState({.version = 40, .changeVersion = 25, .historyFrom = 3, .age = 0ms}, monotonicNow());
    EXPECT_EQ(follower.version(), 40);
}

// Guards against a relay that takes its rows for complete because a peer, which read the whole table after a row was removed, knows no newer change.
TEST_F(TableReads, PeerWithoutHistoryConfirmsNothing)
{
    readTable({{.key = "config", .value = "a", .version = 1}, {.key = "evacuate/a", .value = "{}", .version = 2}}, 10);
    runFor(50ms);
    const auto currentAt = follower.currentAt();
    follower.noteState({.version = 20, .changeVersion = 1, .historyFrom = 20, .age = 0ms}, monotonicNow());
    EXPECT_EQ(follower.version(), 10);
    EXPECT_EQ(follower.currentAt(), currentAt);
}

// Guards against rows that count as current from the time of a response although the store held it back: a change may have been made after it was sent off.
TEST_F(TableReads, ReadConfirmsRowsAsOfItsRequest)
{
    follower.start();
    ASSERT_NE(read(0), "");
    runFor(200ms);
    respond(0, {}, 10);
    EXPECT_GE(follower.age(monotonicNow()), 200ms);
}

// Guards against a read without a response that keeps a relay from reading until its timeout.
TEST_F(TableReads, HangingReadIsFollowedByAnother)
{
    isReader = true;
    readTable({{.key = "config", .value = "a", .version = 1}}, 10);
    ASSERT_NE(read(1), "");
    const auto sentAt = monotonicNow();
    while (readCount() < 4 && monotonicNow() < sentAt + 2s) {
        runFor(20ms);
        follower.check(monotonicNow());
    }
    ASSERT_GE(readCount(), 4U);
    respond(3, {{.key = "config", .value = "b", .version = 11}}, 11);
    EXPECT_EQ(changes, std::vector<std::string> {"config=b@11"});
    // The response to the earlier read is used as well when it comes.
    respond(2, {{.key = "config", .value = "c", .version = 12}}, 12);
    EXPECT_EQ(changes.back(), "config=c@12");
}

// Guards against relays that rely on others for ever: one whose rows nobody confirms reads the store, also if it leaves that to others.
TEST_F(TableReads, UnconfirmedRowsAreReadAgain)
{
    readTable({{.key = "config", .value = "a", .version = 1}}, 10);
    for (int count = 0; count < 10; ++count) {
        follower.noteState({.version = 10, .changeVersion = 1, .historyFrom = 1, .age = 0ms}, monotonicNow());
        runFor(50ms);
        follower.check(monotonicNow());
    }
    EXPECT_EQ(readCount(), 1U);
    runFor(MaxAge);
    follower.check(monotonicNow());
    EXPECT_NE(read(1), "");
}

// Guards against relays that pass a confirmation on to each other and so keep it young, although none of them reads the store.
TEST_F(TableReads, ConfirmationsOfPeersAreNotPassedOn)
{
    readTable({{.key = "config", .value = "a", .version = 1}}, 10);
    runFor(100ms);
    follower.noteState({.version = 10, .changeVersion = 1, .historyFrom = 1, .age = 0ms}, monotonicNow());
    EXPECT_LT(follower.age(monotonicNow()), 50ms);
    EXPECT_GE(follower.state(monotonicNow()).age, 100ms);
}

// Guards against a response to an earlier read of the table that brings a row back which a later read has shown to be removed.
TEST_F(TableReads, EarlierTableDoesNotRestoreARemovedRow)
{
    follower.start();
    ASSERT_NE(read(0), "");
    const auto sentAt = monotonicNow();
    while (readCount() < 2 && monotonicNow() < sentAt + 2s) {
        runFor(20ms);
        follower.check(monotonicNow());
    }
    ASSERT_GE(readCount(), 2U);
    respond(1, {{.key = "config", .value = "a", .version = 1}}, 90);
    respond(0, {{.key = "config", .value = "a", .version = 1}, {.key = "evacuate/a", .value = "{}", .version = 70}}, 80);
    EXPECT_EQ(changes, std::vector<std::string> {"config=a@1"});
    EXPECT_EQ(follower.changesSince(0, 0).rows.rows.size(), 1U);
}

// Guards against a store that is silent, over each new connection, and never counts as unavailable.
TEST_F(TableReads, SilentStoreCountsAsUnavailable)
{
    isReader = true;
    readTable({{.key = "config", .value = "a", .version = 1}}, 10);
    const auto since = monotonicNow();
    while (unavailableCount == 0 && monotonicNow() < since + 5s) {
        runFor(20ms);
        follower.check(monotonicNow());
    }
    EXPECT_EQ(unavailableCount, 1);
    EXPECT_TRUE(follower.failingSince());
}

// Guards against a second copy of an earlier response that arrives behind the next request and confirms old rows as of that request.
TEST(TableReadsOverBytes, SecondCopyOfAResponseConfirmsNothing)
{
    const std::string body = R"({"rows":[],"has_more":false,"ver":10,"now_ms":0})";
    const auto response = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    std::atomic<int> requests = 0;
    ByteServer store([&](ByteServer::Connection &connection) {
        for (int count = 0; !connection.readRequest().empty(); ++count) {
            // Only the first read has a response. A further request on its connection gets a copy of that.
            if (++requests == 1 || (connection.number() == 1 && count > 0)) {
                connection.write(response);
            }
        }
    });
    boost::asio::io_context loop;
    LoopClient client(loop);
    const auto adapter = createPlatformAdapter();
    TableFollower follower(loop,
                           client,
                           adapter,
                           store.address(),
                           {.table = "op",
                            .shouldRead = [](MonotonicTime) { return true; },
                            .isReading = [] { return true; },
                            .maxAge = [](MonotonicTime) { return MaxAge; },
                            .liveRelays = [] { return 3; }},
                           {.onChange = [](const StoreRow &, const TableFollower::ReadContext &) {},
                            .onTable = [](const StoreRows &, const TableFollower::ReadContext &) {},
                            .onUnavailable = [](const std::string &) {},
                            .onAvailable = [](std::chrono::milliseconds) {}});
    follower.start();
    const auto end = monotonicNow() + 5s;
    while (requests < 3 && monotonicNow() < end) {
        loop.restart();
        loop.run_for(10ms);
        follower.check(monotonicNow());
    }
    EXPECT_GE(requests, 3);
    EXPECT_GE(follower.age(monotonicNow()), MaxAge);
}

// Guards against changes that are ignored because the store, restored from an older copy, gives their versions out a second time.
TEST_F(TableReads, VersionsThatAreGivenOutAgainAreNewChanges)
{
    era = "1";
    readTable({{.key = "config", .value = "b", .version = 9}}, 10);
    follower.readNow();
    ASSERT_NE(read(1).find("after=10&"), std::string::npos) << read(1);
    era = "2";
    respond(1, {}, 12);
    // What has changed since a version of an earlier era says nothing.
    ASSERT_EQ(read(2).find("after="), std::string::npos) << read(2);
    respond(2, {{.key = "config", .value = "a", .version = 5}}, 7);
    EXPECT_EQ(follower.era(), 2);
    EXPECT_EQ(follower.version(), 7);
    follower.readNow();
    ASSERT_NE(read(3).find("after=7&"), std::string::npos) << read(3);
    respond(3, {{.key = "config", .value = "c", .version = 9}}, 9);
    EXPECT_EQ(changes, (std::vector<std::string> {"config=a@5", "config=c@9"}));
}

// Guards against a response from before the store was restored that arrives late, and against pages of two eras that are taken for one table.
TEST_F(TableReads, ResponsesOfAnEarlierEraHaveNoEffect)
{
    era = "1";
    readTable({{.key = "config", .value = "b", .version = 9}}, 10);
    follower.readNow();
    ASSERT_NE(read(1), "");
    EXPECT_TRUE(follower.merge({.rows = {.rows = {{.key = "config", .value = "a", .version = 5}}, .version = 7, .era = 2, .changeVersion = 5}, .isWhole = true},
                               "peer",
                               std::nullopt));
    respond(1, {{.key = "config", .value = "d", .version = 11}}, 11);
    EXPECT_EQ(changes, std::vector<std::string> {"config=a@5"});
    follower.readTable();
    ASSERT_NE(read(2), "");
    era = "2";
    respond(2, {{.key = "config", .value = "a", .version = 5}}, 8, true);
    ASSERT_NE(read(3), "");
    era = "3";
    respond(3, {{.key = "evacuate/a", .value = "{}", .version = 6}}, 8);
    // The table is read from its first page.
    ASSERT_EQ(read(4).find("range_start"), std::string::npos) << read(4);
    EXPECT_EQ(changes.size(), 1U);
}

// Guards against a peer that has not noticed that the store was restored, and confirms or delivers rows which are no longer those of the store.
TEST_F(TableReads, PeersOfAnotherEraConfirmNothing)
{
    era = "2";
    readTable({{.key = "config", .value = "a", .version = 5}}, 7);
    runFor(50ms);
    const auto currentAt = follower.currentAt();
    follower.noteState({.era = 1, .version = 20, .changeVersion = 5, .historyFrom = 1, .age = 0ms}, monotonicNow());
    follower.noteState({.era = 3, .version = 20, .changeVersion = 5, .historyFrom = 1, .age = 0ms}, monotonicNow());
    EXPECT_EQ(follower.currentAt(), currentAt);
    EXPECT_EQ(follower.version(), 7);
    EXPECT_FALSE(
        follower.merge({.rows = {.rows = {{.key = "config", .value = "z", .version = 20}}, .version = 20, .era = 1, .changeVersion = 20}, .isWhole = true},
                       "peer",
                       std::nullopt));
    EXPECT_TRUE(changes.empty());
}

// Guards against rows that count as current although the store responds with an older table and does not say why.
TEST_F(TableReads, OlderTableConfirmsNothing)
{
    readTable({{.key = "config", .value = "b", .version = 9}}, 10);
    const auto currentAt = follower.currentAt();
    follower.readTable();
    ASSERT_NE(read(1), "");
    respond(1, {{.key = "config", .value = "a", .version = 5}}, 7);
    EXPECT_EQ(follower.currentAt(), currentAt);
    EXPECT_TRUE(changes.empty());
}

// Guards against rows that seem newer than they are, here and in heartbeats, because the steady clock stands still while the process is suspended.
TEST_F(TableReads, TimeOfASuspensionCountsAsAge)
{
    constexpr auto Suspension = 3000ms;
    readTable({{.key = "config", .value = "a", .version = 1}}, 10);
    follower.readNow();
    ASSERT_NE(read(1), "");
    follower.onSuspended(Suspension);
    EXPECT_GE(follower.age(monotonicNow()), Suspension);
    ASSERT_NE(read(2), "");
    // This response may have been sent before the suspension.
    respond(1, {}, 10);
    EXPECT_GE(*follower.state(monotonicNow()).age, Suspension);
    // This heartbeat may have waited while the process was suspended.
    follower.noteState({.version = 10, .changeVersion = 1, .historyFrom = 1, .age = 0ms}, monotonicNow());
    EXPECT_GE(follower.age(monotonicNow()), Suspension);
    respond(2, {}, 10);
    EXPECT_LT(*follower.state(monotonicNow()).age, Suspension);
}
