#pragma once

#include <LibRelay/RelaySession.h>
#include <random>
#include <string>
#include <vector>

namespace Jujube
{

// Plays the caller, the targets and the policy around one RelaySession, and records what they see.
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

    // Starts the session and has its first target answer with these bytes of a stream.
    void startStream(std::string_view bytes);

    // Bytes of the events from first to last.
    static std::string events(int first, int last);

    // Ids of the whole events that the caller has received.
    std::vector<int> receivedIds() const;

    // A head of a target's own answer.
    static TargetResponse streamHead()
    {
        return {.status = 200, .sealed = true, .isStream = true};
    }

    std::vector<RelayAttempt> sends;
    std::vector<RelayOutcome> answers;
    std::vector<bool> copies;
    std::string received;
    int begun = 0;
    int finished = 0;
    int cuts = 0;
    int aborts = 0;
    int retriesLeft = 100;
    int targetsLeft = 100;
    bool hasDestination = true;
    // What the last choice of a destination had to leave out.
    std::set<std::string> lastExcluded;
    std::string backup;
    // Targets that want no continuation of a generation.
    std::set<std::string> refusesContinuation;

private:
    MonotonicTime m_now {std::chrono::hours(1)};
    std::unique_ptr<RelaySession> m_session;
};

} // namespace Jujube
