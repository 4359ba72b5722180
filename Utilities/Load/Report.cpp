#include <Load/Report.h>

#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>

namespace Jujube
{

using std::chrono::microseconds;

namespace
{

using Results = std::vector<const CallerResult *>;

constexpr double MicrosecondsPerMillisecond = 1000;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double Thousand = 1000;
constexpr std::chrono::seconds TimelineInterval {5};

double milliseconds(microseconds value)
{
    return static_cast<double>(value.count()) / MicrosecondsPerMillisecond;
}

int64_t countEnds(const Results &results, CallerEnd end)
{
    return std::count_if(results.begin(), results.end(), [end](const auto *result) { return result->end == end; });
}

int64_t sumOf(const Results &results, const std::function<int64_t(const CallerResult &)> &value)
{
    int64_t sum = 0;
    for (const auto *result : results) {
        sum += value(*result);
    }
    return sum;
}

std::vector<microseconds> firstTokenTimes(const Results &results)
{
    std::vector<microseconds> times;
    for (const auto *result : results) {
        if (const auto time = result->record.timeToFirstToken()) {
            times.push_back(*time);
        }
    }
    return times;
}

std::vector<microseconds> allGaps(const Results &results)
{
    std::vector<microseconds> gaps;
    for (const auto *result : results) {
        gaps.insert(gaps.end(), result->record.gaps().begin(), result->record.gaps().end());
    }
    return gaps;
}

nlohmann::json refusalsByKind(const Results &results)
{
    std::map<std::string, int64_t> kinds;
    for (const auto *result : results) {
        for (const auto &[kind, count] : result->refusals) {
            kinds[kind] += count;
        }
    }
    return kinds;
}

nlohmann::json stallSummary(const Results &results)
{
    microseconds sum {0};
    microseconds worst {0};
    int64_t stalled = 0;
    for (const auto *result : results) {
        const auto stall = result->record.stall();
        sum += stall;
        worst = std::max(worst, stall);
        stalled += stall.count() > 0 ? 1 : 0;
    }
    return {{"sum", milliseconds(sum)}, {"worst", milliseconds(worst)}, {"generations", stalled}};
}

} // namespace

nlohmann::json percentiles(std::vector<microseconds> sample)
{
    constexpr std::pair<const char *, double> Levels[] = {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}, {"p999", 0.999}};
    std::sort(sample.begin(), sample.end());
    nlohmann::json json;
    for (const auto &[name, level] : Levels) {
        const auto index = static_cast<size_t>(level * static_cast<double>(sample.size()));
        json[name] = sample.empty() ? 0 : milliseconds(sample[std::min(index, sample.size() - 1)]);
    }
    json["worst"] = sample.empty() ? 0 : milliseconds(sample.back());
    json["count"] = sample.size();
    return json;
}

nlohmann::json Report::summarize(const Results &all) const
{
    const auto measured = std::chrono::duration<double>(m_options.scenario.duration - m_options.scenario.warmup).count();
    const auto useful
        = sumOf(all, [](const auto &result) { return result.end == CallerEnd::Complete && result.record.isIntact() ? result.record.tokensInWindow() : 0; });
    Results results;
    std::copy_if(all.begin(), all.end(), std::back_inserter(results), [this](const auto *result) {
        return result->record.begin() >= m_options.begin + m_options.scenario.warmup;
    });
    return {
        {"generations", results.size()},
        {"completed", countEnds(results, CallerEnd::Complete)},
        {"refused", countEnds(results, CallerEnd::Refused)},
        {"failed", countEnds(results, CallerEnd::Failed)},
        {"unfinished", countEnds(results, CallerEnd::Open)},
        {"tokens", sumOf(results, [](const auto &result) { return result.record.tokens(); })},
        {"useful_tokens_per_s", static_cast<double>(useful) / measured},
        {"stall_ms", stallSummary(results)},
        {"gap_ms", percentiles(allGaps(results))},
        {"ttft_ms", percentiles(firstTokenTimes(results))},
        {"refusals", refusalsByKind(results)},
        {"retries", sumOf(results, [](const auto &result) { return result.connections - 1; })},
        {"resumes", sumOf(results, [](const auto &result) { return result.resumes; })},
        {"lost_tokens", sumOf(results, [](const auto &result) { return result.record.lost(); })},
        {"duplicated_tokens", sumOf(results, [](const auto &result) { return result.record.duplicated(); })},
        {"wrong", sumOf(results, [](const auto &result) { return result.record.wrong(); })},
    };
}

