#include <LibPolicy/PromptPartSuspects.h>

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <iterator>
#include <tuple>

namespace Jujube
{

namespace
{

constexpr size_t MaxSoundParts = size_t {64} * 1024;
constexpr size_t MaxReportedSound = 8192;
// Parts of one crash in a heartbeat, beside those that are rejected. The whole crash has datagrams of its own.
constexpr size_t MaxPartsInHeartbeat = 24;
// Repeats of one request crash targets whatever part of it is the cause.
constexpr size_t MinDifferentRequests = 2;
// A part that no target has responded to, and that was in this many crashes, explains them before a part that was sound.
constexpr size_t MinCrashesOfUnknownPart = 2;
// Of the crashes of the part that was in most of them.
constexpr double MinShareOfCrashes = 0.75;
// Interval at which rejections are computed again without a new report, and with new reports if there are many parts.
constexpr std::chrono::milliseconds UpdateInterval {100};
constexpr size_t ManyParts = 4096;

} // namespace

PromptPartSuspects::PromptPartSuspects(Options options)
    : m_options(options)
    , m_sound(MaxSoundParts)
{
}

bool PromptPartSuspects::recordCrash(const PromptPartCrash &report, MonotonicTime now)
{
    if (report.age >= m_options.memory || report.requests.empty()) {
        return false;
    }
    const auto onSound = [&](uint64_t part) {
        if (!report.peer.empty() && m_reportedSound.size() < MaxReportedSound) {
            m_reportedSound[part] = now + m_options.reportTime;
        }
    };
    const bool hasChanged = m_crashes.record(
        report, [&](uint64_t part) { return soundAt(part, now); }, onSound, now);
    m_isOutdated = m_isOutdated || hasChanged;
    return hasChanged;
}

void PromptPartSuspects::noteSound(const PromptPartIds &parts, MonotonicTime time)
{
    for (const auto part : parts) {
        m_sound.record(part, time);
        if (const auto probation = m_probations.find(part);
            probation != m_probations.end() && time >= probation->second - m_options.probation - m_options.memory) {
            m_probations.erase(probation);
        }
    }
}

bool PromptPartSuspects::recordSound(const PromptPartIds &parts, std::chrono::milliseconds age, MonotonicTime now)
{
    const auto time = now - std::max(age, std::chrono::milliseconds(0));
    noteSound(parts, time);
    const auto cleared = m_crashes.clear(parts, time);
    for (const auto part : cleared) {
        if (m_reportedSound.size() < MaxReportedSound) {
            m_reportedSound[part] = now + m_options.reportTime;
        }
    }
    m_isOutdated = m_isOutdated || !cleared.empty();
    return !cleared.empty();
}

void PromptPartSuspects::recordReportedSound(const SoundPromptPart &sound, MonotonicTime now)
{
    const auto time = now - std::max(sound.age, std::chrono::milliseconds(0));
    noteSound({sound.part}, time);
    m_isOutdated = !m_crashes.clear({sound.part}, time).empty() || m_isOutdated;
}

PromptPartVerdict PromptPartSuspects::verdict(const PromptPartIds &parts, MonotonicTime now)
{
    update(now);
    if (m_rejected.empty() && m_probations.empty()) {
        return {};
    }
    const absl::flat_hash_set<uint64_t> ids(parts.begin(), parts.end());
    PromptPartVerdict verdict;
    for (const auto &rejection : m_rejected) {
        const bool isLater = now < rejection.until && rejection.until > verdict.until;
        if (isLater && std::ranges::all_of(rejection.parts, [&](uint64_t part) { return ids.contains(part); })) {
            verdict = {.action = PromptPartVerdict::Action::Reject, .part = rejection.parts.front(), .until = rejection.until};
        }
    }
    if (verdict.action == PromptPartVerdict::Action::Reject) {
        return verdict;
    }
    const auto tried = std::ranges::find_if(parts, [&](uint64_t part) { return isOnProbation(part, now); });
    return tried == parts.end() ? PromptPartVerdict {} : PromptPartVerdict {.action = PromptPartVerdict::Action::Try, .part = *tried, .until = {}};
}

bool PromptPartSuspects::areSound(const PromptPartIds &parts, MonotonicTime now) const
{
    return std::ranges::all_of(parts, [&](uint64_t part) { return soundAt(part, now).has_value(); });
}

std::vector<uint64_t> PromptPartSuspects::rejectedParts(MonotonicTime now)
{
    update(now);
    std::vector<uint64_t> parts;
    parts.reserve(m_rejected.size());
    for (const auto &rejection : m_rejected) {
        if (now < rejection.until) {
            parts.push_back(rejection.parts.front());
        }
    }
    return parts;
}

std::vector<std::pair<PromptPartSuspects::Key, PromptPartIds>> PromptPartSuspects::rejectionReasons() const
{
    const auto &known = m_crashes.crashes();
    std::vector<std::pair<Key, PromptPartIds>> result;
    for (const auto &rejection : m_rejected) {
        std::vector<Key> reasons;
        std::ranges::copy_if(rejection.crashes, std::back_inserter(reasons), [&](const Key &key) { return known.contains(key); });
        std::ranges::sort(reasons,
                          [&](const Key &left, const Key &right) { return std::tie(known.at(left).time, left) > std::tie(known.at(right).time, right); });
        reasons.resize(std::min(reasons.size(), m_options.minCrashesOfSoundPart));
        for (const auto &key : reasons) {
            PromptPartIds parts;
            std::ranges::copy_if(rejection.parts, std::back_inserter(parts), [&](uint64_t part) { return known.at(key).parts.contains(part); });
            result.emplace_back(key, std::move(parts));
        }
    }
    return result;
}

std::vector<PromptPartCrash> PromptPartSuspects::rejectionReports(size_t bytes, MonotonicTime now)
{
    update(now);
    std::vector<PromptPartCrash> result;
    for (const auto &[key, parts] : rejectionReasons()) {
        for (auto &piece : m_crashes.reports(key, parts, bytes, now)) {
            piece.areRejected = true;
            result.push_back(std::move(piece));
        }
    }
    return result;
}

std::vector<PromptPartCrash> PromptPartSuspects::crashes(size_t count, MonotonicTime now)
{
    update(now);
    const auto &known = m_crashes.crashes();
    std::vector<PromptPartCrash> reports;
    std::set<Key> reported;
    for (const auto &[key, parts] : rejectionReasons()) {
        reported.insert(key);
        if (parts.size() <= MaxPartsInHeartbeat) {
            reports.push_back(PromptPartCrashes::report(key, known.at(key), parts, now));
            reports.back().areRejected = true;
        }
    }
    std::vector<Key> others;
    for (const auto &[key, crash] : known) {
        const bool isNew = now - crash.learntAt < m_options.reportTime;
        if (isNew && !reported.contains(key) && crash.isComplete() && !crash.parts.empty() && crash.parts.size() <= MaxPartsInHeartbeat) {
            others.push_back(key);
        }
    }
    std::ranges::sort(others, [&](const Key &left, const Key &right) { return std::tie(known.at(left).time, left) > std::tie(known.at(right).time, right); });
    for (const auto &key : others) {
        PromptPartIds parts;
        for (const auto &[part, set] : known.at(key).parts) {
            parts.push_back(part);
        }
        reports.push_back(PromptPartCrashes::report(key, known.at(key), parts, now));
    }
    reports.resize(std::min(reports.size(), count));
    return reports;
}

std::vector<SoundPromptPart> PromptPartSuspects::soundSuspects(size_t count, MonotonicTime now) const
{
    std::set<uint64_t> parts;
    for (const auto &[part, until] : m_reportedSound) {
        parts.insert(part);
    }
    for (const auto &[key, crash] : m_crashes.crashes()) {
        for (const auto &[part, set] : crash.parts) {
            parts.insert(part);
        }
    }
    std::vector<SoundPromptPart> result;
    for (const auto part : parts) {
        if (const auto time = soundAt(part, now)) {
            result.push_back({.part = part, .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *time)});
        }
    }
    std::ranges::sort(result, {}, [](const SoundPromptPart &part) { return std::make_pair(part.age, part.part); });
    result.resize(std::min(result.size(), count));
    return result;
}

