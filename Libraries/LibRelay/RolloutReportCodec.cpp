#include <LibRelay/RolloutReportCodec.h>

#include <algorithm>
#include <LibCore/ThriftCompact.h>
#include <LibRelay/PeerHeartbeatCodec.h>
#include <limits>
#include <Relay_types.h>

namespace Jujube
{

namespace
{

// The second character is the version of the format.
constexpr std::string_view FormatMarker = "Q1";
// Bytes by which the headers of both lists may grow with their number of elements, two each.
constexpr size_t ListHeaderBytes = 4;
// Bytes of the length of a name, at most.
constexpr size_t NameHeaderBytes = 2;
// Maximum of a count. Sums over all relays of a fleet do not overflow.
constexpr int64_t MaxCount = 1'000'000'000'000;

using Sample = std::pair<const RolloutSampleKey, RolloutSamples>;

std::vector<int32_t> toWire(const RolloutHistogram &histogram)
{
    std::vector<int32_t> result;
    for (size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        if (histogram.counts[bucket] > 0) {
            result.push_back(static_cast<int32_t>(bucket));
            result.push_back(static_cast<int32_t>(std::min<uint32_t>(histogram.counts[bucket], std::numeric_limits<int32_t>::max())));
        }
    }
    return result;
}

std::optional<RolloutHistogram> histogramFromWire(const std::vector<int32_t> &list)
{
    if (list.size() % 2 != 0) {
        return std::nullopt;
    }
    RolloutHistogram result;
    int32_t next = 0;
    for (size_t index = 0; index < list.size(); index += 2) {
        const auto bucket = list[index];
        const auto count = list[index + 1];
        if (bucket < next || bucket >= static_cast<int32_t>(result.counts.size()) || count <= 0) {
            return std::nullopt;
        }
        result.counts[static_cast<size_t>(bucket)] = static_cast<uint32_t>(count);
        next = bucket + 1;
    }
    return result;
}

Wire::RolloutReport headToWire(const RolloutReport &report)
{
    Wire::RolloutReport result;
    result.node = report.node;
    result.incarnation = report.incarnation;
    result.serviceName = report.service;
    result.orderVersion = report.order;
    result.planVersion = report.plan;
    result.requests = report.requests;
    result.newRequests = report.newRequests;
    result.runningOnNew = report.runningOnNew;
    result.runningOnOld = report.runningOnOld;
    return result;
}

// A datagram to which samples are added while there is room.
class ReportDatagram
{
public:
    explicit ReportDatagram(const Wire::RolloutReport &head)
        : m_wire(head)
        , m_bytes(FormatMarker.size() + ListHeaderBytes + toThriftCompact(head).size())
    {
    }

    bool fits() const
    {
        return m_bytes <= MaxPeerDatagramBytes;
    }

    // Returns false and changes nothing if there is no room.
    bool add(const Sample &sample)
    {
        const auto &[key, samples] = sample;
        auto names = m_wire.names;
        Wire::RolloutSample wire;
        wire.route = position(names, key.route);
        wire.target = position(names, key.target);
        wire.isNew = key.isNew;
        wire.responses = samples.responses;
        wire.bad = samples.bad;
        wire.delay = toWire(samples.delay);
        wire.pace = toWire(samples.pace);
        // Optional fields that are not set take no bytes.
        wire.__isset.delay = !wire.delay.empty();
        wire.__isset.pace = !wire.pace.empty();
        auto bytes = m_bytes + toThriftCompact(wire).size();
        for (auto index = m_wire.names.size(); index < names.size(); ++index) {
            bytes += NameHeaderBytes + names[index].size();
        }
        if (bytes > MaxPeerDatagramBytes) {
            return false;
        }
        m_bytes = bytes;
        m_wire.names = std::move(names);
        m_wire.samples.push_back(std::move(wire));
        return true;
    }

    std::string encode() const
    {
        return std::string(FormatMarker) + toThriftCompact(m_wire);
    }

private:
    // Adds the name if it is not there yet.
    static int32_t position(std::vector<std::string> &names, const std::string &name)
    {
        const auto found = std::ranges::find(names, name);
        const auto index = found - names.begin();
        if (found == names.end()) {
            names.push_back(name);
        }
        return static_cast<int32_t>(index);
    }

