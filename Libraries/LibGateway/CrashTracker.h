#pragma once

#include <functional>
#include <LibEvents/EventLog.h>
#include <LibMembership/CrashReportBuffer.h>
#include <LibPolicy/CrashSuspects.h>
#include <mutex>
#include <set>
#include <unordered_map>

namespace Jujube
{

// Tracks which target runs each generation of this gateway, and which requests are crash suspects (docs/design.md, section 9). Thread-safe.
class CrashTracker
{
public:
    struct Options {
        EventLog *events = nullptr;
        // Sends a crash to the other gateways.
        std::function<void(const CrashReport &)> publish;
    };

    explicit CrashTracker(Options options);

    CrashVerdict verdict(uint64_t fingerprint, MonotonicTime now) const;

    // Targets that run crash suspects of this gateway. Each suspect runs on a target of its own, so that the next crash shows which of them causes it.
    std::set<std::string> targetsOfSuspects() const;

    void runStarted(const std::string &generation, uint64_t fingerprint, const std::string &target, bool isSuspect);
    // The target has received the request. A crash before that cannot be caused by the request.
    void requestReceived(const std::string &generation);
    void runEnded(const std::string &generation);

    // A target crashed while it ran generations of this gateway.
    void targetCrashed(const std::string &target, uint64_t incarnation, MonotonicTime now);

    // Merges all crash reports that the membership has received.
    void addReports(const std::vector<CrashReport> &reports, MonotonicTime now);

private:
    struct Run {
        uint64_t fingerprint;
        std::string target;
        bool isSuspect;
        bool isReceived = false;
    };

    void merge(const CrashReport &report, MonotonicTime now);

    const Options m_options;
    mutable std::mutex m_mutex;
    CrashSuspects m_suspects;
    std::unordered_map<std::string, Run> m_runs;
};

} // namespace Jujube
