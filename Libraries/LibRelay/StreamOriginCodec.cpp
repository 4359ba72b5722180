#include <LibRelay/StreamOriginCodec.h>

#include <absl/strings/ascii.h>
#include <algorithm>
#include <LibCore/Json.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <map>

namespace Jujube
{

namespace
{

using nlohmann::json;

// The second character is the version of the format.
constexpr std::string_view FormatMarker = "S1";

// Positions in the array of a report.
enum Field : size_t {
    Node,
    Peers,
    Versions,
    Streams,
    Questions,
    Unknown,
    FieldCount,
};

// Positions in the array of a stream.
enum StreamField : size_t {
    Key,
    Version,
    Lifetime,
    StreamFieldCount,
};

bool isValidText(std::string_view text)
{
    const auto isControl = [](char character) { return absl::ascii_iscntrl(static_cast<unsigned char>(character)); };
    return text.size() <= MaxStreamOriginTextBytes && std::ranges::none_of(text, isControl) && isValidUtf8(text);
}

std::optional<std::string> textOf(const json &value)
{
    const auto *text = value.get_ptr<const std::string *>();
    return text && isValidText(*text) ? std::optional(*text) : std::nullopt;
}

// Nothing if the value is no number up to the maximum.
std::optional<uint64_t> numberOf(const json &value, uint64_t max)
{
    const auto *number = value.get_ptr<const json::number_unsigned_t *>();
    return number && *number <= max ? std::optional(*number) : std::nullopt;
}

std::optional<std::vector<uint64_t>> keysOf(const json &list)
{
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<uint64_t> keys;
    for (const auto &item : list) {
        const auto key = numberOf(item, UINT64_MAX);
        if (!key) {
            return std::nullopt;
        }
        keys.push_back(*key);
    }
    return keys;
}

std::optional<std::vector<std::string>> textsOf(const json &list)
{
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    for (const auto &item : list) {
        auto text = textOf(item);
        if (!text) {
            return std::nullopt;
        }
        texts.push_back(*std::move(text));
    }
    return texts;
}

std::optional<StreamOrigin> streamOf(const json &item, const std::vector<std::string> &versions)
{
    if (!item.is_array() || item.size() != StreamFieldCount) {
        return std::nullopt;
    }
    const auto key = numberOf(item[Key], UINT64_MAX);
    const auto version = numberOf(item[Version], UINT64_MAX);
    const auto lifetime = numberOf(item[Lifetime], static_cast<uint64_t>(MaxSentStreamLifetime.count()));
    if (!key || !version || *version >= versions.size() || !lifetime) {
        return std::nullopt;
    }
    return StreamOrigin {.key = *key, .version = versions[*version], .lifetime = std::chrono::milliseconds(*lifetime)};
}

std::optional<std::vector<StreamOrigin>> streamsOf(const json &list, const std::vector<std::string> &versions)
{
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<StreamOrigin> streams;
    for (const auto &item : list) {
        auto stream = streamOf(item, versions);
        if (!stream) {
            return std::nullopt;
        }
        streams.push_back(*std::move(stream));
    }
    return streams;
}

template<typename Item>
void moveSecondHalf(std::vector<Item> &from, std::vector<Item> &to)
{
    const auto half = from.begin() + static_cast<std::ptrdiff_t>((from.size() + 1) / 2);
    to.assign(half, from.end());
    from.erase(half, from.end());
}

// Splits a report until its parts fit.
void addDatagrams(StreamOriginReport report, std::vector<std::string> &datagrams)
{
    auto datagram = encodeStreamOriginReport(report);
    if (datagram.size() <= MaxPeerDatagramBytes) {
        datagrams.push_back(std::move(datagram));
        return;
    }
    StreamOriginReport rest {.node = report.node, .peers = report.peers, .streams = {}, .questions = {}, .unknown = {}};
    if (report.streams.size() > 1) {
        moveSecondHalf(report.streams, rest.streams);
        std::swap(report.questions, rest.questions);
        std::swap(report.unknown, rest.unknown);
    } else {
        moveSecondHalf(report.questions, rest.questions);
        moveSecondHalf(report.unknown, rest.unknown);
    }
    addDatagrams(std::move(report), datagrams);
    addDatagrams(std::move(rest), datagrams);
}

} // namespace

std::string encodeStreamOriginReport(const StreamOriginReport &report)
{
    auto versions = json::array();
    auto streams = json::array();
    std::map<std::string_view, size_t> positions;
    for (const auto &stream : report.streams) {
        if (!isValidText(stream.version) || stream.lifetime.count() < 0) {
            continue;
        }
        const auto [position, isNew] = positions.try_emplace(stream.version, positions.size());
        if (isNew) {
            versions.push_back(stream.version);
        }
        const auto lifetime = std::min(stream.lifetime, MaxSentStreamLifetime);
        streams.push_back(json::array({stream.key, position->second, static_cast<uint64_t>(lifetime.count())}));
    }
    const auto bytes = json::to_msgpack(json::array({report.node, report.peers, versions, streams, json(report.questions), json(report.unknown)}));
    return std::string(FormatMarker) + std::string(bytes.begin(), bytes.end());
}

std::vector<std::string> encodeStreamOriginReports(const StreamOriginReport &report)
{
    std::vector<std::string> datagrams;
    const bool isEmpty = report.streams.empty() && report.questions.empty() && report.unknown.empty();
    if (!isEmpty && isValidText(report.node) && isValidText(report.peers)) {
        addDatagrams(report, datagrams);
    }
    return datagrams;
}

std::optional<StreamOriginReport> decodeStreamOriginReport(std::string_view datagram)
{
    if (datagram.size() > MaxPeerDatagramBytes || !datagram.starts_with(FormatMarker)) {
        return std::nullopt;
    }
    const auto body = datagram.substr(FormatMarker.size());
    const auto fields = json::from_msgpack(body.begin(), body.end(), true, false);
    if (!fields.is_array() || fields.size() != FieldCount) {
        return std::nullopt;
    }
    auto node = textOf(fields[Node]);
    auto peers = textOf(fields[Peers]);
    const auto versions = textsOf(fields[Versions]);
    auto questions = keysOf(fields[Questions]);
    auto unknown = keysOf(fields[Unknown]);
    auto streams = versions ? streamsOf(fields[Streams], *versions) : std::nullopt;
    if (!node || !peers || !questions || !unknown || !streams) {
        return std::nullopt;
    }
    return StreamOriginReport {.node = *std::move(node),
                               .peers = *std::move(peers),
                               .streams = *std::move(streams),
                               .questions = *std::move(questions),
                               .unknown = *std::move(unknown)};
}

} // namespace Jujube
