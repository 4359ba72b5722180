#include <LibRelay/RolloutJudge.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibRelay/RolloutStatistics.h>
#include <limits>
#include <set>

namespace Jujube
{

namespace
{

using Options = RolloutJudge::Options;
using SampleMap = std::map<RolloutSampleKey, RolloutSamples>;

enum class FaultKind : uint8_t {
    Failures,
    DelayMedian,
    DelayTail,
    PaceMedian,
    PaceTail,
};

constexpr std::array FaultKinds {FaultKind::Failures, FaultKind::DelayMedian, FaultKind::DelayTail, FaultKind::PaceMedian, FaultKind::PaceTail};

std::string_view nameOf(FaultKind kind)
{
    static constexpr std::array<std::string_view, FaultKinds.size()> Names {"failures", "delay (median)", "delay (tail)", "pace (median)", "pace (tail)"};
    return Names.at(static_cast<size_t>(kind));
}

const RolloutHistogram &histogramOf(const RolloutSamples &samples, FaultKind kind)
{
    return kind == FaultKind::DelayMedian || kind == FaultKind::DelayTail ? samples.delay : samples.pace;
}

// Counts failures, or times in buckets above `bucket`.
RolloutCount countOf(const RolloutSamples &samples, FaultKind kind, size_t bucket)
{
    if (kind == FaultKind::Failures) {
        return {.hits = samples.bad, .trials = samples.responses};
    }
    const auto &histogram = histogramOf(samples, kind);
    return {.hits = histogram.countAbove(bucket), .trials = histogram.total()};
}

struct Entry {
    const RolloutSampleKey *key = nullptr;
    const RolloutSamples *samples = nullptr;
};

// The samples of one route.
struct Route {
    std::string_view name;
    std::vector<const RolloutSamples *> oldTargets;
    // By index of the target.
    std::vector<std::pair<size_t, const RolloutSamples *>> newTargets;
};

// What one test expects of one route, and the bucket above which times are hits.
struct RouteTest {
    bool isValid = false;
    size_t bucket = 0;
    RolloutExpectation expectation;
};

// What the test counts on the old version without the targets that are worse than its other ones. These have at most half of the responses; they are added to
// `outliers`.
RolloutCount baselineOf(const Route &route, FaultKind kind, size_t bucket, const Options &options, std::vector<const RolloutSamples *> &outliers)
{
    RolloutCount all;
    for (const auto *samples : route.oldTargets) {
        all += countOf(*samples, kind, bucket);
    }
    auto left = all;
    for (const auto *samples : route.oldTargets) {
        const auto count = countOf(*samples, kind, bucket);
        const auto without = left - count;
        if (2 * without.trials >= all.trials && RolloutExpectation::of(without).isExceeded(count, options.baselineSignificance)) {
            left = without;
            outliers.push_back(samples);
        }
    }
    return left;
}

// The times on the old version without the targets that are slower than its other ones.
RolloutHistogram baselineTimesOf(const Route &route, FaultKind kind, const Options &options)
{
    RolloutHistogram sum;
    for (const auto *samples : route.oldTargets) {
        sum.add(histogramOf(*samples, kind));
    }
    const auto median = sum.quantileBucket(0.5);
    if (!median) {
        return sum;
    }
    std::vector<const RolloutSamples *> outliers;
    baselineOf(route, kind, RolloutHistogram::scaledBucket(*median, options.medianFactor), options, outliers);
    for (const auto *samples : outliers) {
        for (size_t bucket = 0; bucket < RolloutHistogram::Buckets; ++bucket) {
            sum.counts.at(bucket) -= std::min(sum.counts.at(bucket), histogramOf(*samples, kind).counts.at(bucket));
        }
    }
    return sum;
}

// One test on one route: what it expects, and what it counts by target of the new version and in all.
struct ComparisonPart {
    RouteTest test;
    std::vector<RolloutCount> counts;
    RolloutCount sum;
};

// A test that is significant.
struct Finding {
    FaultKind kind = FaultKind::Failures;
    // Empty for all routes together.
    std::string_view route;
    RolloutCount count;
    RolloutExpectation expectation;
    bool isOfVersion = false;
    // Whether the fault may be of the version or of a single target, because only that one has enough responses.
    bool isUndecided = false;
    // Indices of the targets that alone show the fault.
    std::vector<size_t> faultyTargets;
};

// One test on a group of routes.
class Comparison
{
public:
    // `maxWeight` is the number of responses on which the expectations of all routes together rest, `known` says which targets have shown a fault alone.
    Comparison(std::vector<const ComparisonPart *> parts, double maxWeight, const std::vector<bool> &known, const Options &options)
        : m_parts(std::move(parts))
        , m_maxWeight(maxWeight)
        , m_known(known)
        , m_options(options)
    {
    }