nlohmann::json Report::make(const Results &results, const std::vector<nlohmann::json> &enginesBefore, const std::vector<nlohmann::json> &enginesAfter) const
{
    const auto &scenario = m_options.scenario;
    std::map<std::string, Results> byClass;
    std::map<std::string, int64_t> generationsByTier;
    for (const auto *result : results) {
        const auto &tier = scenario.workspaces[result->workspace].tier;
        ++generationsByTier[tier];
        byClass[tier + "/" + scenario.classes[result->classIndex].kind].push_back(result);
    }
    nlohmann::json report {
        {"scenario", scenario.name},
        {"seed", m_options.seed},
        {"load_factor", scenario.loadFactor},
        {"total", summarize(results)},
        {"generations", nlohmann::json::object()},
        {"phases", phases(results)},
        {"timeline", timeline(results)},
        {"engines", engineTotals(enginesBefore, enginesAfter)},
    };
    for (const auto &[name, list] : byClass) {
        report["classes"][name] = summarize(list);
        report["generations"][name] = list.size();
    }
    // Preemptions are counted over the whole run, and so are the generations that they are divided by.
    for (const auto &[tier, count] : generationsByTier) {
        const auto preempted = report["engines"]["preemptions_by_tier"].value(tier, 0.0);
        report["preemptions_per_1000"][tier] = Thousand * preempted / static_cast<double>(count);
    }
    return report;
}

nlohmann::json Report::phases(const Results &results) const
{
    const auto &faults = m_options.scenario.faults;
    auto json = nlohmann::json::object();
    if (faults.empty()) {
        return json;
    }
    const auto earlier = [](const auto &a, const auto &b) { return a.at < b.at; };
    const auto first = m_options.begin + std::min_element(faults.begin(), faults.end(), earlier)->at;
    const auto last = m_options.begin + std::max_element(faults.begin(), faults.end(), earlier)->at;
    std::map<std::string, Results> groups;
    for (const auto *result : results) {
        const auto begin = result->record.begin();
        if (begin >= m_options.begin + m_options.scenario.warmup) {
            groups[begin < first ? "before" : begin < last ? "during" : "after"].push_back(result);
        }
    }
    for (const auto &[name, group] : groups) {
        json[name] = {{"generations", group.size()},
                      {"completed", countEnds(group, CallerEnd::Complete)},
                      {"ttft_ms", percentiles(firstTokenTimes(group))},
                      {"gap_ms", percentiles(allGaps(group))},
                      {"stall_ms", stallSummary(group)}};
    }
    return json;
}

nlohmann::json Report::timeline(const Results &results) const
{
    std::map<int64_t, Results> intervals;
    for (const auto *result : results) {
        intervals[(result->record.begin() - m_options.begin) / TimelineInterval].push_back(result);
    }
    auto list = nlohmann::json::array();
    for (const auto &[index, group] : intervals) {
        list.push_back({{"from_s", index * TimelineInterval.count()},
                        {"generations", group.size()},
                        {"completed", countEnds(group, CallerEnd::Complete)},
                        {"ttft_ms", percentiles(firstTokenTimes(group))},
                        {"gap_ms", percentiles(allGaps(group))},
                        {"stall_ms", stallSummary(group)}});
    }
    return list;
}

std::string Report::tierOf(const std::string &workspace) const
{
    const auto &workspaces = m_options.scenario.workspaces;
    const auto found = std::find_if(workspaces.begin(), workspaces.end(), [&](const auto &entry) { return entry.name == workspace; });
    return found == workspaces.end() ? "unknown" : found->tier;
}

void Report::addPreemptions(nlohmann::json &totals, const nlohmann::json &statistics, int64_t sign) const
{
    for (const auto &entry : statistics.value("preemptions_by", nlohmann::json::array())) {
        const auto tier = tierOf(entry.value("workspace", ""));
        const auto count = sign * entry.value("count", int64_t {0});
        const auto classKey = absl::StrFormat("%s/priority-%d", tier, entry.value("priority", int64_t {0}));
        totals["preemptions_by_tier"][tier] = totals["preemptions_by_tier"].value(tier, int64_t {0}) + count;
        totals["preemptions_by_priority"][classKey] = totals["preemptions_by_priority"].value(classKey, int64_t {0}) + count;
        if (tier == "paying" && tierOf(entry.value("beneficiary", "")) == "trial") {
            totals["paying_preempted_for_trial"] = totals["paying_preempted_for_trial"].get<int64_t>() + count;
        }
    }
}

