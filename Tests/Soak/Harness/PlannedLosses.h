#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Finds the requests that relays lose around planned work, which is a SIGTERM, a SIGHUP and a changed document, in runs without any unplanned disturbance. A
// request is lost if it was read and passed on, or its last byte was sent some time before, and its connection ends without a complete answer. It is not lost
// if its time was over, or if its target was still at work near the end of the grace time on a request that was sent early. A target's silence excuses nothing.
class PlannedLosses
{
public:
    struct Options {
        std::chrono::milliseconds grace {8000};
        // Requests that end within this time of their last byte may have crossed the relay's close.
        std::chrono::milliseconds slack {200};
        // Time until a changed document or settings file is in force.
        std::chrono::milliseconds document {2500};
    };

    struct Sent {
        std::string relay;
        std::string target;
        // The smaller one of the request's time and its route's timeout.
        std::chrono::milliseconds limit {0};
        // Whether its connection had served a request before.
        bool isOnKept = false;
    };

    // What was seen during stops. Few requests here mean that the run has shown little.
    struct Counts {
        // Requests whose relay had got SIGTERM when they were sent, or got it before their end.
        size_t duringStops = 0;
        size_t sentAfterTerm = 0;
        size_t cut = 0;
        // Of those cut, the ones that are not counted.
        size_t overTime = 0;
        size_t nearGraceEnd = 0;
        size_t crossed = 0;
    };

    explicit PlannedLosses(Options options);

    // The first SIGTERM of a process. Further ones do not prolong the grace time.
    void onTerm(MonotonicTime now, const std::string &relay);
    void onReload(MonotonicTime now, const std::string &relay);
    // A changed document was confirmed.
    void onDocument(MonotonicTime sentAt, MonotonicTime confirmedAt);
    void onSent(MonotonicTime now, const std::string &id, Sent sent);
    // The request was passed on to a target that works on it.
    void onRun(MonotonicTime now, const std::string &id, const std::string &target);
    // A target has made the whole answer.
    void onTargetDone(MonotonicTime now, const std::string &id);
    // The caller's connection has ended, or the answer is complete. Returns a description of a request that is lost.
    std::optional<std::string> onEnd(MonotonicTime now, const std::string &id, bool isComplete, int status, size_t bytes);
    // Losses that count only in numbers: beside changed documents, and on kept connections without planned work.
    std::vector<std::string> finish() const;

    const Counts &counts() const
    {
        return m_counts;
    }

private:
    struct Request {
        Sent sent;
        MonotonicTime sentAt;
        std::vector<std::string> targets;
        std::optional<MonotonicTime> doneAt;
    };
    struct Rate {
        size_t all = 0;
        size_t cut = 0;
    };

    // The last SIGTERM of the relay, if its stop still lasts.
    std::optional<MonotonicTime> stopOf(const std::string &relay, MonotonicTime now) const;
    bool isBesideReload(const Request &request, MonotonicTime now) const;
    bool isBesideDocument(MonotonicTime now) const;
    std::string describe(const std::string &id, const Request &request, MonotonicTime now, int status, size_t bytes) const;

    const Options m_options;
    std::map<std::string, Request> m_requests;
    std::map<std::string, MonotonicTime> m_termAt;
    std::map<std::string, std::vector<MonotonicTime>> m_reloads;
    std::vector<std::pair<MonotonicTime, MonotonicTime>> m_documents;
    Rate m_besideDocuments;
    Rate m_otherwise;
    std::vector<std::string> m_cutBesideDocuments;
    std::vector<std::string> m_cutOnKept;
    Counts m_counts;
};

} // namespace Jujube