std::vector<std::vector<PromptPartCrash>> PromptPartSuspects::takeCrashReports(PromptPartCrashes::ReportOptions options, MonotonicTime now)
{
    options.time = m_options.reportTime;
    return m_crashes.takeReports(
        options, [&](uint64_t part) { return !soundAt(part, now); }, now);
}

std::vector<PromptPartCrash> PromptPartSuspects::takeExcerpts(size_t count, size_t bytes, MonotonicTime now)
{
    update(now);
    std::set<Key> explained;
    for (const auto &rejection : m_rejected) {
        explained.insert(rejection.crashes.begin(), rejection.crashes.end());
    }
    // Each part once, whichever of its crashes it is reported with.
    std::map<uint64_t, Key> crashOfPart;
    for (const auto &[key, crash] : m_crashes.crashes()) {
        if (now - crash.learntAt >= 2 * m_options.reportTime || explained.contains(key)) {
            continue;
        }
        for (const auto &[part, set] : crash.parts) {
            if (m_crashes.crashCount(part) >= MinCrashesOfUnknownPart) {
                crashOfPart[part] = key;
            }
        }
    }
    std::map<Key, PromptPartIds> parts;
    for (const auto &[part, key] : crashOfPart) {
        parts[key].push_back(part);
    }
    std::vector<PromptPartCrash> pieces;
    for (const auto &[key, ids] : parts) {
        std::ranges::move(m_crashes.reports(key, ids, bytes, now), std::back_inserter(pieces));
    }
    if (pieces.empty()) {
        return pieces;
    }
    std::rotate(pieces.begin(), pieces.begin() + static_cast<ptrdiff_t>(m_nextExcerpt % pieces.size()), pieces.end());
    pieces.resize(std::min(pieces.size(), count));
    m_nextExcerpt += pieces.size();
    std::ranges::for_each(pieces, [](auto &piece) { piece.pieces = 0; });
    return pieces;
}

