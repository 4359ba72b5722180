#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <LibRelay/StreamOriginCodec.h>
#include <LibRelay/StreamOrigins.h>
#include <nlohmann/json.hpp>

using namespace Jujube;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};
constexpr auto End = Start + 30s;

std::vector<uint64_t> keysOf(const std::vector<StreamOrigin> &origins)
{
    std::vector<uint64_t> keys;
    for (const auto &origin : origins) {
        keys.push_back(origin.key);
    }
    return keys;
}

std::string datagramOf(const json &fields)
{
    const auto bytes = json::to_msgpack(fields);
    return "S1" + std::string(bytes.begin(), bytes.end());
}

// A report with the longest name and address for which MaxStreamsInDatagram holds.
StreamOriginReport largeReport(size_t streams, size_t questions)
{
    StreamOriginReport report {.node = std::string(200, 'n'), .peers = std::string(64, 'p'), .streams = {}, .questions = {}, .unknown = {}};
    for (size_t number = 0; number < streams; ++number) {
        report.streams.push_back({.key = UINT64_MAX - number, .version = absl::StrCat(number + 1000, std::string(36, 'v')), .lifetime = 60s});
    }
    for (size_t number = 0; number < questions; ++number) {
        (number % 2 == 0 ? report.questions : report.unknown).push_back(UINT64_MAX - number);
    }
    return report;
}

} // namespace

// Guards against two streams with one key because their texts are divided differently.
TEST(StreamOrigins, KeysTellTextsApart)
{
    const std::set<uint64_t> keys {StreamOrigins::keyOf("a", "b", "c"),
                                   StreamOrigins::keyOf("ab", "", "c"),
                                   StreamOrigins::keyOf("", "ab", "c"),
                                   StreamOrigins::keyOf("", "", "abc"),
                                   StreamOrigins::keyOf("a", "bc", ""),
                                   StreamOrigins::keyOf("1:1", ":", "")};
    EXPECT_EQ(keys.size(), 6U);
    EXPECT_EQ(StreamOrigins::keyOf("a", "b", "c"), StreamOrigins::keyOf("a", "b", "c"));
}

// Guards against continuing a stream by a record that has expired, or for which a relay claims a longer time than any stream has.
TEST(StreamOrigins, RecordsExpire)
{
    StreamOrigins origins({});
    origins.recordOwn(1, "v1", End, Start);
    origins.recordReported({.key = 2, .version = "v2", .lifetime = 1h}, Start);
    origins.recordReported({.key = 3, .version = "v2", .lifetime = 0ms}, Start);
    origins.recordReported({.key = 4, .version = "v2", .lifetime = -1ms}, Start);
    EXPECT_EQ(origins.size(), 2U);
    EXPECT_EQ(origins.version(1, End - 1ns), "v1");
    EXPECT_EQ(origins.find(1, End - 2500us), (std::vector<StreamOrigin> {{.key = 1, .version = "v1", .lifetime = 2ms}}));
    EXPECT_EQ(origins.version(1, End), std::nullopt);
    EXPECT_EQ(origins.version(2, Start + 10min - 1ns), "v2");
    EXPECT_EQ(origins.version(2, Start + 10min), std::nullopt);
    EXPECT_EQ(origins.version(9, Start), std::nullopt);
    origins.recordReported({.key = 1, .version = "v3", .lifetime = 1s}, End);
    EXPECT_EQ(origins.version(1, End), "v3");
    origins.expire(Start + 10min);
    EXPECT_EQ(origins.size(), 0U);
}

// Guards against long streams that other relays forget while their callers still wait (review/15).
TEST(StreamOrigins, ReportedRecordsLiveAsLongAsTheirCallersWait)
{
    StreamOrigins origins({});
    origins.recordOwn(1, "v1", Start + 100s, Start);
    StreamOrigins other({});
    for (const auto &origin : origins.takeReports(10, Start)) {
        other.recordReported(origin, Start);
    }
    EXPECT_EQ(other.version(1, Start + 99s), "v1");
    EXPECT_EQ(other.version(1, Start + 100s), std::nullopt);
}

