#include <LibPolicy/PromptPartCrashes.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <numeric>
#include <tuple>

namespace Jujube
{

namespace
{

constexpr size_t MaxCrashes = 256;
// A target runs some tens of requests, and more wait there.
constexpr size_t MaxRequests = 256;
// Thirty requests without a part in common, as long as a header section of 16 KiB allows, have fewer.
constexpr size_t MaxPartsOfCrash = size_t {64} * 1024;
constexpr size_t MaxParts = size_t {96} * 1024;
// Parts that were sound before a crash are reported this long after it. Responses clear most of them until then.
constexpr std::chrono::milliseconds SoundPartsDelay {1000};
// A crash with many parts is reported until each part has been sent so often, as a datagram may be lost, and at most for this time.
constexpr int MinReportRounds = 2;
constexpr std::chrono::milliseconds MaxReportTime {30000};
// Sizes of the encoded report beside its parts.
constexpr size_t CrashBytes = 32;
constexpr size_t RequestBytes = 18;
constexpr size_t SetBytes = 8;
constexpr size_t PositionBytes = 2;
// A crash that needs more pieces is not reported.
constexpr uint32_t MaxPieces = 512;
// Behind the name of a relay, for the pieces with the parts that it rejects.
constexpr const char *RejectedSuffix = "/rejected";

// Length of an id as a variable-length integer.
size_t encodedBytes(uint64_t part)
{
    constexpr int BitsPerByte = 7;
    const uint64_t zigzag = (part << 1) ^ (static_cast<int64_t>(part) < 0 ? ~uint64_t {0} : 0);
    return std::max<size_t>(1, (static_cast<size_t>(std::bit_width(zigzag)) + BitsPerByte - 1) / BitsPerByte);
}

// Length of a report of these parts.
size_t encodedBytes(const PromptPartCrashes::Key &key, const PromptPartCrashes::Crash &crash, const PromptPartIds &parts)
{
    size_t bytes = CrashBytes + key.first.size();
    std::set<uint32_t> sets;
    std::set<uint32_t> requests;
    for (const auto part : parts) {
        bytes += encodedBytes(part);
        const auto set = crash.parts.at(part);
        if (sets.insert(set).second) {
            bytes += SetBytes + PositionBytes * crash.requestsOfSet[set].size();
            requests.insert(crash.requestsOfSet[set].begin(), crash.requestsOfSet[set].end());
        }
    }
    return bytes + RequestBytes * requests.size();
}

// Divides parts into pieces of a crash's report. A part is in the same piece for as long as their number is the same.
std::vector<PromptPartIds> divide(const PromptPartIds &parts, uint32_t pieces)
{
    constexpr uint64_t Multiplier = 0x9e3779b97f4a7c15;
    constexpr int Shift = 32;
    std::vector<PromptPartIds> result(pieces);
    for (const auto part : parts) {
        result[((part * Multiplier) >> Shift) % pieces].push_back(part);
    }
    return result;
}

// The same in as many pieces as are needed for their length, at least so many. Empty if there are too many.
std::vector<PromptPartIds>
divideByLength(const PromptPartCrashes::Key &key, const PromptPartCrashes::Crash &crash, const PromptPartIds &parts, uint32_t pieces, size_t maxBytes)
{
    for (; pieces <= MaxPieces; pieces += 1 + pieces / 4) {
        auto result = divide(parts, pieces);
        if (std::ranges::all_of(result, [&](const auto &piece) { return encodedBytes(key, crash, piece) <= maxBytes; })) {
            return result;
        }
    }
    return {};
}

bool areAllThere(const std::vector<uint64_t> &pieces)
{
    return !pieces.empty() && std::ranges::find(pieces, 0) == pieces.end();
}

} // namespace

bool PromptPartCrashes::Crash::isComplete() const
{
    return isResolved
        || (droppedParts == 0 && (isOwn || !pieces.empty()) && std::ranges::all_of(pieces, [](const auto &entry) { return areAllThere(entry.second); }));
}

size_t PromptPartCrashes::crashCount(uint64_t part) const
{
    const auto found = m_crashCounts.find(part);
    return found == m_crashCounts.end() ? 0 : found->second;
}

PromptPartCrashes::Crash &PromptPartCrashes::crashOf(const PromptPartCrash &report, bool &isNew, MonotonicTime now)
{
    const Key key {report.target, report.incarnation};
    if (m_crashes.size() >= MaxCrashes && !m_crashes.contains(key)) {
        drop(std::ranges::min_element(m_crashes, {}, [](const auto &entry) { return entry.second.time; }));
    }
    const auto [entry, isInserted] = m_crashes.try_emplace(key);
    auto &crash = entry->second;
    isNew = isInserted;
    const auto time = now - std::max(report.age, std::chrono::milliseconds(0));
    if (isNew) {
        crash.time = time;
        crash.learntAt = now;
    }
    return crash;
}

bool PromptPartCrashes::notePiece(Crash &crash, const PromptPartCrash &report)
{
    if (report.peer.empty()) {
        crash.isOwn = true;
        return false;
    }
    if (report.pieces == 0 || report.pieces > MaxPieces || report.piece >= report.pieces) {
        return false;
    }
    uint64_t digest = 0;
    for (const auto &request : report.requests) {
        digest += request.digest ^ (request.hasBegun ? 1 : 0);
        digest = std::accumulate(request.parts.begin(), request.parts.end(), digest);
    }
    for (const auto &shared : report.shared) {
        digest = std::accumulate(shared.parts.begin(), shared.parts.end(), digest);
    }
    digest |= 1;
    auto &pieces = crash.pieces[report.areRejected ? report.peer + RejectedSuffix : report.peer];
    if (pieces.size() != report.pieces) {
        pieces.assign(report.pieces, 0);
    }
    const bool isRepeated = std::exchange(pieces[report.piece], digest) == digest;
    crash.isResolved = crash.isResolved || (report.areRejected && areAllThere(pieces));
    return isRepeated;
}

bool PromptPartCrashes::record(const PromptPartCrash &report, const SoundTime &soundAt, const std::function<void(uint64_t part)> &onSound, MonotonicTime now)
{
    bool hasChanged = false;
    auto &crash = crashOf(report, hasChanged, now);
    if (const auto time = now - report.age; time < crash.time) {
        crash.time = time;
        dropSoundParts(crash, soundAt);
    }
    const bool wasComplete = crash.isComplete();
    const bool isRepeated = notePiece(crash, report);
    hasChanged = hasChanged || crash.isComplete() != wasComplete;
    if (isRepeated) {
        return hasChanged;
    }
    std::vector<std::optional<uint32_t>> positions;
    for (const auto &request : report.requests) {
        const auto known = std::ranges::find(crash.requests, request.digest, &Request::digest);
        if (known == crash.requests.end() && crash.requests.size() >= MaxRequests) {
            positions.emplace_back();
            ++crash.droppedParts;
            continue;
        }
        positions.emplace_back(static_cast<uint32_t>(known - crash.requests.begin()));
        if (known == crash.requests.end()) {
            crash.requests.push_back({.digest = request.digest, .hasBegun = request.hasBegun});
            hasChanged = true;
        } else if (request.hasBegun && !known->hasBegun) {
            known->hasBegun = true;
            hasChanged = true;
        }
    }
    absl::flat_hash_map<uint64_t, std::vector<uint32_t>> parts;
    const auto add = [&](uint64_t part, uint32_t request) {
        if (request < positions.size() && positions[request]) {
            parts[part].push_back(*positions[request]);
        }
    };
    for (uint32_t request = 0; request < report.requests.size(); ++request) {
        std::ranges::for_each(report.requests[request].parts, [&](uint64_t part) { add(part, request); });
    }
    for (const auto &shared : report.shared) {
        for (const auto part : shared.parts) {
            std::ranges::for_each(shared.requests, [&](uint32_t request) { add(part, request); });
        }
    }
    for (const auto &[part, requests] : parts) {
        if (soundAt(part)) {
            onSound(part);
        }
    }
    addParts(crash, parts, soundAt, hasChanged);
    limitParts({report.target, report.incarnation});
    return hasChanged;
}

void PromptPartCrashes::addParts(Crash &crash, absl::flat_hash_map<uint64_t, std::vector<uint32_t>> &parts, const SoundTime &soundAt, bool &hasChanged)
{
    // Where there is not room for all, those that were never sound come first.
    for (const bool addsSound : {false, true}) {
        for (auto &[part, requests] : parts) {
            const auto sound = soundAt(part);
            if (sound.has_value() != addsSound || (sound && *sound >= crash.time)) {
                continue;
            }
            const auto known = crash.parts.find(part);
            if (known == crash.parts.end() && crash.parts.size() >= MaxPartsOfCrash) {
                ++crash.droppedParts;
                continue;
            }
            if (known != crash.parts.end()) {
                const auto &other = crash.requestsOfSet[known->second];
                requests.insert(requests.end(), other.begin(), other.end());
            }
            std::ranges::sort(requests);
            requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
            const auto [set, isNewSet] = crash.requestSets.try_emplace(requests, static_cast<uint32_t>(crash.requestsOfSet.size()));
            if (isNewSet) {
                crash.requestsOfSet.push_back(requests);
            }
            if (known == crash.parts.end()) {
                crash.parts.emplace(part, set->second);
                ++m_crashCounts[part];
                ++m_partCount;
                hasChanged = true;
            } else if (known->second != set->second) {
                known->second = set->second;
                hasChanged = true;
            }
        }
    }
}

void PromptPartCrashes::dropSoundParts(Crash &crash, const SoundTime &soundAt)
{
    PromptPartIds sound;
    for (const auto &[part, set] : crash.parts) {
        if (const auto time = soundAt(part); time && *time >= crash.time) {
            sound.push_back(part);
        }
    }
    std::ranges::for_each(sound, [&](uint64_t part) { removePart(crash, part); });
}

void PromptPartCrashes::removePart(Crash &crash, uint64_t part)
{
    if (crash.parts.erase(part) == 0) {
        return;
    }
    --m_partCount;
    const auto count = m_crashCounts.find(part);
    if (--count->second == 0) {
        m_crashCounts.erase(count);
    }
}

PromptPartIds PromptPartCrashes::clear(const PromptPartIds &parts, MonotonicTime time)
{
    PromptPartIds suspected;
    std::ranges::copy_if(parts, std::back_inserter(suspected), [this](uint64_t part) { return m_crashCounts.contains(part); });
    if (suspected.empty()) {
        return {};
    }
    std::set<uint64_t> cleared;
    for (auto &[key, crash] : m_crashes) {
        if (crash.time > time) {
            continue;
        }
        for (const auto part : suspected) {
            if (crash.parts.contains(part)) {
                removePart(crash, part);
                cleared.insert(part);
            }
        }
    }
    return {cleared.begin(), cleared.end()};
}

PromptPartCrash PromptPartCrashes::report(const Key &key, const Crash &crash, const PromptPartIds &parts, MonotonicTime now)
{
    PromptPartCrash report {.target = key.first,
                            .incarnation = key.second,
                            .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.time),
                            .requests = {},
                            .shared = {},
                            .peer = {}};
    std::map<uint32_t, PromptPartIds> partsOfSet;
    for (const auto part : parts) {
        partsOfSet[crash.parts.at(part)].push_back(part);
    }
    std::map<uint32_t, uint32_t> positions;
    const auto positionOf = [&](uint32_t request) {
        const auto [position, isNew] = positions.try_emplace(request, static_cast<uint32_t>(positions.size()));
        if (isNew) {
            report.requests.push_back({.digest = crash.requests[request].digest, .hasBegun = crash.requests[request].hasBegun, .parts = {}});
        }
        return position->second;
    };
    for (auto &[set, ids] : partsOfSet) {
        const auto &requests = crash.requestsOfSet[set];
        if (requests.size() == 1) {
            report.requests[positionOf(requests.front())].parts = std::move(ids);
            continue;
        }
        SharedPromptParts shared {.requests = {}, .parts = std::move(ids)};
        std::ranges::transform(requests, std::back_inserter(shared.requests), positionOf);
        report.shared.push_back(std::move(shared));
    }
    return report;
}

