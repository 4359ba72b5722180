#include "PlatformFixture.h"

#include <LibCore/Digest.h>
#include <LibPlatform/ObjectClient.h>
#include <LibPlatform/VmListClient.h>

namespace Jujube
{

namespace
{

class TableClientTest : public PlatformFixture
{
};

OwnershipTest equals(const std::string &wanted)
{
    return [wanted](const std::string &value) { return value == wanted; };
}

// A transport that returns the given responses in order and repeats the last one.
HttpTransport responsesInOrder(std::vector<HttpAnswer> responses)
{
    return [responses = std::move(responses), next = std::make_shared<size_t>(0)](const HttpCall &) {
        const auto index = std::min(*next, responses.size() - 1);
        ++*next;
        return responses.at(index);
    };
}

const HttpAnswer LostResponse {.end = HttpEnd::TimedOut};
const HttpAnswer AbsentRow {.end = HttpEnd::Complete, .status = 404};

} // namespace

// Guards against a write that takes effect although its condition does not hold, and against a conflict that does not return the current row.
TEST_F(TableClientTest, WritesOnlyIfTheConditionHolds)
{
    const auto client = table();
    const auto created = client.putIfAbsent("a/b c%/ü?", "one");
    ASSERT_EQ(created.end, WriteEnd::Done) << created.error;
    const auto second = client.putIfAbsent("a/b c%/ü?", "two");
    EXPECT_EQ(second.end, WriteEnd::Conflict);
    ASSERT_TRUE(second.current);
    EXPECT_EQ(*second.current, (TableRow {"a/b c%/ü?", "one", created.revision}));
    const auto replaced = client.putIfRevision("a/b c%/ü?", "three", created.revision);
    ASSERT_EQ(replaced.end, WriteEnd::Done);
    EXPECT_GT(replaced.revision, created.revision);
    EXPECT_EQ(client.putIfRevision("a/b c%/ü?", "four", created.revision).end, WriteEnd::Conflict);
    EXPECT_EQ(client.get("a/b c%/ü?").row.value, "three");
    EXPECT_EQ(client.get("absent").end, ReadEnd::Absent);
    const auto rows = client.list("a/b c%");
    ASSERT_EQ(rows.rows.size(), 1);
    EXPECT_EQ(rows.rows.front().key, "a/b c%/ü?");
}

// Guards against a transaction of which only a part takes effect.
TEST_F(TableClientTest, AppliesTransactionsAtomically)
{
    const auto client = table();
    ASSERT_EQ(client.putIfAbsent("taken", "x").end, WriteEnd::Done);
    EXPECT_EQ(client.transaction({{"free", "1", 0}, {"taken", "2", 0}}).end, WriteEnd::Conflict);
    EXPECT_EQ(client.get("free").end, ReadEnd::Absent);
    EXPECT_EQ(client.transaction({{"free", "1", 0}, {"other", "2", 0}}).end, WriteEnd::Done);
    EXPECT_EQ(client.get("other").row.value, "2");
}

// Guards against a write whose response was lost being reported as done or as not done: the row may exist.
TEST_F(TableClientTest, DistinguishesLostResponsesFromRejections)
{
    const auto client = table();
    setFaults({{"lose_answers", 1}});
    EXPECT_EQ(client.putIfAbsent("k", "v").end, WriteEnd::Unknown);
    EXPECT_EQ(client.get("k").end, ReadEnd::Found);
    setFaults({{"lose_requests", 1}});
    EXPECT_EQ(client.putIfAbsent("m", "v").end, WriteEnd::Unknown);
    EXPECT_EQ(client.get("m").end, ReadEnd::Absent);
    setFaults({{"down", true}});
    EXPECT_EQ(client.putIfAbsent("m", "v").end, WriteEnd::NotDone);
    EXPECT_EQ(client.get("m").end, ReadEnd::Failed);
}

// Guards against a claim whose response was lost being treated as another writer's, and against a lost request being treated as a claim.
TEST_F(TableClientTest, ResolvesALostResponseByReadingBack)
{
    const auto client = table();
    setFaults({{"lose_answers", 1}});
    EXPECT_EQ(client.putIfAbsentResolved("claim", "nonce-1", equals("nonce-1")).end, WriteEnd::Done);
    setFaults({{"lose_requests", 1}});
    EXPECT_EQ(client.putIfAbsentResolved("claim-2", "nonce-1", equals("nonce-1")).end, WriteEnd::Done);
    EXPECT_EQ(client.get("claim-2").row.value, "nonce-1");
    setFaults({{"lose_requests", 1}});
    const auto other = client.putIfAbsentResolved("claim", "nonce-2", equals("nonce-2"));
    EXPECT_EQ(other.end, WriteEnd::Conflict);
    ASSERT_TRUE(other.current);
    EXPECT_EQ(other.current->value, "nonce-1");
    const auto revision = client.get("claim").row.revision;
    setFaults({{"lose_answers", 1}});
    EXPECT_EQ(client.putIfRevisionResolved("claim", "nonce-3", revision, equals("nonce-3")).end, WriteEnd::Done);
}

// Guards against the result "not done" although a first request whose response was lost may still arrive after the row was found absent.
TEST_F(TableClientTest, NeverReportsALostWriteAsNotDone)
{
    const HttpAnswer rejected {.end = HttpEnd::Complete, .status = 503};
    const TableClient client({.address = "127.0.0.1:1", .transport = responsesInOrder({LostResponse, AbsentRow, rejected, rejected})});
    EXPECT_EQ(client.putIfAbsentResolved("claim", "nonce", equals("nonce")).end, WriteEnd::Unknown);
}

// Guards against a retry by libcurl that makes a write conflict with its own first effect: writes need connections of their own.
TEST_F(TableClientTest, WritesUseFreshConnections)
{
    std::vector<HttpCall> calls;
    const TableClient client({.address = "127.0.0.1:1", .transport = [&calls](HttpCall call) {
                                  calls.push_back(std::move(call));
                                  return HttpAnswer {.end = HttpEnd::NotSent};
                              }});
    EXPECT_EQ(client.putIfAbsent("k", "v").end, WriteEnd::NotDone);
    EXPECT_EQ(client.transaction({{"k", "v", 0}}).end, WriteEnd::NotDone);
    ASSERT_EQ(calls.size(), 2);
    EXPECT_TRUE(calls[0].freshConnection);
    EXPECT_TRUE(calls[1].freshConnection);
}

// Guards against two keys that name the same row, because servers rewrite paths with dots and repeated slashes.
TEST_F(TableClientTest, RejectsKeysThatServersRewrite)
{
    for (const std::string key : {"", "a//b", "a/../b", "./a", "a/", "/a", "a\nb", "a\xff"}) {
        EXPECT_FALSE(TableClient::isValidKey(key)) << key;
        EXPECT_EQ(table().putIfAbsent(key, "v").end, WriteEnd::NotDone) << key;
    }
    EXPECT_TRUE(TableClient::isValidKey("once/w/pay/capture/k..1"));
}

// Guards against damaged bytes being accepted as the object that the digest names.
TEST_F(TableClientTest, ChecksObjectsAgainstTheirNames)
{
    const ObjectClient objects({.address = m_platform->address(), .transport = transport()});
    const auto name = sha256Hex("bytes");
    EXPECT_EQ(objects.put(name, "other bytes").end, WriteEnd::NotDone);
    EXPECT_EQ(objects.get(name).end, ReadEnd::Absent);
    EXPECT_EQ(objects.put(name, "bytes").end, WriteEnd::Done);
    EXPECT_EQ(objects.get(name).bytes, "bytes");
    const ObjectClient damaged({.address = "127.0.0.1:1", .transport = responsesInOrder({{.end = HttpEnd::Complete, .status = 200, .body = "bytez"}})});
    EXPECT_EQ(damaged.get(name).end, ReadEnd::Failed);
}

// Guards against an invalid entry being skipped, which would make its VM appear gone, and against a delay of the stand-in's list that has no effect.
TEST_F(TableClientTest, ReadsTheVmListCompletelyOrFails)
{
    const VmListClient client({.address = m_platform->address(), .transport = transport()});
    EXPECT_EQ(client.read().end, ReadEnd::Found);
    nlohmann::json vm {{"name", "g1"}, {"address", "127.0.0.1:1"}, {"data_centre", "lahore"}, {"role", "gateway"}, {"state", "leaving"}, {"incarnation", 7}};
    post("/vms", {{"vms", {vm}}});
    const auto read = client.read();
    ASSERT_EQ(read.vms.size(), 1);
    EXPECT_EQ(read.vms.front(), (Vm {"g1", "127.0.0.1:1", "lahore", "gateway", VmState::Leaving, 7}));
    setFaults({{"slow_vm_list_ms", 600000}});
    EXPECT_TRUE(client.read().vms.empty());
    setFaults({{"slow_vm_list_ms", 0}});
    vm["state"] = "lost";
    post("/vms", {{"vms", {vm}}});
    EXPECT_EQ(client.read().end, ReadEnd::Failed);
}

} // namespace Jujube
