#include <LibRelay/TargetRequestLimits.h>

namespace Jujube
{

TargetRequestLimits::Change TargetRequestLimits::record(const Statement &statement, MonotonicTime now)
{
    const auto found = m_targets.find(statement.target);
    if (!statement.limit) {
        if (found == m_targets.end()) {
            return Change::None;
        }
        m_targets.erase(found);
        return Change::Ended;
    }
    const bool isSame = found != m_targets.end() && found->second.limit == *statement.limit;
    m_targets[statement.target] = {.incarnation = statement.incarnation, .limit = *statement.limit, .observedAt = now};
    return isSame ? Change::None : Change::Named;
}

std::optional<double> TargetRequestLimits::limit(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? std::nullopt : std::optional(found->second.limit);
}

void TargetRequestLimits::forget(const std::string &target)
{
    m_targets.erase(target);
}

} // namespace Jujube
