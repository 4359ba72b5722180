#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibRelay/RolloutJudge.h>
#include <LibRelay/RolloutTypes.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides the next step of one service's roll-out from the operator's order, the plan in the store, the reports of all relays and the targets. It has no input
// or output: the caller stores the step under the condition that the plan's row has not changed, and passes the result. docs/design/rollout.md, section 3.
class RolloutCoordinator
{
public:
    struct Options {
        // The bounds of the users: part of the requests that a bad version may get, and requests beyond it.
        double exposureShare = 0.1;
        double exposureSlack = 50;
        // Parts of them that a trial uses.
        double usedShare = 0.8;
        double usedSlack = 0.2;
        // Part of the old version's usable slots that warm targets of the new version must have before the switch.
        double minCapacity = 0.7;
        // The switch begins this long before the due time, or this part of the duration if it is longer, but not before half of the duration.
        std::chrono::milliseconds minLead {2000};
        double leadPart = 0.25;
        std::chrono::milliseconds minEngineLead {4000};
        double engineLeadPart = 1.0 / 3;
        // Maximum age of the reports that show that nothing is under way on old targets.
        std::chrono::milliseconds maxReportAge {1000};
        // A relay that was silent for this time does not count any more.
        std::chrono::milliseconds silenceTime {4000};
        // Minimum time and number of requests over which the rate of requests is measured.
        std::chrono::milliseconds rateWindow {2000};
        int64_t minRateRequests = 5;
        // A measured rate changes the share only if that becomes larger by this factor: a write has a price.
        double minShareChange = 1.1;
        // Maximum number of rejected versions in a plan, because a row has a limited size. The oldest are dropped.
        size_t maxRejected = 32;
        RolloutJudge::Options judge;
    };

    // A relay that may be sending requests.
    struct Participant {
        std::string node;
        // Start of the relay's process as its heartbeats name it. Reports of earlier processes do not count for it. Zero if it is unknown.
        int64_t incarnation = 0;
        // Time since the relay was last heard from. Zero for this relay.
        std::chrono::milliseconds silence {0};
    };

    // What the decision rests on, besides the reports.
    struct View {
        // The order in force. Nothing if it was removed: orders have to be known up to the version of the plan's order.
        std::optional<RolloutOrder> order;
        // The plan in the store. Nothing if there is none.
        std::optional<RolloutPlan> plan;
        // The store's steady clock, in milliseconds.
        int64_t storeNowMs = 0;
        // This relay and all others that are alive or have fallen silent lately. Only known after the time in which a relay discovers its peers.
        std::vector<Participant> participants;
        // Usable slots of targets of the order's version (of the plan's without an order) that are warm, of all targets of that version that are usable, and
        // of the versions that serve: RolloutRouting::capacity().
        int64_t warmNewSlots = 0;
        int64_t usableNewSlots = 0;
        int64_t usableOldSlots = 0;
        // Whether the order's version is the one that serves now: RolloutRouting::isServing().
        bool isServing = false;
        // Versions of all listed targets of the service.
        std::vector<std::string> versions;
        // Whether the service's targets are engines.
        bool isEngineService = false;
        // Name of this relay.
        std::string node;
    };

    struct Step {
        // The plan to store, with `version` being that of the row which it replaces (the condition). Nothing if nothing changes.
        std::optional<RolloutPlan> plan;
        // Whether relays are asked at once to send nothing to the new version, before the plan is stored.
        bool hold = false;
        RolloutJudge::Verdict verdict;
    };

    explicit RolloutCoordinator(Options options);

    // Takes the report of a relay, this one included.
    void record(const RolloutReport &report, MonotonicTime now);

    Step step(const View &view, MonotonicTime now);

    // What the reports have shown so far.
    const RolloutEvidence &evidence() const
    {
        return m_evidence;
    }

    // The part of the requests that goes to the new version in a trial with so many requests expected in its whole time.
    static double trialShare(const Options &options, double expectedRequests);

private:
    // The latest report of a relay, without its samples.
    struct LatestReport {
        int64_t incarnation = 0;
        int64_t order = 0;
        int64_t requests = 0;
        int64_t plan = 0;
        int64_t runningOnOld = 0;
        MonotonicTime receivedAt;
    };
    // Where the measurement of the rate of requests began.
    struct RateStart {
        MonotonicTime at;
        int64_t requests = 0;
    };

    bool isPlanOutdated(const View &view, MonotonicTime now);
    void followPlan(const RolloutPlan &plan);
    void reset(int64_t order);
    RolloutPlan begin(const View &view) const;
    std::vector<std::string> rejectedAfter(const View &view) const;
    Step advance(const View &view, MonotonicTime now);
    Step advanceTrial(const View &view, MonotonicTime now);
    Step advanceSwitching(const View &view, MonotonicTime now);
    Step advanceReverting(const View &view, MonotonicTime now);
    // Takes the verdict of the judge. A bad one stays until the next order, because relays that send nothing to the version give no further samples.
    void judge(MonotonicTime now);
    std::optional<std::string> reversalReason(const View &view) const;
    bool isTimeToSwitch(const View &view, MonotonicTime now) const;
    std::optional<double> betterShare(const View &view, MonotonicTime now);
    std::optional<double> measuredRate(const View &view, MonotonicTime now);
    // Calls the function for each relay that may be sending requests, with its latest report of the plan's order, or nullptr. False if one call returns false.
    bool allOfLive(const View &view, MonotonicTime now, const std::function<bool(const LatestReport *)> &check) const;
    bool isConfirmed(const View &view, bool isOldIdle, MonotonicTime now) const;

    const Options m_options;
    RolloutEvidence m_evidence;
    RolloutJudge m_judge;
    RolloutJudge::Verdict m_verdict;
    std::map<std::string, LatestReport> m_latest;
    std::optional<RateStart> m_rateStart;
    // The newest plan that was in the store, and since when the store has had an older one.
    std::optional<RolloutPlan> m_newestPlan;
    std::optional<MonotonicTime> m_outdatedSince;
};

} // namespace Jujube
