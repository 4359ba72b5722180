#include <LibPolicy/PromptPartSuspects.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Jujube
{

namespace
{

constexpr size_t MaxCrashes = 256;
constexpr size_t MaxRequests = 16;
constexpr size_t MaxParts = 16;
// Requests of one crash in a report.
constexpr size_t MaxReportedRequests = 6;
constexpr size_t MaxSoundParts = 16384;
// Repeats of one request crash targets whatever part of it is the cause.
constexpr size_t MinDifferentRequests = 2;
// A part that no target has responded to, and that was in this many crashes, explains them before a part that was sound.
constexpr size_t MinCrashesOfUnknownPart = 2;
// Of the crashes of the part that was in most of them.
constexpr double MinShareOfCrashes = 0.75;
// Interval at which rejections are computed again without a new report.
constexpr std::chrono::milliseconds UpdateInterval {100};

} // namespace

PromptPartSuspects::PromptPartSuspects(Options options)
    : m_options(options)
{
}

bool PromptPartSuspects::recordCrash(const PromptPartCrash &report, MonotonicTime now)
{
    if (report.age >= m_options.memory || report.requests.empty()) {
        return false;
    }
    const Key key {report.target, report.incarnation};
    if (m_crashes.size() >= MaxCrashes && !m_crashes.contains(key)) {
        m_crashes.erase(std::ranges::min_element(m_crashes, {}, [](const auto &entry) { return entry.second.time; }));
    }
    const auto [entry, isNew] = m_crashes.try_emplace(key);
    auto &crash = entry->second;
    if (isNew) {
        crash.learntAt = now;
    }
    const auto time = now - std::max(report.age, std::chrono::milliseconds(0));
    crash.time = isNew ? time : std::min(crash.time, time);
    bool hasChanged = isNew;
    for (const auto &request : report.requests) {
        if (crash.requests.size() >= MaxRequests && !crash.requests.contains(request.digest)) {
            continue;
        }
        auto &known = crash.requests[request.digest];
        hasChanged = hasChanged || known.parts.empty() || (request.hasBegun && !known.hasBegun);
        known.hasBegun = known.hasBegun || request.hasBegun;
        if (known.parts.empty()) {
            known.parts.assign(request.parts.begin(), request.parts.begin() + static_cast<ptrdiff_t>(std::min(request.parts.size(), MaxParts)));
        }
    }
    m_isOutdated = m_isOutdated || hasChanged;
    return hasChanged;
}

bool PromptPartSuspects::recordSound(const PromptPartIds &parts, std::chrono::milliseconds age, MonotonicTime now)
{
    const auto time = now - std::max(age, std::chrono::milliseconds(0));
    bool wasSuspected = false;
    for (const auto part : parts) {
        if (m_soundAt.size() >= MaxSoundParts && !m_soundAt.contains(part)) {
            m_soundAt.erase(std::ranges::min_element(m_soundAt, {}, [](const auto &entry) { return entry.second; }));
        }
        auto [entry, isNew] = m_soundAt.try_emplace(part, time);
        const auto before = isNew ? MonotonicTime::min() : entry->second;
        entry->second = std::max(entry->second, time);
        for (const auto &[key, crash] : m_crashes) {
            const bool isCleared = crash.time > before && crash.time <= time;
            wasSuspected = wasSuspected || (isCleared && std::ranges::any_of(crash.requests, [part](const auto &suspect) {
                                                return std::ranges::find(suspect.second.parts, part) != suspect.second.parts.end();
                                            }));
        }
        if (const auto probation = m_probations.find(part);
            probation != m_probations.end() && time >= probation->second - m_options.probation - m_options.memory) {
            m_probations.erase(probation);
        }
    }
    m_isOutdated = m_isOutdated || wasSuspected;
    return wasSuspected;
}

PromptPartVerdict PromptPartSuspects::verdict(const PromptPartIds &parts, MonotonicTime now)
{
    update(now);
    const auto has = [&parts](uint64_t part) { return std::ranges::find(parts, part) != parts.end(); };
    PromptPartVerdict verdict;
    for (const auto &rejection : m_rejected) {
        if (now < rejection.until && rejection.until > verdict.until && std::ranges::all_of(rejection.parts, has)) {
            verdict = {.action = PromptPartVerdict::Action::Reject, .part = rejection.parts.front(), .until = rejection.until};
        }
    }
    if (verdict.action == PromptPartVerdict::Action::Reject) {
        return verdict;
    }
    for (const auto part : parts) {
        if (isOnProbation(part, now)) {
            return {.action = PromptPartVerdict::Action::Try, .part = part, .until = {}};
        }
    }
    return {};
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

std::vector<PromptPartCrash> PromptPartSuspects::crashes(size_t count, MonotonicTime now) const
{
    // The newest crashes of each rejection suffice for peers to draw the same conclusion.
    std::vector<Key> keys;
    const auto add = [&keys](const Key &key) {
        if (std::ranges::find(keys, key) == keys.end()) {
            keys.push_back(key);
        }
    };
    const auto newestFirst = [this](std::vector<Key> &list) {
        std::ranges::sort(
            list, [this](const Key &left, const Key &right) { return std::tie(m_crashes.at(left).time, left) > std::tie(m_crashes.at(right).time, right); });
    };
    for (const auto &rejection : m_rejected) {
        std::vector<Key> reasons;
        std::ranges::copy_if(rejection.crashes, std::back_inserter(reasons), [this](const Key &key) { return m_crashes.contains(key); });
        newestFirst(reasons);
        reasons.resize(std::min(reasons.size(), m_options.minCrashesOfSoundPart));
        std::ranges::for_each(reasons, add);
    }
    std::vector<Key> all;
    for (const auto &[key, crash] : m_crashes) {
        if (counts(crash, now) && now - crash.learntAt < m_options.reportTime) {
            all.push_back(key);
        }
    }
    newestFirst(all);
    std::ranges::for_each(all, add);
    keys.resize(std::min(keys.size(), count));
    std::vector<PromptPartCrash> reports;
    for (const auto &key : keys) {
        const auto &crash = m_crashes.at(key);
        PromptPartCrash report {
            .target = key.first, .incarnation = key.second, .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.time), .requests = {}};
        for (const auto &[digest, request] : crash.requests) {
            if (report.requests.size() < MaxReportedRequests) {
                report.requests.push_back({.digest = digest, .hasBegun = request.hasBegun, .parts = request.parts});
            }
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<SoundPromptPart> PromptPartSuspects::soundSuspects(size_t count, MonotonicTime now) const
{
    std::map<uint64_t, MonotonicTime> sound;
    for (const auto &[key, crash] : m_crashes) {
        if (!counts(crash, now)) {
            continue;
        }
        for (const auto &[digest, request] : crash.requests) {
            for (const auto part : request.parts) {
                if (const auto time = soundAt(part, now)) {
                    sound.emplace(part, *time);
                }
            }
        }
    }
    std::vector<SoundPromptPart> result;
    result.reserve(sound.size());
    for (const auto &[part, time] : sound) {
        result.push_back({.part = part, .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - time)});
    }
    std::ranges::sort(result, {}, [](const SoundPromptPart &part) { return std::make_pair(part.age, part.part); });
    result.resize(std::min(result.size(), count));
    return result;
}

void PromptPartSuspects::expire(MonotonicTime now)
{
    update(now);
    std::erase_if(m_crashes, [&](const auto &entry) { return !counts(entry.second, now); });
    std::erase_if(m_soundAt, [&](const auto &entry) { return now - entry.second >= m_options.memory; });
    std::erase_if(m_probations, [&](const auto &entry) { return now >= entry.second; });
    std::erase_if(m_rejected, [&](const auto &rejection) { return now >= rejection.until; });
}

bool PromptPartSuspects::counts(const Crash &crash, MonotonicTime now) const
{
    return now - crash.time < m_options.memory;
}

std::optional<MonotonicTime> PromptPartSuspects::soundAt(uint64_t part, MonotonicTime now) const
{
    const auto found = m_soundAt.find(part);
    return found != m_soundAt.end() && now - found->second < m_options.memory ? std::optional(found->second) : std::nullopt;
}

bool PromptPartSuspects::isOnProbation(uint64_t part, MonotonicTime now) const
{
    const auto found = m_probations.find(part);
    return found != m_probations.end() && now < found->second;
}

std::map<uint64_t, PromptPartSuspects::Evidence> PromptPartSuspects::evidence(const std::set<Key> &explained, MonotonicTime now) const
{
    std::map<uint64_t, Evidence> result;
    for (const auto &[key, crash] : m_crashes) {
        if (!counts(crash, now) || explained.contains(key)) {
            continue;
        }
        for (const auto &[digest, request] : crash.requests) {
            for (const auto part : request.parts) {
                if (const auto sound = soundAt(part, now); sound && *sound >= crash.time) {
                    continue;
                }
                auto &evidence = result[part];
                evidence.first = evidence.crashes.empty() ? crash.time : std::min(evidence.first, crash.time);
                evidence.last = std::max(evidence.last, crash.time);
                evidence.crashes.insert(key);
                evidence.requests.insert(digest);
                evidence.begunRequests += request.hasBegun ? 1 : 0;
            }
        }
    }
    return result;
}

bool PromptPartSuspects::isOnlyExplanation(uint64_t part, const Evidence &evidence, MonotonicTime now) const
{
    const auto isSoundOrPart = [&](uint64_t other) { return other == part || soundAt(other, now); };
    const auto count = std::ranges::count_if(evidence.crashes, [&](const Key &key) {
        return std::ranges::all_of(m_crashes.at(key).requests, [&](const auto &suspect) { return std::ranges::all_of(suspect.second.parts, isSoundOrPart); });
    });
    return static_cast<size_t>(count) >= m_options.minCrashes;
}

bool PromptPartSuspects::suffices(uint64_t part, const std::map<uint64_t, Evidence> &all, MonotonicTime now) const
{
    const auto &own = all.at(part);
    if (isOnProbation(part, now)) {
        return true;
    }
    if (own.requests.size() < MinDifferentRequests || own.crashes.size() < m_options.minCrashes) {
        return false;
    }
    if (!soundAt(part, now)) {
        return now - own.first >= m_options.settleTime || isOnlyExplanation(part, own, now);
    }
    if (now - own.first < m_options.settleTime) {
        return false;
    }
    // Crashes that a part without any sound response may have caused do not count against one that was sound.
    auto unexplained = own.crashes;
    for (const auto &[other, evidence] : all) {
        if (evidence.crashes.size() >= MinCrashesOfUnknownPart && !soundAt(other, now)) {
            std::erase_if(unexplained, [&crashes = evidence.crashes](const Key &key) { return crashes.contains(key); });
        }
    }
    return unexplained.size() >= m_options.minCrashesOfSoundPart;
}

std::optional<PromptPartSuspects::Rejection> PromptPartSuspects::findRejection(const std::set<Key> &explained, MonotonicTime now)
{
    const auto all = evidence(explained, now);
    // What no target has ever responded to well is a likelier cause than what was sound before. Of the parts that were in most of the crashes, the one with the
    // fewest requests in each is taken: a part that is shared by others was in these crashes as well, and in requests that were on the targets by chance.
    const auto isSound = [&](uint64_t part) { return soundAt(part, now).has_value(); };
    std::vector<uint64_t> candidates;
    for (const auto &[part, evidence] : all) {
        if (suffices(part, all, now)) {
            candidates.push_back(part);
        }
    }
    if (!std::ranges::all_of(candidates, isSound)) {
        std::erase_if(candidates, isSound);
    }
    size_t maxCrashes = 0;
    for (const auto part : candidates) {
        maxCrashes = std::max(maxCrashes, all.at(part).crashes.size());
    }
    const auto rank = [&](uint64_t part) {
        const auto &evidence = all.at(part);
        const auto crashCount = static_cast<double>(evidence.crashes.size());
        return std::make_tuple(static_cast<double>(evidence.requests.size()) / crashCount, -crashCount, -static_cast<double>(evidence.begunRequests), part);
    };
    std::optional<uint64_t> best;
    for (const auto part : candidates) {
        const bool isInMost = static_cast<double>(all.at(part).crashes.size()) >= MinShareOfCrashes * static_cast<double>(maxCrashes);
        if (isInMost && (!best || rank(part) < rank(*best))) {
            best = part;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const auto &reason = all.at(*best);
    Rejection rejection {.parts = {}, .until = reason.last + m_options.memory, .crashes = {reason.crashes.begin(), reason.crashes.end()}};
    for (const auto &[part, evidence] : all) {
        const bool isAlike = evidence.requests == reason.requests && isSound(part) == isSound(*best);
        if (part == *best || isAlike) {
            rejection.parts.push_back(part);
        }
    }
    return rejection;
}

void PromptPartSuspects::update(MonotonicTime now)
{
    if (!m_isOutdated && now < m_updateAt) {
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
