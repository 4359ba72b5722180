#pragma once

#include <functional>
#include <LibRelay/RelaySession.h>
#include <random>
#include <string>
#include <vector>

namespace Jujube
{

// Acts as the caller, the targets and the policy around one RelaySession, and records the calls of its hooks.
class SessionHarness
{
public:
    explicit SessionHarness(RequestProperties facts);

    RelaySession &session()
    {
        return *m_session;
    }

    MonotonicTime now() const
    {
        return m_now;
    }
    void advance(std::chrono::milliseconds time)
    {
        m_now += time;
    }

    // Starts the session and lets its first target respond with these bytes of a stream.
    void startStream(std::string_view bytes);

    // Bytes of the events from first to last.
    static std::string events(int first, int last);

    // Ids of the complete events that the caller has received.
    std::vector<int> receivedIds() const;

    // A response head of a target that has the target's seal.
    static TargetResponse streamHead()
    {
        return {.status = 200, .sealed = true, .isStream = true};
    }

    std::vector<RelayAttempt> attempts;
    // What a target states when it is asked what it runs. It has crashed unless told otherwise; an empty function never answers.
    std::function<TargetRuns(MonotonicTime at)> statement
        = [](MonotonicTime at) { return TargetRuns {.kind = TargetRuns::Kind::Gone, .askedAt = at, .requests = {}}; };
    // The times for which targets were asked.
    std::vector<MonotonicTime> reads;
    // The statement of a target that runs these requests.
    static TargetRuns listed(MonotonicTime at, std::vector<std::string> requests, int64_t queued = 0)
    {
        return {.kind = TargetRuns::Kind::Listed, .askedAt = at, .requests = std::move(requests), .queued = queued};
    }
    std::vector<RelayOutcome> ownResponses;
    std::vector<bool> copyOrders;
    std::string received;
    int begun = 0;
    int finished = 0;
    int cuts = 0;
    int aborts = 0;
    int retriesLeft = 100;
    int targetsLeft = 100;
    bool hasDestination = true;
    // Targets that were excluded from the last choice of a destination, and from the last choice of a target.
    std::set<std::string> lastExcluded;
    std::set<std::string> lastTargetsExcluded;
    std::string backup;
    // Targets at which a generation must not be continued.
    std::set<std::string> continuationExcluded;
    // Targets whose cooldowns allow no continuation without a reservation, and none to be reserved.
    std::set<std::string> cooldowns;
    // Targets at which the generation has a reservation.
    std::set<std::string> reserved;

private:
    MonotonicTime m_now {std::chrono::hours(1)};
    std::unique_ptr<RelaySession> m_session;
};

} // namespace Jujube
