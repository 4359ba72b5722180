#include <LibRelay/TargetCooldowns.h>

#include <algorithm>

namespace Jujube
{

TargetCooldowns::TargetCooldowns(Options options)
    : m_options(options)
{
}

void TargetCooldowns::record(const std::string &target, std::chrono::milliseconds time, MonotonicTime now)
{
    if (time.count() <= 0) {
        return;
    }
    auto &cooldown = m_targets[target];
    if (now >= cooldown.until) {
        cooldown.continuations = 0;
    }
    cooldown.until = std::max(cooldown.until, now + std::min(time, m_options.maxCooldown));
}

std::optional<MonotonicTime> TargetCooldowns::until(const std::string &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now < found->second.until ? std::optional(found->second.until) : std::nullopt;
}

size_t TargetCooldowns::continuations(const std::string &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now < found->second.until ? found->second.continuations : 0;
}

std::optional<size_t> TargetCooldowns::remainingContinuations(const std::string &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || now >= found->second.until) {
        return std::nullopt;
    }
    return m_options.maxContinuations - std::min(m_options.maxContinuations, found->second.continuations);
}

bool TargetCooldowns::mayContinue(const std::string &target, MonotonicTime now) const
{
    const auto remaining = remainingContinuations(target, now);
    return !remaining || *remaining > 0;
}

void TargetCooldowns::recordContinuation(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        ++found->second.continuations;
    }
}

void TargetCooldowns::forget(const std::string &target)
{
    m_targets.erase(target);
}

void TargetCooldowns::expire(MonotonicTime now)
{
    absl::erase_if(m_targets, [&](const auto &entry) { return now >= entry.second.until; });
}

} // namespace Jujube