    // Nothing if the test is not significant.
    std::optional<Finding> find() const
    {
        const auto expectation = expectationOf(nullptr);
        const auto all = sumOf(nullptr);
        if (!expectation.isExceeded(all, m_options.significance)) {
            return std::nullopt;
        }
        Finding finding {.count = all, .expectation = expectation};
        auto worst = targetsWithResponses();
        const auto targets = worst.size();
        const auto rest = separateRest(worst);
        const auto restCount = sumOf(&rest);
        // The rest differs from the worst targets: it has clearly fewer hits than they have. The level allows for the choice of the worst.
        const auto contrastLevel = m_options.contrastSignificance / static_cast<double>(targets);
        const bool isKnown = std::any_of(worst.begin(), worst.end(), [&](size_t target) { return m_known[target]; });
        const bool isContrast = restCount.trials > 0 && (isKnown || RolloutExpectation::of(all - restCount).lowerTail(restCount) < contrastLevel);
        const auto restLevel = isContrast ? m_options.significance : m_options.remainderSignificance;
        finding.isOfVersion = restCount.trials > 0 && expectationOf(&rest).isExceeded(restCount, restLevel);
        finding.isUndecided = !finding.isOfVersion && !isContrast && targets < 3;
        if (!finding.isOfVersion && isContrast) {
            finding.faultyTargets = significantOf(worst);
        }
        return finding;
    }

private:
    using Targets = std::vector<size_t>;

    RolloutCount countOf(size_t target) const
    {
        RolloutCount sum;
        for (const auto *part : m_parts) {
            sum += part->counts[target];
        }
        return sum;
    }

    // Of these targets, or of all.
    static RolloutCount sumOf(const ComparisonPart &part, const Targets *targets)
    {
        if (!targets) {
            return part.sum;
        }
        RolloutCount sum;
        for (const auto target : *targets) {
            sum += part.counts[target];
        }
        return sum;
    }

    RolloutCount sumOf(const Targets *targets) const
    {
        RolloutCount sum;
        for (const auto *part : m_parts) {
            sum += sumOf(*part, targets);
        }
        return sum;
    }

    Targets targetsWithResponses() const
    {
        Targets result;
        for (size_t target = 0; target < m_parts.front()->counts.size(); ++target) {
            if (countOf(target).trials > 0) {
                result.push_back(target);
            }
        }
        return result;
    }

    // What is expected of these targets, or of all: the beta distribution with the mean and the variance of the share of hits on all routes of the group.
    RolloutExpectation expectationOf(const Targets *targets) const
    {
        if (m_parts.size() == 1) {
            return m_parts.front()->test.expectation;
        }
        double trials = 0;
        double mean = 0;
        double variance = 0;
        for (const auto *part : m_parts) {
            const auto weight = static_cast<double>(sumOf(*part, targets).trials);
            trials += weight;
            mean += weight * part->test.expectation.share();
            variance += weight * weight * part->test.expectation.variance();
        }
        if (trials == 0) {
            return {};
        }
        mean /= trials;
        variance /= trials * trials;
        const auto weight = std::min(mean * (1 - mean) / variance - 1, m_maxWeight);
        return {.hits = mean * weight, .misses = (1 - mean) * weight};
    }

    // Hits beyond what is expected.
    double excessOf(size_t target) const
    {
        double excess = 0;
        for (const auto *part : m_parts) {
            const auto &count = part->counts[target];
            excess += static_cast<double>(count.hits) - static_cast<double>(count.trials) * part->test.expectation.share();
        }
        return excess;
    }

