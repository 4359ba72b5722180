#include <LibRelay/MigrationSchedule.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// An engine that leaves is gone after this time.
constexpr std::chrono::seconds LeavingTargetRetention {20};

} // namespace

void MigrationSchedule::addLeavingTarget(const std::string &target, std::chrono::milliseconds wait, MonotonicTime now)
{
    m_leavingTargets.try_emplace(target, Leaving {.since = now, .turnAt = now + wait});
}

void MigrationSchedule::add(const std::string &target, const std::string &request, double value)
{
    const auto found = m_leavingTargets.find(target);
    if (found == m_leavingTargets.end() || found->second.active == request) {
        return;
    }
    auto &waiting = found->second.waiting;
    if (std::ranges::find(waiting, request, &Waiting::request) == waiting.end()) {
        waiting.push_back({.request = request, .value = value});
    }
}

void MigrationSchedule::remove(const std::string &request)
{
    for (auto &[target, leaving] : m_leavingTargets) {
        std::erase_if(leaving.waiting, [&](const Waiting &waiting) { return waiting.request == request; });
        if (leaving.active == request) {
            leaving.active.clear();
        }
    }
}

void MigrationSchedule::grantTurn(const std::string &target, MonotonicTime now)
{
    const auto found = m_leavingTargets.find(target);
    if (found != m_leavingTargets.end()) {
        found->second.turnAt = std::min(found->second.turnAt, now);
    }
}

std::vector<std::string> MigrationSchedule::waitingTargets(MonotonicTime now) const
{
    std::vector<std::string> targets;
    for (const auto &[target, leaving] : m_leavingTargets) {
        if (leaving.turnAt > now && !leaving.waiting.empty()) {
            targets.push_back(target);
        }
    }
    return targets;
}

std::vector<std::string> MigrationSchedule::takeDue(MonotonicTime now)
{
    std::vector<std::string> due;
    for (auto &[target, leaving] : m_leavingTargets) {
        if (!leaving.active.empty() || leaving.waiting.empty() || now < leaving.turnAt) {
            continue;
        }
        const auto best = std::max_element(
            leaving.waiting.begin(), leaving.waiting.end(), [](const Waiting &left, const Waiting &right) { return left.value < right.value; });
        leaving.active = best->request;
        leaving.waiting.erase(best);
        due.push_back(leaving.active);
    }
    return due;
}

std::optional<MonotonicTime> MigrationSchedule::nextDueTime() const
{
    std::optional<MonotonicTime> next;
    for (const auto &[target, leaving] : m_leavingTargets) {
        if (leaving.active.empty() && !leaving.waiting.empty()) {
            next = next ? std::min(*next, leaving.turnAt) : leaving.turnAt;
        }
    }
    return next;
}

void MigrationSchedule::expire(MonotonicTime now)
{
    absl::erase_if(m_leavingTargets, [&](const auto &entry) { return now - entry.second.since > LeavingTargetRetention; });
}

} // namespace Jujube