nlohmann::json Report::engineTotals(std::vector<nlohmann::json> before, const std::vector<nlohmann::json> &after) const
{
    int64_t missing = 0;
    for (size_t i = 0; i < before.size(); ++i) {
        missing += after[i].empty() ? 1 : 0;
        // An engine that restarted or is gone has lost the counts from before.
        if (after[i].empty() || after[i].value("incarnation", 0) != before[i].value("incarnation", 0)) {
            before[i] = nlohmann::json::object();
        }
    }
    nlohmann::json totals {
        {"preemptions_by_tier", nlohmann::json::object()},
        {"preemptions_by_priority", nlohmann::json::object()},
        {"paying_preempted_for_trial", 0},
        {"without_statistics", missing},
    };
    constexpr const char *Sums[] = {"generations", "tokens_produced", "recomputed_tokens", "preemptions", "started_over_cold_limit", "started_after_leaving"};
    constexpr const char *Maxima[] = {"max_running", "max_running_while_cold", "last_start_over_cold_limit_ms", "last_start_after_leaving_ms"};
    for (const auto *name : Sums) {
        int64_t sum = 0;
        for (const auto &statistics : after) {
            sum += statistics.value(name, int64_t {0});
        }
        for (const auto &statistics : before) {
            sum -= statistics.value(name, int64_t {0});
        }
        totals[name] = sum;
    }
    for (const auto *name : Maxima) {
        int64_t largest = 0;
        for (const auto &statistics : after) {
            largest = std::max(largest, statistics.value(name, int64_t {0}));
        }
        totals[name] = largest;
    }
    for (const auto &statistics : after) {
        addPreemptions(totals, statistics, 1);
    }
    for (const auto &statistics : before) {
        addPreemptions(totals, statistics, -1);
    }
    return totals;
}

std::string Report::toText(const nlohmann::json &report)
{
    auto text = absl::StrFormat(
        "%s, seed %d, load factor %g\n", report.at("scenario").get<std::string>(), report.at("seed").get<uint64_t>(), report.at("load_factor").get<double>());
    text += absl::StrFormat("%-18s %6s %6s %6s %6s %9s %9s %8s %8s %8s %8s %8s %8s %8s\n",
                            "class",
                            "gens",
                            "done",
                            "refus",
                            "fail",
                            "tokens/s",
                            "stall s",
                            "worst s",
                            "gap p50",
                            "p95",
                            "p99",
                            "p99.9",
                            "ttft p50",
                            "p95");
    const auto row = [&text](const std::string &name, const nlohmann::json &entry) {
        const auto number = [&entry](const char *group, const char *field) { return entry.at(group).at(field).get<double>(); };
        text += absl::StrFormat("%-18s %6d %6d %6d %6d %9.1f %9.2f %8.2f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f\n",
                                name,
                                entry.at("generations").get<int64_t>(),
                                entry.at("completed").get<int64_t>(),
                                entry.at("refused").get<int64_t>(),
                                entry.at("failed").get<int64_t>() + entry.at("unfinished").get<int64_t>(),
                                entry.at("useful_tokens_per_s").get<double>(),
                                number("stall_ms", "sum") / Thousand,
                                number("stall_ms", "worst") / Thousand,
                                number("gap_ms", "p50"),
                                number("gap_ms", "p95"),
                                number("gap_ms", "p99"),
                                number("gap_ms", "p999"),
                                number("ttft_ms", "p50"),
                                number("ttft_ms", "p95"));
    };
    const auto classes = report.value("classes", nlohmann::json::object());
    for (const auto &[name, entry] : classes.items()) {
        row(name, entry);
    }
    const auto &total = report.at("total");
    row("total", total);
    text += absl::StrFormat("lost tokens %d, duplicated tokens %d, wrong %d, retries %d, resumes %d, refusals %s\n",
                            total.at("lost_tokens").get<int64_t>(),
                            total.at("duplicated_tokens").get<int64_t>(),
                            total.at("wrong").get<int64_t>(),
                            total.at("retries").get<int64_t>(),
                            total.at("resumes").get<int64_t>(),
                            total.at("refusals").dump());
    text += absl::StrFormat("preemptions per 1,000 generations %s; engines %s\n",
                            report.value("preemptions_per_1000", nlohmann::json::object()).dump(),
                            report.at("engines").dump());
    return text;
}

} // namespace Jujube