std::vector<std::vector<PromptPartCrash>>
PromptPartCrashes::takeReports(const ReportOptions &options, const std::function<bool(uint64_t part)> &isUnknown, MonotonicTime now)
{
    std::vector<std::pair<const Key *, Crash *>> due;
    const auto roundsOf = [&options](Crash &crash) { return crash.progress[options.audience].rounds; };
    for (auto &[key, crash] : m_crashes) {
        const auto knownFor = now - crash.learntAt;
        const int minRounds = options.onlyFirstRound ? 1 : MinReportRounds;
        const bool isDue = (knownFor < options.time && !options.onlyFirstRound) || (crash.isOwn && roundsOf(crash) < minRounds && knownFor < MaxReportTime);
        // What has come in part must not look whole to others.
        const bool isWhole = crash.droppedParts == 0 && (crash.isOwn || crash.isComplete());
        if (isDue && isWhole && (crash.isOwn || options.includesReported)) {
            due.emplace_back(&key, &crash);
        }
    }
    std::ranges::sort(due, [&](const auto &left, const auto &right) {
        return std::make_tuple(roundsOf(*left.second), -left.second->time.time_since_epoch().count(), *left.first)
            < std::make_tuple(roundsOf(*right.second), -right.second->time.time_since_epoch().count(), *right.first);
    });
    std::vector<std::vector<PromptPartCrash>> datagrams;
    size_t left = 0;
    for (const auto &[key, crash] : due) {
        auto &progress = crash->progress[options.audience];
        PromptPartIds parts;
        for (const auto &[part, set] : crash->parts) {
            if (now - crash->time >= SoundPartsDelay || isUnknown(part)) {
                parts.push_back(part);
            }
        }
        const auto pieces = divideByLength(*key, *crash, parts, std::max<uint32_t>(1, progress.pieces), options.bytes);
        if (parts.empty() || pieces.empty() || pieces.size() > options.maxPieces) {
            continue;
        }
        const auto count = static_cast<uint32_t>(pieces.size());
        progress.nextPiece = count == progress.pieces ? progress.nextPiece : 0;
        progress.pieces = count;
        for (uint32_t sent = 0; sent < count; ++sent) {
            const auto &piece = pieces[progress.nextPiece];
            const auto bytes = encodedBytes(*key, *crash, piece);
            if (bytes > left) {
                if (datagrams.size() >= options.datagrams) {
                    return datagrams;
                }
                datagrams.emplace_back();
                left = options.bytes;
            }
            left -= bytes;
            datagrams.back().push_back(report(*key, *crash, piece, now));
            datagrams.back().back().pieces = count;
            datagrams.back().back().piece = progress.nextPiece;
            progress.nextPiece = (progress.nextPiece + 1) % count;
            progress.rounds += progress.nextPiece == 0 ? 1 : 0;
            if (options.onlyFirstRound && progress.nextPiece == 0) {
                break;
            }
        }
    }
    return datagrams;
}

