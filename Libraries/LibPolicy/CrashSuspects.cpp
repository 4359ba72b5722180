#include <LibPolicy/CrashSuspects.h>

#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// 21 machines fail on an ordinary day, so even a lost data centre within the lifetime stays in the low hundreds.
constexpr size_t MostCrashes = 512;

// Requests on one target from all gateways. More are not needed to tell crashes apart.
constexpr size_t MostMembers = 256;

constexpr double UnnamedFactor = 1.25;
constexpr size_t EnoughCrashes = 3;

} // namespace

CrashSuspects::CrashSuspects(const CrashSuspectsOptions &options)
    : m_options(options)
{
}

uint64_t CrashSuspects::fingerprint(std::string_view workspace, std::string_view model, std::string_view bodyDigest)
{
    // Each part is hashed with the result of the previous one, so that the boundaries between the parts count.
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
    if (m_crashes.size() >= MostCrashes && !m_crashes.contains(key)) {
        m_crashes.erase(std::ranges::min_element(m_crashes, {}, [](const auto &entry) { return entry.second.time; }));
    }
    auto [entry, isNew] = m_crashes.try_emplace(key);
    auto &crash = entry->second;
    // The ages of one crash differ between gateways by the travel time of the heartbeats; the earliest observation counts.
    const MonotonicTime time = now - report.age;
    crash.time = isNew ? time : std::min(crash.time, time);
    crash.running = std::max(crash.running, report.running);
    for (const auto member : report.members) {
        if (crash.members.size() < MostMembers) {
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
    std::optional<CrashVerdict> refusal;
    MonotonicTime settled = now;
    for (size_t i = 0; i < crashes.size(); ++i) {
        for (size_t j = i + 1; j < crashes.size(); ++j) {
            // Of two crashes that both had requests which no gateway has named, one of those may have been in both. A third crash settles it.
            const bool unclear = crashes.size() < EnoughCrashes && hasUnnamed(*crashes[i]) && hasUnnamed(*crashes[j]);
            if (unclear || !haveNoneInCommon(*crashes[i], *crashes[j], fingerprint)) {
                continue;
            }
            settled = std::max(settled, std::max(crashes[i]->time, crashes[j]->time) + m_options.settleTime);
            const auto until = std::min(crashes[i]->time, crashes[j]->time) + m_options.lifetime;
            if (!refusal || until > refusal->until) {
                refusal = CrashVerdict {.action = CrashVerdict::Action::Reject, .until = until};
            }
        }
    }
    if (!refusal && crashes.size() >= EnoughCrashes && isOnlyMemberOfAll(crashes)) {
        // No two crashes are disjoint, and yet nobody else was part of all of them.
        refusal = CrashVerdict {.action = CrashVerdict::Action::Reject, .until = now};
        for (const auto *crash : crashes) {
            settled = std::max(settled, crash->time + m_options.settleTime);
            refusal->until = std::max(refusal->until, crash->time + m_options.lifetime);
        }
    }
    if (!refusal) {
        return {.action = CrashVerdict::Action::RunIsolated, .until = {}};
    }
    return settled > now ? CrashVerdict {.action = CrashVerdict::Action::Wait, .until = settled} : *refusal;
}

std::vector<TargetCrash> CrashSuspects::reports(size_t count, MonotonicTime now) const
{
    std::vector<TargetCrash> reports;
    for (const auto &[key, crash] : m_crashes) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.time);
        if (age < m_options.lifetime) {
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

// True if no other request can have caused both crashes, as far as is known.
bool CrashSuspects::isOnlyMemberOfAll(const std::vector<const Crash *> &crashes)
{
    const auto inAll
        = [&crashes](uint64_t member) { return std::ranges::all_of(crashes, [member](const Crash *crash) { return crash->members.contains(member); }); };
    return std::ranges::count_if(crashes.front()->members, inAll) == 1;
}

bool CrashSuspects::haveNoneInCommon(const Crash &left, const Crash &right, uint64_t fingerprint) const
{
    return std::ranges::none_of(left.members, [&](uint64_t member) { return member != fingerprint && right.members.contains(member); });
}

// True if clearly more requests ran than gateways have named. The reported number lags behind, so a small difference means nothing.
bool CrashSuspects::hasUnnamed(const Crash &crash) const
{
    return crash.running > 1 + UnnamedFactor * static_cast<double>(crash.members.size());
}

} // namespace Jujube