// Guards against continuing a stream at one of two versions that claim to have begun it, also after the first of the two records has expired.
TEST(StreamOrigins, ContradictionsAreUnknown)
{
    StreamOrigins origins({});
    origins.recordReported({.key = 1, .version = "v1", .lifetime = 20s}, Start);
    origins.recordReported({.key = 1, .version = "v1", .lifetime = 1s}, Start);
    EXPECT_EQ(origins.version(1, Start + 10s), "v1");
    origins.recordOwn(1, "v2", End, Start);
    origins.recordReported({.key = 1, .version = "v1", .lifetime = 1s}, Start);
    origins.expire(Start + 25s);
    EXPECT_EQ(origins.version(1, Start + 25s), std::nullopt);
    EXPECT_EQ(origins.find(1, Start + 25s).size(), 2U);
    StreamOrigins other({});
    for (const auto &origin : origins.find(1, Start + 25s)) {
        other.recordReported(origin, Start + 25s);
    }
    EXPECT_EQ(other.version(1, Start + 25s), std::nullopt);
}

// Guards against other relays that keep the first version because only this relay knows of the contradiction.
TEST(StreamOrigins, ContradictingOwnRecordsAreReported)
{
    StreamOrigins origins({});
    origins.recordReported({.key = 1, .version = "v1", .lifetime = 20s}, Start);
    for (const auto *version : {"v2", "v2", "v3", "v4"}) {
        origins.recordOwn(1, version, End, Start);
    }
    StreamOrigins other({});
    for (const auto &origin : origins.takeReports(10, Start)) {
        EXPECT_EQ(origin.lifetime, 30s);
        other.recordReported(origin, Start);
    }
    EXPECT_EQ(other.size(), 1U);
    EXPECT_EQ(other.version(1, Start), std::nullopt);
}

// Guards against a record that is lost with one datagram, one that is reported without end, and new ones that wait behind repetitions.
TEST(StreamOrigins, EachOwnRecordIsHandedOutTwice)
{
    StreamOrigins origins({});
    EXPECT_FALSE(origins.hasReports(Start));
    for (const uint64_t key : {1, 2, 3}) {
        origins.recordOwn(key, "v1", End, Start);
    }
    origins.recordReported({.key = 9, .version = "v1", .lifetime = 20s}, Start);
    EXPECT_EQ(keysOf(origins.takeReports(2, Start)), (std::vector<uint64_t> {1, 2}));
    origins.recordOwn(4, "v1", Start + 1h, Start);
    const auto second = origins.takeReports(3, Start);
    EXPECT_EQ(keysOf(second), (std::vector<uint64_t> {3, 4, 1}));
    EXPECT_EQ(second[1].lifetime, 10min);
    EXPECT_TRUE(origins.hasReports(Start));
    EXPECT_EQ(keysOf(origins.takeReports(9, Start)), (std::vector<uint64_t> {2, 3, 4}));
    EXPECT_FALSE(origins.hasReports(Start));
    origins.reportAll(Start);
    for (int times = 0; times < 2; ++times) {
        EXPECT_EQ(keysOf(origins.takeReports(9, Start)), (std::vector<uint64_t> {1, 2, 3, 4}));
    }
    origins.reportAll(End);
    EXPECT_EQ(keysOf(origins.takeReports(9, End)), (std::vector<uint64_t> {4}));
    EXPECT_FALSE(origins.hasReports(Start + 1h));
}

// Guards against memory that grows with the streams, and against dropping those that callers can take up for longest.
TEST(StreamOrigins, StreamsAreBounded)
{
    StreamOrigins origins({.maxStreams = 3});
    for (uint64_t key = 0; key < 100; ++key) {
        origins.recordOwn(key, "v1", End + std::chrono::seconds(key % 10), Start);
    }
    EXPECT_EQ(origins.size(), 3U);
    for (const uint64_t key : {79, 89, 99}) {
        EXPECT_EQ(origins.version(key, Start), "v1") << key;
    }
    EXPECT_LE(origins.takeReports(1000, Start).size(), 3U);
}

// Guards against a report that arrives changed, and against one that is as long as allowed and does not fit.
TEST(StreamOriginCodec, ReportsArrive)
{
    for (const auto &report : {largeReport(MaxStreamsInDatagram, 0), largeReport(0, MaxQuestionsInDatagram), largeReport(3, 7)}) {
        const auto datagram = encodeStreamOriginReport(report);
        EXPECT_LE(datagram.size(), MaxPeerDatagramBytes);
        EXPECT_EQ(decodeStreamOriginReport(datagram), report);
    }
    StreamOriginReport report {.node = "n", .peers = "p", .streams = {{.key = 1, .version = "v1", .lifetime = 9h}}, .questions = {}, .unknown = {}};
    report.streams.push_back({.key = 2, .version = "v\n", .lifetime = 1s});
    report.streams.push_back({.key = 3, .version = "v1", .lifetime = -1s});
    const auto decoded = decodeStreamOriginReport(encodeStreamOriginReport(report));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->streams, (std::vector<StreamOrigin> {{.key = 1, .version = "v1", .lifetime = MaxSentStreamLifetime}}));
}