    // Leaves in `targets` the one with the most hits beyond what is expected, and further ones that differ from the rest while the rest has half of the
    // responses. Returns the rest.
    Targets separateRest(Targets &targets) const
    {
        std::sort(targets.begin(), targets.end(), [&](size_t a, size_t b) { return excessOf(a) > excessOf(b); });
        const auto all = sumOf(&targets);
        auto left = all - countOf(targets.front());
        size_t worst = 1;
        for (; worst < targets.size(); ++worst) {
            const auto count = countOf(targets[worst]);
            const auto without = left - count;
            if (2 * without.trials < all.trials || !RolloutExpectation::of(without).isExceeded(count, m_options.outlierSignificance)) {
                break;
            }
            left = without;
        }
        Targets rest(targets.begin() + static_cast<std::ptrdiff_t>(worst), targets.end());
        targets.resize(worst);
        return rest;
    }

    Targets significantOf(const Targets &targets) const
    {
        Targets result;
        for (const auto target : targets) {
            const Targets one {target};
            if (expectationOf(&one).isExceeded(countOf(target), m_options.significance)) {
                result.push_back(target);
            }
        }
        return result;
    }

    const std::vector<const ComparisonPart *> m_parts;
    const double m_maxWeight;
    const std::vector<bool> &m_known;
    const Options &m_options;
};

// One look at a set of samples, which are sorted by route and target.
class Look
{
public:
    Look(const std::vector<Entry> &entries, const std::set<std::string> &knownFaulty, const Options &options)
        : m_options(options)
    {
        std::map<std::string_view, size_t> indices;
        for (const auto &entry : entries) {
            if (m_routes.empty() || m_routes.back().name != entry.key->route) {
                m_routes.push_back({.name = entry.key->route});
            }
            if (!entry.key->isNew) {
                m_routes.back().oldTargets.push_back(entry.samples);
                continue;
            }
            const auto index = indices.emplace(entry.key->target, m_targets.size()).first->second;
            if (index == m_targets.size()) {
                m_targets.push_back(entry.key->target);
                m_known.push_back(knownFaulty.contains(entry.key->target));
            }
            m_routes.back().newTargets.emplace_back(index, entry.samples);
        }
        prepareFailures();
        prepareTimes(FaultKind::DelayMedian, FaultKind::DelayTail);
        prepareTimes(FaultKind::PaceMedian, FaultKind::PaceTail);
    }

    // Names of the targets of the new version.
    const std::vector<std::string> &targets() const
    {
        return m_targets;
    }

    // All significant tests, of each route and of all routes together.
    std::vector<Finding> findings() const
    {
        std::vector<Finding> result;
        for (const auto kind : FaultKinds) {
            std::vector<ComparisonPart> parts;
            std::vector<const ComparisonPart *> all;
            parts.reserve(m_routes.size());
            for (size_t index = 0; index < m_routes.size(); ++index) {
                const auto &test = m_tests.at(static_cast<size_t>(kind))[index];
                if (!test.isValid || m_routes[index].newTargets.empty()) {
                    continue;
                }
                parts.push_back(partOf(m_routes[index], kind, test));
                all.push_back(&parts.back());
                compare({&parts.back()}, kind, m_routes[index].name, result);
            }
            if (all.size() > 1) {
                compare(std::move(all), kind, {}, result);
            }
        }
        return result;
    }

private:
    ComparisonPart partOf(const Route &route, FaultKind kind, const RouteTest &test) const
    {
        ComparisonPart part {.test = test, .counts = std::vector<RolloutCount>(m_targets.size())};
        for (const auto &[target, samples] : route.newTargets) {
            part.counts[target] = countOf(*samples, kind, test.bucket);
            part.sum += part.counts[target];
        }
        return part;
    }

    void compare(std::vector<const ComparisonPart *> parts, FaultKind kind, std::string_view route, std::vector<Finding> &result) const
    {
        // Failures are expected from all routes, so that what is known of the routes is no more than what is known of all of them.
        const auto maxWeight = kind == FaultKind::Failures && parts.size() > 1 ? m_failureWeight : std::numeric_limits<double>::max();
        if (auto finding = Comparison(std::move(parts), maxWeight, m_known, m_options).find()) {
            finding->kind = kind;
            finding->route = route;
            result.push_back(std::move(*finding));
        }
    }

