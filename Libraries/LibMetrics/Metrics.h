#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>

namespace Jujube
{

// Counters, gauges and time histograms of a process, in the text format that Prometheus reads. Safe to use from several threads.
class Metrics
{
public:
    // Adds to a counter. The labels are written as in the text format, for example kind="overloaded"; empty for none.
    void count(const std::string &name, const std::string &labels = {}, uint64_t amount = 1);

    // Sets a gauge.
    void set(const std::string &name, double value, const std::string &labels = {});

    // Removes a gauge with all its labels, because its subjects change.
    void removeGauges(const std::string &name);

    // Adds a time in seconds to a histogram.
    void observe(const std::string &name, double seconds);

    // The value of a counter, for tests and readiness decisions.
    uint64_t counter(const std::string &name, const std::string &labels = {}) const;

    std::string toText() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));

    struct TimeSeries {
        Histogram histogram;
        double sum = 0;
    };

    using Key = std::pair<std::string, std::string>;

    static void appendHistogram(const std::string &name, const TimeSeries &series, std::string &text);

    mutable std::mutex m_mutex;
    std::map<Key, uint64_t> m_counters;
    std::map<Key, double> m_gauges;
    std::map<std::string, TimeSeries> m_histograms;
};

} // namespace Jujube