// Guards against records or questions that are lost because they do not fit into one datagram.
TEST(StreamOriginCodec, LongReportsAreSplit)
{
    const auto report = largeReport(500, 500);
    StreamOriginReport joined {.node = report.node, .peers = report.peers, .streams = {}, .questions = {}, .unknown = {}};
    for (const auto &datagram : encodeStreamOriginReports(report)) {
        const auto part = decodeStreamOriginReport(datagram);
        ASSERT_TRUE(part);
        EXPECT_EQ(part->peers, report.peers);
        joined.streams.insert(joined.streams.end(), part->streams.begin(), part->streams.end());
        joined.questions.insert(joined.questions.end(), part->questions.begin(), part->questions.end());
        joined.unknown.insert(joined.unknown.end(), part->unknown.begin(), part->unknown.end());
    }
    EXPECT_EQ(joined, report);
    EXPECT_TRUE(encodeStreamOriginReports(largeReport(0, 0)).empty());
}

// Guards against a relay that fails or records nonsense when a datagram is damaged or of another kind.
TEST(StreamOriginCodec, MalformedDatagramsAreIgnored)
{
    const auto isValid = [](const json &fields) { return decodeStreamOriginReport(datagramOf(fields)).has_value(); };
    const auto with = [](size_t field, const json &value) {
        auto fields = json::parse(R"(["n","p",["v1"],[[1,0,5]],[2],[3]])");
        fields.at(field) = value;
        return fields;
    };
    const auto valid = with(0, "n");
    for (const auto &fields : {valid, with(2, {"v1", "\u00e9"}), with(3, json::parse("[[18446744073709551615,0,3600000]]")), with(4, {1, 2})}) {
        EXPECT_TRUE(isValid(fields)) << fields;
    }
    for (const auto &bytes :
         {std::string(), std::string("S1"), "S2" + datagramOf(valid).substr(2), datagramOf(valid) + "x", datagramOf(with(2, {"v1", "\xff"}))}) {
        EXPECT_FALSE(decodeStreamOriginReport(bytes));
    }
    for (const auto &fields : json::parse(R"([null, 7, {"n":1}, ["n","p"], ["n","p",["v1"],[],[],[],[]]])")) {
        EXPECT_FALSE(isValid(fields)) << fields;
    }
    const std::string longText(201, 'v');
    for (const auto &text : {json(longText), json("\x01"), json("\x7f"), json("v\n"), json(7), json(nullptr)}) {
        EXPECT_FALSE(isValid(with(0, text)) || isValid(with(1, text)) || isValid(with(2, {"v1", text}))) << text;
    }
    for (const auto &stream : json::parse(R"([1, [1,1,5], [1,-1,5], [-1,0,5], [1,0,-5], [1,0,3600001], [1,0,1.5], [1,0], [1,0,5,5], ["1",0,5], {"1":0}])")) {
        EXPECT_FALSE(isValid(with(3, json::array({stream})))) << stream;
    }
    for (const auto &list : {json("v1"), json(1), json(nullptr), json {-1, 2}, json {"x", 2}, json {1e30, 2}, json(std::vector<uint64_t>(200, UINT64_MAX))}) {
        EXPECT_FALSE(isValid(with(2, list)) || isValid(with(3, list)) || isValid(with(4, list)) || isValid(with(5, list))) << list;
    }
    EXPECT_FALSE(isValid(with(2, json::array())));
    const auto datagram = encodeStreamOriginReport(largeReport(3, 3));
    for (size_t size = 0; size < datagram.size(); ++size) {
        EXPECT_FALSE(decodeStreamOriginReport(std::string_view(datagram).substr(0, size))) << size;
    }
    // Any result will do as long as decoding ends.
    for (size_t position = 2; position < datagram.size(); ++position) {
        for (const char byte : {'\x91', '\xc7', '\xdd', '\xdf', '\xdb', '\xc6', '\xff'}) {
            auto damaged = datagram;
            damaged[position] = byte;
            decodeStreamOriginReport(damaged);
        }
    }
    decodeStreamOriginReport("S1" + std::string(MaxPeerDatagramBytes - 2, '\x91'));
}
