#pragma once

#include <LibCore/Problem.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <LibPolicy/WorkspaceLimiter.h>
#include <map>
#include <mutex>
#include <optional>

namespace Jujube
{

// Enforces the workspace limits of the environment document. The limits apply to all gateways together, and each gateway grants an equal share. Thread-safe.
class WorkspaceAdmission
{
public:
    // Admits a request, or returns a problem with the time after which to retry. An admitted request counts as open until release().
    std::optional<Problem> admit(const std::string &workspace, const WorkspaceLimits &limits, int liveGateways, MonotonicTime now);

    void release(const std::string &workspace);

private:
    std::mutex m_mutex;
    WorkspaceLimiter m_requestLimiter;
    std::map<std::string, int> m_openRequests;
};

} // namespace Jujube
