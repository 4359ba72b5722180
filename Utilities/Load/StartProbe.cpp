#include <Load/StartProbe.h>

namespace Jujube
{

void StartProbe::begin(const std::string &dataCentre)
{
    const auto count = countGenerations(dataCentre);
    const std::lock_guard lock(m_mutex);
    m_before[dataCentre] = count;
}

void StartProbe::end(const std::string &dataCentre)
{
    const auto count = countGenerations(dataCentre);
    const std::lock_guard lock(m_mutex);
    const auto before = m_before.find(dataCentre);
    if (before != m_before.end()) {
        m_starts += count - before->second;
        m_before.erase(before);
    }
}

int64_t StartProbe::starts() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

int64_t StartProbe::countGenerations(const std::string &dataCentre) const
{
    int64_t count = 0;
    for (const auto &statistics : readStatistics(chooseEngines({.dataCentre = dataCentre}, m_engines), m_client)) {
        count += statistics.value("generations", int64_t {0});
    }
    return count;
}

} // namespace Jujube
