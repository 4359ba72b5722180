#include <LibRelay/MoveSchedule.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// An engine that leaves is gone by then.
constexpr std::chrono::seconds LeavingMemory {20};

} // namespace

void MoveSchedule::targetLeaves(const std::string &target, std::chrono::milliseconds wait, MonotonicTime now)
{
    m_targets.try_emplace(target, Leaving {.since = now, .turnAt = now + wait});
}

void MoveSchedule::add(const std::string &target, const std::string &request, double value)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.active != request) {
        found->second.waiting.push_back({.request = request, .value = value});
    }
}

void MoveSchedule::remove(const std::string &request)
{
    for (auto &[target, leaving] : m_targets) {
        std::erase_if(leaving.waiting, [&](const Waiting &waiting) { return waiting.request == request; });
        if (leaving.active == request) {
            leaving.active.clear();
        }
    }
}

void MoveSchedule::release(const std::string &target, MonotonicTime now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.turnAt = std::min(found->second.turnAt, now);
    }
}

std::vector<std::string> MoveSchedule::waitingTargets(MonotonicTime now) const
{
    std::vector<std::string> targets;
    for (const auto &[target, leaving] : m_targets) {
        if (leaving.turnAt > now && !leaving.waiting.empty()) {
            targets.push_back(target);
        }
    }
    return targets;
}

std::vector<std::string> MoveSchedule::takeDue(MonotonicTime now)
{
    std::vector<std::string> due;
    for (auto &[target, leaving] : m_targets) {
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

std::optional<MonotonicTime> MoveSchedule::nextTime() const
{
    std::optional<MonotonicTime> next;
    for (const auto &[target, leaving] : m_targets) {
        if (leaving.active.empty() && !leaving.waiting.empty()) {
            next = next ? std::min(*next, leaving.turnAt) : leaving.turnAt;
        }
    }
    return next;
}

void MoveSchedule::expire(MonotonicTime now)
{
    absl::erase_if(m_targets, [&](const auto &entry) { return now - entry.second.since > LeavingMemory; });
}

} // namespace Jujube
