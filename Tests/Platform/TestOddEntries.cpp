#include "RelayTestBed.h"
#include "ScriptedPeer.h"

#include <gtest/gtest.h>
#include <LibCore/Compression.h>
#include <LibRelayServer/TableChangesServer.h>
#include <LibRelayServer/TargetEntryCheck.h>
#include <platform/DocumentCodec.h>
#include <platform/PlatformAdapter.h>
#include <platform/StandIns/StandInRows.h>
#include <platform/StoreCodec.h>
#include <platform/TargetCodec.h>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;
using namespace std::string_view_literals;

namespace
{

// Maximum time until a change in the store is in force.
constexpr auto MaxPropagationTime = 2500ms;

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

// Entries whose texts are deeply nested values.
std::vector<std::string> nestedEntries()
{
    std::vector<std::string> entries;
    for (const auto *field : {"service", "address", "zone", "state"}) {
        for (const auto &value : nestedValues()) {
            entries.push_back(entryWith(field, value));
        }
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

// Random bytes, or a valid text with some bytes changed, left out or repeated.
std::string damaged(const std::string &valid, std::mt19937 &random)
{
    std::string text = valid;
    if (random() % 8 == 0) {
        text.resize(random() % 300);
        for (auto &character : text) {
            character = static_cast<char>(random() % 256);
        }
        return text;
    }
    for (auto changes = 1 + random() % 4; changes > 0 && !text.empty(); --changes) {
        constexpr std::string_view Characters = "{}[]\",:0123456789.-+eE\\untrlfas \n\0\xff"sv;
        const auto position = random() % text.size();
        const auto length = std::min<size_t>(random() % 40, text.size() - position);
        switch (random() % 5) {
        case 0:
            text[position] = Characters[random() % Characters.size()];
            break;
        case 1:
            text.erase(position, length);
            break;
        case 2:
            text.insert(position, text.substr(random() % text.size(), length));
            break;
        case 3:
            text.insert(position, std::string(1 + random() % 30, "9[{"[random() % 3]));
            break;
        default:
            text.insert(position, 1, Characters[random() % Characters.size()]);
        }
    }
    return text;
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

// Guards against a deeply nested entry that exhausts the stack. A version that is no text leaves the entry usable.
TEST(OddEntries, DeeplyNestedEntryDoesNotExhaustTheStack)
{
    for (const auto &text : nestedEntries()) {
        EXPECT_FALSE(isUsable(text)) << shortened(text);
    }
    for (const auto &value : {nested("[", "]", LargeRowBytes), nested("{\"a\":", "}", LargeRowBytes)}) {
        EXPECT_TRUE(isUsable(entryWith("version", value)));
    }
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

// Guards against bytes of another writer that end a decoder in any other way than by a status. The seed is fixed, so that a failure can be repeated.
TEST(OddEntries, DecodersRefuseOrReadDamagedTexts)
{
    constexpr int Texts = 20000;
    const auto adapter = createPlatformAdapter();
    const auto document = StandInDocument {.keys = {"key-1"}}.toText();
    const auto entry = entryWith("version", "\"v1\"");
    const std::string page
        = R"({"rows":[{"table":"t","part":"","key":"k","value":"aGk=","ver":4},{"key":"g","ver":5,"deleted":true}],"ver":9,"has_more":false})";
    const auto peerChanges = encodeTableChanges({.rows = {.rows = {{.key = "k", .value = "hi", .version = 4}}, .version = 9, .changeVersion = 4}});
    const auto peerMessage = *decompressZstd(std::string_view(peerChanges).substr(2), MaxTableChangesBytes);
    std::mt19937 random(29);
    int usable = 0;
    for (int count = 0; count < Texts; ++count) {
        const auto target = adapter.decodeTarget("i-1", damaged(entry, random));
        if (target.ok() && checkTargetEntry(*target).ok()) {
            ++usable;
            ASSERT_TRUE(Endpoint::parse(target->address)) << count;
            ASSERT_LE(std::abs(target->coldLeft.count()), std::chrono::milliseconds(24h).count()) << count;
        }
        if (const auto rows = adapter.decodeRows(damaged(page, random)); rows.ok()) {
            for (const auto &row : rows->rows) {
                ASSERT_FALSE(row.key.empty()) << count;
            }
        }
        [[maybe_unused]] const auto decodedDocument = adapter.decodeDocument(damaged(document, random));
        [[maybe_unused]] const auto state = adapter.decodeState(damaged(R"({"state":"ready","born":1769571039051,"leaves_ms":1500})", random));
        [[maybe_unused]] const auto copy
            = adapter.decodeCopy({.end = ChannelEnd::Complete, .status = 200, .body = damaged(R"({"handle":"h-1","created":35})", random)});
        [[maybe_unused]] const auto changes = decodeTableChanges(damaged(peerChanges, random));
        [[maybe_unused]] const auto message = decodeTableChanges("T1" + compressZstd(damaged(peerMessage, random)));
        [[maybe_unused]] const auto order = adapter.decodeRolloutOrder("s", damaged(R"({"service":"s","to":"v2","duration_s":12.5})", random));
        [[maybe_unused]] const auto transaction = adapter.decodeTransaction({.end = ChannelEnd::Complete, .status = 412, .body = damaged(page, random)});
        [[maybe_unused]] const auto query = adapter.decodeDirectoryQuery(damaged("zone=lahore&region=punjab", random));
    }
    // Neither all nor none, or the texts would show nothing.
    EXPECT_GT(usable, Texts / 100);
    EXPECT_LT(usable, Texts);
}

// Guards against a relay that ends, stops following the list or ignores a later good version of a row because of one odd entry.
TEST(OddEntries, RelayFollowsTheListBesideThem)
{
    constexpr auto Rounds = 60;
    RelayTestBed testBed;
    testBed.writeDocument(1);
    auto &first = testBed.addTarget("i-1", "desk");
    std::vector<std::string> entries;
    for (const auto &some : {entriesWithLargeNumbers(), entriesWithoutAddress(), entriesWithOddTexts(), nestedEntries()}) {
        entries.insert(entries.end(), some.begin(), some.end());
    }
    const auto key = [](size_t number) { return "odd-" + std::to_string(number); };
    const auto putOdd = [&](size_t begin, size_t end) {
        for (size_t number = begin; number < end; ++number) {
            testBed.store->put("servers", key(number), entries[number]);
        }
    };
    int requests = 0;
    const auto call = [&] { return testBed.call("n1", {.path = "/commit/x", .id = "r" + std::to_string(++requests)}).status; };
    // One half is in the table at the start, the other arrives as changes.
    putOdd(0, entries.size() / 2);
    testBed.addRelay("n1");
    ASSERT_TRUE(testBed.waitUntilReady("n1"));
    EXPECT_EQ(call(), 200);
    putOdd(entries.size() / 2, entries.size());
    testBed.runFor(MaxPropagationTime);
    EXPECT_EQ(call(), 200);
    EXPECT_EQ(first.runCount(), 2);
    // A new target is used beside them, and one whose row was odd before.
    auto &second = testBed.addTarget("i-2", "desk");
    std::vector<StandInTarget *> mended;
    for (size_t number = 0; number < entries.size(); number += 3) {
        mended.push_back(&testBed.addTarget(key(number), "desk"));
    }
    testBed.runFor(MaxPropagationTime);
    for (int round = 0; round < Rounds; ++round) {
        for (size_t count = 0; count < mended.size(); ++count) {
            ASSERT_EQ(call(), 200);
        }
        if (second.runCount() > 0 && std::all_of(mended.begin(), mended.end(), [](const auto *target) { return target->runCount() > 0; })) {
            break;
        }
    }
    EXPECT_GT(second.runCount(), 0);
    for (size_t index = 0; index < mended.size(); ++index) {
        EXPECT_GT(mended[index]->runCount(), 0) << shortened(entries[3 * index]);
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

// Guards against a relay that ends because of changes of another shape from a peer.
TEST(OddEntries, ChangesOfAnotherShapeAreRefused)
{
    const auto good
        = encodeTableChanges({.rows = {.rows = {{.key = "config", .value = "{}", .version = 5}}, .version = 5, .changeVersion = 5}, .isWhole = true});
    for (const std::string &text : {std::string(),
                                    std::string("T1"),
                                    std::string(R"({"version":1,"rows":[]})"),
                                    "T2" + good.substr(2),
                                    good.substr(0, good.size() / 2),
                                    "T1" + compressZstd("no message"),
                                    "T1" + compressZstd(std::string(MaxTableChangesBytes + 1, 'a')),
                                    "T1" + compressZstd(std::string(1000, '\xff'))}) {
        RelayTestBed testBed;
        testBed.store->setFault(StandInStore::Fault::Silent);
        testBed.addRelay("n1");
        ScriptedPeer peer(testBed.loop, "a0", testBed.options("n1").peers);
        peer.setResponse("/changes/op", text);
        peer.setHeartbeat({.documentTableVersion = 5});
        EXPECT_TRUE(testBed.runUntil([&] { return peer.requestCount() > 1; })) << shortened(text);
        EXPECT_EQ(testBed.readiness("n1"), 503);
    }
    for (const std::string age : {"x", "", "-1", "-9223372036854775808", "1e300", "99999999999999"}) {
        EXPECT_FALSE(TableChangesServer::ageOf({.fields = {{.name = "Table-Age-Ms", .value = age}}})) << age;
    }
    EXPECT_EQ(TableChangesServer::ageOf({.fields = {{.name = "Table-Age-Ms", .value = "12"}}}), 12ms);
}
