#include "../Support/ByteServer.h"
#include "../Support/LoopbackEndpoint.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gtest/gtest.h>
#include <LibRelayServer/VersionStore.h>
#include <nlohmann/json.hpp>
#include <platform/PlatformAdapter.h>
#include <platform/StandIns/StandInStore.h>

using namespace Jujube;
using namespace std::chrono_literals;
using Response = StandInStore::TransactionFault::Response;

namespace
{

constexpr auto RetryDelay = 40ms;
constexpr auto MaxRetryDelay = 160ms;
constexpr auto Table = "jujube_versions";
constexpr int64_t WallMs = 1'790'442'463'012;

// A loop with a stand-in of the store and with an object to test, and what the object has told.
class VersionWrites : public testing::Test
{
protected:
    explicit VersionWrites(const Endpoint &address = ownLoopbackEndpoint())
        : m_client(loop)
        , m_adapter(createPlatformAdapter())
        , store(loop, address)
    {
        const VersionStore::Options options {.timeout = 200ms, .retryDelay = RetryDelay, .maxRetryDelay = MaxRetryDelay};
        const VersionStore::Hooks hooks {.onRead = [this](const auto &received) { reads.push_back(received); },
                                         .onReadFailed = [this](const auto &) { ++failedReads; },
                                         .onUnreadable = [this](const auto &service, const auto &) { unreadable.push_back(service); },
                                         .onWriteFailed = [this](const auto &, const auto &) { ++failedWrites; }};
        versions.emplace(loop, m_client, m_adapter, address, options, hooks, [this] { return wallMs; });
    }

    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = 5s)
    {
        const auto end = monotonicNow() + timeout;
        while (!condition() && monotonicNow() < end) {
            loop.restart();
            loop.run_for(1ms);
        }
        return condition();
    }

    // Waits until all writes of the services that tests write are done.
    bool finishWrites()
    {
        return runUntil([this] { return !versions->isWriting("s") && !versions->isWriting("first"); });
    }

    // Whether a read that is started now succeeds.
    bool read()
    {
        const auto before = reads.size();
        const int failedBefore = failedReads;
        versions->read();
        runUntil([&] { return reads.size() > before || failedReads > failedBefore; });
        return reads.size() > before;
    }

    // The values that the row of the service has had, by their only version.
    std::vector<std::string> writtenVersions() const
    {
        std::vector<std::string> written;
        for (const auto &change : store.history(Table, "s")) {
            written.push_back(nlohmann::json::parse(*change.value).at("versions").begin().key());
        }
        return written;
    }

    boost::asio::io_context loop;

private:
    LoopClient m_client;
    const PlatformAdapter m_adapter;

protected:
    StandInStore store;
    std::optional<VersionStore> versions;
    int64_t wallMs = WallMs;
    std::vector<std::map<std::string, StoredVersions>> reads;
    int failedReads = 0;
    int failedWrites = 0;
    std::vector<std::string> unreadable;
};

StoredVersions serving(const std::string &version)
{
    return {.versions = {{version, std::nullopt}}, .completeFor = 60s};
}

} // namespace

// Guards against a relay that takes a version for older or younger than it is, and against other relays that cannot read the row.
TEST_F(VersionWrites, StoresTimesOfTheWallClock)
{
    versions->write("s", {.versions = {{"v1", std::nullopt}, {"v0", 3s}}, .completeFor = 50s});
    versions->write("first", {.versions = {}, .completeFor = std::nullopt});
    ASSERT_TRUE(finishWrites());
    EXPECT_EQ(store.value(Table, "s"), R"({"complete_since_ms":1790442413012,"versions":{"v0":1790442460012,"v1":null}})");
    wallMs += 10'000;
    ASSERT_TRUE(read());
    const std::map<std::string, StoredVersions> expected {{"s", {.versions = {{"v1", std::nullopt}, {"v0", 13s}}, .completeFor = 60s}},
                                                          {"first", {.versions = {}, .completeFor = std::nullopt}}};
    EXPECT_EQ(reads.back(), expected);
    // A clock that is behind makes nothing younger than the present.
    wallMs = WallMs - 60'000;
    ASSERT_TRUE(read());
    EXPECT_EQ(reads.back().at("s"), (StoredVersions {.versions = {{"v1", std::nullopt}, {"v0", 0s}}, .completeFor = 0s}));
}

// Guards against one damaged row that hides the versions of other services, or counts as one that lists all versions.
TEST_F(VersionWrites, UnreadableRowsAreSkipped)
{
    const std::vector<std::string> damaged = absl::StrSplit(R"({ [] {} {"versions":{}}
{"versions":{},"complete_since_ms":-1} {"versions":{},"complete_since_ms":null} {"versions":[],"complete_since_ms":0}
{"versions":{"v1":"x"},"complete_since_ms":0} {"versions":{"v1":1e300},"complete_since_ms":0} {"versions":{"v1":-1},"complete_since_ms":0})",
                                                            absl::ByAnyChar(" \n"));
    ASSERT_EQ(damaged.size(), 10U);
    for (size_t number = 0; number < damaged.size(); ++number) {
        store.put(Table, absl::StrCat("d", number), damaged[number]);
    }
    store.put(Table, "s", R"({"versions":{"v1":null},"complete_since_ms":0})");
    store.put(Table, "gone", R"({"versions":{"v1":null},"complete_since_ms":0})");
    store.remove(Table, "gone");
    ASSERT_TRUE(read());
    EXPECT_EQ(unreadable.size(), damaged.size());
    ASSERT_EQ(reads.back().size(), 1U);
    EXPECT_EQ(reads.back().at("s"), (StoredVersions {.versions = {{"v1", std::nullopt}}, .completeFor = std::nullopt}));
}

