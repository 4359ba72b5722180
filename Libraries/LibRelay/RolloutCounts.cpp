#include <LibRelay/RolloutCounts.h>

namespace Jujube
{

namespace
{

// Maximum number of kinds of samples, by route, target and version. Reports carry fewer.
constexpr size_t MaxSampleKeys = 1000;

} // namespace

void RolloutCounts::reset(int64_t order)
{
    m_report = {.order = order};
}

void RolloutCounts::addRequest(bool isNew)
{
    ++m_report.requests;
    m_report.newRequests += isNew ? 1 : 0;
}

RolloutSamples *RolloutCounts::samples(const RolloutSampleKey &key)
{
    const auto found = m_report.samples.find(key);
    if (found != m_report.samples.end()) {
        return &found->second;
    }
    return m_report.samples.size() < MaxSampleKeys ? &m_report.samples[key] : nullptr;
}

} // namespace Jujube
