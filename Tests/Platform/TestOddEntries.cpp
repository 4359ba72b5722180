#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <gtest/gtest.h>
#include <LibRelayServer/TargetEntryCheck.h>
#include <platform/DocumentCodec.h>
#include <platform/PlatformAdapter.h>
#include <platform/StandIns/StandInRows.h>
#include <platform/StoreCodec.h>
#include <platform/TargetCodec.h>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

// Sizes of values that a row of the store may have.
constexpr size_t SmallRowBytes = 64 * 1024;
constexpr size_t LargeRowBytes = 1024 * 1024;

// An entry of a target with one field set to the JSON text `value`.
std::string entryWith(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields {{"service", "\"desk\""},
                                               {"address", "\"127.0.0.1:9\""},
                                               {"zone", "\"lahore\""},
                                               {"slots", "24"},
                                               {"state", "\"ready\""},
                                               {"cold_left_ms", "0"},
                                               {"born", "1"}};
    fields[field] = value;
    std::string text;
    for (const auto &[name, content] : fields) {
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    }
    return text + "}";
}

// Arrays or objects in each other, of about this many bytes.
std::string nested(const std::string &open, const std::string &close, size_t bytes)
{
    std::string text;
    std::string end;
    for (size_t depth = 0; depth < bytes / (open.size() + close.size()); ++depth) {
        text += open;
        end += close;
    }
    return text + "0" + end;
}

// Values that are deeply nested, at the sizes of rows. The last one is not closed.
std::vector<std::string> nestedValues()
{
    return {nested("[", "]", SmallRowBytes), nested("[", "]", LargeRowBytes), nested("{\"a\":", "}", LargeRowBytes), std::string(LargeRowBytes, '[')};
}

// Entries with a number that is too large.
std::vector<std::string> entriesWithLargeNumbers()
{
    std::vector<std::string> entries;
    for (const auto *number : {"1e300", "-1e300", "1e999", "9223372036854775807", "18446744073709551615", "99999999999999999999", "1e18", "1e15"}) {
        entries.push_back(entryWith("slots", number));
        entries.push_back(entryWith("cold_left_ms", number));
        entries.push_back(entryWith("born", number));
    }
    return entries;
}

// Entries with an address that is none.
std::vector<std::string> entriesWithoutAddress()
{
    std::vector<std::string> entries;
    for (const auto *address : {"127.0.0.1:0",
                                "127.0.0.1:65536",
                                "127.0.0.1:-1",
                                "127.0.0.1:99999999999",
                                "127.0.0.1:+9",
                                "127.0.0.1: 9",
                                "127.0.0.1:9\\r\\n",
                                "127.0.0.1\\u0000.example:9",
                                "127.0.0.1",
                                "[::1]:9",
                                "nowhere:9",
                                ""}) {
        entries.push_back(entryWith("address", std::string("\"") + address + "\""));
    }
    return entries;
}

// Entries with a text that no header section or heartbeat can carry.
std::vector<std::string> entriesWithOddTexts()
{
    std::vector<std::string> entries {entryWith("zone", "\"lahore\\r\\nX: y\"")};
    for (const auto *field : {"service", "address", "zone", "state"}) {
        entries.push_back(entryWith(field, "\"" + std::string(SmallRowBytes, 'x') + "\""));
    }
    return entries;
}

// Whether the relay would use the target of an entry in the list.
bool isUsable(const std::string &text)
{
    const auto entry = createPlatformAdapter().decodeTarget("i-1", text);
    return entry.ok() && checkTargetEntry(*entry).ok();
}

std::string shortened(const std::string &text)
{
    return text.substr(0, 200);
}

} // namespace

// Guards against a number that is too large, which would overflow when it is used, or keep later entries of the target from being used.
TEST(OddEntries, LargeNumbersAreRefused)
{
    EXPECT_TRUE(isUsable(entryWith("slots", "24.0")));
    EXPECT_TRUE(isUsable(entryWith("born", "1769571039051")));
    EXPECT_TRUE(isUsable(entryWith("cold_left_ms", "400.5")));
    for (const auto &text : entriesWithLargeNumbers()) {
        EXPECT_FALSE(isUsable(text)) << text;
    }
}