// Guards against services on further pages that are missed, and against several reads at a time.
TEST_F(VersionWrites, AllPagesAreReadOnce)
{
    constexpr size_t Services = 1201;
    for (size_t number = 0; number < Services; ++number) {
        store.put(Table, absl::StrCat("s", number), R"({"versions":{"v1":null},"complete_since_ms":0})");
    }
    versions->read();
    ASSERT_TRUE(read());
    EXPECT_EQ(reads.back().size(), Services);
    EXPECT_EQ(versions->calls(), 3);
    EXPECT_EQ(reads.size(), 1U);
}

// Guards against a value that overtakes a newer one, and against writes that pile up while one takes its time.
TEST_F(VersionWrites, OnlyTheNewestValueIsWrittenAfterwards)
{
    store.setTransactionTime(100ms);
    for (const auto *version : {"v1", "v2", "v3", "v4"}) {
        versions->write("s", serving(version));
    }
    ASSERT_TRUE(finishWrites());
    EXPECT_EQ(writtenVersions(), (std::vector<std::string> {"v1", "v4"}));
    versions->write("s", serving("v5"));
    ASSERT_TRUE(finishWrites());
    EXPECT_EQ(writtenVersions().size(), 3U);
}

// Guards against a value that is lost because its write failed, and against one that was replaced meanwhile.
TEST_F(VersionWrites, FailedWritesAreRepeatedWithTheNewestValue)
{
    for (const auto &fault : {StandInStore::TransactionFault {.rejection = 503, .count = 2},
                              StandInStore::TransactionFault {.response = Response::Reset, .isDone = false, .count = 2},
                              StandInStore::TransactionFault {.response = Response::Silent, .isDone = false, .count = 2}}) {
        const auto before = store.transactions();
        const auto written = writtenVersions().size();
        failedWrites = 0;
        store.setTransactionFault(fault);
        versions->write("s", serving("v1"));
        ASSERT_TRUE(runUntil([&] { return failedWrites == 1; }));
        versions->write("s", serving("v2"));
        EXPECT_EQ(store.transactions(), before + 1);
        ASSERT_TRUE(finishWrites());
        EXPECT_EQ(failedWrites, 2);
        EXPECT_EQ(store.transactions(), before + 3);
        ASSERT_EQ(writtenVersions().size(), written + 1);
        EXPECT_EQ(writtenVersions().back(), "v2");
    }
}

// Guards against calls without pause to a store that is away, and against a value that is given up.
TEST_F(VersionWrites, StoreThatIsAwayIsCalledAtIntervals)
{
    store.setFault(StandInStore::Fault::Reset);
    versions->write("s", serving("v1"));
    EXPECT_FALSE(read());
    const auto before = store.calls();
    runUntil([] { return false; }, 1s);
    EXPECT_GT(store.calls(), before + 2);
    EXPECT_LE(store.calls(), before + static_cast<int>(1s / MaxRetryDelay) + 3);
    store.setFault(StandInStore::Fault::None);
    ASSERT_TRUE(finishWrites());
    EXPECT_EQ(writtenVersions(), (std::vector<std::string> {"v1"}));
}

// Guards against callbacks into a destroyed object while the loop goes on: of a read, of a write, and of a write that waits to be repeated.
TEST_F(VersionWrites, DestructionIsSafeWhileCallsAreInProgress)
{
    store.setTransactionFault({.rejection = 503, .count = 1});
    versions->write("s", serving("v1"));
    ASSERT_TRUE(runUntil([&] { return failedWrites == 1; }));
    store.setTransactionTime(50ms);
    versions->write("t", serving("v1"));
    versions->read();
    versions.reset();
    runUntil([] { return false; }, 500ms);
    EXPECT_EQ(reads.size(), 0U);
    EXPECT_EQ(failedReads, 0);
    EXPECT_EQ(failedWrites, 1);
    EXPECT_LE(store.transactions(), 2);
    EXPECT_TRUE(writtenVersions().empty());
}

// Guards against a table that does not end, which would be read for ever.
TEST(VersionStore, EndlessPagesAreGivenUp)
{
    const std::string page = R"({"rows":[{"key":"s","value":"","ver":1}],"has_more":true,"ver":9})";
    ByteServer server([&](ByteServer::Connection &connection) {
        connection.readRequest();
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", page.size(), "\r\n\r\n", page));
    });
    boost::asio::io_context loop;
    LoopClient client(loop);
    const auto adapter = createPlatformAdapter();
    std::string error;
    VersionStore versions(loop, client, adapter, server.address(), {}, {.onReadFailed = [&](const std::string &text) { error = text; }}, wallMsNow);
    versions.read();
    loop.run_for(5s);
    EXPECT_EQ(error, "the table does not end");
    EXPECT_LE(server.connectionCount(), 25);
}
