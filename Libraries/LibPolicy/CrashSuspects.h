#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <limits>
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
    // Within this time, the heartbeats of other gateways report which of their requests ran on the crashed target.
    std::chrono::milliseconds settleTime {2500};
};

// One crash of a target as one gateway observed it. Heartbeats carry it to the gateway's peers.
struct TargetCrash {
    std::string target;
    uint64_t incarnation = 0;
    std::chrono::milliseconds age {0};
    // Fingerprints of this gateway's requests that ran on the target when it crashed.
    std::vector<uint64_t> members;
    // Requests that ran on the target according to its last load report, from all gateways.
    int running = 0;
};

// Whether and how a request may run.
struct CrashVerdict {
    enum class Action : uint8_t {
        // It was part of no known crash.
        Run,
        // It was running on a target that crashed. Run it alone or next to few other requests.
        RunIsolated,
        // It was part of several crashes, and the other requests in the last one may not be known yet. Check again at `until`.
        Wait,
        // Reject it with ErrorKind::RequestCrashesTargets until `until`.
        Reject,
    };
    Action action = Action::Run;
    MonotonicTime until;
};

// Finds poison requests, which crash every target that runs them. A request is rejected after two crashes that have no other request in common, for example if
// it ran alone in one of them, and after three crashes of which it is the only common request. Innocent requests that shared a target with it are still served.
class CrashSuspects
{
public:
    explicit CrashSuspects(const CrashSuspectsOptions &options = {});

    // Digest of what identifies a request: the workspace, the model and the digest of the body.
    static uint64_t fingerprint(std::string_view workspace, std::string_view model, std::string_view bodyDigest);

    // Records a crash that this gateway observed or received in a heartbeat. Reports of the same target and incarnation describe the same crash.
    void merge(const TargetCrash &report, MonotonicTime now);

    CrashVerdict verdict(uint64_t fingerprint, MonotonicTime now) const;

    // The newest crashes, for the next heartbeat, with all members that are known. Those with more members than `maxMembers` are left out.
    std::vector<TargetCrash> reports(size_t count, MonotonicTime now, size_t maxMembers = std::numeric_limits<size_t>::max()) const;
    // The crashes of at most this age in pieces of so many members, for datagrams of their own.
    std::vector<TargetCrash> pieces(std::chrono::milliseconds maxAge, size_t members, MonotonicTime now) const;

    // Removes expired crashes to free memory. They have no effect even before they are removed.
    void expire(MonotonicTime now);

private:
    using Key = std::pair<std::string, uint64_t>;
    struct Crash {
        MonotonicTime time;
        std::set<uint64_t> members;
        int running = 0;
    };

    bool shareNoOtherRequest(const Crash &left, const Crash &right, uint64_t fingerprint) const;
    // True if exactly one request was part of all crashes.
    static bool isOnlyMemberOfAll(const std::vector<const Crash *> &crashes);
    bool hasUnknownRequests(const Crash &crash) const;

    CrashSuspectsOptions m_options;
    std::map<Key, Crash> m_crashes;
};

} // namespace Jujube
