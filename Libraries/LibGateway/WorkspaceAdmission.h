#pragma once

#include <LibCore/Problem.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <LibPolicy/WorkspaceLimiter.h>
#include <map>
#include <mutex>
#include <optional>

namespace Jujube
{

// Holds each workspace to the limits of the environment document. The limits are for all gateways together; each gateway grants its part. Safe to use from
// several threads.
class WorkspaceAdmission
{
public:
    // Admits a request, or says when to come back. An admitted request is counted as open until release().
    std::optional<Problem> admit(const std::string &workspace, const WorkspaceLimits &limits, int liveGateways, MonotonicTime now);

    void release(const std::string &workspace);

private:
    std::mutex m_mutex;
    WorkspaceLimiter m_requestLimiter;
    std::map<std::string, int> m_openRequests;
};

} // namespace Jujube
