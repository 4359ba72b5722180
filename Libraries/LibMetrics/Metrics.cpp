#include <LibMetrics/Metrics.h>

#include <absl/strings/str_cat.h>
#include <cmath>

namespace Jujube
{

namespace
{

// Twenty buckets from 100 microseconds to 100 seconds.
constexpr unsigned BucketCount = 20;
constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 100;

std::string labelBlock(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

} // namespace

void Metrics::count(const std::string &name, const std::string &labels, uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, labels}] += amount;
}

void Metrics::set(const std::string &name, double value, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, labels}] = value;
}

void Metrics::removeGauges(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_gauges, [&](const auto &entry) { return entry.first.first == name; });
}

void Metrics::observe(const std::string &name, double seconds)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_histograms.find(name);
    if (found == m_histograms.end()) {
        auto histogram = boost::histogram::make_histogram(Axis(BucketCount, LowestSeconds, HighestSeconds));
        found = m_histograms.emplace(name, TimeSeries {.histogram = std::move(histogram)}).first;
    }
    found->second.histogram(seconds);
    found->second.sum += seconds;
}

uint64_t Metrics::counter(const std::string &name, const std::string &labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find({name, labels});
    return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::toText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    std::string lastName;
    for (const auto &[key, value] : m_counters) {
        if (key.first != lastName) {
            absl::StrAppend(&text, "# TYPE ", key.first, " counter\n");
            lastName = key.first;
        }
        absl::StrAppend(&text, key.first, labelBlock(key.second), " ", value, "\n");
    }
    for (const auto &[key, value] : m_gauges) {
        absl::StrAppend(&text, "# TYPE ", key.first, " gauge\n", key.first, labelBlock(key.second), " ", value, "\n");
    }
    for (const auto &[name, series] : m_histograms) {
        appendHistogram(name, series, text);
    }
    return text;
}

void Metrics::appendHistogram(const std::string &name, const TimeSeries &series, std::string &text)
{
    absl::StrAppend(&text, "# TYPE ", name, " histogram\n");
    const auto &axis = series.histogram.axis();
    uint64_t total = 0;
    // Bin -1 holds what is below the axis, and the last bin what is above it.
    for (int bin = -1; bin < axis.size(); ++bin) {
        total += static_cast<uint64_t>(std::llround(series.histogram.at(bin)));
        absl::StrAppend(&text, name, "_bucket{le=\"", axis.bin(bin).upper(), "\"} ", total, "\n");
    }
    total += static_cast<uint64_t>(std::llround(series.histogram.at(axis.size())));
    absl::StrAppend(&text, name, "_bucket{le=\"+Inf\"} ", total, "\n", name, "_sum ", series.sum, "\n", name, "_count ", total, "\n");
}

} // namespace Jujube