    Wire::RolloutReport m_wire;
    // Upper bound of the size of the datagram.
    size_t m_bytes;
};

// In the order in which they get their room. The verdict needs the samples of the new version, which gets fewer requests, more than single old ones.
std::vector<const Sample *> orderedSamples(const RolloutReport &report)
{
    std::vector<const Sample *> result;
    result.reserve(report.samples.size());
    for (const auto &sample : report.samples) {
        result.push_back(&sample);
    }
    std::ranges::stable_sort(result, [](const auto *left, const auto *right) {
        return std::pair(left->first.isNew, left->second.responses) > std::pair(right->first.isNew, right->second.responses);
    });
    return result;
}

void addSample(std::vector<ReportDatagram> &datagrams, const Wire::RolloutReport &head, const Sample &sample)
{
    if (std::ranges::any_of(datagrams, [&](auto &datagram) { return datagram.add(sample); })) {
        return;
    }
    ReportDatagram next(head);
    if (datagrams.size() < MaxRolloutReportDatagrams && next.add(sample)) {
        datagrams.push_back(std::move(next));
    }
}

bool isCount(int64_t value)
{
    return value >= 0 && value <= MaxCount;
}

bool isValidHead(const Wire::RolloutReport &wire)
{
    const bool hasNames = !wire.node.empty() && !wire.serviceName.empty();
    const bool hasVersions = wire.incarnation >= 0 && wire.orderVersion > 0 && wire.planVersion >= 0;
    const bool hasCounts = isCount(wire.requests) && isCount(wire.newRequests) && isCount(wire.runningOnNew) && isCount(wire.runningOnOld);
    return hasNames && hasVersions && hasCounts;
}

// Whether it is the position of a name that is not empty.
bool isNamed(const std::vector<std::string> &names, int32_t position)
{
    return position >= 0 && static_cast<size_t>(position) < names.size() && !names[static_cast<size_t>(position)].empty();
}

std::optional<Sample> sampleFromWire(const Wire::RolloutSample &wire, const std::vector<std::string> &names)
{
    const auto delay = histogramFromWire(wire.delay);
    const auto pace = histogramFromWire(wire.pace);
    if (!isNamed(names, wire.route) || !isNamed(names, wire.target) || !delay || !pace) {
        return std::nullopt;
    }
    if (!isCount(wire.responses) || !isCount(wire.bad) || wire.bad > wire.responses) {
        return std::nullopt;
    }
    return Sample(RolloutSampleKey {.route = names[static_cast<size_t>(wire.route)], .target = names[static_cast<size_t>(wire.target)], .isNew = wire.isNew},
                  RolloutSamples {.responses = wire.responses, .bad = wire.bad, .delay = *delay, .pace = *pace});
}

} // namespace

std::vector<std::string> encodeRolloutReport(const RolloutReport &report)
{
    const auto head = headToWire(report);
    std::vector<ReportDatagram> datagrams {ReportDatagram(head)};
    if (!datagrams.front().fits()) {
        return {};
    }
    for (const auto *sample : orderedSamples(report)) {
        addSample(datagrams, head, *sample);
    }
    std::vector<std::string> result;
    result.reserve(datagrams.size());
    for (const auto &datagram : datagrams) {
        result.push_back(datagram.encode());
    }
    return result;
}

std::optional<RolloutReport> decodeRolloutReport(std::string_view datagram)
{
    if (datagram.size() > MaxPeerDatagramBytes || !datagram.starts_with(FormatMarker)) {
        return std::nullopt;
    }
    const auto wire = fromThriftCompact<Wire::RolloutReport>(std::string(datagram.substr(FormatMarker.size())));
    if (!wire || !isValidHead(*wire)) {
        return std::nullopt;
    }
    RolloutReport report {.node = wire->node,
                          .incarnation = wire->incarnation,
                          .service = wire->serviceName,
                          .order = wire->orderVersion,
                          .plan = wire->planVersion,
                          .requests = wire->requests,
                          .newRequests = wire->newRequests,
                          .runningOnNew = wire->runningOnNew,
                          .runningOnOld = wire->runningOnOld,
                          .samples = {}};
    for (const auto &item : wire->samples) {
        auto sample = sampleFromWire(item, wire->names);
        if (!sample || !report.samples.insert(std::move(*sample)).second) {
            return std::nullopt;
        }
    }
    return report;
}

} // namespace Jujube
