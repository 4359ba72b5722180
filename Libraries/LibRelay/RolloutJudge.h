#pragma once

#include <deque>
#include <LibCore/Time.h>
#include <LibRelay/RolloutStatistics.h>
#include <LibRelay/RolloutTypes.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujube
{

// Sums what all relays report of one roll-out. The highest sums of each process of each relay count, so that lost, repeated and late reports do no harm. Memory
// is bounded whatever is reported.
class RolloutEvidence
{
public:
    static constexpr size_t MaxRoutes = 64;
    static constexpr size_t MaxTargets = 256;
    static constexpr size_t MaxProcesses = 1024;
    // Samples that are kept of one process, and of all.
    static constexpr size_t MaxProcessSamples = 1024;
    static constexpr size_t MaxSamples = 65'536;
    // Larger numbers and longer names are not plausible.
    static constexpr int64_t MaxCount = 100'000'000;
    static constexpr size_t MaxNameBytes = 256;

    // Takes a report. A report may come in several datagrams with different samples, and late: of each sum the highest value counts. Returns false, and takes
    // nothing, if it is of another order, or if a number is negative or a number or name is larger than plausible. Of more routes or targets than the maximum,
    // those with the fewest responses are dropped.
    bool record(const RolloutReport &report);
    // Forgets everything, for another order.
    void reset(int64_t order);

    int64_t order() const
    {
        return m_order;
    }
    int64_t requests() const;
    int64_t newRequests() const;
    // The samples of all relays, by route, target and version.
    const std::map<RolloutSampleKey, RolloutSamples> &samples() const
    {
        return m_samples;
    }

private:
    struct Process {
        int64_t requests = 0;
        int64_t newRequests = 0;
        std::map<RolloutSampleKey, RolloutSamples> samples;
    };
    using ProcessKey = std::pair<std::string, int64_t>;

    // The process that has sent a report. Drops the one with the fewest requests if there are too many.
    Process &processOf(const RolloutReport &report);
    void recordSample(Process &process, const RolloutSampleKey &key, const RolloutSamples &samples);
    // Whether there is room for samples of this route and target, if need be by dropping a route or target with fewer responses.
    bool makeRoom(const RolloutSampleKey &key, int64_t responses);
    bool makeRoom(std::map<std::string, int64_t> &totals, size_t max, std::string RolloutSampleKey::*name, const std::string &value, int64_t responses);
    // Drops samples of all processes.
    void drop(std::string RolloutSampleKey::*name, const std::string &value);
    // Adds up the samples of all processes again.
    void sumUp();
    void addToSums(const RolloutSampleKey &key, const RolloutSamples &samples);

    int64_t m_order = 0;
    std::map<ProcessKey, Process> m_processes;
    std::map<RolloutSampleKey, RolloutSamples> m_samples;
    // Responses of each route and target, in all samples.
    std::map<std::string, int64_t> m_routes;
    std::map<std::string, int64_t> m_targets;
    // Samples of all processes.
    size_t m_kept = 0;
};

// Judges a version by comparing its responses with those of the old one, route by route and on all routes together, of all time and of the last seconds. It has
// no input or output; it remembers earlier samples and which targets have shown a fault alone. The tests and their error rates are described in
// docs/design/rollout.md, section 5.
class RolloutJudge
{
public:
    struct Options {
        // Probability of an error of each test of one look.
        double significance = 1e-5;
        // The same for what is left without the worst target.
        double remainderSignificance = 3e-4;
        // The same for the rest having fewer faults than the worst target. It is then not a weaker sign of the same fault and has to show the fault by itself.
        double contrastSignificance = 0.05;
        // The same for leaving out further targets that differ from the others.
        double outlierSignificance = 1e-2;
        // The same for leaving out a target of the old version that differs from the others.
        double baselineSignificance = 1e-4;
        // Expected share of bad responses without any response of the old version, and the number of responses that this expectation counts for.
        double defaultBadShare = 0.02;
        double defaultResponses = 50;
        // The same for times beyond the thresholds.
        double defaultSlowShare = 0.25;
        double defaultTimes = 2;
        double medianFactor = 2;
        double tailFactor = 2;
        // A version that is slower by this factor is still sound.
        double toleratedFactor = 1.4142135623730951;
        // Time for which a fault that only one target shows has to last if no other target has samples.
        std::chrono::milliseconds singleTargetTime {2000};
        // So many further responses without a fault show that it has passed.
        int64_t passedResponses = 10;
        // Besides all responses, those since the last or the last but one multiple of this time are judged.
        std::chrono::milliseconds recentTime {2000};
    };

    struct Verdict {
        bool isBad = false;
        // Which route and test show it, with the counts, for logs and the plan's reason. Empty for a sound version.
        std::string reason;
        // Responses of the new version, and bad ones among them.
        int64_t responses = 0;
        int64_t bad = 0;
        // Targets of the new version that alone show a fault which the others do not.
        std::vector<std::string> faultyTargets;
    };

    explicit RolloutJudge(Options options);

    Verdict judge(const RolloutEvidence &evidence, MonotonicTime now);
    // Forgets since when faults have been seen, for another order.
    void reset();

private:
    // A fault of a version that only one target shows: since when, and what had been counted then.
    struct SingleFault {
        MonotonicTime since;
        RolloutCount count;
    };
    struct Snapshot {
        MonotonicTime takenAt;
        std::map<RolloutSampleKey, RolloutSamples> samples;
    };

    // Whether the fault of a single target is still there after the time for which it has to last. Has to be called at each look that shows it.
    bool isLasting(const std::string &place, const RolloutCount &count, const RolloutExpectation &expectation, MonotonicTime now);
    void takeSnapshot(const RolloutEvidence &evidence, MonotonicTime now);

    const Options m_options;
    // By the test and routes that show it.
    std::map<std::string, SingleFault> m_singles;
    std::deque<Snapshot> m_snapshots;
    // Targets of the new version that have shown a fault alone.
    std::set<std::string> m_faultyTargets;
};

} // namespace Jujube