    std::vector<RouteTest> &testsOf(FaultKind kind)
    {
        return m_tests.at(static_cast<size_t>(kind));
    }

    // Failures are expected as on the same route of the old version, and where that has few responses, as on all of its routes.
    void prepareFailures()
    {
        RolloutCount all;
        std::vector<RolloutCount> counts;
        for (const auto &route : m_routes) {
            std::vector<const RolloutSamples *> outliers;
            counts.push_back(baselineOf(route, FaultKind::Failures, 0, m_options, outliers));
            all += counts.back();
        }
        const auto prior = m_options.defaultResponses;
        m_failureWeight = static_cast<double>(all.trials) + prior;
        const auto share = (static_cast<double>(all.hits) + prior * m_options.defaultBadShare) / m_failureWeight;
        for (const auto &count : counts) {
            const auto hits = static_cast<double>(count.hits) + prior * share;
            const auto misses = static_cast<double>(count.trials - count.hits) + prior * (1 - share);
            testsOf(FaultKind::Failures).push_back({.isValid = true, .expectation = {.hits = hits, .misses = misses}});
        }
    }

    void prepareTimes(FaultKind median, FaultKind tail)
    {
        for (const auto &route : m_routes) {
            const auto baseline = baselineTimesOf(route, median, m_options);
            testsOf(median).push_back(timeTest(baseline, 0.5, m_options.medianFactor));
            testsOf(tail).push_back(timeTest(baseline, 0.95, m_options.tailFactor));
        }
    }

    // Times are expected as on the same route of the old version, if all of its times were longer by the tolerated factor.
    RouteTest timeTest(const RolloutHistogram &baseline, double quantile, double factor) const
    {
        const auto quantileBucket = baseline.quantileBucket(quantile);
        if (!quantileBucket) {
            return {};
        }
        const auto bucket = RolloutHistogram::scaledBucket(*quantileBucket, factor);
        const auto toleratedBucket = RolloutHistogram::scaledBucket(bucket, 1 / m_options.toleratedFactor);
        const RolloutCount count {.hits = baseline.countAbove(toleratedBucket), .trials = baseline.total()};
        const auto prior = m_options.defaultTimes;
        const auto hits = static_cast<double>(count.hits) + prior * m_options.defaultSlowShare;
        const auto misses = static_cast<double>(count.trials - count.hits) + prior * (1 - m_options.defaultSlowShare);
        return {.isValid = true, .bucket = bucket, .expectation = {.hits = hits, .misses = misses}};
    }

    const Options &m_options;
    std::vector<Route> m_routes;
    // Of the new version, and whether they have shown a fault alone.
    std::vector<std::string> m_targets;
    std::vector<bool> m_known;
    // By kind and route.
    std::array<std::vector<RouteTest>, FaultKinds.size()> m_tests;
    // Number of responses on which the expectation of failures rests.
    double m_failureWeight = 0;
};

// What has been added to a histogram or samples since an earlier time. Sums may have fallen since, if samples were dropped.
RolloutHistogram difference(const RolloutHistogram &histogram, const RolloutHistogram &earlier)
{
    RolloutHistogram result;
    for (size_t bucket = 0; bucket < RolloutHistogram::Buckets; ++bucket) {
        result.counts.at(bucket) = histogram.counts.at(bucket) - std::min(histogram.counts.at(bucket), earlier.counts.at(bucket));
    }
    return result;
}

RolloutSamples difference(const RolloutSamples &samples, const RolloutSamples &earlier)
{
    return {
        .responses = std::max<int64_t>(samples.responses - earlier.responses, 0),
        .bad = std::max<int64_t>(samples.bad - earlier.bad, 0),
        .delay = difference(samples.delay, earlier.delay),
        .pace = difference(samples.pace, earlier.pace),
    };
}

// The samples since an earlier time, by the keys of the present ones. The old version, once it has fewer responses than the new one, is represented by all of
// its samples.
class RecentSamples
{
public:
    RecentSamples(const SampleMap &samples, const SampleMap &earlier)
    {
        m_samples.reserve(samples.size());
        int64_t balance = 0;
        for (const auto &[key, value] : samples) {
            const auto found = earlier.find(key);
            m_samples.push_back(found == earlier.end() ? value : difference(value, found->second));
            balance += key.isNew ? -m_samples.back().responses : m_samples.back().responses;
        }
        auto recent = m_samples.cbegin();
        for (const auto &[key, value] : samples) {
            m_entries.push_back({.key = &key, .samples = balance < 0 && !key.isNew ? &value : &*recent});
            ++recent;
        }
    }

