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

// Knows which of this gateway's generations run on which target, and what crashes say about them (docs/design.md, section 9). Safe to use from several
// threads.
class CrashWatch
{
public:
    struct Options {
        EventLog *events = nullptr;
        // Sends a crash to the other gateways.
        std::function<void(const CrashReport &)> publish;
    };

    explicit CrashWatch(Options options);

    CrashVerdict verdict(uint64_t fingerprint, MonotonicTime now) const;

    // Targets on which other suspects of this gateway run. Suspects are kept apart, so that the next crash tells them apart.
    std::set<std::string> targetsOfSuspects() const;

    void began(const std::string &generation, uint64_t fingerprint, const std::string &target, bool isSuspect);
    // The target has received the request. Before that, its death has nothing to do with the request.
    void reached(const std::string &generation);
    void ended(const std::string &generation);

    // A target died while it ran generations of this gateway.
    void targetDied(const std::string &target, uint64_t incarnation, MonotonicTime now);

    // All reports known to the membership.
    void takeReports(const std::vector<CrashReport> &reports, MonotonicTime now);

private:
    struct Running {
        uint64_t fingerprint;
        std::string target;
        bool isSuspect;
        bool hasReached = false;
    };

    void merge(const CrashReport &report, MonotonicTime now);

    const Options m_options;
    mutable std::mutex m_mutex;
    CrashSuspects m_suspects;
    std::unordered_map<std::string, Running> m_running;
};

} // namespace Jujube