// Guards against a port out of range, and against an address that the header section of a request would carry in another form than the connection uses.
TEST(OddEntries, AddressesAreRefusedUnlessPlain)
{
    EXPECT_TRUE(isUsable(entryWith("address", "\"127.0.0.1:65535\"")));
    for (const auto &text : entriesWithoutAddress()) {
        EXPECT_FALSE(isUsable(text)) << text;
    }
}

// Guards against a text that would add a header field to a request, or is too long for heartbeats to other relays.
TEST(OddEntries, TextsAreRefusedUnlessPlain)
{
    for (const auto &text : entriesWithOddTexts()) {
        EXPECT_FALSE(isUsable(text)) << shortened(text);
    }
    const auto entry = createPlatformAdapter().decodeTarget("i-1\r\nX: y", entryWith("slots", "1"));
    ASSERT_TRUE(entry.ok());
    EXPECT_FALSE(checkTargetEntry(*entry).ok());
}

// Guards against one row of another shape for which all rows of its page are given up.
TEST(OddEntries, RowOfAnotherShapeDoesNotAffectOthers)
{
    for (const std::string odd : {R"({"key":"odd","ver":"4","value":"aGk="})",
                                  R"({"key":"odd","ver":1e300,"value":"aGk="})",
                                  R"({"key":"odd","ver":4,"value":7})",
                                  R"({"key":"odd","ver":4,"deleted":"no","value":"aGk="})",
                                  R"({"key":7,"ver":4,"value":"aGk="})",
                                  R"({"ver":4})",
                                  "7",
                                  "null",
                                  "[]",
                                  R"({"key":[[[[1]]]],"ver":{},"value":null,"deleted":[]})"}) {
        for (const auto &text : {R"({"rows":[)" + odd + R"(,{"key":"k","value":"aGk=","ver":3}],"ver":9})",
                                 R"({"rows":[{"key":"k","value":"aGk=","ver":3},)" + odd + R"(],"ver":9})"}) {
            const auto rows = decodeStoreRows(text);
            ASSERT_TRUE(rows.ok()) << text << ": " << rows.status();
            const auto isGood = [](const StoreRow &row) { return row.key == "k" && row.value == "hi" && row.version == 3 && !row.removed; };
            EXPECT_EQ(std::count_if(rows->rows.begin(), rows->rows.end(), isGood), 1) << text;
            for (const auto &row : rows->rows) {
                EXPECT_TRUE(isGood(row) || (row.key == "odd" && !row.removed && row.version <= 9)) << text;
            }
        }
    }
}

// Guards against a row of another part of a table that is taken for the row with the same key.
TEST(OddEntries, RowsOfOtherPartsAreNotRead)
{
    const auto rows = decodeStoreRows(R"({"rows":[{"part":"x","key":"k","ver":4,"deleted":true},{"part":"","key":"k","ver":3,"value":"aGk="}],"ver":9})");
    ASSERT_TRUE(rows.ok());
    ASSERT_EQ(rows->rows.size(), 1U);
    EXPECT_EQ(rows->rows[0].version, 3);
}

// Guards against a handle in the response to a copy that ends the relay or adds a header field to the request that carries it.
TEST(OddEntries, HandleIsAPlainText)
{
    const auto adapter = createPlatformAdapter();
    const auto handleOf = [&](const std::string &value) {
        return adapter.decodeCopy({.end = ChannelEnd::Complete, .status = 200, .body = "{\"handle\":" + value + "}"}).handle;
    };
    EXPECT_EQ(handleOf("\"h-1\""), "h-1");
    EXPECT_EQ(handleOf("7"), "7");
    EXPECT_EQ(handleOf("\"h\\r\\nX-Tenant: other\""), "");
    EXPECT_EQ(handleOf("\"" + std::string(SmallRowBytes, 'x') + "\""), "");
    for (const auto &value : nestedValues()) {
        EXPECT_EQ(handleOf(value), "");
    }
}

// Guards against a response to a copy that was broken off, and whose connection ended in order, that counts as a copy.
TEST(OddEntries, CopyNeedsAHandle)
{
    const std::string body = R"({"handle":"h-1","created":35})";
    const auto adapter = createPlatformAdapter();
    for (size_t size = 0; size <= body.size(); ++size) {
        const auto result = adapter.decodeCopy({.end = ChannelEnd::Complete, .status = 200, .body = body.substr(0, size)});
        EXPECT_EQ(result.kind, size == body.size() ? CopyResult::Kind::Copied : CopyResult::Kind::Unknown) << size;
    }
}

