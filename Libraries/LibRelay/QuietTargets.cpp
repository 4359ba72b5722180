#include <LibRelay/QuietTargets.h>

#include <algorithm>

namespace Jujube
{

QuietTargets::QuietTargets(Options options)
    : m_options(options)
{
}

void QuietTargets::note(const std::string &target, std::chrono::milliseconds time, MonotonicTime now)
{
    if (time.count() <= 0) {
        return;
    }
    auto &quiet = m_targets[target];
    if (now >= quiet.until) {
        quiet.continuations = 0;
    }
    quiet.until = std::max(quiet.until, now + std::min(time, m_options.longest));
}

std::optional<MonotonicTime> QuietTargets::until(const std::string &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now < found->second.until ? std::optional(found->second.until) : std::nullopt;
}

bool QuietTargets::mayContinue(const std::string &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() || now >= found->second.until || found->second.continuations < m_options.mostContinuations;
}

void QuietTargets::noteContinuation(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        ++found->second.continuations;
    }
}

void QuietTargets::forget(const std::string &target)
{
    m_targets.erase(target);
}

void QuietTargets::expire(MonotonicTime now)
{
    absl::erase_if(m_targets, [&](const auto &entry) { return now >= entry.second.until; });
}

} // namespace Jujube
