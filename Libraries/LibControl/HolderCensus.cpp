#include <LibControl/HolderCensus.h>

#include <algorithm>

namespace Jujube
{

HolderCensus::HolderCensus(Options options)
    : m_options(options)
{
}

void HolderCensus::onVmList(const std::vector<Vm> &vms, MonotonicTime now)
{
    if (vms.empty()) {
        return;
    }
    m_firstRead = m_firstRead.value_or(now);
    m_lastRead = now;
    for (const auto &vm : vms) {
        m_lastListed[vm.name] = now;
        onIncarnation({.name = vm.name, .address = vm.address, .incarnation = vm.incarnation});
    }
}

void HolderCensus::onIncarnation(const PermitHolder &holder)
{
    for (const auto &key : {holder.name, holder.address}) {
        auto &highest = m_incarnations[key];
        highest = std::max(highest, holder.incarnation);
    }
}

bool HolderCensus::isGone(const PermitHolder &holder) const
{
    for (const auto &key : {holder.name, holder.address}) {
        const auto known = m_incarnations.find(key);
        if (known != m_incarnations.end() && known->second > holder.incarnation) {
            return true;
        }
    }
    if (!m_lastRead) {
        return false;
    }
    const auto listed = m_lastListed.find(holder.name);
    const auto lastListed = listed == m_lastListed.end() ? *m_firstRead : listed->second;
    return *m_lastRead - lastListed >= m_options.missingTime;
}

bool HolderCensus::isListed(const PermitHolder &holder) const
{
    const auto listed = m_lastListed.find(holder.name);
    return m_lastRead && listed != m_lastListed.end() && listed->second == *m_lastRead;
}

} // namespace Jujube
