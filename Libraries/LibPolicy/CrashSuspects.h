#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujube
{

struct CrashSuspectsOptions {
    std::chrono::seconds lifetime {600};
    // Other gateways had requests on the same target. Their part of the company arrives with their heartbeats within this time.
    std::chrono::milliseconds settleTime {2500};
};

// One crash of a target as one gateway saw it, as it is carried in heartbeats.
struct TargetCrash {
    std::string target;
    uint64_t incarnation = 0;
    std::chrono::milliseconds age {0};
    // Fingerprints of this gateway's requests that ran on the target when it died.
    std::vector<uint64_t> members;
    // Requests that ran on the target according to its last load report, from all gateways.
    int running = 0;
};

// What may be done with a request.
struct CrashVerdict {
    enum class Action : uint8_t {
        // Nothing is known against it.
        Run,
        // It was part of a crash: run it alone or in a small group.
        RunIsolated,
        // It was part of several crashes, and the others who were part of the last one are not known yet. Ask again at `until`.
        Wait,
        // Reject it with ErrorKind::RequestCrashesTargets until `until`.
        Reject,
    };
    Action action = Action::Run;
    MonotonicTime until;
};

// Finds requests that crash every target that runs them. A request is refused after two crashes that have no other request in common, which includes a crash
// that it was alone in; innocent requests that shared a target with it are still served.
class CrashSuspects
{
public:
    explicit CrashSuspects(const CrashSuspectsOptions &options = {});

    // Digest of what makes two requests the same: the workspace, the model and the digest of the body.
    static uint64_t fingerprint(std::string_view workspace, std::string_view model, std::string_view bodyDigest);

    // Takes in a crash that this gateway saw, or one from a heartbeat. Reports of the same target and incarnation are parts of the same crash.
    void merge(const TargetCrash &report, MonotonicTime now);

    CrashVerdict verdict(uint64_t fingerprint, MonotonicTime now) const;

    // The newest crashes, for the next heartbeat, with all members that are known.
    std::vector<TargetCrash> reports(size_t count, MonotonicTime now) const;

    // Forgets what is too old. Called now and then; an expired crash has no effect in the meantime.
    void expire(MonotonicTime now);

private:
    using Key = std::pair<std::string, uint64_t>;
    struct Crash {
        MonotonicTime time;
        std::set<uint64_t> members;
        int running = 0;
    };

    bool haveNoneInCommon(const Crash &left, const Crash &right, uint64_t fingerprint) const;
    // Whether a single request was part of all of the crashes.
    static bool isOnlyMemberOfAll(const std::vector<const Crash *> &crashes);
    bool hasUnnamed(const Crash &crash) const;

    CrashSuspectsOptions m_options;
    std::map<Key, Crash> m_crashes;
};

} // namespace Jujube
