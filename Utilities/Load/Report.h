#pragma once

#include <Load/Caller.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Jujube
{

// Percentiles of a sample, in milliseconds: {"p50","p95","p99","p999","worst","count"}. Empty samples give zeros.
nlohmann::json percentiles(std::vector<std::chrono::microseconds> sample);

// Sums up a run by class, for example "paying/draft", and in total.
class Report
{
public:
    struct Options {
        const Scenario &scenario;
        uint64_t seed = 1;
        // The time of the first arrival.
        MonotonicTime begin;
    };

    explicit Report(Options options)
        : m_options(options)
    {
    }

    // The results and the statistics of all engines at the end and at the beginning of the run.
    nlohmann::json make(const std::vector<const CallerResult *> &results,
                        const std::vector<nlohmann::json> &enginesBefore,
                        const std::vector<nlohmann::json> &enginesAfter) const;

    // A table for people.
    static std::string toText(const nlohmann::json &report);

private:
    // Latencies and counts are those of the generations that arrived within the measuring window, throughput is that of all generations in the window.
    nlohmann::json summarize(const std::vector<const CallerResult *> &all) const;
    // Summaries of the generations that arrived before the first fault, between the first and the last one, and after it. Empty without faults.
    nlohmann::json phases(const std::vector<const CallerResult *> &results) const;
    nlohmann::json timeline(const std::vector<const CallerResult *> &results) const;
    nlohmann::json engineTotals(std::vector<nlohmann::json> before, const std::vector<nlohmann::json> &after) const;
    void addPreemptions(nlohmann::json &totals, const nlohmann::json &statistics, int64_t sign) const;
    std::string tierOf(const std::string &workspace) const;

    const Options m_options;
};

} // namespace Jujube