std::vector<SoundPromptPart> PromptPartSuspects::takeSoundReports(size_t count, MonotonicTime now)
{
    std::erase_if(m_reportedSound, [now](const auto &entry) { return now >= entry.second; });
    std::vector<std::pair<uint64_t, uint64_t>> parts;
    for (const auto &[part, until] : m_reportedSound) {
        parts.emplace_back(part ^ m_options.reportOrder, part);
    }
    std::ranges::sort(parts);
    const auto first = std::ranges::lower_bound(parts, m_nextReportedSound, {}, &std::pair<uint64_t, uint64_t>::first);
    std::rotate(parts.begin(), first, parts.end());
    parts.resize(std::min(parts.size(), count));
    std::vector<SoundPromptPart> result;
    for (const auto &[order, part] : parts) {
        m_nextReportedSound = order + 1;
        if (const auto time = soundAt(part, now)) {
            result.push_back({.part = part, .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *time)});
        }
    }
    return result;
}

void PromptPartSuspects::expire(MonotonicTime now)
{
    update(now);
    m_crashes.dropBefore(now - m_options.memory);
    m_sound.dropBefore(now - m_options.memory);
    std::erase_if(m_probations, [&](const auto &entry) { return now >= entry.second; });
    std::erase_if(m_rejected, [&](const auto &rejection) { return now >= rejection.until; });
}

std::optional<MonotonicTime> PromptPartSuspects::soundAt(uint64_t part, MonotonicTime now) const
{
    const auto time = m_sound.find(part);
    return time && now - *time < m_options.memory ? time : std::nullopt;
}

bool PromptPartSuspects::isOnProbation(uint64_t part, MonotonicTime now) const
{
    const auto found = m_probations.find(part);
    return found != m_probations.end() && now < found->second;
}

bool PromptPartSuspects::isOnProbation(const Candidate &candidate, MonotonicTime now) const
{
    return std::ranges::any_of(candidate.parts, [&](uint64_t part) { return isOnProbation(part, now); });
}

std::vector<PromptPartSuspects::Candidate> PromptPartSuspects::candidates(const std::set<Key> &explained, MonotonicTime now) const
{
    std::vector<std::pair<const Key *, const Crash *>> crashes;
    for (const auto &[key, crash] : m_crashes.crashes()) {
        if (now - crash.time < m_options.memory && !explained.contains(key)) {
            crashes.emplace_back(&key, &crash);
        }
    }
    // For each part, the positions of its crashes and its sets of requests in them.
    using Occurrences = std::vector<std::pair<size_t, uint32_t>>;
    absl::flat_hash_map<uint64_t, Occurrences> occurrences;
    for (size_t index = 0; index < crashes.size(); ++index) {
        for (const auto &[part, set] : crashes[index].second->parts) {
            if (m_crashes.crashCount(part) >= MinCrashesOfUnknownPart || isOnProbation(part, now)) {
                occurrences[part].emplace_back(index, set);
            }
        }
    }
    std::map<std::pair<Occurrences, bool>, PromptPartIds> alike;
    for (auto &[part, places] : occurrences) {
        alike[{std::move(places), soundAt(part, now).has_value()}].push_back(part);
    }
    std::vector<Candidate> result;
    for (auto &[places, parts] : alike) {
        std::ranges::sort(parts);
        Candidate candidate {.parts = std::move(parts), .wasSound = places.second, .crashes = {}, .requests = {}};
        for (const auto &[index, set] : places.first) {
            const auto &[key, crash] = crashes[index];
            candidate.first = candidate.crashes.empty() ? crash->time : std::min(candidate.first, crash->time);
            candidate.last = std::max(candidate.last, crash->time);
            candidate.crashes.insert(*key);
            candidate.completeCrashes += crash->isComplete() ? 1 : 0;
            for (const auto request : crash->requestsOfSet[set]) {
                candidate.requests.insert(crash->requests[request].digest);
                candidate.begunRequests += crash->requests[request].hasBegun ? 1 : 0;
            }
        }
        result.push_back(std::move(candidate));
    }
    return result;
}

