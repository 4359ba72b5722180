#include <LibGateway/CrashTracker.h>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace Jujube
{

namespace
{

// All gateways compute the same id for one incarnation of a target.
int64_t crashId(const std::string &target, uint64_t incarnation)
{
    return static_cast<int64_t>(XXH3_64bits_withSeed(target.data(), target.size(), incarnation));
}

} // namespace

CrashTracker::CrashTracker(Options options)
    : m_options(std::move(options))
{
}

CrashVerdict CrashTracker::verdict(uint64_t fingerprint, MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.verdict(fingerprint, now);
}

std::set<std::string> CrashTracker::targetsOfSuspects() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> targets;
    for (const auto &[generation, run] : m_runs) {
        if (run.isSuspect) {
            targets.insert(run.target);
        }
    }
    return targets;
}

void CrashTracker::runStarted(const std::string &generation, uint64_t fingerprint, const std::string &target, bool isSuspect)
{
    const std::lock_guard lock(m_mutex);
    m_runs[generation] = {.fingerprint = fingerprint, .target = target, .isSuspect = isSuspect};
}

void CrashTracker::requestReceived(const std::string &generation)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(generation);
    if (found != m_runs.end()) {
        found->second.isReceived = true;
    }
}

void CrashTracker::runEnded(const std::string &generation)
{
    const std::lock_guard lock(m_mutex);
    m_runs.erase(generation);
}

void CrashTracker::targetCrashed(const std::string &target, uint64_t incarnation, MonotonicTime now)
{
    CrashReport report {.crash = crashId(target, incarnation), .at = now};
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[generation, run] : m_runs) {
            if (run.target == target && run.isReceived) {
                report.fingerprints.push_back(run.fingerprint);
            }
        }
        merge(report, now);
    }
    const auto detail = absl::StrCat(report.fingerprints.size(), " requests of this gateway ran on it");
    m_options.events->record({.kind = EventKind::CrashSuspected, .target = target, .detail = detail}, wallMsNow());
    if (m_options.publish) {
        m_options.publish(report);
    }
}

void CrashTracker::addReports(const std::vector<CrashReport> &reports, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &report : reports) {
        merge(report, now);
    }
    m_suspects.expire(now);
}

void CrashTracker::merge(const CrashReport &report, MonotonicTime now)
{
    const auto members = static_cast<int>(report.fingerprints.size());
    m_suspects.merge({.target = absl::StrCat(report.crash),
                      .incarnation = 0,
                      .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.at),
                      .members = report.fingerprints,
                      // A truncated list stands for at least one more request than it names.
                      .running = report.truncated ? members + 1 : members},
                     now);
}

} // namespace Jujube
