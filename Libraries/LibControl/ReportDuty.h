#pragma once

#include <absl/status/statusor.h>
#include <LibControl/ControlContext.h>
#include <LibControl/Order.h>
#include <map>
#include <mutex>
#include <set>

namespace Jujube
{

// Reads the answer to GET /load. Models are texts ("name" or "name@version") or objects with "model" and "version".
// Errors: ErrorKind::InvalidValue if a field is missing or has the wrong type.
absl::StatusOr<ReportedTarget> reportFromJson(const std::string &target, const nlohmann::json &json, MonotonicTime now);

// Reads GET /load of the targets and keeps the latest reports. Safe to use from several threads.
class ReportDuty
{
public:
    struct Options {
        // For targets with a permit row.
        std::chrono::milliseconds urgentInterval {1000};
        // For all others.
        std::chrono::milliseconds sweepInterval {10000};
        std::chrono::milliseconds timeout {2000};
        // An older report says nothing about the target's present state.
        std::chrono::milliseconds maxAge {30000};
        size_t maxOpenCalls = 64;
    };

    ReportDuty(Options options, ControlContext context);

    // Sends the reads that are due. Targets that are not named any more are forgotten.
    void step(const std::vector<WantedTarget> &targets);

    // Targets that are read at the urgent interval from now on, instead of those named before.
    void setUrgent(std::set<std::string> targets);

    std::optional<ReportedTarget> find(const std::string &target) const;

    // All reports that are not too old.
    std::vector<ReportedTarget> reports() const;

private:
    struct Entry {
        MonotonicTime nextRead;
        bool isOpen = false;
        std::optional<ReportedTarget> report;
    };

    // Marks the reads that are due as open and returns their targets.
    std::vector<std::string> takeDue(const std::vector<WantedTarget> &targets, MonotonicTime now);
    void onAnswer(const std::string &target, MonotonicTime sent, const HttpAnswer &answer);

    const Options m_options;
    const ControlContext m_context;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
    std::set<std::string> m_urgent;
    size_t m_openCalls = 0;
};

} // namespace Jujube
