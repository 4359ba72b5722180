#include <LibPolicy/CrashSuspects.h>

#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// 21 machines fail on an ordinary day. Even with the loss of a data centre, the crashes within the lifetime stay in the low hundreds.
constexpr size_t MaxCrashes = 512;

// Requests of all gateways that are kept for one crash. More are not needed to tell crashes apart.
constexpr size_t MaxMembers = 256;

constexpr double UnknownRequestFactor = 1.25;
constexpr size_t ConclusiveCrashes = 3;

} // namespace

CrashSuspects::CrashSuspects(const CrashSuspectsOptions &options)
    : m_options(options)
{
}

uint64_t CrashSuspects::fingerprint(std::string_view workspace, std::string_view model, std::string_view bodyDigest)
{
    // The hash of each part seeds the next one, so that the boundaries between the parts make a difference.
    uint64_t hash = XXH3_64bits(workspace.data(), workspace.size());
    hash = XXH3_64bits_withSeed(model.data(), model.size(), hash);
    return XXH3_64bits_withSeed(bodyDigest.data(), bodyDigest.size(), hash);
}

void CrashSuspects::merge(const TargetCrash &report, MonotonicTime now)
{
    if (report.age >= m_options.lifetime) {
        return;
    }
    const Key key {report.target, report.incarnation};
    if (m_crashes.size() >= MaxCrashes && !m_crashes.contains(key)) {
        m_crashes.erase(std::ranges::min_element(m_crashes, {}, [](const auto &entry) { return entry.second.time; }));
    }
    auto [entry, isNew] = m_crashes.try_emplace(key);
    auto &crash = entry->second;
    // The ages of one crash differ between gateways by the latency of the heartbeats. The earliest observation is used.
    const MonotonicTime time = now - report.age;
    crash.time = isNew ? time : std::min(crash.time, time);
    crash.running = std::max(crash.running, report.running);
    for (const auto member : report.members) {
        if (crash.members.size() < MaxMembers) {
            crash.members.insert(member);
        }
    }
}

CrashVerdict CrashSuspects::verdict(uint64_t fingerprint, MonotonicTime now) const
{
    std::vector<const Crash *> crashes;
    for (const auto &[key, crash] : m_crashes) {
        if (now - crash.time < m_options.lifetime && crash.members.contains(fingerprint)) {
            crashes.push_back(&crash);
        }
    }
    if (crashes.empty()) {
        return {};
    }
    std::optional<CrashVerdict> rejection;
    MonotonicTime settled = now;
    for (size_t i = 0; i < crashes.size(); ++i) {
        for (size_t j = i + 1; j < crashes.size(); ++j) {
            // If both crashes involved requests that no gateway has reported, one of these may have been part of both. A third crash resolves this.
            const bool unclear = crashes.size() < ConclusiveCrashes && hasUnknownRequests(*crashes[i]) && hasUnknownRequests(*crashes[j]);
            if (unclear || !shareNoOtherRequest(*crashes[i], *crashes[j], fingerprint)) {
                continue;
            }
            settled = std::max(settled, std::max(crashes[i]->time, crashes[j]->time) + m_options.settleTime);
            const auto until = std::min(crashes[i]->time, crashes[j]->time) + m_options.lifetime;
            if (!rejection || until > rejection->until) {
                rejection = CrashVerdict {.action = CrashVerdict::Action::Reject, .until = until};
            }
        }
    }
    if (!rejection && crashes.size() >= ConclusiveCrashes && isOnlyMemberOfAll(crashes)) {
        // Every two crashes have another request in common, but no other request was part of all of them.
        rejection = CrashVerdict {.action = CrashVerdict::Action::Reject, .until = now};
        for (const auto *crash : crashes) {
            settled = std::max(settled, crash->time + m_options.settleTime);
            rejection->until = std::max(rejection->until, crash->time + m_options.lifetime);
        }
    }
    if (!rejection) {
        return {.action = CrashVerdict::Action::RunIsolated, .until = {}};
    }
    return settled > now ? CrashVerdict {.action = CrashVerdict::Action::Wait, .until = settled} : *rejection;
}

std::vector<TargetCrash> CrashSuspects::pieces(std::chrono::milliseconds maxAge, size_t members, MonotonicTime now) const
{
    std::vector<TargetCrash> pieces;
    for (const auto &crash : reports(MaxCrashes, now)) {
        if (crash.age > maxAge) {
            break;
        }
        for (size_t first = 0; first < crash.members.size(); first += members) {
            auto piece = crash;
            const auto begin = crash.members.begin() + static_cast<ptrdiff_t>(first);
            piece.members.assign(begin, begin + static_cast<ptrdiff_t>(std::min(members, crash.members.size() - first)));
            pieces.push_back(std::move(piece));
        }
    }
    return pieces;
}

std::vector<TargetCrash> CrashSuspects::reports(size_t count, MonotonicTime now, size_t maxMembers) const
{
    std::vector<TargetCrash> reports;
    for (const auto &[key, crash] : m_crashes) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.time);
        if (age < m_options.lifetime && crash.members.size() <= maxMembers) {
            reports.push_back({.target = key.first,
                               .incarnation = key.second,
                               .age = age,
                               .members = {crash.members.begin(), crash.members.end()},
                               .running = crash.running});
        }
    }
    std::ranges::sort(reports, {}, [](const TargetCrash &report) { return std::make_pair(report.age, report.target); });
    reports.resize(std::min(reports.size(), count));
    return reports;
}

void CrashSuspects::expire(MonotonicTime now)
{
    std::erase_if(m_crashes, [&](const auto &entry) { return now - entry.second.time >= m_options.lifetime; });
}

bool CrashSuspects::isOnlyMemberOfAll(const std::vector<const Crash *> &crashes)
{
    const auto inAll
        = [&crashes](uint64_t member) { return std::ranges::all_of(crashes, [member](const Crash *crash) { return crash->members.contains(member); }); };
    return std::ranges::count_if(crashes.front()->members, inAll) == 1;
}

// True if no other known request can have caused both crashes.
bool CrashSuspects::shareNoOtherRequest(const Crash &left, const Crash &right, uint64_t fingerprint) const
{
    return std::ranges::none_of(left.members, [&](uint64_t member) { return member != fingerprint && right.members.contains(member); });
}

// True if clearly more requests ran than gateways have reported fingerprints of. The number of running requests is from the last load report and out of date,
// so a small difference is ignored.
bool CrashSuspects::hasUnknownRequests(const Crash &crash) const
{
    return crash.running > 1 + UnknownRequestFactor * static_cast<double>(crash.members.size());
}

} // namespace Jujube
