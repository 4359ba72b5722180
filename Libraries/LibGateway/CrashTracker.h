#pragma once

#include <functional>
#include <LibEvents/EventLog.h>
#include <LibMembership/CrashCarrier.h>
#include <LibPolicy/CrashSuspects.h>
#include <mutex>
#include <set>
#include <unordered_map>

namespace Jujube
{

// Knows which of this gateway's generations run on which target, and what crashes say about them (docs/design.md, section 9). Safe to use from several
// threads.
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

    // Targets on which other suspects of this gateway run. Suspects are kept apart, so that the next crash tells them apart.
    std::set<std::string> targetsOfSuspects() const;

    void runStarted(const std::string &generation, uint64_t fingerprint, const std::string &target, bool isSuspect);
    // The target has received the request. Before that, its death has nothing to do with the request.
    void requestReceived(const std::string &generation);
    void runEnded(const std::string &generation);

    // A target died while it ran generations of this gateway.
    void targetCrashed(const std::string &target, uint64_t incarnation, MonotonicTime now);

    // All reports known to the membership.
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