bool PromptPartSuspects::isOnlyExplanation(const Candidate &candidate, MonotonicTime now) const
{
    if (candidate.parts.size() > 1) {
        return false;
    }
    const auto isSoundOrPart = [&](const auto &entry) { return entry.first == candidate.parts.front() || soundAt(entry.first, now); };
    const auto count = std::ranges::count_if(candidate.crashes, [&](const Key &key) {
        const auto &crash = m_crashes.crashes().at(key);
        return crash.isComplete() && std::ranges::all_of(crash.parts, isSoundOrPart);
    });
    return static_cast<size_t>(count) >= m_options.minCrashes;
}

bool PromptPartSuspects::suffices(const Candidate &candidate, const std::vector<Candidate> &all, MonotonicTime now) const
{
    if (isOnProbation(candidate, now)) {
        return true;
    }
    // A crash of which not all parts are known yet may have another cause.
    if (candidate.requests.size() < MinDifferentRequests || candidate.completeCrashes < m_options.minCrashes) {
        return false;
    }
    if (!candidate.wasSound) {
        return now - candidate.first >= m_options.settleTime || isOnlyExplanation(candidate, now);
    }
    if (now - candidate.first < m_options.settleTime) {
        return false;
    }
    // Crashes that a part without any sound response may have caused do not count against one that was sound.
    auto unexplained = candidate.crashes;
    std::erase_if(unexplained, [this](const Key &key) { return !m_crashes.crashes().at(key).isComplete(); });
    for (const auto &other : all) {
        if (other.crashes.size() >= MinCrashesOfUnknownPart && !other.wasSound) {
            std::erase_if(unexplained, [&](const Key &key) { return other.crashes.contains(key); });
        }
    }
    return unexplained.size() >= m_options.minCrashesOfSoundPart;
}

std::optional<PromptPartSuspects::Rejection> PromptPartSuspects::findRejection(const std::set<Key> &explained, MonotonicTime now) const
{
    const auto all = candidates(explained, now);
    // What no target has ever responded to well is a likelier cause than what was sound before. Of the parts that were in most of the crashes, the one with the
    // fewest requests in each is taken: a part that is shared by others was in these crashes as well, and in requests that were on the targets by chance.
    std::vector<const Candidate *> sufficient;
    for (const auto &candidate : all) {
        if (suffices(candidate, all, now)) {
            sufficient.push_back(&candidate);
        }
    }
    const auto wasSound = [](const Candidate *candidate) { return candidate->wasSound; };
    if (!std::ranges::all_of(sufficient, wasSound)) {
        std::erase_if(sufficient, wasSound);
    }
    size_t maxCrashes = 0;
    for (const auto *candidate : sufficient) {
        maxCrashes = std::max(maxCrashes, candidate->crashes.size());
    }
    const auto rank = [](const Candidate &candidate) {
        const auto crashCount = static_cast<double>(candidate.crashes.size());
        return std::make_tuple(
            static_cast<double>(candidate.requests.size()) / crashCount, -crashCount, -static_cast<double>(candidate.begunRequests), candidate.parts.front());
    };
    const Candidate *best = nullptr;
    for (const auto *candidate : sufficient) {
        const bool isInMost = static_cast<double>(candidate->crashes.size()) >= MinShareOfCrashes * static_cast<double>(maxCrashes);
        if (isInMost && (!best || rank(*candidate) < rank(*best))) {
            best = candidate;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return Rejection {.parts = best->parts, .until = best->last + m_options.memory, .crashes = {best->crashes.begin(), best->crashes.end()}};
}

void PromptPartSuspects::update(MonotonicTime now)
{
    const bool isDue = m_isOutdated && m_crashes.partCount() < ManyParts;
    if (!isDue && now < m_updateAt) {
        return;
    }
    m_isOutdated = false;
    m_updateAt = now + UpdateInterval;
    m_rejected.clear();
    std::set<Key> explained;
    while (auto rejection = findRejection(explained, now)) {
        explained.insert(rejection->crashes.begin(), rejection->crashes.end());
        if (rejection->parts.size() == 1) {
            auto &until = m_probations[rejection->parts.front()];
            until = std::max(until, rejection->until + m_options.probation);
        }
        m_rejected.push_back(*std::move(rejection));
    }
}

} // namespace Jujube