    const std::vector<Entry> &entries() const
    {
        return m_entries;
    }

private:
    std::vector<RolloutSamples> m_samples;
    std::vector<Entry> m_entries;
};

std::vector<Entry> entriesOf(const SampleMap &samples)
{
    std::vector<Entry> entries;
    entries.reserve(samples.size());
    for (const auto &[key, value] : samples) {
        entries.push_back({.key = &key, .samples = &value});
    }
    return entries;
}

std::string placeOf(const Finding &finding)
{
    return absl::StrCat(toAbsl(nameOf(finding.kind)), " on ", finding.route.empty() ? "all routes" : absl::StrCat("route ", toAbsl(finding.route)));
}

std::string describe(const Finding &finding)
{
    const auto expected = 100 * finding.expectation.share();
    return absl::StrFormat("%s: %d of %d responses, %.1f%% expected", placeOf(finding), finding.count.hits, finding.count.trials, expected);
}

} // namespace

RolloutJudge::RolloutJudge(Options options)
    : m_options(options)
{
}

RolloutJudge::Verdict RolloutJudge::judge(const RolloutEvidence &evidence, MonotonicTime now)
{
    Verdict verdict;
    for (const auto &[key, samples] : evidence.samples()) {
        verdict.responses += key.isNew ? samples.responses : 0;
        verdict.bad += key.isNew ? samples.bad : 0;
    }
    const auto take = [&](const Look &look, const Finding &finding) {
        if (finding.isOfVersion && !verdict.isBad) {
            verdict.isBad = true;
            verdict.reason = describe(finding);
        }
        for (const auto target : finding.faultyTargets) {
            m_faultyTargets.insert(look.targets()[target]);
        }
    };
    const Look whole(entriesOf(evidence.samples()), m_faultyTargets, m_options);
    std::erase_if(m_faultyTargets,
                  [&](const auto &target) { return std::find(whole.targets().begin(), whole.targets().end(), target) == whole.targets().end(); });
    std::set<std::string> undecided;
    for (auto &finding : whole.findings()) {
        if (finding.isUndecided) {
            const auto place = placeOf(finding);
            undecided.insert(place);
            finding.isOfVersion = isLasting(place, finding.count, finding.expectation, now);
        }
        take(whole, finding);
    }
    std::erase_if(m_singles, [&](const auto &entry) { return !undecided.contains(entry.first); });
    takeSnapshot(evidence, now);
    if (m_snapshots.size() > 1) {
        const RecentSamples samples(evidence.samples(), m_snapshots.front().samples);
        const Look recent(samples.entries(), m_faultyTargets, m_options);
        for (const auto &finding : recent.findings()) {
            take(recent, finding);
        }
    }
    verdict.faultyTargets.assign(m_faultyTargets.begin(), m_faultyTargets.end());
    return verdict;
}

bool RolloutJudge::isLasting(const std::string &place, const RolloutCount &count, const RolloutExpectation &expectation, MonotonicTime now)
{
    auto &single = m_singles.try_emplace(place, SingleFault {.since = now, .count = count}).first->second;
    if (now - single.since < m_options.singleTargetTime) {
        return false;
    }
    const auto further = count - single.count;
    if (expectation.isExceeded(further, m_options.remainderSignificance)) {
        return true;
    }
    if (further.trials >= m_options.passedResponses) {
        single = {.since = now, .count = count};
    }
    return false;
}

void RolloutJudge::takeSnapshot(const RolloutEvidence &evidence, MonotonicTime now)
{
    if (!m_snapshots.empty() && now - m_snapshots.back().takenAt < m_options.recentTime) {
        return;
    }
    m_snapshots.push_back({.takenAt = now, .samples = evidence.samples()});
    if (m_snapshots.size() > 2) {
        m_snapshots.pop_front();
    }
}

void RolloutJudge::reset()
{
    m_singles.clear();
    m_snapshots.clear();
    m_faultyTargets.clear();
}

} // namespace Jujube
