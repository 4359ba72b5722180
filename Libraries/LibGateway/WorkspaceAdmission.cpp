#include <LibGateway/WorkspaceAdmission.h>

#include <algorithm>

namespace Jujube
{

namespace
{

using std::chrono::seconds;

constexpr seconds OpenStreamsRetryAfter {1};

Problem makeRateLimitProblem(const char *detail, seconds retryAfter)
{
    return {.kind = ErrorKind::RateLimited, .detail = detail, .retryAfter = std::max(retryAfter, seconds(1))};
}

} // namespace

std::optional<Problem> WorkspaceAdmission::admit(const std::string &workspace, const WorkspaceLimits &limits, int liveGateways, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    const int gateways = std::max(1, liveGateways);
    if (limits.openStreams > 0) {
        // Rounded up, so that the share of a small limit is not zero on every gateway.
        const int share = (static_cast<int>(limits.openStreams) + gateways - 1) / gateways;
        if (m_openRequests[workspace] >= share) {
            return makeRateLimitProblem("the workspace has too many open requests", OpenStreamsRetryAfter);
        }
    }
    // The burst is the number of requests allowed per second.
    const WorkspaceLimit rate {.perSecond = static_cast<double>(limits.requestsPerSecond), .burst = static_cast<double>(limits.requestsPerSecond)};
    const auto wait = m_requestLimiter.take(workspace, rate, 1, gateways, now);
    if (wait > MonotonicTime::duration::zero()) {
        return makeRateLimitProblem("the workspace sends too many requests", std::chrono::ceil<seconds>(wait));
    }
    ++m_openRequests[workspace];
    return std::nullopt;
}

void WorkspaceAdmission::release(const std::string &workspace)
{
    const std::lock_guard lock(m_mutex);
    --m_openRequests[workspace];
}

} // namespace Jujube
