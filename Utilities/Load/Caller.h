#pragma once

#include <functional>
#include <LibHttp/HttpClient.h>
#include <Load/ArrivalPlan.h>
#include <Load/SseReader.h>
#include <Load/StreamRecord.h>
#include <map>

namespace Jujube
{

// How a generation ended for its caller.
enum class CallerEnd {
    // Not ended yet.
    Open,
    Complete,
    // The caller gave up, or was told not to repeat the request, before the first token.
    Refused,
    // The same after the first token.
    Failed,
};

// What the report needs of one generation.
struct CallerResult {
    size_t workspace = 0;
    size_t classIndex = 0;
    CallerEnd end = CallerEnd::Open;
    StreamRecord record;
    // Answers with an error, by their kind.
    std::map<std::string, int64_t> refusals;
    int64_t connections = 0;
    int64_t resumes = 0;
};

// One caller of one generation. It retries and resumes as a caller should: after Retry-After, with Last-Event-ID, at another gateway.
// Its functions are never called by two threads at the same time.
class Caller
{
public:
    // What callers share.
    struct Environment {
        HttpClient &client;
        // The address for the next connection, by the caller's number and its count of failed connections.
        std::function<std::string(uint64_t number, size_t failures)> chooseAddress;
        std::function<void(std::chrono::milliseconds delay, std::function<void()>)> later;
        std::function<void()> onFinished;
        // Reads an engine instead of a gateway.
        bool direct = false;
        std::string runName;
        std::chrono::milliseconds patience {20000};
    };

    Caller(const Environment &environment, const Scenario &scenario, const Arrival &arrival);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    // Sends the request at the time at which the caller wanted it.
    void begin(MonotonicTime now, const MeasuringWindow &window);

    const CallerResult &result() const
    {
        return m_result;
    }

private:
    void send();
    HttpCall makeCall() const;
    HttpCall makeDirectCall() const;
    void receive(int status, std::string_view bytes);
    void receiveEvent(const SseEvent &event);
    void receiveEngineLine(std::string_view line);
    void endOfConnection(const HttpAnswer &answer);
    // Reacts to a problem object, from an error answer or from an error event.
    void handleProblem();
    void sendLater(std::chrono::milliseconds delay);
    void finish(CallerEnd end);

    const Environment &m_environment;
    const ScenarioWorkspace &m_workspace;
    const ScenarioClass &m_class;
    const Arrival &m_arrival;
    const int64_t m_expectedTokens;
    CallerResult m_result;
    SseReader m_events;
    LineSplitter m_lines;
    std::string m_lastEventId;
    std::string m_problem;
    bool m_done = false;
    size_t m_failures = 0;
    // The latest time at which something was received that brought the generation forward.
    MonotonicTime m_lastProgress;
};

} // namespace Jujube
