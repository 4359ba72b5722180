#include <LibRelay/RolloutJudge.h>

#include <algorithm>

namespace Jujube
{

namespace
{

bool isPlausible(int64_t count)
{
    return count >= 0 && count <= RolloutEvidence::MaxCount;
}

bool isPlausible(const std::string &name)
{
    return name.size() <= RolloutEvidence::MaxNameBytes;
}

bool isPlausible(const RolloutHistogram &histogram)
{
    return std::all_of(histogram.counts.begin(), histogram.counts.end(), [](uint32_t count) { return count <= RolloutEvidence::MaxCount; });
}

bool isPlausible(const RolloutSampleKey &key, const RolloutSamples &samples)
{
    const bool hasPlausibleNames = isPlausible(key.route) && isPlausible(key.target);
    const bool hasPlausibleCounts = isPlausible(samples.responses) && isPlausible(samples.bad) && samples.bad <= samples.responses;
    return hasPlausibleNames && hasPlausibleCounts && isPlausible(samples.delay) && isPlausible(samples.pace);
}

bool isPlausible(const RolloutReport &report)
{
    if (!isPlausible(report.node) || !isPlausible(report.requests) || !isPlausible(report.newRequests)) {
        return false;
    }
    return std::all_of(report.samples.begin(), report.samples.end(), [](const auto &entry) { return isPlausible(entry.first, entry.second); });
}

// Raises each count of the histogram to that of the other one, and adds what it was raised by to the sum.
void raise(RolloutHistogram &histogram, const RolloutHistogram &other, RolloutHistogram &sum)
{
    RolloutHistogram difference;
    for (size_t bucket = 0; bucket < RolloutHistogram::Buckets; ++bucket) {
        const auto count = std::max(histogram.counts.at(bucket), other.counts.at(bucket));
        difference.counts.at(bucket) = count - histogram.counts.at(bucket);
        histogram.counts.at(bucket) = count;
    }
    sum.add(difference);
}

// The same for samples.
void raise(RolloutSamples &samples, const RolloutSamples &other, RolloutSamples &sum)
{
    sum.responses += std::max<int64_t>(other.responses - samples.responses, 0);
    sum.bad += std::max<int64_t>(other.bad - samples.bad, 0);
    samples.responses = std::max(samples.responses, other.responses);
    samples.bad = std::max(samples.bad, other.bad);
    raise(samples.delay, other.delay, sum.delay);
    raise(samples.pace, other.pace, sum.pace);
}

} // namespace

bool RolloutEvidence::record(const RolloutReport &report)
{
    if (report.order != m_order || !isPlausible(report)) {
        return false;
    }
    auto &process = processOf(report);
    process.requests = std::max(process.requests, report.requests);
    process.newRequests = std::max(process.newRequests, report.newRequests);
    for (const auto &[key, samples] : report.samples) {
        recordSample(process, key, samples);
    }
    return true;
}

void RolloutEvidence::reset(int64_t order)
{
    m_order = order;
    m_processes.clear();
    sumUp();
}

int64_t RolloutEvidence::requests() const
{
    int64_t sum = 0;
    for (const auto &[key, process] : m_processes) {
        sum += process.requests;
    }
    return sum;
}

int64_t RolloutEvidence::newRequests() const
{
    int64_t sum = 0;
    for (const auto &[key, process] : m_processes) {
        sum += process.newRequests;
    }
    return sum;
}

RolloutEvidence::Process &RolloutEvidence::processOf(const RolloutReport &report)
{
    const ProcessKey key {report.node, report.incarnation};
    if (m_processes.size() >= MaxProcesses && !m_processes.contains(key)) {
        const auto hasFewer = [](const auto &a, const auto &b) { return a.second.requests < b.second.requests; };
        m_processes.erase(std::min_element(m_processes.begin(), m_processes.end(), hasFewer));
        sumUp();
    }
    return m_processes[key];
}

void RolloutEvidence::recordSample(Process &process, const RolloutSampleKey &key, const RolloutSamples &samples)
{
    auto kept = process.samples.find(key);
    if (kept == process.samples.end()) {
        const bool isFull = process.samples.size() >= MaxProcessSamples || m_kept >= MaxSamples;
        if (isFull || !makeRoom(key, samples.responses)) {
            return;
        }
        kept = process.samples.emplace(key, RolloutSamples()).first;
        ++m_kept;
    }
    if (kept->second == samples) {
        return;
    }
    const auto before = kept->second.responses;
    raise(kept->second, samples, m_samples[key]);
    m_routes[key.route] += kept->second.responses - before;
    m_targets[key.target] += kept->second.responses - before;
}

bool RolloutEvidence::makeRoom(const RolloutSampleKey &key, int64_t responses)
{
    return makeRoom(m_routes, MaxRoutes, &RolloutSampleKey::route, key.route, responses)
        && makeRoom(m_targets, MaxTargets, &RolloutSampleKey::target, key.target, responses);
}

bool RolloutEvidence::makeRoom(
    std::map<std::string, int64_t> &totals, size_t max, std::string RolloutSampleKey::*name, const std::string &value, int64_t responses)
{
    if (totals.size() < max || totals.contains(value)) {
        return true;
    }
    const auto fewest = std::min_element(totals.begin(), totals.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    if (responses <= fewest->second) {
        return false;
    }
    const std::string dropped = fewest->first;
    drop(name, dropped);
    return true;
}

void RolloutEvidence::drop(std::string RolloutSampleKey::*name, const std::string &value)
{
    const auto isDropped = [&](const auto &entry) { return entry.first.*name == value; };
    for (auto &[key, process] : m_processes) {
        m_kept -= std::erase_if(process.samples, isDropped);
    }
    for (const auto &[key, samples] : m_samples) {
        if (key.*name == value) {
            m_routes[key.route] -= samples.responses;
            m_targets[key.target] -= samples.responses;
        }
    }
    std::erase_if(m_samples, isDropped);
    (name == &RolloutSampleKey::route ? m_routes : m_targets).erase(value);
}

void RolloutEvidence::sumUp()
{
    m_samples.clear();
    m_routes.clear();
    m_targets.clear();
    m_kept = 0;
    for (const auto &[processKey, process] : m_processes) {
        m_kept += process.samples.size();
        for (const auto &[key, samples] : process.samples) {
            addToSums(key, samples);
        }
    }
}

void RolloutEvidence::addToSums(const RolloutSampleKey &key, const RolloutSamples &samples)
{
    m_samples[key].add(samples);
    m_routes[key.route] += samples.responses;
    m_targets[key.target] += samples.responses;
}

} // namespace Jujube