std::vector<PromptPartCrash> PromptPartCrashes::reports(const Key &key, const PromptPartIds &ids, size_t bytes, MonotonicTime now) const
{
    const auto &crash = m_crashes.at(key);
    PromptPartIds parts;
    std::ranges::copy_if(ids, std::back_inserter(parts), [&](uint64_t part) { return crash.parts.contains(part); });
    std::vector<PromptPartCrash> result;
    const auto pieces = divideByLength(key, crash, parts, 1, bytes);
    for (uint32_t piece = 0; piece < pieces.size(); ++piece) {
        result.push_back(report(key, crash, pieces[piece], now));
        result.back().pieces = static_cast<uint32_t>(pieces.size());
        result.back().piece = piece;
    }
    return result;
}

void PromptPartCrashes::drop(std::map<Key, Crash>::iterator crash)
{
    PromptPartIds parts;
    for (const auto &[part, set] : crash->second.parts) {
        parts.push_back(part);
    }
    std::ranges::for_each(parts, [&](uint64_t part) { removePart(crash->second, part); });
    m_crashes.erase(crash);
}

void PromptPartCrashes::limitParts(const Key &kept)
{
    while (m_partCount > MaxParts) {
        auto oldest = m_crashes.end();
        for (auto entry = m_crashes.begin(); entry != m_crashes.end(); ++entry) {
            if (entry->first != kept && !entry->second.parts.empty() && (oldest == m_crashes.end() || entry->second.time < oldest->second.time)) {
                oldest = entry;
            }
        }
        if (oldest == m_crashes.end()) {
            return;
        }
        drop(oldest);
    }
}

void PromptPartCrashes::dropBefore(MonotonicTime time)
{
    for (auto entry = m_crashes.begin(); entry != m_crashes.end();) {
        const auto current = entry++;
        if (current->second.time < time) {
            drop(current);
        }
    }
}

} // namespace Jujube