// Guards against numbers without a meaning in a report of a target's state.
TEST(OddEntries, StateNeedsAWholeNumber)
{
    const auto adapter = createPlatformAdapter();
    EXPECT_TRUE(adapter.decodeState(R"({"born":1769571039051})").ok());
    for (const std::string text : {R"({"born":1e300})", R"({"born":18446744073709551615})", R"({"born":true})", "[]", "7", R"({"born":1,"state":7})"}) {
        EXPECT_FALSE(adapter.decodeState(text).ok()) << text;
    }
    for (const auto &value : nestedValues()) {
        EXPECT_FALSE(adapter.decodeState(value).ok());
        EXPECT_FALSE(adapter.decodeState("{\"born\":" + value + "}").ok());
    }
}

// Guards against times of a document that overflow when they are added to the present time.
TEST(OddEntries, TimesOfADocumentAreBounded)
{
    for (const std::string number : {"1e300", "-1e300", "9223372036854775807", "18446744073709551615"}) {
        const auto document = decodeRelayDocument(R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"s","timeout_ms":)" + number + R"(,"goal_ms":)"
                                                  + number + R"(}],"services":[{"name":"s","engine":{"handle_s":)" + number + R"(}}]})");
        if (document.ok()) {
            constexpr std::chrono::hours LongestTime {24 * 366};
            for (const auto time : {document->routes[0].timeout, document->routes[0].latencyGoal, document->services[0].engine->copyLifetime}) {
                EXPECT_LE(std::chrono::abs(time), LongestTime) << number;
            }
        }
    }
    for (const auto &value : nestedValues()) {
        EXPECT_FALSE(decodeRelayDocument(value).ok());
        EXPECT_FALSE(decodeRelayDocument(R"({"version":1,"services":[],"routes":)" + value + "}").ok());
    }
}

// Guards against a target that is used on a peer's word although the same entry in the list would be refused.
TEST(OddEntries, EntriesOfPeersAreCheckedToo)
{
    RelayTestBed testBed;
    testBed.writeDocument(1);
    auto &target = testBed.addTarget("i-1", "desk");
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    ScriptedPeer peer(testBed.loop, "a0", testBed.options("n1").peers);
    const TargetEntry good {.incarnation = 1, .service = "desk", .address = "127.0.0.1:9", .dataCentre = "lahore", .version = 1};
    auto noAddress = good;
    noAddress.id = "no-address";
    noAddress.address = "nowhere";
    auto noPort = good;
    noPort.id = "no-port";
    noPort.address = "127.0.0.1:65536";
    auto noHeader = good;
    noHeader.id = "no-header\r\nX: y";
    auto noIncarnation = good;
    noIncarnation.id = "i-1";
    noIncarnation.incarnation = std::numeric_limits<int64_t>::max();
    peer.setHeartbeat({.targets = {noAddress, noPort, noHeader, noIncarnation}});
    testBed.runFor(500ms);
    for (int count = 0; count < 20; ++count) {
        EXPECT_EQ(testBed.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(count)}).status, 200);
    }
    EXPECT_EQ(target.runCount(), 20);
}

// Guards against a relay that ends because of a snapshot of another shape from a peer.
TEST(OddEntries, SnapshotsOfAnotherShapeAreRefused)
{
    for (const std::string text : {R"({"version":"x","rows":[]})",
                                   R"({"version":1,"change":{},"rows":[]})",
                                   R"({"version":1,"rows":[7]})",
                                   R"({"version":1,"rows":7})",
                                   R"({"version":1,"rows":[{"version":"x"}]})",
                                   R"({"version":1,"rows":[{"version":1,"key":7}]})",
                                   R"({"version":1,"rows":[],"age_ms":"x"})",
                                   R"({"version":1,"rows":[],"age_ms":-9223372036854775808})",
                                   R"({"version":1,"rows":[],"age_ms":1e300})"}) {
        RelayTestBed testBed;
        testBed.store->setFault(StandInStore::Fault::Silent);
        testBed.addRelay("n1");
        ScriptedPeer peer(testBed.loop, "a0", testBed.options("n1").peers);
        peer.setResponse("/snapshot/op", text);
        peer.setHeartbeat({.documentTableVersion = 5});
        EXPECT_TRUE(testBed.runUntil([&] { return peer.requestCount() > 1; })) << text;
    }
}
